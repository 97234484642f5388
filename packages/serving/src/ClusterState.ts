import type { ServerRegistry, ServingConfiguration } from '@laburnumgap/dispatch';
import { RouteTable } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, Revision, ServerId } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { SyncPosition } from './LagDetector.js';
import type { PeerLink } from './PeerLink.js';
import type { ChangesMessage, PeerSnapshot } from './PeerMessages.js';
import { serverChangesOf } from './PeerMessages.js';
import type { ServingLog } from './ServingLog.js';
import type { DirectoryChanges, PlatformDirectory } from './ServingPorts.js';

/** The other daemons, as far as this one learns from them. */
export type ClusterPeers = Pick<
  PeerLink,
  'anyHost' | 'fetchSnapshot' | 'noteChanged' | 'noteUrgent' | 'push' | 'removeMember'
> & { readonly table: Pick<PeerLink['table'], 'add' | 'members'> };

/** Options of what a daemon knows. */
export interface ClusterStateOptions {
  /** Tells the follower of the store that everything up to a revision is known. */
  readonly advance: (revision: Revision) => void;
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory;
  readonly host: string;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  readonly onConfiguration: (table: RouteTable) => void;
  readonly onServerLeaves: (serverId: ServerId) => void;
  readonly peers: () => ClusterPeers;
  readonly randomUnit: () => number;
  readonly registry: ServerRegistry;
}

/** Snapshots that are fetched at the same time: one may hang for its whole timeout. */
const MAX_SNAPSHOTS_UNDER_WAY = 2;

/**
 * What a daemon knows of configuration, servers and members, from the store, from other daemons and
 * from engines. Never goes back to an older version or revision.
 */
export class ClusterState {
  private hasServers = false;
  private revision: Revision = toNumberId<Revision>(0);
  private snapshotsUnderWay = 0;
  private table: RouteTable | undefined;
  /** Version that is being read; several watchers push the same one. */
  private versionAsked = 0;

  constructor(private readonly options: ClusterStateOptions) {}

  /** The configuration in force, also while the servers are not known. */
  configured(): RouteTable | undefined {
    return this.table;
  }

  /** The configuration in force once the servers are known, too. */
  usable(): RouteTable | undefined {
    return this.hasServers ? this.table : undefined;
  }

  /** Whether the servers are known. */
  knowsServers(): boolean {
    return this.hasServers;
  }

  /** How far this daemon is. */
  position(): SyncPosition {
    return { configurationVersion: this.version(), revision: this.revision };
  }

  /** Ends the wait for entries that lapsed. */
  expireLapsed(): void {
    const { clock, registry } = this.options;
    this.serversLeave(registry.expireLapsed(clock.nowMs()), 'lapsed');
  }

  /** Takes what the platform's store said, and passes it on. */
  takeFromStore(changes: DirectoryChanges, isWhole: boolean): void {
    const before = this.revision;
    this.passOn(changes, isWhole);
    this.applyChanges(changes, isWhole);
    if (this.revision > before) {
      // Only daemons that the store told beat at once: all beats at each change would fill small links.
      this.options.peers().noteChanged();
    }
  }

  /** Takes what another daemon passed on. */
  changesPushed(message: ChangesMessage): void {
    if (message.configurationVersion > Math.max(this.version(), this.versionAsked)) {
      void this.readConfiguration(message.configurationVersion, message.host);
    }
    const isKnown = message.revision <= this.revision;
    if (isKnown || !this.hasServers || message.sinceRevision > this.revision) {
      return;
    }
    this.applyChanges({ ...message, configuration: undefined, unreadable: [] }, false);
    this.options.advance(message.revision);
  }

  /** Takes word that servers leave, before the store says so. */
  noteLeaving(serverIds: readonly ServerId[], source: string): void {
    const news = serverIds.filter((serverId) => this.options.registry.noteLeaving(serverId));
    if (news.length > 0) {
      this.serversLeave(news, source);
      this.options.peers().noteUrgent();
    }
  }

  /** Learns from some daemon what the store does not tell. */
  askAnyPeer(): void {
    const host = this.options.peers().anyHost(this.options.randomUnit);
    if (host !== undefined) {
      void this.learnFrom(host);
    }
  }

