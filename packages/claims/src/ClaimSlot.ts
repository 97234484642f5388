import type {
  RandomSource,
  Result,
  Revision,
  SlotNumber,
  StoreCommit,
  StoreError,
  StoredValue,
} from '@laburnumgap/kernel';
import type { ClaimBatch } from './ClaimBatch.js';
import { collectClaimBatch } from './ClaimBatch.js';
import { applyClaimCommit } from './ClaimCommit.js';
import type { ClaimDecision } from './ClaimDecision.js';
import { decideClaimOperation } from './ClaimDecision.js';
import type { ClaimJournal, StoredJournal } from './ClaimJournal.js';
import { claimRecordName, parseClaimJournal } from './ClaimJournal.js';
import type { SlotOperation, SlotReply } from './ClaimMessages.js';
import type { ClaimSettings } from './ClaimSettings.js';
import { ClaimStoreBackoff } from './ClaimStoreBackoff.js';
import { ClaimWritePacer } from './ClaimWritePacer.js';

/** Current time, handed in with each event. */
export interface ClaimTime {
  readonly epochMs: number;
  readonly monotonicMs: number;
}

/** What the owner of a slot is to do. */
export type ClaimSlotAction =
  | { readonly commit: StoreCommit; readonly kind: 'commit' }
  /** Read the layout and all keys of the slot, then call `loaded`. */
  | { readonly kind: 'load' }
  /** Read the slot's head, then call `headRead`. */
  | { readonly kind: 'readHead' }
  | { readonly kind: 'reply'; readonly operation: SlotOperation; readonly reply: SlotReply }
  | { readonly event: string; readonly detail: string; readonly kind: 'warn' };

/** Options of a claim slot. */
export interface ClaimSlotOptions {
  readonly random: RandomSource;
  readonly settings: ClaimSettings;
  readonly slot: SlotNumber;
  /** Unique for this start of this process. */
  readonly writer: string;
}

/** An operation that waits for a decision. */
export interface QueuedOperation {
  /** A commit with it had no answer. */
  mayBeRecorded: boolean;
  readonly operation: SlotOperation;
  attempts: number;
  readonly deadlineMs: number;
}

const MAX_TRIES = 6;
const BUSY_RETRY_AFTER_MS = 500;

/**
 * Decides the claims of one journal slot. At most one call to the store is outstanding. Nothing is
 * replied from an entry before the store has confirmed it, and any other writer of the slot makes
 * the guard of the next commit fail, so that every decision is taken again on the newest journal.
 */
export class ClaimSlot {
  private readonly backoff: ClaimStoreBackoff;
  private batch: ClaimBatch | undefined;
  private journal: ClaimJournal | undefined;
  private readonly pacer: ClaimWritePacer;
  private phase: 'committing' | 'idle' | 'loading' | 'verifying' = 'idle';
  private queue: QueuedOperation[] = [];

  constructor(private readonly options: ClaimSlotOptions) {
    this.backoff = new ClaimStoreBackoff(options.settings, options.random);
    this.pacer = new ClaimWritePacer(options.settings);
  }

  /** Operations that wait. */
  get queuedOperations(): number {
    return this.queue.length + (this.batch?.operations.length ?? 0);
  }

  /** When `wake` is to be called, by the monotonic clock; undefined while nothing waits. */
  get wakeAtMs(): number | undefined {
    const [oldest] = this.queue;
    if (oldest === undefined) {
      return undefined;
    }
    return this.phase === 'idle'
      ? Math.min(oldest.deadlineMs, this.pacer.nextWriteAtMs)
      : oldest.deadlineMs;
  }

  /** Takes an operation. */
  submit(operation: SlotOperation, now: ClaimTime): readonly ClaimSlotAction[] {
    const known = this.decideFromMemory(operation, now);
    if (known?.kind === 'reply' && known.isFinal) {
      return [replyAction(operation, known.reply)];
    }
    const closedForMs = this.backoff.remainingMs(now.monotonicMs);
    if (closedForMs > 0) {
      return [this.refuse(operation, 'the platform service fails', closedForMs, false, known)];
    }
    if (this.queuedOperations >= this.options.settings.maxQueuedOperations) {
      return [this.refuse(operation, 'too many claims wait', BUSY_RETRY_AFTER_MS, false, known)];
    }
    const untilMs = now.monotonicMs + this.options.settings.queueWaitMs;
    this.queue.push({ mayBeRecorded: false, operation, attempts: 0, deadlineMs: untilMs });
    return this.pump(now);
  }

  /** Takes what `load` read. */
  onLoaded(result: Result<StoredJournal, StoreError>, now: ClaimTime): readonly ClaimSlotAction[] {
    this.phase = 'idle';
    if (!result.ok) {
      return this.failAll(result.error.kind, now);
    }
    const { settings, slot } = this.options;
    const parsed = parseClaimJournal(slot, result.value, settings.slots);
    if (!parsed.ok) {
      const warning = {
        detail: parsed.error,
        event: 'claimJournalUnusable',
        kind: 'warn',
      } as const;
      return [warning, ...this.failAll('the journal is unusable', now)];
    }
    this.journal = parsed.value;
    this.backoff.recordSuccess();
    return this.pump(now);
  }

