import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { Timers } from '../../RouterTimers.js';

interface Pending {
  readonly callback: () => void;
  readonly dueMs: number;
}

/** A clock and its timers; time moves only by `advance`. */
export class FakeTimers implements MonotonicClock, Timers {
  private currentMs = 0;
  private readonly pending = new Set<Pending>();

  after(delayMs: number, callback: () => void): Teardown {
    const entry = { callback, dueMs: this.currentMs + delayMs };
    this.pending.add(entry);
    return () => {
      this.pending.delete(entry);
    };
  }

  nowMs(): number {
    return this.currentMs;
  }

  /** Moves to the next timer and runs it; false when there is none. */
  advance(): boolean {
    const [next] = [...this.pending].sort((a, b) => a.dueMs - b.dueMs);
    if (!next) {
      return false;
    }
    this.pending.delete(next);
    this.currentMs = Math.max(this.currentMs, next.dueMs);
    next.callback();
    return true;
  }

  /** Moves the clock without running timers, as for a paused process. */
  pass(durationMs: number): void {
    this.currentMs += durationMs;
  }

  /** Lets time pass until the work has ended; throws when nothing is left that could end it. */
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
      if (!this.advance()) {
        throw new Error('nothing is left to wait for');
      }
    }
    throw new Error('the work does not end');
  }
}

/** Lets promises that can settle do so. */
export async function settleMicrotasks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}
