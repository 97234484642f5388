import type {
  BufferBudgetSummary,
  BufferHolder,
  BufferHolderId,
  BufferHolderKind,
  BufferVerdict,
  OverdueReader,
} from '@laburnumgap/dispatch';
import { BufferBudget } from '@laburnumgap/dispatch';
import type { MonotonicClock } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { ServingMetrics } from '../ServingMetrics.js';
import { SlabPool } from './SlabPool.js';

/** Options of {@link ReaderBuffers}. */
export interface ReaderBuffersOptions {
  readonly clock: MonotonicClock;
  readonly log: ServingLog;
  /** Memory limit of the process. */
  readonly memoryBytes: number;
  readonly metrics: ServingMetrics;
  /** Resident memory of the process; asks the system by default. */
  readonly residentBytes?: () => number;
}

/** Settings that say whether slow readers are buffered for, and how much. */
export interface ReaderBuffersSettings {
  readonly expectsSlowReaders?: boolean;
  readonly memoryBytes?: number;
}

/** What is buffered, and what happens to it. */
export interface BufferAccountOptions {
  readonly kind: BufferHolderKind;
  /** Request or server that the bytes belong to, for the log. */
  readonly label: () => string | undefined;
  /** The reader is aborted: its connection has to be closed now. */
  readonly onOverdue?: () => void;
  /** The source may be read again. */
  readonly onResume?: () => void;
}

/** The smallest of so many samples counts, since the others include memory that is not collected yet. */
const MEMORY_SAMPLES = 10;
/** Interval at which unused memory is given back, in checks. */
const TRIM_INTERVAL_CHECKS = 50;
/** Interval of the metrics, in checks. */
const METRICS_INTERVAL_CHECKS = 10;

/** Bytes buffered for one holder. Calls after {@link BufferAccount.close} have no effect. */
export class BufferAccount {
  private hasReportedPause = false;
  private heldBytes = 0;
  private isClosed = false;

  constructor(
    private readonly buffers: ReaderBuffers,
    private readonly holder: BufferHolder,
    readonly options: BufferAccountOptions,
  ) {}

  /** Counts bytes that were received; `paused` if their source may not be read further. */
  reserve(bytes: number): BufferVerdict {
    if (this.isClosed) {
      return 'accepted';
    }
    this.heldBytes += bytes;
    return this.buffers.reserve(this.holder, bytes);
  }

  /** Counts bytes as no longer buffered. */
  release(bytes: number): void {
    if (!this.isClosed) {
      this.heldBytes -= bytes;
      this.buffers.release(this.holder.holderId, bytes);
    }
  }

  /** Records that the reader took bytes. */
  progress(bytes: number): void {
    if (!this.isClosed) {
      this.buffers.progress(this.holder.holderId, bytes);
    }
  }

  /** Records that nothing more comes from the source. */
  endSource(): void {
    if (!this.isClosed) {
      this.buffers.endSource(this.holder.holderId);
    }
  }

  /** Reports once that the source is paused for want of room. */
  reportPause(): void {
    if (!this.hasReportedPause) {
      this.hasReportedPause = true;
      this.buffers.onFirstPause(this.holder.kind, this.options.label(), this.heldBytes);
    }
  }

  /** Frees what is left. */
  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.buffers.remove(this.holder.holderId);
    }
  }
}

/**
 * Buffers what callers, servers and other daemons read slowly, within one bound of bytes for the whole
 * process: owns the {@link BufferBudget} and the memory, resumes and aborts readers as it decides, and
 * reports the decisions.
 */
export class ReaderBuffers {
  readonly pool = new SlabPool();
  private readonly accounts = new Map<BufferHolderId, BufferAccount>();
  private readonly budget: BufferBudget;
  private checkCount = 0;
  private isReviewScheduled = false;
  private nextHolder = 1;
  private readonly otherBytesSamples: number[] = [];
  private wasScarce = false;

  constructor(private readonly options: ReaderBuffersOptions) {
    this.budget = new BufferBudget({ memoryBytes: options.memoryBytes });
  }

  /** Opens an account, which must be closed. */
  open(options: BufferAccountOptions): BufferAccount {
    const holderId = toNumberId<BufferHolderId>(this.nextHolder);
    this.nextHolder += 1;
    const account = new BufferAccount(this, { holderId, kind: options.kind }, options);
    this.accounts.set(holderId, account);
    return account;
  }

  /** Number of readers with bytes that they have not taken. */
  heldCount(): number {
    return this.budget.summary().readers;
  }

  /** Whether room is scarce, so that nothing should be buffered that can be passed on. */
  isScarce(): boolean {
    return this.budget.isScarce();
  }

  summary(): BufferBudgetSummary {
    return this.budget.summary();
  }

  /** Adapts the bound to the memory of the process, and aborts overdue readers. */
  onTick(): void {
    this.checkCount += 1;
    this.measureMemory();
    this.abortOverdue();
    this.resumeReaders();
    this.logScarcity();
    if (this.budget.isScarce()) {
      this.budget.pausedHolders().forEach((holderId) => this.accounts.get(holderId)?.reportPause());
    }
    if (this.checkCount % TRIM_INTERVAL_CHECKS === 0) {
      this.pool.trim();
    }
    if (this.checkCount % METRICS_INTERVAL_CHECKS === 0) {
      this.reportMetrics();
    }
  }