  /** Takes the result of `commit`. */
  onCommitted(result: Result<Revision, StoreError>, now: ClaimTime): readonly ClaimSlotAction[] {
    const batch = this.batch;
    this.phase = 'idle';
    this.batch = undefined;
    if (batch?.plannedCommit === undefined || this.journal === undefined) {
      return [];
    }
    if (result.ok) {
      this.journal = applyClaimCommit(
        this.journal,
        batch.plannedCommit,
        batch.changedRecords,
        result.value,
      );
      this.backoff.recordSuccess();
      return [...batch.replies.map(toReplyAction), ...this.pump(now)];
    }
    this.queue = [...batch.operations, ...this.queue];
    if (result.error.kind === 'conflict' || result.error.kind === 'outcomeUnknown') {
      return this.decideAgain(batch, result.error.kind === 'outcomeUnknown', now);
    }
    return this.failAll(result.error.kind, now);
  }

  /** Takes the result of `readHead`. */
  onHeadRead(
    result: Result<StoredValue | undefined, StoreError>,
    now: ClaimTime,
  ): readonly ClaimSlotAction[] {
    const batch = this.batch;
    this.phase = 'idle';
    this.batch = undefined;
    if (batch === undefined || this.journal === undefined) {
      return [];
    }
    const headRevision = this.journal.headRevision;
    if (result.ok && (result.value?.modRevision ?? 0) === headRevision) {
      this.backoff.recordSuccess();
      return [...batch.replies.map(toReplyAction), ...this.pump(now)];
    }
    this.queue = [...batch.operations, ...this.queue];
    return result.ok ? this.decideAgain(batch, false, now) : this.failAll(result.error.kind, now);
  }

  /** Refuses what waited too long and goes on with the rest. */
  wake(now: ClaimTime): readonly ClaimSlotAction[] {
    return this.pump(now);
  }

  private pump(now: ClaimTime): readonly ClaimSlotAction[] {
    const refused = this.refuseOverdue(now);
    if (this.phase !== 'idle' || this.queue.length === 0) {
      return refused;
    }
    if (this.journal === undefined) {
      this.phase = 'loading';
      return [...refused, { kind: 'load' }];
    }
    if (now.monotonicMs < this.pacer.nextWriteAtMs) {
      return refused;
    }
    return [...refused, ...this.startBatch(this.journal, now)];
  }

  private startBatch(journal: ClaimJournal, now: ClaimTime): readonly ClaimSlotAction[] {
    const { settings, slot, writer } = this.options;
    const nowEpochMs = now.epochMs;
    const queue = this.queue;
    const batch = collectClaimBatch({ journal, nowEpochMs, queue, settings, slot, writer });
    this.batch = batch;
    this.queue = queue.slice(batch.operations.length);
    this.pacer.recordWrite(now.monotonicMs);
    if (batch.plannedCommit === undefined) {
      this.phase = 'verifying';
      return [{ kind: 'readHead' }];
    }
    this.phase = 'committing';
    return [{ commit: batch.plannedCommit.commit, kind: 'commit' }];
  }

  private decideAgain(
    batch: ClaimBatch,
    mayBeRecorded: boolean,
    now: ClaimTime,
  ): readonly ClaimSlotAction[] {
    this.journal = undefined;
    for (const queued of batch.operations) {
      queued.attempts += 1;
      queued.mayBeRecorded ||= mayBeRecorded;
    }
    const spent = this.queue.filter((queued) => queued.attempts >= MAX_TRIES);
    this.queue = this.queue.filter((queued) => queued.attempts < MAX_TRIES);
    const refused = spent.map((queued) =>
      this.refuse(
        queued.operation,
        'other writers were faster',
        BUSY_RETRY_AFTER_MS,
        queued.mayBeRecorded,
      ),
    );
    return [...refused, ...this.pump(now)];
  }

  private failAll(detail: string, now: ClaimTime): readonly ClaimSlotAction[] {
    const retryAfterMs = this.backoff.recordFailure(now.monotonicMs);
    const failed = this.queue;
    this.queue = [];
    return failed.map((queued) => {
      const known = this.decideFromMemory(queued.operation, now);
      return this.refuse(queued.operation, detail, retryAfterMs, queued.mayBeRecorded, known);
    });
  }

  private refuseOverdue(now: ClaimTime): readonly ClaimSlotAction[] {
    const overdue = this.queue.filter((queued) => queued.deadlineMs <= now.monotonicMs);
    if (overdue.length === 0) {
      return [];
    }
    this.queue = this.queue.filter((queued) => queued.deadlineMs > now.monotonicMs);
    return overdue.map((queued) =>
      this.refuse(
        queued.operation,
        'the platform service is slow',
        BUSY_RETRY_AFTER_MS,
        queued.mayBeRecorded,
      ),
    );
  }

  private decideFromMemory(operation: SlotOperation, now: ClaimTime): ClaimDecision | undefined {
    if (this.journal === undefined) {
      return undefined;
    }
    const { head, records } = this.journal;
    const record = records.get(claimRecordName(operation.teamId, operation.idempotencyKey));
    const { settings } = this.options;
    return decideClaimOperation({ head, nowEpochMs: now.epochMs, operation, record, settings });
  }

  private refuse(
    operation: SlotOperation,
    detail: string,
    retryAfterMs: number,
    mayBeRecorded: boolean,
    known?: ClaimDecision,
  ): ClaimSlotAction {
    if (operation.kind === 'settle') {
      return replyAction(operation, { kind: 'settled', recorded: false });
    }
    if (known?.kind === 'reply' && known.reply.kind !== 'granted') {
      return replyAction(operation, known.reply);
    }
    return replyAction(operation, { detail, kind: 'unavailable', mayBeRecorded, retryAfterMs });
  }
}

function replyAction(operation: SlotOperation, reply: SlotReply): ClaimSlotAction {
  return { kind: 'reply', operation, reply };
}

function toReplyAction(value: {
  readonly operation: SlotOperation;
  readonly reply: SlotReply;
}): ClaimSlotAction {
  return replyAction(value.operation, value.reply);
}
