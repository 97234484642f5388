import type { ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@laburnumgap/kernel';
import { RESULT_CODES } from '@laburnumgap/kernel';

const MS_PER_SECOND = 1000;

/**
 * Builds the JSON body of a refusal.
 *
 * @param refusal - the refusal
 * @param requestId - id of the refused request
 * @returns the body as text
 */
export function refusalBody(refusal: Refusal, requestId: RequestId): string {
  const { code, run } = RESULT_CODES[refusal.code];
  const { code: name, detail, retryAfterMs } = refusal;
  return JSON.stringify({ error: { code, detail, name, retryAfterMs, run }, requestId });
}

/**
 * Answers with a refusal. Does nothing once the response has begun or its connection is closed.
 *
 * @param response - the response
 * @param refusal - the refusal
 * @param requestId - id of the refused request
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: RequestId,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const { retryAfterMs } = refusal;
  if (retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  response.setHeader('content-type', 'application/json');
  response.setHeader('x-request-id', requestId);
  if (!response.req.complete) {
    response.setHeader('connection', 'close');
    response.req.resume();
  }
  response.writeHead(RESULT_CODES[refusal.code].httpStatus);
  response.end(refusalBody(refusal, requestId));
}
