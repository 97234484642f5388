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

/** Operations that are decided together and replied to once the store has confirmed. */
export interface ClaimBatch {
  readonly operations: readonly QueuedOperation[];
  /** Absent when nothing is written and only the head's revision is to be checked. */
  readonly plannedCommit?: PlannedClaimCommit;
  readonly changedRecords: ReadonlyMap<string, ClaimRecord>;
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

const SEGMENT_FRAME_BYTES = 64;

/**
 * Decides queued operations in order, each on the journal with the entries of those before it,
 * until a segment is full.
 *
 * @param options - the journal, the queue and the time
 * @returns the batch
 */
export function collectClaimBatch(options: ClaimBatchOptions): ClaimBatch {
  const { journal, nowEpochMs, queue, settings, slot, writer } = options;
  const entries: ClaimJournalEntry[] = [];
  const operations: QueuedOperation[] = [];
  const records = new Map<string, ClaimRecord>();
  const replies: { operation: SlotOperation; reply: SlotReply }[] = [];
  let bytes = SEGMENT_FRAME_BYTES;
  for (const queued of queue) {
    const { operation } = queued;
    const name = claimRecordName(operation.teamId, operation.idempotencyKey);
    const record = records.get(name) ?? journal.records.get(name);
    const { head } = journal;
    const decision = decideClaimOperation({ head, nowEpochMs, operation, record, settings });
    if (decision.kind === 'append') {
      bytes += claimEntryBytes(decision.entry);
      if (bytes > settings.segmentMaxBytes && entries.length > 0) {
        break;
      }
      entries.push(decision.entry);
      records.set(name, applyClaimEntry(record, decision.entry));
    }
    operations.push(queued);
    replies.push({ operation, reply: decision.reply });
  }
  if (entries.length === 0) {
    return { operations, changedRecords: records, replies };
  }
  const planned = planClaimCommit({ entries, journal, nowEpochMs, settings, slot, writer });
  return { operations, plannedCommit: planned, changedRecords: records, replies };
}
