import type { MonotonicClock, Teardown } from '@laburnumgap/kernel';

/** In a process that runs, timers fire within this time. */
const MAX_TIMER_DELAY_MS = 20;
/** Time to read what arrived while the process stood still. */
const READ_MS = 10;

/**
 * Calls back when a response has not arrived in time. A timer that fires late shows that this process
 * stood still: the response may have arrived and wait to be read, which is done first.
 *
 * @param clock - the process's clock
 * @param timeoutMs - time limit for the response
 * @param onTimeout - called without a response
 * @returns cancels the timeout
 */
export function startResponseTimeout(
  clock: MonotonicClock,
  timeoutMs: number,
  onTimeout: () => void,
): Teardown {
  const dueMs = clock.nowMs() + timeoutMs;
  let timer = setTimeout(() => {
    if (clock.nowMs() - dueMs <= MAX_TIMER_DELAY_MS) {
      onTimeout();
    } else {
      timer = setTimeout(onTimeout, READ_MS);
    }
  }, timeoutMs);
  return () => {
    clearTimeout(timer);
  };
}
