import type { Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';

/** A change of the list of servers. `server` is absent when the entry is gone or unreadable. */
export interface ServerChange {
  readonly revision: Revision;
  readonly server?: BackendServer;
  readonly serverId: ServerId;
}

/** A server that is known, with what was learned of it. */
export interface RegisteredServer {
  /** Its entry is gone though it never said that it leaves; it may come back until then. */
  readonly lapsedUntilMs?: number;
  /** No new work; streams that run there are moved. */
  readonly leaving: boolean;
  readonly revision: Revision;
  readonly server: BackendServer;
}

/** Options of a registry. */
export interface ServerRegistryOptions {
  /** Time for which a lapsed entry is waited for. */
  readonly lapseGraceMs?: number;
  /** Share of all live entries that vanish at once when the store itself lost them. */
  readonly massLapseFraction?: number;
  /** Fewest entries that count as a mass lapse. */
  readonly minMassLapse?: number;
}

/** A lapsed entry is back within two seconds of the store's return, or its server is gone. */
const DEFAULT_LAPSE_HOLD_MS = 1_700;
/** A release or a spot wave takes fewer servers than this at once. */
const DEFAULT_MASS_LAPSE_SHARE = 0.5;
const DEFAULT_MIN_MASS_LAPSE = 3;
/** Time for which a server that left is remembered, so that its streams still find it. */
const GONE_MEMORY_MS = 20_000;

/**
 * The backend servers by revision. Never goes back to an older entry. A server whose entry goes is
 * leaving; only when half of all live entries go at once are they held as lapsed for a while,
 * because the store drops entries of live servers while it is away.
 */
export class ServerRegistry {
  private readonly entries = new Map<ServerId, RegisteredServer>();
  private readonly goneAtMs = new Map<ServerId, number>();
  private readonly lapseHoldMs: number;
  private readonly massLapseShare: number;
  private readonly minMassLapse: number;
  /** Start times of servers that were noted as leaving. */
  private readonly noted = new Map<ServerId, number>();
  private readonly removedRevisions = new Map<ServerId, Revision>();
  private readonly usableByService = new Map<ServiceId, readonly BackendServer[]>();

  constructor(options: ServerRegistryOptions = {}) {
    this.lapseHoldMs = options.lapseGraceMs ?? DEFAULT_LAPSE_HOLD_MS;
    this.massLapseShare = options.massLapseFraction ?? DEFAULT_MASS_LAPSE_SHARE;
    this.minMassLapse = options.minMassLapse ?? DEFAULT_MIN_MASS_LAPSE;
  }

  /**
   * Takes changes in the order of their revisions.
   *
   * @param changes - changes since the last call
   * @param nowMs - monotonic time
   * @returns ids of the servers that now leave
   */
  apply(changes: readonly ServerChange[], nowMs: number): readonly ServerId[] {
    const vanished = changes.filter((change) => this.vanishes(change));
    const isLapse = this.isMassLapse(vanished);
    const leaving: ServerId[] = [];
    for (const change of changes) {
      if (this.applyOne(change, nowMs, isLapse)) {
        leaving.push(change.serverId);
      }
    }
    this.usableByService.clear();
    return leaving;
  }

  /**
   * Replaces everything by a full reading.
   *
   * @param servers - all entries that were read
   * @param readAt - revision before the reading began; entries changed later are kept
   * @param nowMs - monotonic time
   * @returns ids of the servers that now leave
   */
  replace(servers: readonly ServerChange[], readAt: Revision, nowMs: number): readonly ServerId[] {
    const listed = new Set(servers.map(({ serverId }) => serverId));
    const missing = [...this.entries.values()]
      .filter(({ revision, server }) => !listed.has(server.serverId) && revision <= readAt)
      .map(({ server }) => ({ revision: readAt, serverId: server.serverId }));
    return this.apply([...servers, ...missing], nowMs);
  }

  /**
   * Notes that a server leaves, by its own word or another daemon's, before the store says so.
   *
   * @param serverId - the server
   * @returns whether that is news
   */
  markLeaving(serverId: ServerId): boolean {
    const known = this.entries.get(serverId);
    if (!known || known.leaving) {
      return false;
    }
    this.noted.set(serverId, known.server.startedEpochMs);
    this.entries.set(serverId, { ...known, leaving: true });
    this.usableByService.clear();
    return true;
  }

  /** Servers that leave by word of mouth, while the store still says otherwise. */
  serversMarkedLeaving(): readonly ServerId[] {
    return [...this.noted.keys()];
  }

  /** Ends the wait for lapsed entries. Returns the servers that are gone by it. */
  expireLapsed(nowMs: number): readonly ServerId[] {
    const expired: ServerId[] = [];
    for (const [serverId, entry] of this.entries) {
      if (entry.lapsedUntilMs !== undefined && entry.lapsedUntilMs <= nowMs) {
        this.markGone(entry, nowMs);
        expired.push(serverId);
      }
    }
    for (const [serverId, goneAtMs] of this.goneAtMs) {
      if (nowMs - goneAtMs > GONE_MEMORY_MS) {
        this.goneAtMs.delete(serverId);
        this.entries.delete(serverId);
        this.removedRevisions.delete(serverId);
      }
    }
    if (expired.length > 0) {
      this.usableByService.clear();
    }
    return expired;
  }

  /** All that is known, also of servers that left a short while ago. */
  all(): readonly RegisteredServer[] {
    return [...this.entries.values()];
  }

  get(serverId: ServerId): RegisteredServer | undefined {
    return this.entries.get(serverId);
  }

  /** Servers of a service that take new work. */
  usableServers(service: ServiceId): readonly BackendServer[] {
    const known = this.usableByService.get(service);
    if (known) {
      return known;
    }
    const usable = [...this.entries.values()]
      .filter((entry) => entry.server.service === service && !entry.leaving)
      .map(({ server }) => server)
      .sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
    this.usableByService.set(service, usable);
    return usable;
  }

  private applyOne(change: ServerChange, nowMs: number, isLapse: boolean): boolean {
    const known = this.entries.get(change.serverId);
    const knownRevision = known?.revision ?? this.removedRevisions.get(change.serverId) ?? 0;
    if (change.revision < knownRevision) {
      return false;
    }
    if (!change.server) {
      return this.applyGone(change, known, nowMs, isLapse);
    }
    const { server } = change;
    const wasLeaving = known?.leaving ?? false;
    const isNoted = this.noted.get(change.serverId) === server.startedEpochMs;
    if (!isNoted || server.leaving) {
      this.noted.delete(change.serverId);
    }
    const leaving = server.leaving || isNoted;
    this.goneAtMs.delete(change.serverId);
    this.removedRevisions.delete(change.serverId);
    this.entries.set(change.serverId, { leaving, revision: change.revision, server });
    return leaving && !wasLeaving;
  }

  private applyGone(
    change: ServerChange,
    known: RegisteredServer | undefined,
    nowMs: number,
    isLapse: boolean,
  ): boolean {
    this.removedRevisions.set(change.serverId, change.revision);
    if (!known || this.goneAtMs.has(change.serverId)) {
      return false;
    }
    if (isLapse && !known.leaving) {
      const lapsedUntilMs = known.lapsedUntilMs ?? nowMs + this.lapseHoldMs;
      this.entries.set(change.serverId, { ...known, lapsedUntilMs, revision: change.revision });
      return false;
    }
    this.markGone({ ...known, revision: change.revision }, nowMs);
    return !known.leaving;
  }

  private isMassLapse(vanished: readonly ServerChange[]): boolean {
    if (vanished.length < this.minMassLapse) {
      return false;
    }
    const alive = [...this.entries.values()].filter(({ leaving }) => !leaving).length;
    return vanished.length >= this.massLapseShare * alive;
  }

  private markGone(entry: RegisteredServer, nowMs: number): void {
    const { revision, server } = entry;
    this.goneAtMs.set(server.serverId, nowMs);
    this.noted.delete(server.serverId);
    this.entries.set(server.serverId, { leaving: true, revision, server });
  }

  private vanishes(change: ServerChange): boolean {
    const known = this.entries.get(change.serverId);
    return change.server === undefined && known !== undefined && !known.leaving;
  }
}
