import type { Teardown } from '@laburnumgap/kernel';

/** Delayed execution; tests replace it with a fake clock. */
export interface MembershipTimers {
  /** Runs the function once after the delay; the returned function cancels it. */
  after(delayMs: number, run: () => void): Teardown;
}

/** Timers of the Node.js event loop; they do not keep the process alive. */
export const PROCESS_TIMERS: MembershipTimers = {
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs);
    timer.unref();
    return () => {
      clearTimeout(timer);
    };
  },
};
