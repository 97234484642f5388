import { createHash } from 'node:crypto';

/** What tells one call from another under the same idempotency key. */
export interface PlainCallHashInput {
  readonly body: Buffer;
  readonly method: string;
  readonly path: string;
  readonly service: string;
}

/**
 * Hashes a call.
 *
 * @param call - service, method, path with query, and body
 * @returns SHA-256 in base64url
 */
export function hashPlainCall(call: PlainCallHashInput): string {
  const hash = createHash('sha256');
  // JSON keeps the parts apart: no two calls give the same text.
  hash.update(JSON.stringify([call.service, call.method, call.path]));
  hash.update(call.body);
  return hash.digest('base64url');
}
