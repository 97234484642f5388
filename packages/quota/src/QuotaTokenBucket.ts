const MS_PER_SECOND = 1_000;

/** Options of {@link QuotaTokenBucket}. */
export interface QuotaTokenBucketOptions {
  /** Most units that it holds. */
  readonly capacity: number;
  /** Units that it holds at the start; full by default. */
  readonly level?: number;
  readonly nowMs: number;
  readonly unitsPerSecond: number;
}

/** A token bucket. Its level may go below zero when costs are only known afterwards. */
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

  /** Units that it holds at a time. */
  levelAt(nowMs: number): number {
    this.refill(nowMs);
    return this.level;
  }

  /** Takes units, also beyond what it holds. */
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

  /** Time until it will hold a number of units; infinite when it never will. */
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
