import { createHash } from 'node:crypto';
import type { FingerprintId, TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PromptPart } from './PromptShape.js';

/** Number of servers that crash before requests with a fingerprint are held back. */
export interface CrashThresholds {
  /** From then on none is sent but rare trials. A trial that crashes its server has the same effect. */
  readonly confirmCrashes: number;
  /** From then on they are sent one at a time. */
  readonly suspectCrashes: number;
}

/** Properties by which requests are recognised. */
export type FingerprintKind = 'call' | 'part';

/** What makes a call the same as an earlier one, whatever its request id is. */
export interface CallIdentity {
  readonly body: Buffer | undefined;
  readonly host: string;
  readonly path: string;
  /** Undefined for a caller without a known key. */
  readonly teamId: TeamId | undefined;
}

const CALL_PREFIX = 'call ';
const PART_PREFIX = 'part ';
/** Characters of six bits: different calls do not get the same hash by chance. */
const HASH_LENGTH = 22;
const THRESHOLDS: Readonly<Record<FingerprintKind, CrashThresholds>> = {
  // Few requests are the same call, so that few crashes by chance fall on it.
  call: { confirmCrashes: 3, suspectCrashes: 2 },
  // Servers fail for other reasons as well, while they run requests that share a popular part.
  part: { confirmCrashes: 5, suspectCrashes: 3 },
};

/**
 * Fingerprints of a request.
 *
 * @param call - the request as a whole
 * @param parts - parts of its prompt in order, if it has one
 * @returns the fingerprint of the call and those of the prompt parts
 */
export function requestFingerprints(
  call: CallIdentity,
  parts: readonly PromptPart[],
): readonly FingerprintId[] {
  return [callFingerprint(call), ...promptPartFingerprints(parts)];
}

/** Fingerprint of all requests that are the same call: equal in host, path, team and body. */
export function callFingerprint({ body, host, path, teamId }: CallIdentity): FingerprintId {
  const hash = createHash('sha256')
    .update(JSON.stringify([host, path, teamId ?? null]))
    .update(body ?? '')
    .digest('base64url');
  return toId<FingerprintId>(CALL_PREFIX + hash.slice(0, HASH_LENGTH));
}

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

/** Kind of a fingerprint. */
export function kindOf(fingerprint: FingerprintId): FingerprintKind {
  return fingerprint.startsWith(CALL_PREFIX) ? 'call' : 'part';
}

/** Number of crashes after which requests with a fingerprint are held back. */
export function thresholdsOf(fingerprint: FingerprintId): CrashThresholds {
  return THRESHOLDS[kindOf(fingerprint)];
}
