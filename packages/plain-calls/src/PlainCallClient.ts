import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { Dispatcher } from 'undici';
import { Agent, request as sendRequest } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_ANSWER_BODY_BYTES } from './PlainCallConstants.js';
import { forwardedAnswerHeaders, hasKnownBodyLength } from './PlainCallHeaders.js';
import type { PlainAnswer, PlainCall } from './PlainCallMessages.js';

/** A failed attempt of an idempotent call. */
export interface PlainCallFailure {
  readonly detail: string;
  /** False when no connection was established, so that nothing was sent. */
  readonly mayHaveRun: boolean;
}

/** One attempt of an idempotent call. */
export interface PlainCallAttemptOptions {
  /** Base URL of the server. */
  readonly address: string;
  readonly call: PlainCall;
  readonly signal: AbortSignal;
  /** Longest wait for the whole answer. */
  readonly timeoutMs: number;
}

/** Sends idempotent calls over pooled connections. */
export interface PlainCallClient {
  close(): Promise<void>;
  send(options: PlainCallAttemptOptions): Promise<Result<PlainAnswer, PlainCallFailure>>;
}

/** Error codes of connections that were not established. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const KEEP_ALIVE_MS = 4_000;

/**
 * Creates a client for idempotent calls.
 *
 * @returns the client
 */
export function createPlainCallClient(): PlainCallClient {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxResponseSize: MAX_ANSWER_BODY_BYTES,
    pipelining: 1,
  });
  return {
    close: () => agent.close(),
    send: (options) => send(agent, options),
  };
}

async function send(
  dispatcher: Dispatcher,
  options: PlainCallAttemptOptions,
): Promise<Result<PlainAnswer, PlainCallFailure>> {
  const { address, call, signal, timeoutMs } = options;
  try {
    const response = await sendRequest(new URL(address).origin + call.path, {
      body: call.body.length === 0 ? null : call.body,
      bodyTimeout: timeoutMs,
      dispatcher,
      headers: call.headers,
      headersTimeout: timeoutMs,
      method: call.method,
      signal: AbortSignal.any([signal, AbortSignal.timeout(Math.ceil(timeoutMs))]),
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    if (!hasKnownBodyLength(response.statusCode, response.headers)) {
      return failure({ detail: 'the answer has no length', mayHaveRun: true });
    }
    const headers = forwardedAnswerHeaders(response.headers);
    return success({ body, headers, status: response.statusCode });
  } catch (error) {
    return failure(toFailure(error));
  }
}

function toFailure(error: unknown): PlainCallFailure {
  if (!(error instanceof Error)) {
    return { detail: String(error), mayHaveRun: true };
  }
  const code = 'code' in error ? String(error.code) : '';
  return { detail: error.message, mayHaveRun: !CONNECT_ERROR_CODES.has(code) };
}
