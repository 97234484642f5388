import type { ServerId } from '@laburnumgap/kernel';

/**
 * How a call at a server ended, as its caller saw it. `silent` and `unreachable`: no connection opened,
 * after a while or at once.
 */
export type CallOutcome = 'answered' | 'failed' | 'silent' | 'unreachable';

interface Health {
  /** Consecutive calls that could not reach the server. */
  consecutiveUnreachable: number;
  failureShare: number;
  isSilent: boolean;
  latencyMs: number;
  unreachableUntilMs: number;
}

/** Weight of the newest call in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.15;
const UNREACHABLE_MIN_BACKOFF_MS = 500;
const UNREACHABLE_MAX_BACKOFF_MS = 4_000;
/** Shorter, since nothing is sent to silent servers meanwhile. */
const SILENT_MAX_BACKOFF_MS = 1_000;
/** Latency assumed until the first answer of a server. */
const INITIAL_LATENCY_MS = 20;

/**
 * Tracks the health of servers by the outcomes of calls to them, which also shows servers whose own
 * health endpoint answers wrongly.
 */
export class ServerHealth {
  private readonly healths = new Map<ServerId, Health>();

  /** Records how a call ended and how long it took. */
  recordOutcome(serverId: ServerId, outcome: CallOutcome, tookMs: number, nowMs: number): void {
    const health = this.getOrCreate(serverId);
    if (outcome === 'silent' || outcome === 'unreachable') {
      health.isSilent = outcome === 'silent';
      const backoffMs = Math.min(
        health.isSilent ? SILENT_MAX_BACKOFF_MS : UNREACHABLE_MAX_BACKOFF_MS,
        UNREACHABLE_MIN_BACKOFF_MS * 2 ** health.consecutiveUnreachable,
      );
      health.consecutiveUnreachable += 1;
      health.unreachableUntilMs = nowMs + backoffMs;
      return;
    }
    const failure = outcome === 'failed' ? 1 : 0;
    health.failureShare += (failure - health.failureShare) * SMOOTHING_FACTOR;
    health.latencyMs += (tookMs - health.latencyMs) * SMOOTHING_FACTOR;
    health.consecutiveUnreachable = 0;
    health.isSilent = false;
    health.unreachableUntilMs = 0;
  }

  /** Records that a connection is tried; while the server is silent, the next calls await its outcome. */
  recordTrial(serverId: ServerId, nowMs: number): void {
    const health = this.healths.get(serverId);
    if (health?.isSilent === true) {
      health.unreachableUntilMs = nowMs + UNREACHABLE_MIN_BACKOFF_MS;
    }
  }

  /** Records that a connection opened. */
  recordConnected(serverId: ServerId): void {
    const health = this.healths.get(serverId);
    if (health?.isSilent === true) {
      health.isSilent = false;
      health.unreachableUntilMs = 0;
    }
  }

  /** Share of recent calls that failed, 0 to 1. */
  failureShare(serverId: ServerId): number {
    return this.healths.get(serverId)?.failureShare ?? 0;
  }

  /** Moving average of the call latency in milliseconds. */
  latencyMs(serverId: ServerId): number {
    return this.healths.get(serverId)?.latencyMs ?? INITIAL_LATENCY_MS;
  }

  /** Whether the server is in backoff after it could not be reached. */
  isUnreachable(serverId: ServerId, nowMs: number): boolean {
    const health = this.healths.get(serverId);
    return health !== undefined && nowMs < health.unreachableUntilMs;
  }

  /** Whether connections to the server hang: trying again now would only cost time. */
  isSilent(serverId: ServerId, nowMs: number): boolean {
    const health = this.healths.get(serverId);
    return health !== undefined && health.isSilent && nowMs < health.unreachableUntilMs;
  }

  /** Drops the health of servers that are no longer registered. */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.healths.keys()) {
      if (!isKnown(serverId)) {
        this.healths.delete(serverId);
      }
    }
  }

  private getOrCreate(serverId: ServerId): Health {
    const known = this.healths.get(serverId);
    if (known) {
      return known;
    }
    const created = {
      consecutiveUnreachable: 0,
      failureShare: 0,
      isSilent: false,
      latencyMs: INITIAL_LATENCY_MS,
      unreachableUntilMs: 0,
    };
    this.healths.set(serverId, created);
    return created;
  }
}
