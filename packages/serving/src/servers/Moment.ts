import type { MonotonicClock } from '@laburnumgap/kernel';

/** A moment on both clocks of a host. */
export interface Moment {
  readonly epochMs: number;
  readonly monotonicMs: number;
}

/** Reads both clocks. */
export function momentOf(clock: MonotonicClock, nowEpochMs: () => number): Moment {
  return { epochMs: nowEpochMs(), monotonicMs: clock.nowMs() };
}

/**
 * Time between two moments by the clock that advanced more. While a host is frozen its monotonic clock can
 * stand still, and its wall clock can be set back.
 *
 * @param from - the earlier moment
 * @param to - the later moment
 * @returns milliseconds
 */
export function elapsedMs(from: Moment, to: Moment): number {
  return Math.max(to.epochMs - from.epochMs, to.monotonicMs - from.monotonicMs);
}
