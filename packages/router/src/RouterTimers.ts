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

/**
 * Waits, unless the signal ends the wait.
 *
 * @param timers - the timers
 * @param delayMs - how long
 * @param signal - ends the wait
 */
export function pause(timers: Timers, delayMs: number, signal: AbortSignal): Promise<void> {
  if (delayMs <= 0 || signal.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const settle = (): void => {
      stopTimer();
      signal.removeEventListener('abort', settle);
      resolve();
    };
    const stopTimer = timers.after(delayMs, settle);
    signal.addEventListener('abort', settle, { once: true });
  });
}
