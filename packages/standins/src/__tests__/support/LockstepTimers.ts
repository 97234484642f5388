import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { MembershipTimers } from '@laburnumgap/membership';

interface PendingTimer {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Clock and timers shared by a fixed number of loops. Time advances to the earliest timer only when
 * every loop has a timer pending, so that no loop runs ahead of the others.
 */
export class LockstepTimers implements MembershipTimers, MonotonicClock {
  readonly #loopCount: number;
  readonly #pending = new Set<PendingTimer>();
  #nowMs = 0;

  constructor(loopCount: number) {
    this.#loopCount = loopCount;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, run: () => void): Teardown {
    const timer = { atMs: this.#nowMs + delayMs, run };
    this.#pending.add(timer);
    if (this.#pending.size === this.#loopCount) {
      setImmediate(() => {
        this.#runEarliest();
      });
    }
    return () => {
      this.#pending.delete(timer);
    };
  }

  #runEarliest(): void {
    const [earliest] = [...this.#pending].sort((a, b) => a.atMs - b.atMs);
    if (earliest && this.#pending.size === this.#loopCount) {
      this.#pending.delete(earliest);
      this.#nowMs = earliest.atMs;
      earliest.run();
    }
  }
}
