import type { Revision, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import type { ServerIncarnation } from './ServerRegistry.js';

/** Until when a server is cold, as far as is known. */
export interface ColdObservation extends ServerIncarnation {
  /** Monotonic time of this process; in the past for a warm server. */
  readonly coldUntilMs: number;
  /**
   * This daemon learned it from a response, so that others may not know it. Entries reach all daemons by
   * themselves.
   */
  readonly isReported: boolean;
  /** When the server said it, monotonic time of this process. */
  readonly observedMs: number;
}

/** An observation as daemons report it to each other, whose clocks differ. */
export interface ColdReport extends ServerIncarnation {
  /** Time since the server said it. */
  readonly ageMs: number;
  /** Time for which the server is still cold. */
  readonly remainingMs: number;
}

/** An entry of a server as it was received. */
export interface ColdEntry {
  readonly revision: Revision;
  readonly server: BackendServer;
  /** How long servers of the service are cold after a start; used where the entry has no remaining time. */
  readonly coldStartMs: number;
  /** Wall clock of this process. */
  readonly nowEpochMs: number;
}

interface KnownEntry {
  readonly revision: Revision;
  readonly startedEpochMs: number;
}

/** A listed entry can be as old as one heartbeat of the server. */
const MAX_ENTRY_AGE_MS = 1_200;
/**
 * A report is dated later than the observation by the time that it was on its way, at most 500 ms between
 * failure domains. Within this time it counts as the same one, so that reports extend no cold time.
 */
const SAME_OBSERVATION_MS = 600;
/** Wall clocks of hosts that synchronize them differ by less. */
const MAX_CLOCK_DIFFERENCE_MS = 500;

/**
 * Which servers are cold until when, from their entries, their responses and the reports of other
 * daemons. Of two observations of one server the later one counts, and one of a later start of the
 * server. Handles servers that start one by one, a failure domain that comes back at once, and servers
 * that become cold again at any moment.
 */
export class ColdServers {
  private readonly entries = new Map<ServerId, KnownEntry>();
  private readonly observations = new Map<ServerId, ColdObservation>();

  /**
   * Records an observation.
   *
   * @param observation - by this daemon or by another one
   * @param nowMs - monotonic time
   * @returns whether the server is cold now and was not known to be
   */
  record(observation: ColdObservation, nowMs: number): boolean {
    const { observedMs, serverId, startedEpochMs } = observation;
    const known = this.observations.get(serverId);
    const isOutdated =
      known !== undefined &&
      (known.startedEpochMs > startedEpochMs ||
        (known.startedEpochMs === startedEpochMs && known.observedMs >= observedMs));
    return isOutdated ? false : this.replace(observation, nowMs);
  }

  /**
   * Records what a server said in a response. Is reported to others unless it was known already.
   *
   * @param server - the server
   * @param remainingColdMs - time for which it is still cold
   * @param nowMs - monotonic time
   * @returns whether the server is cold now and was not known to be
   */
  recordResponse(
    { serverId, startedEpochMs }: ServerIncarnation,
    remainingColdMs: number,
    nowMs: number,
  ): boolean {
    const coldUntilMs = nowMs + remainingColdMs;
    const known = this.observations.get(serverId);
    const isKnown = this.isSame(known, { coldUntilMs, startedEpochMs }, nowMs);
    const isReported = isKnown ? known?.isReported === true : true;
    const observation = { coldUntilMs, isReported, observedMs: nowMs, serverId, startedEpochMs };
    return this.record(observation, nowMs);
  }

  /**
   * Records an entry of the store, also one that another daemon forwarded. It can be as old as one
   * heartbeat of the server, and is dated so: it extends the cold time at once, but a response that a
   * daemon got meanwhile wins over it. An entry that is received again says nothing new.
   *
   * @param entry - the entry
   * @param nowMs - monotonic time at which it was received
   * @returns whether the server is cold now and was not known to be
   */
  recordEntry({ coldStartMs, nowEpochMs, revision, server }: ColdEntry, nowMs: number): boolean {
    const { remainingColdMs, serverId, startedEpochMs } = server;
    const entry = this.entries.get(serverId);
    if (entry?.revision === revision && entry.startedEpochMs === startedEpochMs) {
      return false;
    }
    this.entries.set(serverId, { revision, startedEpochMs });
    const known = this.observations.get(serverId);
    const isKnown = known !== undefined && known.startedEpochMs >= startedEpochMs;
    if (remainingColdMs === undefined && isKnown) {
      return false;
    }
    const remainingMs =
      remainingColdMs ?? remainingSinceStartMs(startedEpochMs, coldStartMs, nowEpochMs);
    const coldUntilMs = nowMs + remainingMs;
    const oldestMs = nowMs - MAX_ENTRY_AGE_MS;
    const observation = { coldUntilMs, isReported: false, serverId, startedEpochMs };
    if (known?.startedEpochMs === startedEpochMs && coldUntilMs > known.coldUntilMs) {
      const observedMs = Math.max(oldestMs, known.observedMs);
      return this.replace({ ...observation, observedMs }, nowMs);
    }
    return this.record({ ...observation, observedMs: oldestMs }, nowMs);
  }

  /**
   * Records the report of another daemon.
   *
   * @param report - the report
   * @param nowMs - monotonic time
   * @returns whether the server is cold now and was not known to be
   */
  recordReport(report: ColdReport, nowMs: number): boolean {
    const { ageMs, remainingMs, serverId, startedEpochMs } = report;
    const coldUntilMs = nowMs + remainingMs;
    const known = this.observations.get(serverId);
    if (this.isSame(known, { coldUntilMs, startedEpochMs }, nowMs)) {
      return false;
    }
    const observedMs = nowMs - ageMs;
    const observation = { coldUntilMs, isReported: false, observedMs, serverId, startedEpochMs };
    return this.record(observation, nowMs);
  }

  /** Whether a server is cold. What a later start of it said applies as well. */
  isCold(server: ServerIncarnation, nowMs: number): boolean {
    return this.remainingMs(server, nowMs) > 0;
  }

  /** Time for which a server is still cold; 0 when it is warm. */
  remainingMs({ serverId, startedEpochMs }: ServerIncarnation, nowMs: number): number {
    const known = this.observations.get(serverId);
    const applies = known !== undefined && known.startedEpochMs >= startedEpochMs;
    return applies ? Math.max(0, known.coldUntilMs - nowMs) : 0;
  }

  /** Number of servers that are cold now. */
  coldCount(nowMs: number): number {
    return [...this.observations.values()].filter(({ coldUntilMs }) => nowMs < coldUntilMs).length;
  }

  /**
   * Updates the remaining time of a server's entry, so that another daemon can read it.
   *
   * @param server - the server as its entry says
   * @param nowMs - monotonic time
   * @returns the server with the time that remains now
   */
  forwarded(server: BackendServer, nowMs: number): BackendServer {
    const known = this.observations.get(server.serverId);
    if (known?.startedEpochMs !== server.startedEpochMs) {
      return server;
    }
    return { ...server, remainingColdMs: Math.round(this.remainingMs(server, nowMs)) };
  }

  /**
   * Reports on servers that are cold now as this daemon learned from their responses. Reports are not
   * forwarded: that would extend the cold time by the time that they are on their way.
   *
   * @param nowMs - monotonic time
   * @param maxCount - the latest observations are reported; all by default
   * @returns the reports, the latest observation first
   */
  reports(nowMs: number, maxCount = Infinity): readonly ColdReport[] {
    return [...this.observations.values()]
      .filter(({ coldUntilMs, isReported }) => isReported && nowMs < coldUntilMs)
      .sort((a, b) => b.observedMs - a.observedMs)
      .slice(0, maxCount)
      .map(({ coldUntilMs, observedMs, serverId, startedEpochMs }) => ({
        ageMs: Math.max(0, Math.round(nowMs - observedMs)),
        remainingMs: Math.round(coldUntilMs - nowMs),
        serverId,
        startedEpochMs,
      }));
  }

  /**
   * Forgets servers that are no longer registered.
   *
   * @param isKnown - whether a server is registered
   */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const perServer of [this.entries, this.observations]) {
      for (const serverId of perServer.keys()) {
        if (!isKnown(serverId)) {
          perServer.delete(serverId);
        }
      }
    }
  }

  /** Whether an observation says of a cold server what is known of it. */
  private isSame(
    known: ColdObservation | undefined,
    other: Pick<ColdObservation, 'coldUntilMs' | 'startedEpochMs'>,
    nowMs: number,
  ): boolean {
    return (
      known?.startedEpochMs === other.startedEpochMs &&
      nowMs < known.coldUntilMs &&
      Math.abs(other.coldUntilMs - known.coldUntilMs) <= SAME_OBSERVATION_MS
    );
  }

  private replace(observation: ColdObservation, nowMs: number): boolean {
    const { coldUntilMs, serverId, startedEpochMs } = observation;
    const known = this.observations.get(serverId);
    this.observations.set(serverId, observation);
    const wasCold = known?.startedEpochMs === startedEpochMs && nowMs < known.coldUntilMs;
    return nowMs < coldUntilMs && !wasCold;
  }
}

/** Time for which a server is cold by its start time, where its entry does not say it. */
function remainingSinceStartMs(
  startedEpochMs: number,
  coldStartMs: number,
  nowEpochMs: number,
): number {
  if (startedEpochMs === 0) {
    // The entry has no start time.
    return 0;
  }
  const startedAgoMs = nowEpochMs - startedEpochMs - MAX_CLOCK_DIFFERENCE_MS;
  return Math.min(coldStartMs, Math.max(0, coldStartMs - startedAgoMs));
}
