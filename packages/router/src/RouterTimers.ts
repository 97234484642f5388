import type { Teardown } from '@laburnumgap/kernel';

/** Timers of the router; tests replace them. */
export interface Timers {
  /** Calls back once after the delay unless torn down before. */
  after(delayMs: number, callback: () => void): Teardown;
}

/** Timers of the process. */
export const SYSTEM_TIMERS: Timers = {
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return () => {
      clearTimeout(timer);
    };
  },
};
