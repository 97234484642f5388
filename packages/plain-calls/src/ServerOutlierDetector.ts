import type { ServerId } from '@laburnumgap/kernel';

/** Options of the outlier detection. */
export interface ServerOutlierDetectorOptions {
  /** Failures in a row after which a server gets no calls for a while. */
  readonly consecutiveFailures?: number;
  /** Longest time without calls. */
  readonly maxEjectionMs?: number;
  /** Time without calls at first; doubles with each further ejection in a row. */
  readonly minEjectionMs?: number;
}

interface ServerHistory {
  ejectedUntilMs: number;
  ejections: number;
  failuresInRow: number;
}

const DEFAULT_FAILURES_IN_ROW = 3;
const DEFAULT_MAX_EJECTION_MS = 60_000;
const DEFAULT_MIN_EJECTION_MS = 2_000;

/** Takes servers that fail again and again out of the choice for a while. */
export class ServerOutlierDetector {
  private readonly failuresInRow: number;
  private readonly histories = new Map<ServerId, ServerHistory>();
  private readonly maxEjectionMs: number;
  private readonly minEjectionMs: number;

  constructor(options: ServerOutlierDetectorOptions = {}) {
    this.failuresInRow = options.consecutiveFailures ?? DEFAULT_FAILURES_IN_ROW;
    this.maxEjectionMs = options.maxEjectionMs ?? DEFAULT_MAX_EJECTION_MS;
    this.minEjectionMs = options.minEjectionMs ?? DEFAULT_MIN_EJECTION_MS;
  }

  /** Notes a failed call. Returns whether the server is ejected by it. */
  recordFailure(serverId: ServerId, nowMs: number): boolean {
    const history = this.histories.get(serverId) ?? {
      ejectedUntilMs: 0,
      ejections: 0,
      failuresInRow: 0,
    };
    this.histories.set(serverId, history);
    history.failuresInRow += 1;
    if (history.failuresInRow < this.failuresInRow || nowMs < history.ejectedUntilMs) {
      return false;
    }
    const ejectionMs = Math.min(this.minEjectionMs * 2 ** history.ejections, this.maxEjectionMs);
    history.ejectedUntilMs = nowMs + ejectionMs;
    history.ejections += 1;
    return true;
  }

  /** Whether a server is to get no calls. */
  isEjected(serverId: ServerId, nowMs: number): boolean {
    const history = this.histories.get(serverId);
    return history !== undefined && nowMs < history.ejectedUntilMs;
  }

  /** Forgets servers that are not known any more. */
  retain(known: ReadonlySet<ServerId>): void {
    for (const serverId of this.histories.keys()) {
      if (!known.has(serverId)) {
        this.histories.delete(serverId);
      }
    }
  }

  /** Notes an answered call. */
  recordSuccess(serverId: ServerId): void {
    this.histories.delete(serverId);
  }
}
