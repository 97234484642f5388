/** A time at which a router's account is to be looked at. */
export interface QuotaDeadline {
  readonly atMs: number;
  readonly routerId: string;
}

const MIN_COMPACTED = 256;

/** Deadlines in order of time. */
export class QuotaDeadlines {
  private head = 0;
  private items: QuotaDeadline[] = [];

  /** Adds a deadline that is not before the ones added so far. */
  push(deadline: QuotaDeadline): void {
    this.items.push(deadline);
  }

  /** Removes the first deadline, if it has passed. */
  takeDue(nowMs: number): QuotaDeadline | undefined {
    const first = this.items[this.head];
    if (!first || first.atMs > nowMs) {
      return undefined;
    }
    this.head += 1;
    if (this.head >= MIN_COMPACTED && this.head * 2 >= this.items.length) {
      this.items = this.items.slice(this.head);
      this.head = 0;
    }
    return first;
  }
}
