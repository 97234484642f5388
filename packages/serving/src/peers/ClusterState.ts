import type {
  BackendServer,
  LimitReport,
  QuarantineReport,
  RegisteredServer,
  ServerChange,
  ServerIncarnation,
  ServerRegistry,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import { evacuationRecords, RouteTable } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { ConfigurationFetcher } from './ConfigurationFetcher.js';
import type { EvacuationCoordinator } from './EvacuationCoordinator.js';
import { fitsInDatagram } from './EvacuationMessages.js';
import type { FollowedChanges, StoreRead } from '../store/DirectoryFollower.js';
import type { SyncPosition } from './LagDetector.js';
import type { PeerLink } from './PeerLink.js';
import type { ChangesMessage, ConfigurationMessage, PeerSnapshot } from './PeerMessages.js';
import { serverChangesOf, withoutChanges } from './PeerMessages.js';
import type { ServingLog } from '../ServingLog.js';
import type { DirectoryChanges, PlatformDirectory } from '../ServingPorts.js';
import type { StorePosition } from '../store/StorePosition.js';
import { FIRST_POSITION, isLater } from '../store/StorePosition.js';

/** Operations on the other daemons that {@link ClusterState} needs. */
export type ClusterPeers = Pick<
  PeerLink,
  | 'announceConfiguration'
  | 'broadcastChanges'
  | 'fetchConfiguration'
  | 'fetchSnapshot'
  | 'randomHost'
  | 'removeMember'
  | 'scheduleHeartbeat'
  | 'scheduleHeartbeatToAll'
> & { readonly table: Pick<PeerLink['table'], 'add' | 'members'> };

/** Options of {@link ClusterState}. */
export interface ClusterStateOptions {
  /** Called when all changes up to a position were received from peers. */
  readonly advanceStorePosition: (position: StorePosition) => void;
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory;
  /** Evacuated failure domains; not followed where it is absent. */
  readonly evacuations?: Pick<
    EvacuationCoordinator,
    'applyChanges' | 'mergeReports' | 'replace' | 'replaceRecords' | 'reports'
  >;
  readonly failureDomain: FailureDomainId;
  /** Updates an entry before it is forwarded in a snapshot; unchanged by default. */
  readonly forwarded?: (server: BackendServer) => BackendServer;
  readonly host: string;
  /** Limits of requests that servers named, for snapshots. */
  readonly limits: () => readonly LimitReport[];
  readonly log: ServingLog;
  readonly memberId: MemberId;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Called with entries of servers before they are applied, from the store or another daemon. */
  readonly onEntries?: (changes: readonly ServerChange[]) => void;
  /** Called with the limits of servers in the snapshot of a peer. */
  readonly onLimits: (limits: readonly LimitReport[]) => void;
  /** Called when the store has come back from an older copy, which lacks what was written since. */
  readonly onNewEra: () => void;
  readonly onServerLeaving: (serverId: ServerId) => void;
  /** Called when the entry by which other daemons find this one was removed. */
  readonly onOwnEntryGone?: () => void;
  /** Called with the quarantines in the store, before this daemon is ready. */
  readonly onStoredQuarantines?: (reports: readonly QuarantineReport[]) => void;
  readonly peers: () => ClusterPeers;
  readonly randomUnit: () => number;
  readonly registry: ServerRegistry;
}

/**
 * Snapshots that are fetched concurrently: more than one, since a fetch can hang until its timeout.
 */
const MAX_CONCURRENT_SNAPSHOTS = 2;

/**
 * Configuration, backend servers and members as known to this daemon from the store, from other
 * daemons and from engines. Never reverts to an older version or revision.
 */
export class ClusterState {
  /** Newest version that this daemon told others about. */
  private announcedVersion = 0;
  private readonly configurationFetcher: ConfigurationFetcher;
  private hasServerList = false;
  /** Position up to which all is known but a configuration that this daemon does not have yet. */
  private heldPosition: StorePosition | undefined;
  private pendingSnapshots = 0;
  private routeTable: RouteTable | undefined;
  private storePosition: StorePosition = FIRST_POSITION;

  constructor(private readonly options: ClusterStateOptions) {
    const { directory, log, peers, randomUnit } = options;
    this.configurationFetcher = new ConfigurationFetcher({
      activeVersion: () => this.version(),
      directory,
      fetchFromPeer: (host) => peers().fetchConfiguration(host),
      log,
      onFetched: (configuration, source) => {
        this.applyConfiguration(configuration, source);
      },
      randomUnit,
    });
  }

  /** Active configuration, also before the servers are known. */
  routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Active configuration; undefined until the servers are known as well. */
  routesWhenReady(): RouteTable | undefined {
    return this.hasServerList ? this.routeTable : undefined;
  }

  /** Whether the list of servers was received. */
  knowsServers(): boolean {
    return this.hasServerList;
  }

  /** Configuration version and store position that this daemon has applied. */
  position(): SyncPosition {
    return { ...this.storePosition, configurationVersion: this.version() };
  }

  /** Removes servers whose expired entries did not return in time. */
  removeExpiredServers(): void {
    const { clock, registry } = this.options;
    this.onServersLeaving(registry.expire(clock.nowMs()), 'lapsed');
  }

  /**
   * Applies changes from the platform's store. Sends them to the other daemons, unless each reads them for
   * itself at this time.
   *
   * @param received - the changes
   * @param read - how they were read
   */
  applyStoreChanges(received: FollowedChanges, read: StoreRead): void {
    const isFullRead = read === 'full';
    const isShared = read !== 'query';
    const changes = this.options.evacuations ? received : { ...received, evacuations: undefined };
    const previous = this.storePosition;
    const isOtherEra = changes.era !== previous.era;
    const isStarting = this.version() === 0;
    if (changes.era < previous.era || (isOtherEra && !isFullRead)) {
      return;
    }
    if (isFullRead && !this.hasServerList) {
      // Later, heartbeats say what other daemons know, and what they do not know any more.
      this.options.onStoredQuarantines?.(changes.quarantines ?? []);
    }
    if (isShared) {
      this.broadcastChanges(changes, isFullRead);
    }
    const hasEvacuationChanged = this.applyEvacuations(changes, isFullRead);
    this.applyChanges(changes, isFullRead);
    if (!isShared) {
      return;
    }
    if (changes.configuration && !isStarting) {
      this.announceConfiguration(this.options.failureDomain);
    }
    // Only daemons that read the store send a heartbeat at once. If every daemon sent one for each
    // change, small links would be saturated.
    if (isOtherEra || hasEvacuationChanged) {
      this.options.peers().scheduleHeartbeatToAll();
    } else if (isLater(this.storePosition, previous)) {
      this.options.peers().scheduleHeartbeat();
    }
  }

  /** Fetches an announced configuration, and announces it further as a relay of its domain. */
  async onConfigurationMessage(message: ConfigurationMessage): Promise<void> {
    const { failureDomain, version } = message;
    await this.configurationFetcher.fetch(message);
    if (failureDomain !== this.options.failureDomain && this.version() >= version) {
      this.announceConfiguration(failureDomain);
    }
  }

  /** Applies changes that a watching daemon sent, unless an earlier change is missing. */
  onChangesMessage(message: ChangesMessage): void {
    const { configurationVersion, host } = message;
    if (configurationVersion !== undefined && host !== undefined) {
      this.configurationFetcher.onNotice({ host, version: configurationVersion });
    }
    // Each record is versioned by itself, so that a lost message before this one does not delay it.
    this.options.evacuations?.mergeReports(message.evacuations ?? [], 'watcher');
    const { era, revision } = this.storePosition;
    const isApplicable =
      message.era === era && message.revision > revision && message.sinceRevision <= revision;
    if (!isApplicable || !this.hasServerList) {
      return;
    }
    this.applyChanges({ ...message, configuration: undefined, unreadable: [] }, false);
    // Also without servers or members: the next message continues from this position.
    this.advance(message);
    this.advanceWatch(message);
  }

  /**
   * Marks servers as leaving before the store reports it.
   *
   * @param servers - the servers
   * @param source - who reported it, for the log
   */
  markLeaving(servers: readonly ServerIncarnation[], source: string): void {
    const nowMs = this.options.clock.nowMs();
    const newlyLeaving = servers
      .filter((server) => this.options.registry.markLeaving(server, nowMs))
      .map(({ serverId }) => serverId);
    if (newlyLeaving.length > 0) {
      this.onServersLeaving(newlyLeaving, source);
      this.options.peers().scheduleHeartbeatToAll();
    }
  }

  /** Fetches the state of a random peer while the store does not respond. */
  syncFromAnyPeer(): void {
    const host = this.options.peers().randomHost(this.options.randomUnit);
    if (host !== undefined) {
      void this.syncFromPeer(host);
    }
  }

  /**
   * Fetches and applies the state of a peer. Does nothing while the maximum number of fetches is
   * pending: every heartbeat of every daemon that is ahead can lead here, and snapshots would
   * saturate a small link.
   *
   * @param host - host of the peer
   */
  async syncFromPeer(host: string): Promise<void> {
    if (this.pendingSnapshots >= MAX_CONCURRENT_SNAPSHOTS) {
      return;
    }
    this.pendingSnapshots += 1;
    this.options.log.info('peer-sync-started', { ...this.logPosition(), host });
    const snapshot = await this.options.peers().fetchSnapshot(host);
    this.pendingSnapshots -= 1;
    if (snapshot) {
      this.applySnapshot(snapshot, host);
    }
  }

  /**
   * State of this daemon for a peer.
   *
   * @param knownVersion - configuration version of the peer; the configuration is left out unless
   *   newer
   * @returns the snapshot
   */
  snapshot(knownVersion: number): PeerSnapshot {
    const { host, memberId } = this.options;
    return {
      ...this.storePosition,
      configuration: this.version() > knownVersion ? this.routeTable?.configuration : undefined,
      evacuations: this.options.evacuations?.reports(),
      knownVersion: this.configurationFetcher.knownVersion(),
      limits: this.options.limits(),
      members: [{ host, memberId }, ...this.options.peers().table.members()],
      servers: this.options.registry.all().map((entry) => this.forwarded(entry)),
    };
  }

  private forwarded(entry: RegisteredServer): RegisteredServer {
    const { forwarded } = this.options;
    return forwarded ? { ...entry, server: forwarded(entry.server) } : entry;
  }

  private applySnapshot(snapshot: PeerSnapshot, host: string): void {
    snapshot.members.forEach((member) => {
      this.options.peers().table.add(member);
    });
    this.options.onLimits(snapshot.limits ?? []);
    if (snapshot.configuration) {
      this.applyConfiguration(snapshot.configuration, `peer ${host}`);
    }
    const { evacuations } = this.options;
    if (!isLater(snapshot, this.storePosition) || snapshot.servers.length === 0) {
      evacuations?.mergeReports(snapshot.evacuations ?? [], 'snapshot');
      return;
    }
    if (snapshot.evacuations) {
      evacuations?.replaceRecords(snapshot.evacuations, snapshot, 'snapshot');
    }
    const servers = serverChangesOf(snapshot);
    this.options.onEntries?.(servers);
    const leaving = this.replaceServers(servers, snapshot);
    this.advance(snapshot);
    this.configurationFetcher.onNotice({ host, version: snapshot.knownVersion ?? 0 });
    if (snapshot.evacuations || !evacuations) {
      this.advanceWatch(snapshot);
    }
    this.onServersLeaving(leaving, `peer ${host}`);
  }

  /** Returns whether a failure domain began or ceased to be evacuated. */
  private applyEvacuations(changes: FollowedChanges, isFullRead: boolean): boolean {
    const { evacuations } = this.options;
    const listed = changes.evacuations;
    if (!evacuations || !listed) {
      return false;
    }
    return isFullRead
      ? evacuations.replace(listed, changes, 'store')
      : evacuations.applyChanges(listed, changes.era, 'store');
  }

  private applyChanges(changes: FollowedChanges, isFullRead: boolean): void {
    const { clock, log } = this.options;
    for (const { key, reason } of changes.unreadable) {
      log.warn('entry-unreadable', { key, reason });
    }
    if (changes.configuration) {
      this.applyConfiguration(changes.configuration, 'store');
    }
    const nowMs = clock.nowMs();
    for (const { revision, server } of changes.servers) {
      if (server && !this.options.registry.get(server.serverId)) {
        const { serverId, service } = server;
        log.info('server-known', { revision, serverId, service });
      }
    }
    this.options.onEntries?.(changes.servers);
    const leaving = isFullRead
      ? this.replaceServers(changes.servers, changes)
      : this.options.registry.apply(changes.servers, nowMs);
    changes.members.forEach((member) => {
      this.options.peers().table.add(member);
    });
    changes.membersGone.forEach((memberId) => {
      if (memberId === this.options.memberId) {
        this.options.onOwnEntryGone?.();
      } else {
        this.options.peers().removeMember(memberId);
      }
    });
    if (isFullRead || !isEmpty(changes)) {
      this.advance(changes);
    }
    this.onServersLeaving(leaving, 'store');
  }

  /** Replaces all servers by a listing at a position that is not in an earlier era. */
  private replaceServers(
    servers: readonly ServerChange[],
    { era, revision }: StorePosition,
  ): readonly ServerId[] {
    const { clock, registry } = this.options;
    const isNewEra = this.hasServerList && era !== this.storePosition.era;
    this.hasServerList = true;
    return isNewEra
      ? registry.replaceInNewEra(servers, revision, clock.nowMs())
      : registry.replace(servers, revision, clock.nowMs());
  }

  /**
   * Sends changes of a watch to the other daemons, so that only a few need to watch the store. Of a
   * full read only the version is sent, if it is new: the servers follow in snapshots.
   */
  private broadcastChanges(changes: FollowedChanges, isFullRead: boolean): void {
    const { configuration, era, members, membersGone, revision, servers } = changes;
    const evacuations = evacuationRecords(changes.evacuations ?? [], era);
    const isNewVersion = (configuration?.version ?? 0) > this.version();
    const isStarting = this.version() === 0;
    if (isFullRead ? isStarting || !isNewVersion : isEmpty(changes)) {
      return;
    }
    const message: ChangesMessage = {
      configurationVersion: isNewVersion ? configuration?.version : this.version(),
      era,
      evacuations,
      host: this.options.host,
      kind: 'changes',
      members,
      membersGone,
      revision,
      servers,
      sinceRevision: this.storePosition.revision,
    };
    const isComplete = !isFullRead && fitsInDatagram(evacuations);
    this.options.peers().broadcastChanges(isComplete ? message : withoutChanges(message));
  }

  /** Tells other daemons about the active configuration, once for each version. */
  private announceConfiguration(originDomain: FailureDomainId): void {
    const version = this.version();
    if (version > this.announcedVersion) {
      this.announcedVersion = version;
      this.options.peers().announceConfiguration(version, originDomain);
    }
  }

  private applyConfiguration(configuration: ServingConfiguration, source: string): void {
    const { version } = configuration;
    if (version <= this.version()) {
      return;
    }
    this.routeTable = new RouteTable(configuration);
    this.options.onConfiguration(this.routeTable);
    this.options.log.info('configuration-applied', { ...this.logPosition(), source, version });
    if (this.heldPosition) {
      this.advanceWatch(this.heldPosition);
    }
  }

  /**
   * Lets the store be watched from a position up to which other daemons sent all changes. Configurations
   * come apart from them: as long as one is missing, a watch has to find it.
   */
  private advanceWatch({ era, revision }: StorePosition): void {
    if (this.configurationFetcher.isBehind()) {
      this.heldPosition = { era, revision };
      return;
    }
    this.heldPosition = undefined;
    this.options.advanceStorePosition({ era, revision });
  }

  /** What this daemon has applied, for the log. */
  private logPosition(): Readonly<Record<string, number>> {
    const { era, revision } = this.storePosition;
    return { era, ownVersion: this.version(), revision };
  }

  /** Version of the active configuration; 0 before there is one. */
  private version(): number {
    return this.routeTable?.configuration.version ?? 0;
  }

  private onServersLeaving(leaving: readonly ServerId[], source: string): void {
    for (const serverId of leaving) {
      const { revision } = this.storePosition;
      this.options.log.info('server-leaves', { revision, serverId, source });
      this.options.onServerLeaving(serverId);
    }
  }

  private advance({ era, revision }: StorePosition): void {
    const previous = this.storePosition;
    if (!isLater({ era, revision }, previous)) {
      return;
    }
    this.storePosition = { era, revision };
    if (era !== previous.era && previous !== FIRST_POSITION) {
      this.options.log.warn('store-era-entered', {
        era,
        previousRevision: previous.revision,
        revision,
      });
      this.configurationFetcher.reset();
      this.heldPosition = undefined;
      this.options.onNewEra();
    }
  }
}

function isEmpty(changes: DirectoryChanges): boolean {
  const { configuration, evacuations = [], members, membersGone, servers } = changes;
  const count = evacuations.length + members.length + membersGone.length + servers.length;
  return !configuration && count === 0;
}
