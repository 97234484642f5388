const MS_PER_SECOND = 1_000;

/** Options of {@link QuotaTokenBucket}. */
export interface QuotaTokenBucketOptions {
  /** Largest level, in units. */
  readonly capacity: number;
  /** Initial level, in units; full by default. */
  readonly level?: number;
  readonly nowMs: number;
  readonly unitsPerSecond: number;
}

/** A token bucket whose level may become negative, for costs that are known only afterwards. */
export class QuotaTokenBucket {
  private capacity: number;
  private level: number;
  private unitsPerSecond: number;
  private updatedAtMs: number;

  constructor(options: QuotaTokenBucketOptions) {
    this.capacity = options.capacity;
    this.level = options.level ?? options.capacity;
    this.unitsPerSecond = options.unitsPerSecond;
    this.updatedAtMs = options.nowMs;
  }

  /** Returns the level at a time, in units. */
  levelAt(nowMs: number): number {
    this.refill(nowMs);
    return this.level;
  }

  /** Takes units, even beyond the current level. */
  charge(units: number, nowMs: number): void {
    this.refill(nowMs);
    this.level -= units;
  }

  /** Changes rate and capacity from now on. */
  setRate(unitsPerSecond: number, capacity: number, nowMs: number): void {
    this.refill(nowMs);
    this.unitsPerSecond = unitsPerSecond;
    this.capacity = capacity;
    this.level = Math.min(this.level, capacity);
  }

  /** Returns the time until the level reaches a number of units; infinite if it never does. */
  waitMsFor(units: number, nowMs: number): number {
    const missing = units - this.levelAt(nowMs);
    if (missing <= 0) {
      return 0;
    }
    const isReachable = this.unitsPerSecond > 0 && units <= this.capacity;
    return isReachable ? (missing / this.unitsPerSecond) * MS_PER_SECOND : Infinity;
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const gained = (elapsedMs / MS_PER_SECOND) * this.unitsPerSecond;
    this.level = Math.min(this.capacity, this.level + gained);
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }
}
