import type { ServerId } from '@laburnumgap/kernel';

/** Calls of this daemon that each server works on. */
export class CallsInFlight {
  private readonly counts = new Map<ServerId, number>();

  at(serverId: ServerId): number {
    return this.counts.get(serverId) ?? 0;
  }

  began(serverId: ServerId): void {
    this.counts.set(serverId, this.at(serverId) + 1);
  }

  ended(serverId: ServerId): void {
    const count = this.at(serverId) - 1;
    if (count > 0) {
      this.counts.set(serverId, count);
    } else {
      this.counts.delete(serverId);
    }
  }
}
