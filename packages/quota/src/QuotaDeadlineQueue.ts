/** A time at which a router's account is due for a check. */
export interface QuotaDeadline {
  readonly atMs: number;
  readonly routerId: string;
}

/** Number of removed entries below which the array is not compacted. */
const MIN_COMPACTION_LENGTH = 256;

/** A FIFO queue of deadlines in chronological order. */
export class QuotaDeadlineQueue {
  private head = 0;
  private items: QuotaDeadline[] = [];

  /** Appends a deadline; it must not be earlier than the last one. */
  push(deadline: QuotaDeadline): void {
    this.items.push(deadline);
  }

  /** Removes and returns the first deadline if it is due. */
  popDue(nowMs: number): QuotaDeadline | undefined {
    const first = this.items[this.head];
    if (!first || first.atMs > nowMs) {
      return undefined;
    }
    this.head += 1;
    if (this.head >= MIN_COMPACTION_LENGTH && this.head * 2 >= this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return first;
  }
}
