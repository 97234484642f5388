import type { EngineStream } from '@laburnumgap/engine';
import type { GapEstimator } from '@laburnumgap/generation';
import type { EngineStreamEvent, MonotonicClock, Teardown } from '@laburnumgap/kernel';
import { MAX_SILENCE_MS } from './RouterConstants.js';
import type { EngineGapEstimators } from './RouterEngineHealth.js';
import type { Timers } from './RouterTimers.js';

/** An event of the stream or of the reader itself. */
export type ReaderEvent =
  | EngineStreamEvent
  /** `interrupt` was called while a read was pending. */
  | { readonly kind: 'interrupted' }
  /** Nothing arrived within the silence timeout; the stream is still open. */
  | { readonly kind: 'silent' };

/** Options of a {@link RouterStreamReader}. */
export interface StreamReaderOptions {
  readonly clock: MonotonicClock;
  readonly gapEstimators: EngineGapEstimators;
  readonly stream: EngineStream;
  readonly timers: Timers;
}

const SILENCE_BACKOFF_FACTOR = 2;

/**
 * Reads one engine stream and detects silence. Only time spent waiting for the engine counts, so a
 * caller that reads slowly does not make the engine a suspect.
 */
export class RouterStreamReader {
  private bufferedEvent: EngineStreamEvent | undefined;
  private readonly clock: MonotonicClock;
  private readonly gapEstimators: EngineGapEstimators;
  private hasReceivedToken = false;
  private isClosed = false;
  private isReadPending = false;
  private resolveNext: ((event: ReaderEvent) => void) | undefined;
  private silenceFactor = 1;
  private stopWatchdog: Teardown | undefined;
  private readonly stream: EngineStream;
  private readonly timers: Timers;
  private waitingSinceMs = 0;

  constructor(options: StreamReaderOptions) {
    this.clock = options.clock;
    this.gapEstimators = options.gapEstimators;
    this.stream = options.stream;
    this.timers = options.timers;
  }

  /** Whether an event has arrived that was not read yet. */
  hasBufferedEvent(): boolean {
    return this.bufferedEvent !== undefined;
  }

  close(): void {
    this.isClosed = true;
    this.stopWatchdog?.();
    this.stream.close();
  }

  /** Resolves a pending `next` with `interrupted`; the event it waited for is kept. */
  interrupt(): void {
    this.deliver({ kind: 'interrupted' });
  }

  /** Resolves to the next event; at most one call may be pending. */
  next(): Promise<ReaderEvent> {
    return new Promise((resolve) => {
      this.resolveNext = resolve;
      const { bufferedEvent } = this;
      if (bufferedEvent) {
        this.deliverStreamEvent(bufferedEvent);
        return;
      }
      this.waitingSinceMs = this.clock.nowMs();
      this.readStream();
      this.stopWatchdog ??= this.startWatchdog(this.silenceTimeoutMs());
    });
  }

  /** Gap in milliseconds beyond which the stream counts as stalled, learnt from earlier gaps. */
  stallThresholdMs(): number {
    return this.currentEstimator().suspicionTimeoutMs();
  }

  private currentEstimator(): GapEstimator {
    return this.hasReceivedToken ? this.gapEstimators.betweenTokens : this.gapEstimators.firstToken;
  }

  private readStream(): void {
    if (this.isReadPending) {
      return;
    }
    this.isReadPending = true;
    void this.stream.next().then((event) => {
      this.isReadPending = false;
      if (this.resolveNext) {
        this.deliverStreamEvent(event);
        return;
      }
      this.bufferedEvent = event;
    });
  }

  private deliver(event: ReaderEvent): void {
    const { resolveNext } = this;
    this.resolveNext = undefined;
    resolveNext?.(event);
  }

  private silenceTimeoutMs(): number {
    return Math.min(this.stallThresholdMs() * this.silenceFactor, MAX_SILENCE_MS);
  }

  private deliverStreamEvent(event: EngineStreamEvent): void {
    this.bufferedEvent = undefined;
    if (event.kind === 'token') {
      this.currentEstimator().recordGap(this.clock.nowMs() - this.waitingSinceMs);
      this.hasReceivedToken = true;
      this.silenceFactor = 1;
    }
    this.deliver(event);
  }

  private startWatchdog(delayMs: number): Teardown {
    return this.timers.after(delayMs, () => {
      this.stopWatchdog = undefined;
      if (this.isClosed || !this.resolveNext) {
        return;
      }
      const waitedMs = this.clock.nowMs() - this.waitingSinceMs;
      const leftMs = this.silenceTimeoutMs() - waitedMs;
      if (leftMs > 0) {
        this.stopWatchdog = this.startWatchdog(leftMs);
        return;
      }
      this.silenceFactor *= SILENCE_BACKOFF_FACTOR;
      this.deliver({ kind: 'silent' });
    });
  }
}
