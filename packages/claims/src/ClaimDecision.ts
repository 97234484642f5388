import type { ClaimHead, ClaimJournalEntry } from './ClaimJournalSchema.js';
import { claimRecordEpochMs, claimRecordName } from './ClaimJournal.js';
import { claimKeyAge } from './ClaimKey.js';
import type {
  ClaimOperation,
  ClaimReply,
  SettleOperation,
  SlotOperation,
  SlotReply,
} from './ClaimMessages.js';
import type { ClaimRecord } from './ClaimRecord.js';
import { maySettle } from './ClaimRecord.js';
import type { ClaimSettings } from './ClaimSettings.js';

/** Result of deciding an operation. */
export type ClaimDecision =
  /** Append the entry to the journal, and reply once it is durable. */
  | {
      readonly entry: ClaimJournalEntry;
      readonly kind: 'append';
      readonly reply: SlotReply;
    }
  | {
      /**
       * Whether the reply stays valid, whatever other writers have committed since the journal was
       * read.
       */
      readonly isFinal: boolean;
      readonly kind: 'reply';
      readonly reply: SlotReply;
    };

/** Input of {@link decideClaimOperation}. */
export interface ClaimDecisionInput {
  readonly head: Pick<ClaimHead, 'prunedKeyEpochMs'>;
  readonly nowEpochMs: number;
  readonly operation: SlotOperation;
  /** Record of the operation's key; undefined when there is none. */
  readonly record: ClaimRecord | undefined;
  readonly settings: ClaimSettings;
}

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/**
 * Decides an operation by the record of its key.
 *
 * @param input - the operation, the record, the time and the settings
 * @returns an entry to write, or a reply
 */
export function decideClaimOperation(input: ClaimDecisionInput): ClaimDecision {
  return input.operation.kind === 'claim'
    ? decideClaim(input, input.operation)
    : decideSettlement(input, input.operation);
}

function decideClaim(input: ClaimDecisionInput, operation: ClaimOperation): ClaimDecision {
  const { head, nowEpochMs, record, settings } = input;
  if (record !== undefined && record.outcome?.kind !== 'notRun') {
    return replyToHeldKey(record, operation, nowEpochMs);
  }
  if (record !== undefined && record.callHash !== operation.callHash) {
    return provisionalReply({ kind: 'reused' });
  }
  if (record?.claimId === operation.claimId) {
    return provisionalReply(unavailableReply('the claim was settled as not run'));
  }
  const name = claimRecordName(operation.teamId, operation.idempotencyKey);
  const keyEpochMs = claimRecordEpochMs(name);
  const age = claimKeyAge(keyEpochMs, nowEpochMs, settings);
  if (age !== 'accepted') {
    return finalReply({ kind: age });
  }
  if (record === undefined && keyEpochMs <= head.prunedKeyEpochMs) {
    return finalReply({ kind: 'expired' });
  }
  const entry: ClaimJournalEntry = {
    callHash: operation.callHash,
    claimId: operation.claimId,
    deadlineEpochMs: nowEpochMs + operation.callDeadlineMs,
    key: name,
    kind: 'claim',
  };
  return { entry, kind: 'append', reply: { kind: 'granted' } };
}

/** Replies to a claim of a key that a claim holds already. */
function replyToHeldKey(
  record: ClaimRecord,
  operation: ClaimOperation,
  nowEpochMs: number,
): ClaimDecision {
  if (record.callHash !== operation.callHash) {
    return provisionalReply({ kind: 'reused' });
  }
  if (record.outcome?.kind === 'answered') {
    return finalReply({ answer: record.outcome.answer, kind: 'answered' });
  }
  if (record.outcome !== undefined) {
    return provisionalReply({ kind: 'unknown' });
  }
  if (record.claimId === operation.claimId) {
    return provisionalReply({ kind: 'granted' });
  }
  const remainingMs = record.deadlineEpochMs - nowEpochMs;
  if (remainingMs <= 0) {
    return provisionalReply({ kind: 'unknown' });
  }
  const retryAfterMs = Math.min(Math.max(remainingMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
  return provisionalReply({ kind: 'running', retryAfterMs });
}

function decideSettlement(input: ClaimDecisionInput, operation: SettleOperation): ClaimDecision {
  const { record } = input;
  const { claimId, outcome } = operation;
  if (record === undefined) {
    return provisionalReply({ kind: 'settled', recorded: false });
  }
  if (record.claimId !== claimId) {
    // While the key is free, a delayed claim with this id could still be granted.
    return provisionalReply({ kind: 'settled', recorded: record.outcome?.kind !== 'notRun' });
  }
  if (!maySettle(record, outcome)) {
    return provisionalReply({ kind: 'settled', recorded: true });
  }
  const key = claimRecordName(operation.teamId, operation.idempotencyKey);
  const entry: ClaimJournalEntry = { claimId, key, kind: 'settle', outcome };
  return { entry, kind: 'append', reply: { kind: 'settled', recorded: true } };
}

function unavailableReply(detail: string): ClaimReply {
  return { detail, kind: 'unavailable', mayBeRecorded: false, retryAfterMs: MIN_RETRY_AFTER_MS };
}

function finalReply(value: SlotReply): ClaimDecision {
  return { isFinal: true, kind: 'reply', reply: value };
}

function provisionalReply(value: SlotReply): ClaimDecision {
  return { isFinal: false, kind: 'reply', reply: value };
}
