import type { ServerId } from '@laburnumgap/kernel';

/** Options of {@link ServerOutlierDetector}. */
export interface ServerOutlierDetectorOptions {
  /** Consecutive failures after which a server is ejected. */
  readonly failureThreshold?: number;
  /** Longest ejection. */
  readonly maxEjectionMs?: number;
  /** Duration of the first ejection; doubles with each further one until a call succeeds. */
  readonly minEjectionMs?: number;
}

interface ServerState {
  ejectedUntilMs: number;
  consecutiveEjections: number;
  consecutiveFailures: number;
}

const DEFAULT_FAILURE_THRESHOLD = 3;
const DEFAULT_MAX_EJECTION_MS = 60_000;
const DEFAULT_MIN_EJECTION_MS = 2_000;

/**
 * Outlier detection: ejects a server that fails repeatedly, so that it gets no calls for a while.
 * After an ejection, one more failure ejects it again; an answered call resets its state.
 */
export class ServerOutlierDetector {
  private readonly failureThreshold: number;
  private readonly states = new Map<ServerId, ServerState>();
  private readonly maxEjectionMs: number;
  private readonly minEjectionMs: number;

  constructor(options: ServerOutlierDetectorOptions = {}) {
    this.failureThreshold = options.failureThreshold ?? DEFAULT_FAILURE_THRESHOLD;
    this.maxEjectionMs = options.maxEjectionMs ?? DEFAULT_MAX_EJECTION_MS;
    this.minEjectionMs = options.minEjectionMs ?? DEFAULT_MIN_EJECTION_MS;
  }

  /** Records a failed call. Returns whether it ejects the server. */
  recordFailure(serverId: ServerId, nowMs: number): boolean {
    const state = this.states.get(serverId) ?? {
      ejectedUntilMs: 0,
      consecutiveEjections: 0,
      consecutiveFailures: 0,
    };
    this.states.set(serverId, state);
    state.consecutiveFailures += 1;
    if (state.consecutiveFailures < this.failureThreshold || nowMs < state.ejectedUntilMs) {
      return false;
    }
    const ejectionMs = Math.min(
      this.minEjectionMs * 2 ** state.consecutiveEjections,
      this.maxEjectionMs,
    );
    state.ejectedUntilMs = nowMs + ejectionMs;
    state.consecutiveEjections += 1;
    return true;
  }

  /** Whether a server is ejected now. */
  isEjected(serverId: ServerId, nowMs: number): boolean {
    const state = this.states.get(serverId);
    return state !== undefined && nowMs < state.ejectedUntilMs;
  }

  /** Drops the state of all servers but the given ones. */
  retain(knownServerIds: ReadonlySet<ServerId>): void {
    for (const serverId of this.states.keys()) {
      if (!knownServerIds.has(serverId)) {
        this.states.delete(serverId);
      }
    }
  }

  /** Records an answered call. */
  recordSuccess(serverId: ServerId): void {
    this.states.delete(serverId);
  }
}
