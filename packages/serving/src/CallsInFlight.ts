import type { ServerId } from '@laburnumgap/kernel';

/** Calls of this daemon that each server works on. */
export class CallsInFlight {
  private readonly counts = new Map<ServerId, number>();

  count(serverId: ServerId): number {
    return this.counts.get(serverId) ?? 0;
  }

  started(serverId: ServerId): void {
    this.counts.set(serverId, this.count(serverId) + 1);
  }

  finished(serverId: ServerId): void {
    const count = this.count(serverId) - 1;
    if (count > 0) {
      this.counts.set(serverId, count);
    } else {
      this.counts.delete(serverId);
    }
  }
}
