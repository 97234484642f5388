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

/** Current time, passed in with each event. */
export interface ClaimTime {
  /** Wall clock, in milliseconds since the Unix epoch. */
  readonly epochMs: number;
  /** Monotonic clock, in milliseconds; used for timeouts and pacing. */
  readonly monotonicMs: number;
}

/** An action that {@link ClaimSlot} asks its owner to perform. */
export type ClaimSlotAction =
  | { readonly commit: StoreCommit; readonly kind: 'commit' }
  /** Read the layout and all keys of the slot, then call `onLoaded`. */
  | { readonly kind: 'load' }
  /** Read the slot's head, then call `onHeadRead`. */
  | { readonly kind: 'readHead' }
  | { readonly kind: 'reply'; readonly operation: SlotOperation; readonly reply: SlotReply }
  /** Log the event with its detail. */
  | { readonly event: string; readonly detail: string; readonly kind: 'warn' };

/** Options of {@link ClaimSlot}. */
export interface ClaimSlotOptions {
  readonly random: RandomSource;
  readonly settings: ClaimSettings;
  readonly slot: SlotNumber;
  /** Unique for each start of a ledger process. */
  readonly writer: string;
}

/** An operation that waits for its reply. */
export interface QueuedOperation {
  /** Commits and head checks for it that ended with a conflict or an unknown outcome. */
  attempts: number;
  /** Monotonic time at which it is refused. */
  readonly deadlineMs: number;
  /** Whether a commit with its entry ended with an unknown outcome. */
  mayBeRecorded: boolean;
  readonly operation: SlotOperation;
}

/** Conflicts and unknown outcomes of the store after which an operation is refused. */
const MAX_ATTEMPTS = 6;
const RETRY_AFTER_MS = 500;

