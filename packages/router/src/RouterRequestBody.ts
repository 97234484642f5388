import type { IncomingMessage } from 'node:http';
import type { Refusal, Result } from '@laburnumgap/kernel';
import { failure, refusal, success } from '@laburnumgap/kernel';
import type { Timers } from './RouterTimers.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly timers: Timers;
}

/**
 * Reads a request body.
 *
 * @param request - the request
 * @param limits - limits of its size and duration
 * @returns the body, or a refusal: too large, too slow, or the caller disconnected
 */
export function readRequestBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer, Refusal>> {
  const { maxBytes, timeoutMs, timers } = limits;
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve(failure(tooLarge(maxBytes)));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const settle = (result: Result<Buffer, Refusal>): void => {
      stopTimer();
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        settle(failure(tooLarge(maxBytes)));
        return;
      }
      chunks.push(chunk);
    };
    const onEnd = (): void => {
      settle(success(Buffer.concat(chunks)));
    };
    const onClose = (): void => {
      settle(
        failure(refusal('MALFORMED_REQUEST', 'the connection closed before the body was complete')),
      );
    };
    const stopTimer = timers.after(timeoutMs, () => {
      settle(failure(refusal('BODY_TIMEOUT', `the body took longer than ${timeoutMs} ms`)));
    });
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
    request.on('error', () => undefined);
  });
}

function tooLarge(maxBytes: number): Refusal {
  return refusal('REQUEST_TOO_LARGE', `the body is larger than ${maxBytes} bytes`);
}
