import type { MemberId, ServerId } from '@laburnumgap/kernel';

/** A live daemon that may pass connections to servers on. */
export interface TunnelPeer {
  readonly host: string;
  readonly memberId: MemberId;
}

/**
 * Why a daemon did not pass a connection on. `busy`: it passes on as many as it can. `refused` and
 * `unanswered`: it does not reach the server either. `silent`: it did not answer itself. `unavailable`:
 * it shuts down or does not know the server.
 */
export type TunnelFailure = 'busy' | 'refused' | 'silent' | 'unanswered' | 'unavailable';

/** Input of {@link TunnelPeerChoice.choose}. */
export interface TunnelPeerInput {
  readonly candidates: readonly TunnelPeer[];
  /** Daemons that were asked for this connection before. */
  readonly excluded: ReadonlySet<MemberId>;
  readonly nowMs: number;
  readonly randomUnit: () => number;
  readonly serverId: ServerId;
}

/** Time for which a daemon is not asked again, by the reason. */
const BUSY_HOLD_MS = 250;
const SILENT_HOLD_MS = 2_000;
const UNAVAILABLE_HOLD_MS = 1_000;
/** Time for which a daemon is not asked again for a server that it does not reach. */
const UNREACHED_HOLD_MS = 1_000;

/**
 * Chooses the daemon that passes a connection on: of two random ones, the one that passes on fewer of
 * this daemon's, so that the load spreads whatever the others do. A daemon that declined or stayed
 * silent is left out for a while, if there are others.
 */
export class TunnelPeerChoice {
  private readonly heldUntilMs = new Map<string, number>();
  private readonly openCounts = new Map<MemberId, number>();

  /** Chooses a daemon; undefined when none is left to ask. */
  choose(input: TunnelPeerInput): TunnelPeer | undefined {
    const { candidates, excluded, nowMs, randomUnit, serverId } = input;
    const untried = candidates.filter(({ memberId }) => !excluded.has(memberId));
    const preferred = untried.filter(
      ({ memberId }) =>
        !this.isHeld(memberId, nowMs) && !this.isHeld(keyOf(memberId, serverId), nowMs),
    );
    const open = preferred.length > 0 ? preferred : untried;
    const [first, second] = [pick(open, randomUnit), pick(open, randomUnit)];
    return first && second && this.openCount(second) < this.openCount(first) ? second : first;
  }

  /** Records that a daemon passes a connection on. */
  recordOpened(memberId: MemberId): void {
    this.openCounts.set(memberId, (this.openCounts.get(memberId) ?? 0) + 1);
  }

  /** Records that a passed-on connection closed. */
  recordClosed(memberId: MemberId): void {
    const count = (this.openCounts.get(memberId) ?? 0) - 1;
    if (count > 0) {
      this.openCounts.set(memberId, count);
    } else {
      this.openCounts.delete(memberId);
    }
  }

  /** Records that a daemon did not pass a connection on. */
  recordFailure(
    memberId: MemberId,
    serverId: ServerId,
    failure: TunnelFailure,
    nowMs: number,
  ): void {
    switch (failure) {
      case 'busy':
        this.heldUntilMs.set(memberId, nowMs + BUSY_HOLD_MS);
        break;
      case 'refused':
      case 'unanswered':
        this.heldUntilMs.set(keyOf(memberId, serverId), nowMs + UNREACHED_HOLD_MS);
        break;
      case 'silent':
        this.heldUntilMs.set(memberId, nowMs + SILENT_HOLD_MS);
        break;
      case 'unavailable':
        this.heldUntilMs.set(memberId, nowMs + UNAVAILABLE_HOLD_MS);
        break;
    }
  }

  /** Forgets what is over. */
  expire(nowMs: number): void {
    for (const [key, untilMs] of this.heldUntilMs) {
      if (untilMs <= nowMs) {
        this.heldUntilMs.delete(key);
      }
    }
  }

  private isHeld(key: string, nowMs: number): boolean {
    return nowMs < (this.heldUntilMs.get(key) ?? -Infinity);
  }

  private openCount({ memberId }: TunnelPeer): number {
    return this.openCounts.get(memberId) ?? 0;
  }
}

function keyOf(memberId: MemberId, serverId: ServerId): string {
  return `${memberId} ${serverId}`;
}

function pick<T>(values: readonly T[], randomUnit: () => number): T | undefined {
  return values[Math.floor(randomUnit() * values.length)];
}
