import type { ServerId } from '@laburnumgap/kernel';

/** How a call at a server ended, as its caller saw it. */
export type CallOutcome = 'answered' | 'failed' | 'unreachable';

interface Health {
  failureShare: number;
  latencyMs: number;
  /** Consecutive calls that found nobody. */
  unreachable: number;
  unreachableUntilMs: number;
}

/** Weight of the newest call in the moving averages. */
const NEWEST_WEIGHT = 0.15;
const UNREACHABLE_MIN_MS = 500;
const UNREACHABLE_MAX_MS = 4_000;
/** Latency that is assumed of a server until it answered. */
const UNKNOWN_LATENCY_MS = 20;

/** Judges servers by what calls meet there. Answers servers whose own health answer is wrong. */
export class ServerHealth {
  private readonly healths = new Map<ServerId, Health>();

  /** Notes how a call ended. */
  recordOutcome(serverId: ServerId, outcome: CallOutcome, tookMs: number, nowMs: number): void {
    const health = this.healthOf(serverId);
    if (outcome === 'unreachable') {
      const holdMs = Math.min(UNREACHABLE_MAX_MS, UNREACHABLE_MIN_MS * 2 ** health.unreachable);
      health.unreachable += 1;
      health.unreachableUntilMs = nowMs + holdMs;
      return;
    }
    const failed = outcome === 'failed' ? 1 : 0;
    health.failureShare += (failed - health.failureShare) * NEWEST_WEIGHT;
    health.latencyMs += (tookMs - health.latencyMs) * NEWEST_WEIGHT;
    health.unreachable = 0;
    health.unreachableUntilMs = 0;
  }

  /** Share of recent calls that failed, 0 to 1. */
  failureShare(serverId: ServerId): number {
    return this.healths.get(serverId)?.failureShare ?? 0;
  }

  latencyMs(serverId: ServerId): number {
    return this.healths.get(serverId)?.latencyMs ?? UNKNOWN_LATENCY_MS;
  }

  /** Whether the server was not reached a moment ago. */
  isUnreachable(serverId: ServerId, nowMs: number): boolean {
    const health = this.healths.get(serverId);
    return health !== undefined && nowMs < health.unreachableUntilMs;
  }

  /** Forgets servers that are not known any more. */
  retain(known: (serverId: ServerId) => boolean): void {
    for (const serverId of this.healths.keys()) {
      if (!known(serverId)) {
        this.healths.delete(serverId);
      }
    }
  }

  private healthOf(serverId: ServerId): Health {
    const known = this.healths.get(serverId);
    if (known) {
      return known;
    }
    const fresh = {
      failureShare: 0,
      latencyMs: UNKNOWN_LATENCY_MS,
      unreachable: 0,
      unreachableUntilMs: 0,
    };
    this.healths.set(serverId, fresh);
    return fresh;
  }
}
