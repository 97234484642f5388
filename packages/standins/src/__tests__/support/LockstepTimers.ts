import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { MembershipTimers } from '@laburnumgap/membership';

interface PendingTimer {
  readonly atMs: number;
  readonly run: () => void;
}

/** Clock and timers of several loops: time moves only while every loop waits for its timer. */
export class LoopTimers implements MembershipTimers, MonotonicClock {
  readonly #loops: number;
  readonly #pending = new Set<PendingTimer>();
  #nowMs = 0;

  constructor(loops: number) {
    this.#loops = loops;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, run: () => void): Teardown {
    const timer = { atMs: this.#nowMs + delayMs, run };
    this.#pending.add(timer);
    if (this.#pending.size === this.#loops) {
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
    if (earliest && this.#pending.size === this.#loops) {
      this.#pending.delete(earliest);
      this.#nowMs = earliest.atMs;
      earliest.run();
    }
  }
}