  /**
   * Learns all that a daemon knows. Does nothing while others are asked: each beat of each daemon
   * that knows more may lead here, and a small link would carry nothing but snapshots.
   */
  async learnFrom(host: string): Promise<void> {
    if (this.snapshotsUnderWay >= MAX_SNAPSHOTS_UNDER_WAY) {
      return;
    }
    this.snapshotsUnderWay += 1;
    const snapshot = await this.options.peers().fetchSnapshot(host);
    this.snapshotsUnderWay -= 1;
    if (snapshot) {
      this.takeSnapshot(snapshot, host);
    }
  }

  /** All that is known; the configuration only where it is newer than `knownVersion`. */
  snapshot(knownVersion: number): PeerSnapshot {
    const { host, memberId } = this.options;
    return {
      configuration: this.version() > knownVersion ? this.table?.configuration : undefined,
      members: [{ host, memberId }, ...this.options.peers().table.members()],
      revision: this.revision,
      servers: this.options.registry.all(),
    };
  }

  private takeSnapshot(snapshot: PeerSnapshot, host: string): void {
    snapshot.members.forEach((member) => {
      this.options.peers().table.add(member);
    });
    if (snapshot.configuration) {
      this.applyConfiguration(snapshot.configuration, `peer ${host}`);
    }
    if (snapshot.revision > this.revision && snapshot.servers.length > 0) {
      const nowMs = this.options.clock.nowMs();
      const changes = serverChangesOf(snapshot);
      const leaving = this.options.registry.replace(changes, snapshot.revision, nowMs);
      this.hasServers = true;
      this.options.advance(snapshot.revision);
      this.noteRevision(snapshot.revision);
      this.serversLeave(leaving, `peer ${host}`);
    }
  }

  private applyChanges(changes: DirectoryChanges, isWhole: boolean): void {
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
    const leaving = isWhole
      ? this.options.registry.replace(changes.servers, changes.revision, nowMs)
      : this.options.registry.apply(changes.servers, nowMs);
    this.hasServers ||= isWhole;
    changes.members.forEach((member) => {
      this.options.peers().table.add(member);
    });
    changes.membersGone.forEach((memberId) => {
      this.options.peers().removeMember(memberId);
    });
    if (isWhole || !isEmpty(changes)) {
      this.noteRevision(changes.revision);
    }
    this.serversLeave(leaving, 'store');
  }

  /** Tells the other daemons what a watch brought, so that few of them watch. */
  private passOn(changes: DirectoryChanges, isWhole: boolean): void {
    const { members, membersGone, revision, servers } = changes;
    if (isWhole || isEmpty(changes)) {
      return;
    }
    this.options.peers().push({
      configurationVersion: changes.configuration?.version ?? 0,
      host: this.options.host,
      kind: 'changes',
      members,
      membersGone,
      revision,
      servers,
      sinceRevision: this.revision,
    });
  }

  /** The store gives the configuration itself; another daemon does where the store does not. */
  private async readConfiguration(version: number, otherwiseHost: string): Promise<void> {
    this.versionAsked = version;
    const read = await this.options.directory.readConfiguration();
    this.versionAsked = 0;
    if (read.ok) {
      this.applyConfiguration(read.value, 'store');
      return;
    }
    this.options.log.warn('configuration-not-read', read.error);
    await this.learnFrom(otherwiseHost);
  }

  private applyConfiguration(configuration: ServingConfiguration, source: string): void {
    const { version } = configuration;
    if (version <= this.version()) {
      return;
    }
    this.table = new RouteTable(configuration);
    this.options.onConfiguration(this.table);
    this.options.log.info('configuration-applied', { source, version });
  }

  /** Version in force; 0 before there is one. */
  private version(): number {
    return this.table?.configuration.version ?? 0;
  }

  private serversLeave(leaving: readonly ServerId[], source: string): void {
    for (const serverId of leaving) {
      this.options.log.info('server-leaves', { revision: this.revision, serverId, source });
      this.options.onServerLeaves(serverId);
    }
  }

  private noteRevision(revision: Revision): void {
    if (revision > this.revision) {
      this.revision = revision;
    }
  }
}

function isEmpty({ configuration, members, membersGone, servers }: DirectoryChanges): boolean {
  return !configuration && members.length + membersGone.length + servers.length === 0;
}
