import type { ServerId } from '@laburnumgap/kernel';

/** Number of open calls of this daemon at each server. */
export class CallsInFlight {
  private readonly counts = new Map<ServerId, number>();

  /** Number of open calls at a server. */
  count(serverId: ServerId): number {
    return this.counts.get(serverId) ?? 0;
  }

  /** Counts a call that was sent to a server. */
  add(serverId: ServerId): void {
    this.counts.set(serverId, this.count(serverId) + 1);
  }

  /** Counts a call as ended. */
  remove(serverId: ServerId): void {
    const count = this.count(serverId) - 1;
    if (count > 0) {
      this.counts.set(serverId, count);
    } else {
      this.counts.delete(serverId);
    }
  }
}
