import { invariant } from '@laburnumgap/kernel';
import type { ClaimJournalEntry } from './ClaimJournalSchema.js';
import type { SettleOutcome } from './ClaimMessages.js';

/** What the journal knows of one key. */
export interface ClaimRecord {
  readonly callHash: string;
  readonly claimId: string;
  /** After this time a call that was not settled counts as unknown. */
  readonly deadlineEpochMs: number;
  /** Absent while the call may be running. */
  readonly outcome?: SettleOutcome;
}

/** Invariant 501: a claim is only written for a key that is free. */
const CLAIM_OF_TAKEN_KEY_INVARIANT = 501;
/** Invariant 502: only the holder of a claim settles it. */
const SETTLE_BY_OTHER_INVARIANT = 502;
/** Invariant 503: an answered call is never settled otherwise, a sent one never as not run. */
const SETTLE_REVERSED_INVARIANT = 503;

/**
 * Applies an entry to the record of its key.
 *
 * @param record - the record so far, if there is one
 * @param entry - the entry
 * @returns the record after it
 * @throws InvariantError when the entry contradicts the record
 */
export function applyClaimEntry(
  record: ClaimRecord | undefined,
  entry: ClaimJournalEntry,
): ClaimRecord {
  if (entry.kind === 'claim') {
    const isFree = record === undefined || record.outcome?.kind === 'notRun';
    invariant(isFree, CLAIM_OF_TAKEN_KEY_INVARIANT, `key ${entry.key} is taken`);
    const { callHash, claimId, deadlineEpochMs } = entry;
    return { callHash, claimId, deadlineEpochMs };
  }
  const isHolder = record?.claimId === entry.claimId;
  invariant(isHolder, SETTLE_BY_OTHER_INVARIANT, `claim ${entry.claimId} does not hold the key`);
  invariant(
    maySettle(record, entry.outcome),
    SETTLE_REVERSED_INVARIANT,
    `claim ${entry.claimId} is settled as ${record.outcome?.kind}`,
  );
  return { ...record, outcome: entry.outcome };
}

/**
 * Tells whether a holder's outcome may follow what is recorded.
 *
 * @param record - the holder's record
 * @param outcome - the new outcome
 * @returns whether it may be written
 */
export function maySettle(record: ClaimRecord, outcome: SettleOutcome): boolean {
  if (record.outcome === undefined) {
    return true;
  }
  return record.outcome.kind === 'unknown' && outcome.kind === 'answered';
}