  /** For accounts only. */
  reserve(holder: BufferHolder, bytes: number): BufferVerdict {
    const verdict = this.budget.reserve(holder, bytes, this.options.clock.nowMs());
    if (verdict === 'paused' || this.budget.isScarce()) {
      this.scheduleReview();
    }
    return verdict;
  }

  /** For accounts only. */
  release(holderId: BufferHolderId, bytes: number): void {
    this.budget.release(holderId, bytes);
    this.scheduleReviewIfPaused();
  }

  /** For accounts only. */
  progress(holderId: BufferHolderId, bytes: number): void {
    this.budget.progress(holderId, bytes, this.options.clock.nowMs());
  }

  /** For accounts only. */
  endSource(holderId: BufferHolderId): void {
    this.budget.endSource(holderId);
  }

  /** For accounts only. */
  remove(holderId: BufferHolderId): void {
    this.accounts.delete(holderId);
    this.budget.remove(holderId);
    this.scheduleReviewIfPaused();
  }

  /** For accounts only. */
  onFirstPause(kind: BufferHolderKind, label: string | undefined, heldBytes: number): void {
    const { limitBytes, readers, usedBytes } = this.budget.summary();
    this.options.metrics.increment('slow_readers_paused', 1, { kind });
    this.options.log.info('slow-reader-paused', {
      heldBytes,
      kind,
      label,
      limitBytes,
      readers,
      usedBytes,
    });
  }

  private scheduleReviewIfPaused(): void {
    if (this.budget.summary().pausedReaders > 0) {
      this.scheduleReview();
    }
  }

  /** Reviews the readers once after all events that are being handled now. */
  private scheduleReview(): void {
    if (this.isReviewScheduled) {
      return;
    }
    this.isReviewScheduled = true;
    setImmediate(() => {
      this.isReviewScheduled = false;
      this.abortOverdue();
      this.resumeReaders();
    });
  }

  private resumeReaders(): void {
    for (const holderId of this.budget.takeResumable(this.options.clock.nowMs())) {
      this.accounts.get(holderId)?.options.onResume?.();
    }
  }

  private abortOverdue(): void {
    for (const reader of this.budget.overdue(this.options.clock.nowMs())) {
      this.abort(reader);
    }
  }

  private abort({ heldBytes, holderId, kind, reason, stalledMs }: OverdueReader): void {
    const account = this.accounts.get(holderId);
    const { boundBytes, readers, usedBytes } = this.budget.summary();
    this.options.metrics.increment('slow_readers_aborted', 1, { kind, reason });
    this.options.log.warn('slow-reader-aborted', {
      boundBytes,
      heldBytes,
      kind,
      label: account?.options.label(),
      readers,
      reason,
      stalledMs: Math.round(stalledMs),
      usedBytes,
    });
    account?.options.onOverdue?.();
    account?.close();
  }

  /** Memory of everything else: bytes that are buffered and unused slabs do not count. */
  private measureMemory(): void {
    const residentBytes = (this.options.residentBytes ?? process.memoryUsage.rss)();
    const unpooledBytes = Math.max(0, this.budget.summary().heldBytes - this.pool.usedBytes());
    this.otherBytesSamples.push(residentBytes - this.pool.allocatedBytes() - unpooledBytes);
    this.otherBytesSamples.splice(0, this.otherBytesSamples.length - MEMORY_SAMPLES);
    this.budget.recordOtherMemory(Math.min(...this.otherBytesSamples));
  }

  private logScarcity(): void {
    const isScarce = this.budget.isScarce();
    if (isScarce === this.wasScarce) {
      return;
    }
    this.wasScarce = isScarce;
    const { limitBytes, pausedReaders, readers, usedBytes } = this.budget.summary();
    this.options.log.info(isScarce ? 'reader-buffers-scarce' : 'reader-buffers-free', {
      limitBytes,
      pausedReaders,
      readers,
      usedBytes,
    });
  }

  private reportMetrics(): void {
    const { metrics } = this.options;
    const { boundBytes, limitBytes, pausedReaders, readers, usedBytes } = this.budget.summary();
    metrics.gauge('slow_readers_allocated_bytes', this.pool.allocatedBytes());
    metrics.gauge('slow_readers_bound_bytes', boundBytes);
    metrics.gauge('slow_readers_limit_bytes', limitBytes);
    metrics.gauge('slow_readers_open', readers);
    metrics.gauge('slow_readers_sources_paused', pausedReaders);
    metrics.gauge('slow_readers_used_bytes', usedBytes);
  }
}

/**
 * Creates the buffers of a process where its settings call for them.
 *
 * @param settings - settings of the process
 * @param options - what the buffers need otherwise
 * @returns the buffers; undefined where slow readers are not expected or the memory is not known
 */
export function openReaderBuffers(
  { expectsSlowReaders, memoryBytes }: ReaderBuffersSettings,
  options: Omit<ReaderBuffersOptions, 'memoryBytes'>,
): ReaderBuffers | undefined {
  return expectsSlowReaders && memoryBytes !== undefined
    ? new ReaderBuffers({ ...options, memoryBytes })
    : undefined;
}
