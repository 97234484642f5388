import type { ServerId } from '@laburnumgap/kernel';
import type { ServerIncarnation } from './ServerRegistry.js';

/** What a server said about the requests that it takes. */
export interface LimitObservation extends ServerIncarnation {
  /** Requests that it can turn away in a second without failing; undefined when it named none. */
  readonly maxRejectionsPerS?: number;
  /** When the server said it, monotonic time of this process. */
  readonly observedMs: number;
  /** Requests that it takes from all daemons together; undefined when it named no limit. */
  readonly requestsPerS: number | undefined;
}

/** An observation as daemons report it to each other, whose clocks differ. */
export interface LimitReport extends ServerIncarnation {
  /** Time since the server said it. */
  readonly ageMs: number;
  /** Absent when the server is not brittle. */
  readonly maxRejectionsPerS?: number;
  /** Absent when the server ended its limit. */
  readonly requestsPerS?: number;
}

/**
 * Reports pass from daemon to daemon, each adding the time on its way to the observation. A difference
 * of less than this does not make an equal observation newer.
 */
const MIN_REFRESH_MS = 250;
/** An ended limit is remembered until no daemon reports the limit any more. */
const ENDED_LIMIT_RETENTION_MS = 30_000;

/**
 * Request limits that servers named, as observed by any daemon. Of two observations of one server the
 * later one counts, and one of a later start of the server.
 */
export class ServerLimits {
  private readonly observations = new Map<ServerId, LimitObservation>();

  /**
   * Records an observation.
   *
   * @param observation - by this daemon or by another one
   * @returns whether it changed what is known
   */
  record(observation: LimitObservation): boolean {
    const { maxRejectionsPerS, observedMs, requestsPerS, serverId, startedEpochMs } = observation;
    const known = this.observations.get(serverId);
    if (known && known.startedEpochMs > startedEpochMs) {
      return false;
    }
    if (!known && requestsPerS === undefined && maxRejectionsPerS === undefined) {
      return false;
    }
    const isSameLimit =
      known?.requestsPerS === requestsPerS && known?.maxRejectionsPerS === maxRejectionsPerS;
    if (known?.startedEpochMs === startedEpochMs) {
      const newerFromMs = known.observedMs + (isSameLimit ? MIN_REFRESH_MS : 0);
      if (observedMs <= newerFromMs) {
        return false;
      }
    }
    this.observations.set(serverId, observation);
    return !isSameLimit;
  }

  /**
   * Limit of a server. What a later start of it said applies as well: its entry can arrive afterwards.
   *
   * @param incarnation - the server
   * @returns requests per second, or undefined when it named none
   */
  requestsPerS({ serverId, startedEpochMs }: ServerIncarnation): number | undefined {
    const known = this.observations.get(serverId);
    return known && known.startedEpochMs >= startedEpochMs ? known.requestsPerS : undefined;
  }

  /**
   * Whether a server fails when it has to turn away too many requests, as it said itself.
   *
   * @param incarnation - the server
   * @returns whether it is brittle
   */
  isBrittle({ serverId, startedEpochMs }: ServerIncarnation): boolean {
    const known = this.observations.get(serverId);
    return (
      known !== undefined &&
      known.startedEpochMs >= startedEpochMs &&
      known.maxRejectionsPerS !== undefined
    );
  }

  /** Whether any server said that it is brittle. */
  hasBrittle(): boolean {
    for (const { maxRejectionsPerS } of this.observations.values()) {
      if (maxRejectionsPerS !== undefined) {
        return true;
      }
    }
    return false;
  }

  /** Records the report of another daemon; returns whether it changed what is known. */
  recordReport({ ageMs, ...report }: LimitReport, nowMs: number): boolean {
    const { maxRejectionsPerS, requestsPerS, serverId, startedEpochMs } = report;
    return this.record({
      maxRejectionsPerS,
      observedMs: nowMs - ageMs,
      requestsPerS,
      serverId,
      startedEpochMs,
    });
  }

  /** Report on one server; undefined when it never named a limit. */
  reportOf(serverId: ServerId, nowMs: number): LimitReport | undefined {
    const known = this.observations.get(serverId);
    return known && toReport(known, nowMs);
  }

  /**
   * Reports on servers that named a limit, also on those that ended it recently.
   *
   * @param nowMs - monotonic time
   * @param maxCount - the latest observations are reported; all by default
   * @returns the reports, the latest observation first
   */
  reports(nowMs: number, maxCount = Infinity): readonly LimitReport[] {
    return [...this.observations.values()]
      .sort((a, b) => b.observedMs - a.observedMs)
      .slice(0, maxCount)
      .map((known) => toReport(known, nowMs));
  }

  /**
   * Forgets servers that are no longer registered, and limits that ended a while ago.
   *
   * @param isKnown - whether a server is registered
   * @param nowMs - monotonic time
   */
  retain(isKnown: (serverId: ServerId) => boolean, nowMs: number): void {
    for (const [serverId, observation] of this.observations) {
      const { maxRejectionsPerS, observedMs, requestsPerS } = observation;
      const isEnded = requestsPerS === undefined && maxRejectionsPerS === undefined;
      const isOver = isEnded && nowMs - observedMs > ENDED_LIMIT_RETENTION_MS;
      if (isOver || !isKnown(serverId)) {
        this.observations.delete(serverId);
      }
    }
  }
}

function toReport(observation: LimitObservation, nowMs: number): LimitReport {
  const { maxRejectionsPerS, observedMs, requestsPerS, serverId, startedEpochMs } = observation;
  const ageMs = Math.round(nowMs - observedMs);
  return { ageMs, maxRejectionsPerS, requestsPerS, serverId, startedEpochMs };
}
