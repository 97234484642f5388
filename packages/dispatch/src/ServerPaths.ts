import type { ServerId } from '@laburnumgap/kernel';

/** How a connection to a server could not be opened. */
export type ConnectFailure = 'refused' | 'silent';

/** Which ways to a server are tried for a new connection, in which order. */
export type DialPlan = 'both' | 'direct' | 'tunnel';

/** Change of what a daemon believes of its own paths. */
export type PathsChange = 'cutOff' | 'reachable' | 'unchanged';

interface SeveredPath {
  /** Connections through other daemons that failed since one opened. */
  failedTunnels: number;
  /** When the path was last found to be severed. */
  confirmedMs: number;
  nextProbeMs: number;
  probeIntervalMs: number;
  readonly sinceMs: number;
}

/** State of the paths, for the log. */
export interface PathsSummary {
  /** Age of the first of the severed paths; undefined without any. */
  readonly oldestMs: number | undefined;
  readonly severed: number;
}

/** A server behind a severed path is down when so many connections through other daemons failed. */
const MAX_FAILED_TUNNELS = 3;
/** With so many severed paths and none that opens, the others are examined as well. */
const SUSPICION_PATHS = 2;
/** A daemon that is cut off has found so many paths severed since one opened last, or all. */
const CUT_OFF_PATHS = 4;
/** Time for which a server that no daemon reached counts as down. */
const DOWN_MS = 5_000;
/** Interval of the probes of one path, doubled up to the maximum while it stays severed. */
const MIN_PROBE_INTERVAL_MS = 500;
const MAX_PROBE_INTERVAL_MS = 4_000;
/** Interval of the probes of a daemon that is cut off, whatever the number of servers. */
const CUT_OFF_PROBE_INTERVAL_MS = 500;
/** Paths that are probed or examined at once. */
const MAX_CONCURRENT_PROBES = 8;

/**
 * Which servers this daemon cannot reach although others can. A path is severed when a direct
 * connection fails and one through another daemon opens: a server that nobody reaches is not cut off
 * but down. A daemon is cut off when the paths to all servers that are not down are severed.
 */
export class ServerPaths {
  private cutOffSinceMs: number | undefined;
  private cutOffProbedMs = -Infinity;
  private directOpenedMs = -Infinity;
  private readonly downSinceMs = new Map<ServerId, number>();
  private readonly examined = new Set<ServerId>();
  private readonly severed = new Map<ServerId, SeveredPath>();

  /** Ways to try for a new connection to a server. */
  planFor(serverId: ServerId): DialPlan {
    if (this.severed.has(serverId)) {
      return 'tunnel';
    }
    return this.cutOffSinceMs === undefined ? 'direct' : 'both';
  }

  /** Since when this daemon takes itself for cut off, monotonic time; undefined when it does not. */
  cutOffSince(): number | undefined {
    return this.cutOffSinceMs;
  }

  isSevered(serverId: ServerId): boolean {
    return this.severed.has(serverId);
  }

  /**
   * How long a path has been found severed, again and again.
   *
   * @param serverId - the server
   * @returns milliseconds from the first evidence to the latest; undefined for a path that is open
   */
  confirmedForMs(serverId: ServerId): number | undefined {
    const path = this.severed.get(serverId);
    return path && path.confirmedMs - path.sinceMs;
  }

  summary(nowMs: number): PathsSummary {
    const firstMs = Math.min(...[...this.severed.values()].map(({ sinceMs }) => sinceMs));
    return {
      oldestMs: this.severed.size > 0 ? nowMs - firstMs : undefined,
      severed: this.severed.size,
    };
  }

  /** Records that a direct connection opened. */
  recordDirect(serverId: ServerId, nowMs: number): PathsChange {
    this.severed.delete(serverId);
    this.downSinceMs.delete(serverId);
    this.directOpenedMs = nowMs;
    this.examined.clear();
    if (this.cutOffSinceMs === undefined) {
      return 'unchanged';
    }
    this.cutOffSinceMs = undefined;
    for (const path of this.severed.values()) {
      path.nextProbeMs = nowMs;
      path.probeIntervalMs = MIN_PROBE_INTERVAL_MS;
    }
    return 'reachable';
  }

