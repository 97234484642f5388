import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ContractInForce } from '@laburnumgap/contracts';
import type { Refusal, RequestId, Result } from '@laburnumgap/kernel';

/** One authenticated request of a caller and its response. */
export interface RouterExchange {
  readonly contract: ContractInForce;
  /** Reads the body, within the size limit and the timeout; may be called once. */
  readBody(): Promise<Result<Buffer, Refusal>>;
  /** Answers with a refusal, unless an answer has begun. */
  refuse(refusal: Refusal): void;
  /** Whether the caller sent the request id itself and may reconnect with it. */
  readonly isRequestIdFromCaller: boolean;
  readonly request: IncomingMessage;
  readonly requestId: RequestId;
  readonly response: ServerResponse;
}

/** Serves one kind of request. */
export interface RequestHandler {
  /** Called on shutdown, after the last request has ended. */
  drain?(): Promise<void>;
  handle(exchange: RouterExchange): Promise<void>;
  matches(request: IncomingMessage): boolean;
  readonly name: string;
}
