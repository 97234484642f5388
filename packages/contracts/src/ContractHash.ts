import { createHash } from 'node:crypto';

/**
 * Hashes an API key in the form that contracts store.
 *
 * @param key - the key as the caller sends it
 * @returns SHA-256 in hexadecimal
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
