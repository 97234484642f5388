import type { MonotonicClock } from '@laburnumgap/kernel';

/** Options of {@link StoreFreshness}. */
export interface StoreFreshnessOptions {
  /** Time within which a configuration has to be in force on every daemon. */
  readonly configurationApplyMs?: number;
  readonly clock: MonotonicClock;
}

/** Used where the settings do not state it. */
const DEFAULT_CONFIGURATION_APPLY_MS = 2_000;
/** The rest of the time is for the read, and for the configuration that it can lead to. */
const MAX_AGE_FRACTION = 0.45;
/** While the store is away, the queries of each daemon become this much rarer at most. */
const MAX_BACKOFF_FACTOR = 8;

/**
 * How old this daemon's view of the store can be. Every daemon states this age in its messages, so that it
 * spreads from the daemons that watch the store. One whose view becomes too old asks the store itself,
 * however many daemons that watched it were lost one after the other.
 */
export class StoreFreshness {
  private askedMs = -Infinity;
  private readonly clock: MonotonicClock;
  private confirmedMs = -Infinity;
  private readonly maxAgeMs: number;
  private queriesSinceConfirmed = 0;

  constructor({
    clock,
    configurationApplyMs = DEFAULT_CONFIGURATION_APPLY_MS,
  }: StoreFreshnessOptions) {
    this.clock = clock;
    this.maxAgeMs = configurationApplyMs * MAX_AGE_FRACTION;
  }

  /** Age of the view; undefined before the first confirmation. */
  ageMs(): number | undefined {
    const ageMs = this.clock.nowMs() - this.confirmedMs;
    return ageMs === Infinity ? undefined : ageMs;
  }

  /**
   * Records that all changes up to some time ago are known, here or by a daemon whose messages show when this
   * one lags behind it.
   *
   * @param ageMs - how long ago; ignored unless it is a number of at least 0
   */
  confirm(ageMs: number): void {
    const confirmedMs = this.clock.nowMs() - ageMs;
    if (ageMs >= 0 && confirmedMs > this.confirmedMs) {
      this.confirmedMs = confirmedMs;
      this.queriesSinceConfirmed = 0;
    }
  }

  /** Records that the store is asked; without a confirmation it is asked again later and later. */
  recordQuery(): void {
    this.askedMs = this.clock.nowMs();
    this.queriesSinceConfirmed += 1;
  }

  /** Time until the store has to be asked; 0 when it is due. */
  queryDueInMs(): number {
    const backoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 ** (this.queriesSinceConfirmed - 1));
    const dueMs = Math.max(
      this.askedMs + this.maxAgeMs * backoffFactor,
      this.confirmedMs + this.maxAgeMs,
    );
    return Math.max(0, dueMs - this.clock.nowMs());
  }
}
