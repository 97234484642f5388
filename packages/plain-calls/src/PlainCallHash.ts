import { createHash } from 'node:crypto';

/** Parts of a call that must not differ when an idempotency key is used again. */
export interface PlainCallHashInput {
  readonly body: Buffer;
  readonly method: string;
  readonly path: string;
  readonly service: string;
}

/**
 * Hashes a call, so that the reuse of an idempotency key for another call is detected.
 *
 * @param call - service, method, path with query, and body
 * @returns SHA-256 in base64url
 */
export function hashPlainCall(call: PlainCallHashInput): string {
  const hash = createHash('sha256');
  // JSON delimits the parts, so that different calls never give the same text.
  hash.update(JSON.stringify([call.service, call.method, call.path]));
  hash.update(call.body);
  return hash.digest('base64url');
}
