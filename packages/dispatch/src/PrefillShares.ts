import type { ServerId } from '@laburnumgap/kernel';

interface PrefillShare {
  readonly atMs: number;
  readonly share: number;
}

/**
 * Weight of the past falls to a third in this time: about as long as a long stream runs, which is what
 * the shares are used for, and short against swings of the demand in 15 s.
 */
const TIME_CONSTANT_MS = 4_000;

/** Tracks in which share of the recent time each engine prefilled prompts. */
export class PrefillShares {
  private readonly shares = new Map<ServerId, PrefillShare>();

  /** Records whether an engine has unread prompt tokens now, as far as known. */
  record(serverId: ServerId, isPrefilling: boolean, nowMs: number): void {
    const known = this.shares.get(serverId);
    const weight = known ? Math.exp((known.atMs - nowMs) / TIME_CONSTANT_MS) : 0;
    const share = weight * (known?.share ?? 0) + (1 - weight) * Number(isPrefilling);
    this.shares.set(serverId, { atMs: nowMs, share });
  }

  /** Share of an engine, from 0 to 1; 0 for an unknown engine. */
  shareOf(serverId: ServerId): number {
    return this.shares.get(serverId)?.share ?? 0;
  }

  /** Forgets engines that are no longer registered. */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.shares.keys()) {
      if (!isKnown(serverId)) {
        this.shares.delete(serverId);
      }
    }
  }
}
