import type { IdempotencyKey, Result, SlotNumber, TeamId } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import murmurhash from 'murmurhash';
import { validate, version } from 'uuid';
import type { ClaimSettings } from './ClaimSettings.js';

/** A checked idempotency key with the time that it carries. */
export interface ClaimKey {
  readonly epochMs: number;
  readonly idempotencyKey: IdempotencyKey;
}

/** How a key's time lies to the retention window. */
export type ClaimKeyAge = 'accepted' | 'expired' | 'inFuture';

const UUID_VERSION = 7;
const TIME_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/**
 * Reads an `Idempotency-Key`, which must be a UUIDv7. Letter case does not matter.
 *
 * @param text - the header's value
 * @returns the key and its time, or a failure when it is not a UUIDv7
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
 * Compares a key's time with the retention window. The allowance for clock differences does not
 * widen it.
 *
 * @param keyEpochMs - time that the key carries
 * @param nowEpochMs - current time
 * @param settings - the window
 * @returns whether the key is accepted
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
 * Finds the journal slot of a key.
 *
 * @param teamId - the team
 * @param idempotencyKey - its key, in canonical form
 * @param slots - number of slots of the deployment
 * @returns the slot, from 0
 */
export function claimSlotOf(
  teamId: TeamId,
  idempotencyKey: IdempotencyKey,
  slots: number,
): SlotNumber {
  return toNumberId<SlotNumber>(murmurhash.v3(`${teamId}/${idempotencyKey}`) % slots);
}
