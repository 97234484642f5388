import type { IdempotencyKey, Result, SlotNumber, TeamId } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import murmurhash from 'murmurhash';
import { validate, version } from 'uuid';
import type { ClaimSettings } from './ClaimSettings.js';

/** A valid idempotency key and its timestamp. */
export interface ClaimKey {
  /** Timestamp of the UUIDv7, in milliseconds since the Unix epoch. */
  readonly epochMs: number;
  /** The key in lower case. */
  readonly idempotencyKey: IdempotencyKey;
}

/** Position of a key's timestamp relative to the retention window. */
export type ClaimKeyAge = 'accepted' | 'expired' | 'inFuture';

const UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/**
 * Parses an `Idempotency-Key`, which must be a UUIDv7. Letter case does not matter.
 *
 * @param text - value of the header
 * @returns the key and its timestamp, or a failure when it is not a UUIDv7
 */
export function parseClaimKey(text: string): Result<ClaimKey, 'notUuidV7'> {
  if (!validate(text) || version(text) !== UUID_VERSION) {
    return failure('notUuidV7');
  }
  const canonical = text.toLowerCase();
  const digits = canonical.replaceAll('-', '').slice(0, TIME_HEX_DIGITS);
  return success({
    epochMs: Number.parseInt(digits, HEX_RADIX),
    idempotencyKey: toId<IdempotencyKey>(canonical),
  });
}

/**
 * Checks a key's timestamp against the retention window. The clock allowance of the settings does
 * not widen the window; it only delays the deletion of segments.
 *
 * @param keyEpochMs - timestamp of the key, in milliseconds since the Unix epoch
 * @param nowEpochMs - current time, in milliseconds since the Unix epoch
 * @param settings - the retention window
 * @returns `accepted`, or why the key is not accepted
 */
export function claimKeyAge(
  keyEpochMs: number,
  nowEpochMs: number,
  settings: Pick<ClaimSettings, 'futureLimitMs' | 'retentionMs'>,
): ClaimKeyAge {
  if (keyEpochMs < nowEpochMs - settings.retentionMs) {
    return 'expired';
  }
  if (keyEpochMs > nowEpochMs + settings.futureLimitMs) {
    return 'inFuture';
  }
  return 'accepted';
}

/**
 * Selects the journal slot of a key by hash.
 *
 * @param teamId - the team
 * @param idempotencyKey - the team's idempotency key, in lower case
 * @param slots - number of slots of the deployment
 * @returns the slot's number, from 0
 */
export function claimSlotOf(
  teamId: TeamId,
  idempotencyKey: IdempotencyKey,
  slots: number,
): SlotNumber {
  return toNumberId<SlotNumber>(murmurhash.v3(`${teamId}/${idempotencyKey}`) % slots);
}
