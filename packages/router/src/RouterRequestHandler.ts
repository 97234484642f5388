import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ContractInForce } from '@laburnumgap/contracts';
import type { Refusal, RequestId, Result } from '@laburnumgap/kernel';

/** One authenticated request of a caller. */
export interface RouterExchange {
  readonly contract: ContractInForce;
  /** Reads the body once, within the size limit and the time bound. */
  readBody(): Promise<Result<Buffer, Refusal>>;
  /** Answers with a refusal, unless an answer has begun. */
  refuse(refusal: Refusal): void;
  readonly request: IncomingMessage;
  readonly requestId: RequestId;
  /** Whether the caller named the request id itself and may come back with it. */
  readonly isRequestIdFromCaller: boolean;
  readonly response: ServerResponse;
}

/** Serves one kind of request. */
export interface RequestHandler {
  /** Called when the router shuts down, after the last request has ended. */
  drain?(): Promise<void>;
  handle(exchange: RouterExchange): Promise<void>;
  matches(request: IncomingMessage): boolean;
  readonly name: string;
}
