import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { MembershipTimers } from '../../MembershipTimers.js';

interface PendingTimer {
  readonly atMs: number;
  readonly run: () => void;
}

/** A clock and timers that only the test advances. */
export class FakeClock implements MembershipTimers, MonotonicClock {
  readonly #pending = new Set<PendingTimer>();
  #nowMs = 0;

  get pendingCount(): number {
    return this.#pending.size;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, run: () => void): Teardown {
    const timer = { atMs: this.#nowMs + delayMs, run };
    this.#pending.add(timer);
    return () => {
      this.#pending.delete(timer);
    };
  }

  /** Advances the clock without running timers, as when the process is paused. */
  pause(ms: number): void {
    this.#nowMs += ms;
  }

  /** Advances the clock and runs all timers that become due, including those that they set. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    await flushPromises();
    for (;;) {
      const due = [...this.#pending].filter((timer) => timer.atMs <= endMs);
      const next = due.sort((a, b) => a.atMs - b.atMs)[0];
      if (!next) {
        break;
      }
      this.#pending.delete(next);
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.run();
      await flushPromises();
    }
    this.#nowMs = endMs;
  }
}

/** Resolves after all promises that can settle without a timer have settled. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
