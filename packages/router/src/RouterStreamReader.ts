import type { EngineStream } from '@laburnumgap/engine';
import type { GapEstimator } from '@laburnumgap/generation';
import type { EngineStreamEvent, MonotonicClock, Teardown } from '@laburnumgap/kernel';
import { MAX_SILENCE_MS } from './RouterConstants.js';
import type { EngineGaps } from './RouterEngineHealth.js';
import type { Timers } from './RouterTimers.js';

/** What a reader gives besides the stream's own events. */
export type ReaderEvent =
  | EngineStreamEvent
  /** `interrupt` was called. */
  | { readonly kind: 'interrupted' }
  /** Nothing came for longer than usual; the stream is still open. */
  | { readonly kind: 'silent' };

/** What a reader is made with. */
export interface StreamReaderOptions {
  readonly clock: MonotonicClock;
  readonly gaps: EngineGaps;
  readonly stream: EngineStream;
  readonly timers: Timers;
}

const SILENCE_BACKOFF = 2;

/**
 * Reads one stream and watches for silence. Only time spent waiting for the engine counts: while
 * the caller holds the reading up, nothing is suspected.
 */
export class RouterStreamReader {
  private arrived: EngineStreamEvent | undefined;
  private readonly clock: MonotonicClock;
  private closed = false;
  private readonly gaps: EngineGaps;
  private gotToken = false;
  private pending = false;
  private silenceFactor = 1;
  private stopWatchdog: Teardown | undefined;
  private readonly stream: EngineStream;
  private readonly timers: Timers;
  private waitingSinceMs = 0;
  private wake: ((event: ReaderEvent) => void) | undefined;

  constructor(options: StreamReaderOptions) {
    this.clock = options.clock;
    this.gaps = options.gaps;
    this.stream = options.stream;
    this.timers = options.timers;
  }

  /** Whether something has arrived that was not read yet. */
  hasArrived(): boolean {
    return this.arrived !== undefined;
  }

  close(): void {
    this.closed = true;
    this.stopWatchdog?.();
    this.stream.close();
  }

  /** Ends a waiting `next`. */
  interrupt(): void {
    this.settle({ kind: 'interrupted' });
  }

  /** The next event; at most one call waits at a time. */
  next(): Promise<ReaderEvent> {
    return new Promise((resolve) => {
      this.wake = resolve;
      const { arrived } = this;
      if (arrived) {
        this.take(arrived);
        return;
      }
      this.waitingSinceMs = this.clock.nowMs();
      this.pull();
      this.stopWatchdog ??= this.watch(this.suspectAfterMs());
    });
  }

  /** The gap that is usual on this stream. */
  usualGapMs(): number {
    return this.estimator().suspicionTimeoutMs();
  }

  private estimator(): GapEstimator {
    return this.gotToken ? this.gaps.betweenTokens : this.gaps.firstToken;
  }

  private pull(): void {
    if (this.pending) {
      return;
    }
    this.pending = true;
    void this.stream.next().then((event) => {
      this.pending = false;
      if (this.wake) {
        this.take(event);
        return;
      }
      this.arrived = event;
    });
  }

  private settle(event: ReaderEvent): void {
    const { wake } = this;
    this.wake = undefined;
    wake?.(event);
  }

  private suspectAfterMs(): number {
    return Math.min(this.usualGapMs() * this.silenceFactor, MAX_SILENCE_MS);
  }

  private take(event: EngineStreamEvent): void {
    this.arrived = undefined;
    if (event.kind === 'token') {
      this.estimator().recordGap(this.clock.nowMs() - this.waitingSinceMs);
      this.gotToken = true;
      this.silenceFactor = 1;
    }
    this.settle(event);
  }

  private watch(delayMs: number): Teardown {
    return this.timers.after(delayMs, () => {
      this.stopWatchdog = undefined;
      if (this.closed || !this.wake) {
        return;
      }
      const waitedMs = this.clock.nowMs() - this.waitingSinceMs;
      const leftMs = this.suspectAfterMs() - waitedMs;
      if (leftMs > 0) {
        this.stopWatchdog = this.watch(leftMs);
        return;
      }
      this.silenceFactor *= SILENCE_BACKOFF;
      this.settle({ kind: 'silent' });
    });
  }
}