  /**
   * Records that a direct connection failed while one through another daemon opened, or that a probe of
   * a severed path failed.
   *
   * @param serverId - the server
   * @param knownServers - number of servers that are registered
   * @param nowMs - monotonic time
   * @returns whether the daemon takes itself for cut off now
   */
  recordSevered(serverId: ServerId, knownServers: number, nowMs: number): PathsChange {
    const known = this.severed.get(serverId);
    if (known) {
      known.confirmedMs = nowMs;
    } else {
      this.severed.set(serverId, {
        confirmedMs: nowMs,
        failedTunnels: 0,
        nextProbeMs: nowMs + MIN_PROBE_INTERVAL_MS,
        probeIntervalMs: MIN_PROBE_INTERVAL_MS,
        sinceMs: nowMs,
      });
    }
    this.downSinceMs.delete(serverId);
    const isConfirmed = this.confirmedCount() >= Math.min(CUT_OFF_PATHS, knownServers);
    const isCutOff = isConfirmed && this.severed.size >= knownServers - this.downCount(nowMs);
    if (this.cutOffSinceMs !== undefined || !isCutOff) {
      return 'unchanged';
    }
    this.cutOffSinceMs = nowMs;
    this.cutOffProbedMs = nowMs;
    return 'cutOff';
  }

  /** Records that a connection through another daemon opened. */
  recordTunneled(serverId: ServerId): void {
    const path = this.severed.get(serverId);
    if (path) {
      path.failedTunnels = 0;
    }
  }

  /**
   * Records that no daemon reached a server: it is down, and its path tells nothing. Where others reached
   * it before, they may only be busy for a moment.
   */
  recordDown(serverId: ServerId, nowMs: number): void {
    const path = this.severed.get(serverId);
    if (path) {
      path.failedTunnels += 1;
      if (path.failedTunnels < MAX_FAILED_TUNNELS) {
        return;
      }
    }
    this.severed.delete(serverId);
    this.downSinceMs.set(serverId, nowMs);
  }

  /**
   * Selects severed paths to probe now. Each is selected again later unless the probe succeeds.
   *
   * @param nowMs - monotonic time
   * @returns ids of the servers; one at a time while this daemon is cut off
   */
  takeDueProbes(nowMs: number): readonly ServerId[] {
    if (this.cutOffSinceMs !== undefined) {
      const [oldest] = [...this.severed].sort(([, a], [, b]) => a.confirmedMs - b.confirmedMs);
      if (!oldest || nowMs - this.cutOffProbedMs < CUT_OFF_PROBE_INTERVAL_MS) {
        return [];
      }
      this.cutOffProbedMs = nowMs;
      return [oldest[0]];
    }
    const due = [...this.severed].filter(([, { nextProbeMs }]) => nextProbeMs <= nowMs);
    return due.slice(0, MAX_CONCURRENT_PROBES).map(([serverId, path]) => {
      path.nextProbeMs = nowMs + path.probeIntervalMs;
      path.probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, path.probeIntervalMs * 2);
      return serverId;
    });
  }

  /**
   * Selects servers whose paths are examined because others are severed, each once until a direct
   * connection opens.
   *
   * @param candidates - registered servers
   * @returns ids of the servers; none without suspicion
   */
  takeSuspects(candidates: readonly ServerId[]): readonly ServerId[] {
    if (this.confirmedCount() < Math.min(SUSPICION_PATHS, candidates.length)) {
      return [];
    }
    const suspects = candidates
      .filter((serverId) => !this.severed.has(serverId) && !this.examined.has(serverId))
      .slice(0, MAX_CONCURRENT_PROBES);
    suspects.forEach((serverId) => this.examined.add(serverId));
    return suspects;
  }

  /** Forgets servers that are no longer registered. */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.severed.keys()) {
      if (!isKnown(serverId)) {
        this.severed.delete(serverId);
      }
    }
    for (const serverId of this.downSinceMs.keys()) {
      if (!isKnown(serverId)) {
        this.downSinceMs.delete(serverId);
      }
    }
  }

  private downCount(nowMs: number): number {
    return [...this.downSinceMs.values()].filter((sinceMs) => nowMs - sinceMs < DOWN_MS).length;
  }

  /** Number of paths found severed since a direct connection opened last. */
  private confirmedCount(): number {
    const paths = [...this.severed.values()];
    return paths.filter(({ confirmedMs }) => confirmedMs > this.directOpenedMs).length;
  }
}
