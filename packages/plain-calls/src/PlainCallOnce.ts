import type { Socket } from 'node:net';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { Client } from 'undici';
import { forwardedAnswerHeaders, hasKnownBodyLength } from './PlainCallHeaders.js';
import type { PlainAnswer, PlainCall } from './PlainCallMessages.js';
import { createSingleUseConnector } from './PlainConnection.js';

/** Options of {@link sendPlainCallOnce}. */
export interface PlainCallOnceOptions {
  /** Base URL of the server. */
  readonly address: string;
  readonly call: PlainCall;
  readonly maxAnswerBytes: number;
  /** New connection to the server; it is closed after the call. */
  readonly socket: Socket;
  /** Longest wait for the whole answer. */
  readonly timeoutMs: number;
}

/**
 * Sends a call at most once, on a dedicated connection. The HTTP client can't open another
 * connection, so a retry by any layer fails before anything is written.
 *
 * @param options - the call and its connection
 * @returns the whole answer; a failure means that the call may have run
 */
export async function sendPlainCallOnce(
  options: PlainCallOnceOptions,
): Promise<Result<PlainAnswer, string>> {
  const { address, call, maxAnswerBytes, socket, timeoutMs } = options;
  const client = new Client(new URL(address).origin, {
    connect: createSingleUseConnector(socket),
    maxResponseSize: maxAnswerBytes,
    pipelining: 1,
  });
  const signal = AbortSignal.timeout(timeoutMs);
  try {
    const response = await client.request({
      body: call.body.length === 0 ? null : call.body,
      bodyTimeout: timeoutMs,
      headers: call.headers,
      headersTimeout: timeoutMs,
      method: call.method,
      path: call.path,
      reset: true,
      signal,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    if (!hasKnownBodyLength(response.statusCode, response.headers)) {
      return failure('the answer has no length, so that a cut one would look whole');
    }
    const headers = forwardedAnswerHeaders(response.headers);
    return success({ body, headers, status: response.statusCode });
  } catch (error) {
    return failure(error instanceof Error ? error.message : String(error));
  } finally {
    // Not awaited: the result is known, and the connection is not used again.
    void client.destroy().catch(() => undefined);
    socket.destroy();
  }
}
