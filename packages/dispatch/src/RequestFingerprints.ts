import type { FingerprintId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PromptPart } from './PromptShape.js';

/** Number of servers that crash before requests with a fingerprint are held back. */
export interface CrashThresholds {
  /** From then on none is sent but rare trials. A trial that crashes its server has the same effect. */
  readonly confirmCrashes: number;
  /** From then on they are sent one at a time. */
  readonly suspectCrashes: number;
}

const PART_PREFIX = 'part ';
/** Servers fail for other reasons as well, with requests that share a popular part in progress. */
export const PART_THRESHOLDS: CrashThresholds = { confirmCrashes: 5, suspectCrashes: 3 };

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
