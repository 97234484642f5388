import type { Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';

/** A change to a server's entry. `server` is absent when the entry was removed or is unreadable. */
export interface ServerChange {
  /** The entry has disappeared; the server is gone unless it is written again soon. */
  readonly isLapsed?: boolean;
  readonly revision: Revision;
  readonly server?: BackendServer;
  readonly serverId: ServerId;
}

/** A registered server and its state. */
export interface RegisteredServer {
  /** Set when the entry disappeared in a mass lapse; the server stays usable until then. */
  readonly lapsedUntilMs?: number;
  /** The server takes no new work, and streams that run there are moved. */
  readonly leaving: boolean;
  readonly revision: Revision;
  readonly server: BackendServer;
}

/** One run of a server process; a restart under the same id has another start time. */
export interface ServerIncarnation {
  readonly serverId: ServerId;
  readonly startedEpochMs: number;
}

/** A server whose entry was removed. */
interface EndedServer {
  readonly endedMs: number;
  /** It said that it was leaving, so that it never takes work again. */
  readonly hasAnnounced: boolean;
  readonly startedEpochMs: number;
}

/** A server that was gone when an era of the store began. */
interface GoneServer {
  readonly startedEpochMs: number;
  /** Entries up to this revision may come from the restored copy. */
  readonly untilRevision: number;
}

/** A run of a server that said that it leaves, in its entry or otherwise. */
interface LeftServer extends ServerIncarnation {
  readonly sinceMs: number;
}

interface Backoff {
  readonly startedEpochMs: number;
  readonly untilMs: number;
}

/** Options of a registry. */
export interface ServerRegistryOptions {
  /** How long a server stays registered after its entry disappeared in a mass lapse. */
  readonly lapseGraceMs?: number;
  /** Fraction of the live entries whose removal at once counts as a mass lapse. */
  readonly massLapseFraction?: number;
  /** Fewest removals at once that count as a mass lapse. */
  readonly minMassLapse?: number;
  /** How long a leaving server still accepts requests, from when it said that it leaves. */
  readonly serverDrainMs?: number;
}

/** Live servers restore their entries within two seconds of the store's return; others are gone. */
const DEFAULT_LAPSE_GRACE_MS = 1_700;
/** A release or a wave of spot reclaims removes a smaller fraction of the servers at once. */
const DEFAULT_MASS_LAPSE_FRACTION = 0.5;
const DEFAULT_MIN_MASS_LAPSE = 3;
/** Used where the settings do not state how long servers drain. */
const DEFAULT_SERVER_DRAIN_MS = 2_000;
/** The rest of that time covers the delay until a daemon hears that a server leaves. */
const USED_DRAIN_FRACTION = 0.5;
/** A run that the server itself has stopped can be lost otherwise, and may take longer to return. */
const USED_DRAIN_FRACTION_FOR_RETURN = 0.75;
/** Start time of servers that do not state theirs. */
const UNKNOWN_START_EPOCH_MS = 0;
const NO_REVISION = toNumberId<Revision>(0);
/** Longest age of the copy from which the store comes back, with the time until all know of it. */
const ENDED_SERVER_RETENTION_MS = 120_000;
/** How long a removed server can still be looked up, so that its streams find it. */
const REMOVED_SERVER_RETENTION_MS = 20_000;

/**
 * Registry of the backend servers. Entries are versioned by revision, and older ones are ignored. A
 * server whose entry is removed counts as leaving. When half of all live entries disappear at once
 * (a mass lapse), the servers stay usable for a grace period instead, because the store drops
 * entries of live servers while it is unavailable.
 */
export class ServerRegistry {
  /** Servers that asked to be sent nothing for a time. */
  private readonly backoffs = new Map<ServerId, Backoff>();
  private readonly entries = new Map<ServerId, RegisteredServer>();
  /** Servers whose entries were removed, remembered for a store that comes back older. */
  private readonly ended = new Map<ServerId, EndedServer>();
  /** Those of them that had ended when the current era began. */
  private readonly goneBeforeEra = new Map<ServerId, GoneServer>();
  private readonly lapseGraceMs: number;
  /** Runs of servers that never take work again, whatever is written of them later. */
  private readonly left = new Map<string, LeftServer>();
  /** Times at which servers were found to be leaving. */
  private readonly leavingSinceMs = new Map<ServerId, number>();
  /** Start times of the servers marked as leaving ahead of the store; a restart has another one. */
  private readonly markedLeaving = new Map<ServerId, number>();
  private readonly massLapseFraction: number;
  private readonly minMassLapse: number;
  private readonly removedAtMs = new Map<ServerId, number>();
  private readonly serverDrainMs: number;
  private readonly removedRevisions = new Map<ServerId, Revision>();
  private readonly stayingByService = new Map<ServiceId, readonly BackendServer[]>();

  constructor(options: ServerRegistryOptions = {}) {
    this.lapseGraceMs = options.lapseGraceMs ?? DEFAULT_LAPSE_GRACE_MS;
    this.massLapseFraction = options.massLapseFraction ?? DEFAULT_MASS_LAPSE_FRACTION;
    this.minMassLapse = options.minMassLapse ?? DEFAULT_MIN_MASS_LAPSE;
    this.serverDrainMs = options.serverDrainMs ?? DEFAULT_SERVER_DRAIN_MS;
  }

  /**
   * Applies changes in the order of their revisions.
   *
   * @param changes - changes since the last call
   * @param nowMs - monotonic time
   * @returns ids of the servers that began to leave
   */
  apply(changes: readonly ServerChange[], nowMs: number): readonly ServerId[] {
    const unexpectedRemovals = changes.filter((change) => this.isUnexpectedRemoval(change));
    const isMassLapse = this.isMassLapse(unexpectedRemovals);
    const leaving: ServerId[] = [];
    for (const change of changes) {
      if (this.applyOne(change, nowMs, isMassLapse)) {
        leaving.push(change.serverId);
      }
    }
    this.stayingByService.clear();
    return leaving;
  }

  /**
   * Replaces all entries by a full listing of the store.
   *
   * @param servers - all listed entries
   * @param readAtRevision - revision before the listing began; entries changed later are kept
   * @param nowMs - monotonic time
   * @returns ids of the servers that began to leave
   */
  replace(
    servers: readonly ServerChange[],
    readAtRevision: Revision,
    nowMs: number,
  ): readonly ServerId[] {
    const listed = new Set(servers.map(({ serverId }) => serverId));
    const missing = [...this.entries.values()]
      .filter(({ revision, server }) => !listed.has(server.serverId) && revision <= readAtRevision)
      .map(({ server }) => ({ revision: readAtRevision, serverId: server.serverId }));
    return this.apply([...servers, ...missing], nowMs);
  }

  /**
   * Replaces all entries by a full listing of a store that came back from an older copy. Servers that
   * the copy lacks are given time to write themselves again. Servers that were leaving or gone stay
   * so, though the copy lists them as before.
   *
   * @param servers - all listed entries
   * @param readAtRevision - revision of the new era before the listing began
   * @param nowMs - monotonic time
   * @returns ids of the servers that began to leave
   */
  replaceInNewEra(
    servers: readonly ServerChange[],
    readAtRevision: Revision,
    nowMs: number,
  ): readonly ServerId[] {
    this.goneBeforeEra.clear();
    for (const [serverId, { hasAnnounced, startedEpochMs }] of this.ended) {
      const untilRevision = hasAnnounced ? Infinity : readAtRevision;
      this.goneBeforeEra.set(serverId, { startedEpochMs, untilRevision });
    }
    // The copy can list a server as it was before a restart.
    const current = servers.filter(({ revision, server, serverId }) => {
      const known = this.entries.get(serverId)?.server;
      const isOlderStart = server && known && server.startedEpochMs < known.startedEpochMs;
      return !isOlderStart && !(server && this.isGone(server, revision));
    });
    const listed = new Set(current.map(({ serverId }) => serverId));
    this.removedRevisions.clear();
    for (const [serverId, known] of this.entries) {
      const { leaving, server } = known;
      const { startedEpochMs } = server;
      if (leaving && !this.removedAtMs.has(serverId)) {
        this.markedLeaving.set(serverId, startedEpochMs);
      }
      const lapsedUntilMs =
        leaving || listed.has(serverId)
          ? undefined
          : (known.lapsedUntilMs ?? nowMs + this.lapseGraceMs);
      // A listing that began earlier must not bring back what this one lacks.
      const revision = listed.has(serverId) ? NO_REVISION : readAtRevision;
      this.entries.set(serverId, { lapsedUntilMs, leaving, revision, server });
      if (leaving && !listed.has(serverId) && !this.removedAtMs.has(serverId)) {
        this.markRemoved({ leaving, revision, server }, nowMs);
      }
    }
    return this.apply(current, nowMs);
  }

  /**
   * Marks a server as leaving before the store says so, as the server itself or a daemon reported.
   *
   * @param incarnation - the server; a mark of an earlier start has no effect
   * @param nowMs - monotonic time
   * @returns whether the server was not known to leave before
   */
  markLeaving({ serverId, startedEpochMs }: ServerIncarnation, nowMs: number): boolean {
    this.recordLeft({ serverId, startedEpochMs }, nowMs);
    const known = this.entries.get(serverId);
    if (!known || known.leaving || known.server.startedEpochMs !== startedEpochMs) {
      return false;
    }
    this.markedLeaving.set(serverId, startedEpochMs);
    this.leavingSinceMs.set(serverId, nowMs);
    this.entries.set(serverId, { ...known, leaving: true });
    this.stayingByService.clear();
    return true;
  }

  /** Servers that were reported as leaving while their entries in the store don't say so yet. */
  serversMarkedLeaving(): readonly ServerIncarnation[] {
    return [...this.markedLeaving].map(([serverId, startedEpochMs]) => ({
      serverId,
      startedEpochMs,
    }));
  }

  /**
   * Sends a server nothing until a time, because it asked for that. A later call can extend the
   * time, not shorten it.
   *
   * @param incarnation - the server
   * @param untilMs - monotonic time
   */
  backOff({ serverId, startedEpochMs }: ServerIncarnation, untilMs: number): void {
    const current = this.backoffs.get(serverId);
    const isSame = current?.startedEpochMs === startedEpochMs;
    if (!isSame || current.untilMs < untilMs) {
      this.backoffs.set(serverId, { startedEpochMs, untilMs });
    }
  }

  /** Whether a server asked to be sent nothing now, also no control requests. */
  isBackingOff(serverId: ServerId, nowMs: number): boolean {
    const backoff = this.backoffs.get(serverId);
    const started = this.entries.get(serverId)?.server.startedEpochMs;
    return backoff !== undefined && backoff.startedEpochMs === started && nowMs < backoff.untilMs;
  }

  /** Whether a server takes new work now. */
  isUsable(serverId: ServerId, nowMs: number): boolean {
    return this.entries.get(serverId)?.leaving === false && !this.isBackingOff(serverId, nowMs);
  }

  /**
   * Whether a server takes a run that continues from a copied KV cache. A leaving server does so while
   * it is certain to accept requests.
   */
  acceptsContinuation(serverId: ServerId, nowMs: number): boolean {
    return this.acceptsFor(USED_DRAIN_FRACTION, serverId, nowMs);
  }

  /** Whether a server takes back a run that it has stopped and kept; longer than runs of others. */
  acceptsReturn(serverId: ServerId, nowMs: number): boolean {
    return this.acceptsFor(USED_DRAIN_FRACTION_FOR_RETURN, serverId, nowMs);
  }

  /** Time for which a server is certain to serve on; infinite while it does not leave. */
  servesForMs(serverId: ServerId, nowMs: number): number {
    const leavingSinceMs = this.leavingSinceMs.get(serverId);
    return leavingSinceMs === undefined
      ? Infinity
      : Math.max(0, leavingSinceMs + this.serverDrainMs - nowMs);
  }

  private acceptsFor(drainFraction: number, serverId: ServerId, nowMs: number): boolean {
    if (!this.entries.has(serverId) || this.isBackingOff(serverId, nowMs)) {
      return false;
    }
    const leavingForMs = nowMs - (this.leavingSinceMs.get(serverId) ?? nowMs);
    return leavingForMs < drainFraction * this.serverDrainMs;
  }

  /**
   * Time until a service takes work again when all its servers are backing off.
   *
   * @param service - the service
   * @param nowMs - monotonic time
   * @param otherWaitMs - time for which a server takes no work for another reason
   * @returns milliseconds; undefined when a server is usable now or none will be
   */
  usableAgainAfterMs(
    service: ServiceId,
    nowMs: number,
    otherWaitMs: (server: BackendServer) => number = () => 0,
  ): number | undefined {
    const servers = this.stayingServers(service);
    const waitsMs = servers.map((server) => {
      const backoff = this.backoffs.get(server.serverId);
      const isBackingOff = this.isBackingOff(server.serverId, nowMs);
      const backoffMs = backoff && isBackingOff ? backoff.untilMs - nowMs : 0;
      return Math.max(backoffMs, otherWaitMs(server));
    });
    const waitMs = Math.min(...waitsMs);
    return servers.length > 0 && waitMs > 0 ? waitMs : undefined;
  }

  /**
   * Removes servers whose grace period after a mass lapse is over, and expired backoffs.
   *
   * @param nowMs - monotonic time
   * @returns ids of the removed servers
   */
  expire(nowMs: number): readonly ServerId[] {
    const expired: ServerId[] = [];
    for (const [serverId, { untilMs }] of this.backoffs) {
      if (untilMs <= nowMs) {
        this.backoffs.delete(serverId);
      }
    }
    for (const [serverId, entry] of this.entries) {
      if (entry.lapsedUntilMs !== undefined && entry.lapsedUntilMs <= nowMs) {
        this.markRemoved(entry, nowMs);
        expired.push(serverId);
      }
    }
    for (const [serverId, removedAtMs] of this.removedAtMs) {
      if (nowMs - removedAtMs > REMOVED_SERVER_RETENTION_MS) {
        this.removedAtMs.delete(serverId);
        this.entries.delete(serverId);
        this.leavingSinceMs.delete(serverId);
        this.removedRevisions.delete(serverId);
      }
    }
    for (const [key, { serverId, sinceMs, startedEpochMs }] of this.left) {
      const isRegistered = this.entries.get(serverId)?.server.startedEpochMs === startedEpochMs;
      if (!isRegistered && nowMs - sinceMs > ENDED_SERVER_RETENTION_MS) {
        this.left.delete(key);
      }
    }
    for (const [serverId, { endedMs }] of this.ended) {
      if (nowMs - endedMs > ENDED_SERVER_RETENTION_MS) {
        this.ended.delete(serverId);
        this.goneBeforeEra.delete(serverId);
      }
    }
    if (expired.length > 0) {
      this.stayingByService.clear();
    }
    return expired;
  }

  /** All registered servers, including those removed a short while ago. */
  all(): readonly RegisteredServer[] {
    return [...this.entries.values()];
  }

  /** Whether another process is registered under the id or at the address of a server. */
  isReplaced({ host, port, serverId, startedEpochMs }: BackendServer): boolean {
    return this.all().some(({ leaving, server }) =>
      server.serverId === serverId
        ? server.startedEpochMs !== startedEpochMs
        : !leaving && server.host === host && server.port === port,
    );
  }

  get(serverId: ServerId): RegisteredServer | undefined {
    return this.entries.get(serverId);
  }

  /** Servers of a service that take new work now, sorted by id. */
  usableServers(service: ServiceId, nowMs: number): readonly BackendServer[] {
    const servers = this.stayingServers(service);
    return this.backoffs.size === 0
      ? servers
      : servers.filter(({ serverId }) => !this.isBackingOff(serverId, nowMs));
  }

  /** Servers of a service that are not leaving, sorted by id. */
  private stayingServers(service: ServiceId): readonly BackendServer[] {
    const cached = this.stayingByService.get(service);
    if (cached) {
      return cached;
    }
    const staying = [...this.entries.values()]
      .filter((entry) => entry.server.service === service && !entry.leaving)
      .map(({ server }) => server)
      .sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
    this.stayingByService.set(service, staying);
    return staying;
  }

  /** Whether an entry shows a server as it was before it ended in an earlier era of the store. */
  private isGone({ serverId, startedEpochMs }: BackendServer, revision: Revision): boolean {
    const gone = this.goneBeforeEra.get(serverId);
    return (
      gone !== undefined && startedEpochMs <= gone.startedEpochMs && revision <= gone.untilRevision
    );
  }

  /** Returns whether the change makes the server leave. */
  private applyOne(change: ServerChange, nowMs: number, isMassLapse: boolean): boolean {
    const known = this.entries.get(change.serverId);
    const knownRevision = known?.revision ?? this.removedRevisions.get(change.serverId) ?? 0;
    if (change.revision < knownRevision) {
      return false;
    }
    if (!change.server) {
      return this.applyRemoval(change, known, nowMs, isMassLapse);
    }
    if (change.isLapsed && known) {
      return this.applyRemoval(change, known, nowMs, true);
    }
    const { server } = change;
    if (this.isGone(server, change.revision)) {
      return false;
    }
    this.goneBeforeEra.delete(change.serverId);
    const wasLeaving = known?.leaving ?? false;
    if (server.leaving) {
      this.recordLeft(server, nowMs);
    } else if (this.hasLeft(server)) {
      // The store can carry out an earlier write after a later one.
      this.markedLeaving.set(change.serverId, server.startedEpochMs);
    }
    const isMarked = this.markedLeaving.get(change.serverId) === server.startedEpochMs;
    if (!isMarked || server.leaving) {
      this.markedLeaving.delete(change.serverId);
    }
    // The same entry can arrive again without what a daemon added to it.
    const isSameEntry =
      change.revision === knownRevision && known?.server.startedEpochMs === server.startedEpochMs;
    const leaving = server.leaving || isMarked || (isSameEntry && wasLeaving);
    this.removedAtMs.delete(change.serverId);
    this.removedRevisions.delete(change.serverId);
    const lapsedUntilMs = change.isLapsed
      ? (known?.lapsedUntilMs ?? nowMs + this.lapseGraceMs)
      : undefined;
    this.entries.set(change.serverId, {
      lapsedUntilMs,
      leaving,
      revision: change.revision,
      server,
    });
    this.recordLeaving(change.serverId, leaving, nowMs);
    return leaving && !wasLeaving;
  }

  private applyRemoval(
    change: ServerChange,
    known: RegisteredServer | undefined,
    nowMs: number,
    isMassLapse: boolean,
  ): boolean {
    this.removedRevisions.set(change.serverId, change.revision);
    if (!known || this.removedAtMs.has(change.serverId)) {
      return false;
    }
    const isLapse = isMassLapse || known.lapsedUntilMs !== undefined;
    if (isLapse && !known.leaving) {
      const lapsedUntilMs = known.lapsedUntilMs ?? nowMs + this.lapseGraceMs;
      this.entries.set(change.serverId, { ...known, lapsedUntilMs, revision: change.revision });
      return false;
    }
    this.markRemoved({ ...known, revision: change.revision }, nowMs);
    return !known.leaving;
  }

  private isMassLapse(removals: readonly ServerChange[]): boolean {
    if (removals.length < this.minMassLapse) {
      return false;
    }
    const alive = [...this.entries.values()].filter(({ leaving }) => !leaving).length;
    return removals.length >= this.massLapseFraction * alive;
  }

  /** Whether the entry of a server was removed that was not known to leave. */
  private isUnexpectedRemoval(change: ServerChange): boolean {
    const known = this.entries.get(change.serverId);
    return change.server === undefined && known !== undefined && !known.leaving;
  }

  private markRemoved(entry: RegisteredServer, nowMs: number): void {
    const { revision, server } = entry;
    const { serverId, startedEpochMs } = server;
    const hasAnnounced = server.leaving || this.markedLeaving.has(serverId);
    this.ended.set(serverId, { endedMs: nowMs, hasAnnounced, startedEpochMs });
    this.removedAtMs.set(serverId, nowMs);
    this.markedLeaving.delete(serverId);
    this.entries.set(serverId, { leaving: true, revision, server });
    this.recordLeaving(serverId, true, nowMs);
  }

  /** A server without a start time can have started again when it is written as ready. */
  private recordLeft({ serverId, startedEpochMs }: ServerIncarnation, nowMs: number): void {
    if (startedEpochMs !== UNKNOWN_START_EPOCH_MS) {
      const key = keyOf({ serverId, startedEpochMs });
      this.left.set(key, { serverId, sinceMs: nowMs, startedEpochMs });
    }
  }

  private hasLeft(incarnation: ServerIncarnation): boolean {
    return this.left.has(keyOf(incarnation));
  }

  private recordLeaving(serverId: ServerId, leaving: boolean, nowMs: number): void {
    if (!leaving) {
      this.leavingSinceMs.delete(serverId);
    } else if (!this.leavingSinceMs.has(serverId)) {
      this.leavingSinceMs.set(serverId, nowMs);
    }
  }
}

function keyOf({ serverId, startedEpochMs }: ServerIncarnation): string {
  return `${startedEpochMs} ${serverId}`;
}
