import type { SlotNumber } from '@laburnumgap/kernel';
import type { PlannedClaimCommit } from './ClaimCommit.js';
import { claimEntryBytes, planClaimCommit } from './ClaimCommit.js';
import { decideClaimOperation } from './ClaimDecision.js';
import type { ClaimJournal } from './ClaimJournal.js';
import { claimRecordName } from './ClaimJournal.js';
import type { ClaimJournalEntry } from './ClaimJournalSchema.js';
import type { SlotOperation, SlotReply } from './ClaimMessages.js';
import type { ClaimRecord } from './ClaimRecord.js';
import { applyClaimEntry } from './ClaimRecord.js';
import type { ClaimSettings } from './ClaimSettings.js';
import type { QueuedOperation } from './ClaimSlot.js';

/** Operations that are decided together and answered once the store has confirmed the result. */
export interface ClaimBatch {
  /** Records that the batch changes, as they are after it, by record name. */
  readonly changedRecords: ReadonlyMap<string, ClaimRecord>;
  readonly operations: readonly QueuedOperation[];
  /** Absent when there is nothing to write and only the head's revision must be checked. */
  readonly plannedCommit?: PlannedClaimCommit;
  readonly replies: readonly { readonly operation: SlotOperation; readonly reply: SlotReply }[];
}

/** Options of {@link collectClaimBatch}. */
export interface ClaimBatchOptions {
  readonly journal: ClaimJournal;
  readonly nowEpochMs: number;
  readonly queue: readonly QueuedOperation[];
  readonly settings: ClaimSettings;
  readonly slot: SlotNumber;
  readonly writer: string;
}

/** Upper bound of the JSON around a segment's entries. */
const SEGMENT_OVERHEAD_BYTES = 64;

/**
 * Builds a batch from the head of the queue, as large as fits in one segment. Operations are
 * decided in order, each on the journal including the entries of the operations before it.
 *
 * @param options - the journal, the queue and the time
 * @returns the batch
 */
export function collectClaimBatch(options: ClaimBatchOptions): ClaimBatch {
  const { journal, nowEpochMs, queue, settings, slot, writer } = options;
  const entries: ClaimJournalEntry[] = [];
  const operations: QueuedOperation[] = [];
  const changedRecords = new Map<string, ClaimRecord>();
  const replies: { operation: SlotOperation; reply: SlotReply }[] = [];
  let bytes = SEGMENT_OVERHEAD_BYTES;
  for (const queued of queue) {
    const { operation } = queued;
    const name = claimRecordName(operation.teamId, operation.idempotencyKey);
    const record = changedRecords.get(name) ?? journal.records.get(name);
    const { head } = journal;
    const decision = decideClaimOperation({ head, nowEpochMs, operation, record, settings });
    if (decision.kind === 'append') {
      bytes += claimEntryBytes(decision.entry);
      if (bytes > settings.segmentMaxBytes && entries.length > 0) {
        break;
      }
      entries.push(decision.entry);
      changedRecords.set(name, applyClaimEntry(record, decision.entry));
    }
    operations.push(queued);
    replies.push({ operation, reply: decision.reply });
  }
  if (entries.length === 0) {
    return { changedRecords, operations, replies };
  }
  const plannedCommit = planClaimCommit({ entries, journal, nowEpochMs, settings, slot, writer });
  return { changedRecords, operations, plannedCommit, replies };
}
