import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { Timers } from '../../RouterTimers.js';

interface PendingTimer {
  readonly callback: () => void;
  readonly dueMs: number;
}

/** A clock with timers whose time advances only through `runNextTimer` and `passTime`. */
export class FakeTimers implements MonotonicClock, Timers {
  private currentMs = 0;
  private readonly pendingTimers = new Set<PendingTimer>();

  after(delayMs: number, callback: () => void): Teardown {
    const entry = { callback, dueMs: this.currentMs + delayMs };
    this.pendingTimers.add(entry);
    return () => {
      this.pendingTimers.delete(entry);
    };
  }

  nowMs(): number {
    return this.currentMs;
  }

  /** Advances the clock to the next timer and runs it; returns false if there is none. */
  runNextTimer(): boolean {
    const [next] = [...this.pendingTimers].sort((a, b) => a.dueMs - b.dueMs);
    if (!next) {
      return false;
    }
    this.pendingTimers.delete(next);
    this.currentMs = Math.max(this.currentMs, next.dueMs);
    next.callback();
    return true;
  }

  /** Advances the clock without running timers, as during a pause of the process. */
  passTime(durationMs: number): void {
    this.currentMs += durationMs;
  }

  /** Runs timers until the work has ended; throws if no timer is left or after too many steps. */
  async runUntil<T>(work: Promise<T>, maxSteps = 20_000): Promise<T> {
    const state = { ended: false };
    const watched = work.finally(() => {
      state.ended = true;
    });
    watched.catch(() => undefined);
    for (let step = 0; step < maxSteps; step += 1) {
      await settleMicrotasks();
      if (state.ended) {
        return watched;
      }
      if (!this.runNextTimer()) {
        throw new Error('nothing is left to wait for');
      }
    }
    throw new Error('the work does not end');
  }
}

/** Lets pending promise callbacks and I/O events of the current turn run. */
export async function settleMicrotasks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}
