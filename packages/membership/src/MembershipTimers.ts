import type { Teardown } from '@laburnumgap/kernel';

/** Runs functions later; a test can drive it with a fake clock. */
export interface MembershipTimers {
  /** Runs the function once after the delay, unless it is torn down before. */
  after(delayMs: number, run: () => void): Teardown;
}

/** Timers of the process. They do not keep it alive. */
export const PROCESS_TIMERS: MembershipTimers = {
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs);
    timer.unref();
    return () => {
      clearTimeout(timer);
    };
  },
};
