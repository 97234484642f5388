import { invariant } from '@laburnumgap/kernel';
import type { ClaimJournalEntry } from './ClaimJournalSchema.js';
import type { SettleOutcome } from './ClaimMessages.js';

/**
 * State of one key in the journal: its latest claim and how that ended. A key is free while it has
 * no record, or when the call was not run; otherwise the claim holds it.
 */
export interface ClaimRecord {
  readonly callHash: string;
  readonly claimId: string;
  /** Time after which the outcome of an unsettled call counts as unknown. */
  readonly deadlineEpochMs: number;
  /** Absent while the call may be running. */
  readonly outcome?: SettleOutcome;
}

/** Invariant 501: a claim is only recorded for a free key. */
const CLAIM_OF_HELD_KEY_INVARIANT = 501;
/** Invariant 502: a key is only settled by the claim that holds it. */
const SETTLE_BY_NON_HOLDER_INVARIANT = 502;
/** Invariant 503: an outcome is final, except that an unknown one may become answered. */
const CONFLICTING_SETTLE_INVARIANT = 503;

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
    invariant(isFree, CLAIM_OF_HELD_KEY_INVARIANT, `a claim holds key ${entry.key}`);
    const { callHash, claimId, deadlineEpochMs } = entry;
    return { callHash, claimId, deadlineEpochMs };
  }
  const isHolder = record?.claimId === entry.claimId;
  invariant(
    isHolder,
    SETTLE_BY_NON_HOLDER_INVARIANT,
    `claim ${entry.claimId} does not hold the key`,
  );
  invariant(
    maySettle(record, entry.outcome),
    CONFLICTING_SETTLE_INVARIANT,
    `claim ${entry.claimId} is settled as ${record.outcome?.kind}`,
  );
  return { ...record, outcome: entry.outcome };
}

/**
 * Checks whether the claim that holds a key may still record an outcome.
 *
 * @param record - the record of the key
 * @param outcome - the new outcome
 * @returns whether the outcome may be recorded
 */
export function maySettle(record: ClaimRecord, outcome: SettleOutcome): boolean {
  if (record.outcome === undefined) {
    return true;
  }
  return record.outcome.kind === 'unknown' && outcome.kind === 'answered';
}
