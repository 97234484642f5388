import type { Teardown } from '@laburnumgap/kernel';

/** Timers of the router; tests replace them. */
export interface Timers {
  /** Calls back once after the delay, unless the returned function is called first. */
  after(delayMs: number, callback: () => void): Teardown;
}

/** Timers of the Node process. */
export const SYSTEM_TIMERS: Timers = {
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return () => {
      clearTimeout(timer);
    };
  },
};

/**
 * Waits for a delay or until the signal aborts.
 *
 * @param timers - the timers
 * @param delayMs - the delay; none if 0 or negative
 * @param signal - ends the wait early
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
