import type { FingerprintId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PromptPart } from './PromptShape.js';

const PART_PREFIX = 'part ';

/**
 * Fingerprints of the prompt parts that other requests can have as well. The last part is the request's
 * own.
 *
 * @param parts - parts of the prompt in order
 * @returns one fingerprint for each distinct part
 */
export function promptPartFingerprints(parts: readonly PromptPart[]): readonly FingerprintId[] {
  const ids = new Set(parts.slice(0, -1).map(({ id }) => id));
  return [...ids].map((id) => toId<FingerprintId>(PART_PREFIX + id));
}