/**
 * State machine of one journal slot, a partition of the claims journal by key: decides its claims
 * and settlements. It does no I/O; it returns actions, and its owner reports their results.
 *
 * At most one store call is outstanding. An operation whose entry is appended is replied to only
 * after the store has confirmed the commit. Several processes may write to the same slot: each
 * commit is guarded by the revision of the slot's head, so a commit on a stale journal fails, and
 * its operations are decided again on a reloaded journal. For replies without an entry, the head is
 * read instead, to check that the journal is not stale.
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

  /** Number of operations that wait for a reply. */
  get queuedOperations(): number {
    return this.queue.length + (this.batch?.operations.length ?? 0);
  }

  /** Monotonic time at which `wake` must be called; undefined while the queue is empty. */
  get wakeAtMs(): number | undefined {
    const [oldest] = this.queue;
    if (oldest === undefined) {
      return undefined;
    }
    return this.phase === 'idle'
      ? Math.min(oldest.deadlineMs, this.pacer.nextWriteAtMs)
      : oldest.deadlineMs;
  }

  /**
   * Submits an operation. It is answered at once when the cached journal is enough for a final
   * reply, or refused at once during the backoff of the store and when the queue is full.
   */
  submit(operation: SlotOperation, now: ClaimTime): readonly ClaimSlotAction[] {
    const cachedDecision = this.decideFromCache(operation, now);
    if (cachedDecision?.kind === 'reply' && cachedDecision.isFinal) {
      return [replyAction(operation, cachedDecision.reply)];
    }
    const backoffMs = this.backoff.remainingMs(now.monotonicMs);
    if (backoffMs > 0) {
      return [
        this.refuse(operation, 'the platform service fails', backoffMs, false, cachedDecision),
      ];
    }
    if (this.queuedOperations >= this.options.settings.maxQueuedOperations) {
      return [
        this.refuse(operation, 'too many claims wait', RETRY_AFTER_MS, false, cachedDecision),
      ];
    }
    const deadlineMs = now.monotonicMs + this.options.settings.queueWaitMs;
    this.queue.push({ attempts: 0, deadlineMs, mayBeRecorded: false, operation });
    return this.processQueue(now);
  }

  /** Handles the result of a `load` action. */
  onLoaded(result: Result<StoredJournal, StoreError>, now: ClaimTime): readonly ClaimSlotAction[] {
    this.phase = 'idle';
    if (!result.ok) {
      return this.refuseAll(result.error.kind, now);
    }
    const { settings, slot } = this.options;
    const parsed = parseClaimJournal(slot, result.value, settings.slots);
    if (!parsed.ok) {
      const warning = {
        detail: parsed.error,
        event: 'claimJournalUnusable',
        kind: 'warn',
      } as const;
      return [warning, ...this.refuseAll('the journal is unusable', now)];
    }
    this.journal = parsed.value;
    this.backoff.recordSuccess();
    return this.processQueue(now);
  }

  /** Handles the result of a `commit` action. */
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
      return [...batch.replies.map(toReplyAction), ...this.processQueue(now)];
    }
    this.queue = [...batch.operations, ...this.queue];
    if (result.error.kind === 'conflict' || result.error.kind === 'outcomeUnknown') {
      return this.retryBatch(batch, result.error.kind === 'outcomeUnknown', now);
    }
    return this.refuseAll(result.error.kind, now);
  }

  /** Handles the result of a `readHead` action: replies hold if the head has not changed. */
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
      return [...batch.replies.map(toReplyAction), ...this.processQueue(now)];
    }
    this.queue = [...batch.operations, ...this.queue];
    return result.ok ? this.retryBatch(batch, false, now) : this.refuseAll(result.error.kind, now);
  }

  /** Refuses operations whose deadline has passed and processes the rest of the queue. */
  wake(now: ClaimTime): readonly ClaimSlotAction[] {
    return this.processQueue(now);
  }

  private processQueue(now: ClaimTime): readonly ClaimSlotAction[] {
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

  /** Retries a requeued batch on a reloaded journal; operations out of attempts are refused. */
  private retryBatch(
    batch: ClaimBatch,
    mayBeRecorded: boolean,
    now: ClaimTime,
  ): readonly ClaimSlotAction[] {
    this.journal = undefined;
    for (const queued of batch.operations) {
      queued.attempts += 1;
      queued.mayBeRecorded ||= mayBeRecorded;
    }
    const exhausted = this.queue.filter((queued) => queued.attempts >= MAX_ATTEMPTS);
    this.queue = this.queue.filter((queued) => queued.attempts < MAX_ATTEMPTS);
    const refused = exhausted.map((queued) =>
      this.refuse(
        queued.operation,
        'other writers were faster',
        RETRY_AFTER_MS,
        queued.mayBeRecorded,
      ),
    );
    return [...refused, ...this.processQueue(now)];
  }

  /** Refuses all queued operations after a store failure and starts the backoff. */
  private refuseAll(detail: string, now: ClaimTime): readonly ClaimSlotAction[] {
    const retryAfterMs = this.backoff.recordFailure(now.monotonicMs);
    const failed = this.queue;
    this.queue = [];
    return failed.map((queued) => {
      const cachedDecision = this.decideFromCache(queued.operation, now);
      return this.refuse(
        queued.operation,
        detail,
        retryAfterMs,
        queued.mayBeRecorded,
        cachedDecision,
      );
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
        RETRY_AFTER_MS,
        queued.mayBeRecorded,
      ),
    );
  }

  /** Decides an operation on the cached journal, which other writers may have made stale. */
  private decideFromCache(operation: SlotOperation, now: ClaimTime): ClaimDecision | undefined {
    if (this.journal === undefined) {
      return undefined;
    }
    const { head, records } = this.journal;
    const record = records.get(claimRecordName(operation.teamId, operation.idempotencyKey));
    const { settings } = this.options;
    return decideClaimOperation({ head, nowEpochMs: now.epochMs, operation, record, settings });
  }

  /**
   * Refuses an operation. A settlement is reported as not recorded, so that it is sent again; a
   * claim that the cached journal denies gets that reply instead of a refusal.
   */
  private refuse(
    operation: SlotOperation,
    detail: string,
    retryAfterMs: number,
    mayBeRecorded: boolean,
    cachedDecision?: ClaimDecision,
  ): ClaimSlotAction {
    if (operation.kind === 'settle') {
      return replyAction(operation, { kind: 'settled', recorded: false });
    }
    if (cachedDecision?.kind === 'reply' && cachedDecision.reply.kind !== 'granted') {
      return replyAction(operation, cachedDecision.reply);
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
