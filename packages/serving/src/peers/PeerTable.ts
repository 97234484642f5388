import type { AnnouncementTargets, BackendServer, TunnelPeer } from '@laburnumgap/dispatch';
import {
  rankMembers,
  selectAnnouncementTargets,
  selectEngineOwner,
  selectEvidenceKeepers,
  selectWatchers,
} from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  FingerprintId,
  MemberId,
  MonotonicClock,
  ServerId,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { DomainMember, PeerHeartbeat } from './PeerMessages.js';
import type { MemberAddress } from '../ServingPorts.js';

/** Options of {@link PeerTable}. */
export interface PeerTableOptions {
  readonly clock: MonotonicClock;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** Whether the platform's store does not respond to this daemon. */
  readonly isStoreDown: () => boolean;
  readonly memberId: MemberId;
}

/** Another daemon, as of its last heartbeat. */
export interface Peer extends MemberAddress {
  /** Undefined until the first heartbeat. */
  failureDomain: FailureDomainId | undefined;
  incarnation: number;
  /** The daemon reaches servers only through others. */
  isCutOff: boolean;
  isDraining: boolean;
  lastHeardMs: number | undefined;
  /** Incarnation before the last restart; its late heartbeats are ignored. */
  previousIncarnation: number | undefined;
  sequence: number;
  storeIsAway: boolean;
}

/** A daemon counts as dead after two lost heartbeats in a row, and others take over its duties. */
const LIVENESS_TIMEOUT_MS = 1_200;
/** The same for daemons of other failure domains, whose liveness is reported by their domain. */
const REMOTE_LIVENESS_TIMEOUT_MS = 5_000;
/** With at least this many peers, load is exchanged between failure domains only as domain sums. */
const DOMAIN_AGGREGATION_MIN_PEERS = 16;

/**
 * The other daemons by host, and the roles that follow from their liveness, such as engine owners.
 */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeerTableOptions) {}

  /** Adds a daemon that the store or a snapshot names. */
  add(member: MemberAddress): void {
    if (member.host !== this.options.host) {
      this.getOrCreate(member.host, member.memberId);
    }
  }

  /** Removes a daemon. */
  remove(memberId: MemberId): void {
    for (const [host, peer] of this.peers) {
      if (peer.memberId === memberId) {
        this.peers.delete(host);
      }
    }
  }

  /** Hosts of all known daemons except this one. */
  hosts(): readonly string[] {
    return [...this.peers.keys()];
  }

  /** Hosts under which a daemon is known; empty when it is unknown. */
  hostsOf(memberId: MemberId): readonly string[] {
    return [...this.peers.values()]
      .filter((peer) => peer.memberId === memberId)
      .map(({ host }) => host);
  }

  /** Hosts of the daemons that have sent at least one heartbeat. */
  seenHosts(): readonly string[] {
    return [...this.peers.values()]
      .filter(({ lastHeardMs }) => lastHeardMs !== undefined)
      .map(({ host }) => host);
  }

  /** Known daemons except this one. */
  members(): readonly MemberAddress[] {
    return [...this.peers.values()].map(({ host, memberId }) => ({ host, memberId }));
  }

  /** Number of known daemons, including dead ones and this one. */
  knownCount(): number {
    return this.peers.size + 1;
  }

  /** Smallest id among the live daemons, including this one. */
  lowestLiveId(): MemberId {
    let lowestId = this.options.memberId;
    for (const { memberId } of this.livePeers()) {
      lowestId = memberId < lowestId ? memberId : lowestId;
    }
    return lowestId;
  }

  /**
   * Selects the daemon that grants capacity at an engine and permits for a server. Draining daemons are
   * not considered.
   *
   * @param server - the server
   * @param excluded - daemons that must not be selected; this one is, where no other is left
   * @returns id of the owner; may be this daemon
   */
  engineOwner(
    { failureDomain, serverId }: BackendServer,
    excluded: ReadonlySet<MemberId>,
  ): MemberId {
    const { memberId } = this.options;
    const others = this.livePeersWithDomain().filter(
      (peer) => !peer.isDraining && !excluded.has(peer.memberId),
    );
    const self = { failureDomain: this.options.failureDomain, memberId };
    const candidates = excluded.has(memberId) ? others : [...others, self];
    return selectEngineOwner(serverId, failureDomain, candidates) ?? memberId;
  }

  /**
   * Selects the daemons that keep the evidence about a fingerprint. Draining daemons are not considered.
   *
   * @param fingerprint - the fingerprint
   * @returns ids of the keepers, the one in charge first; may include this daemon
   */
  evidenceKeepers(fingerprint: FingerprintId): readonly MemberId[] {
    const { failureDomain, memberId } = this.options;
    const others = this.livePeersWithDomain().filter((peer) => !peer.isDraining);
    return selectEvidenceKeepers(fingerprint, [...others, { failureDomain, memberId }]);
  }

  /**
   * Source under which the load of a daemon is recorded.
   *
   * @param memberId - the daemon
   * @returns the daemon itself, or its failure domain where only the domain's sum is received
   */
  loadSourceOf(memberId: MemberId): MemberId {
    const peer = [...this.peers.values()].find((other) => other.memberId === memberId);
    return peer?.failureDomain === undefined || this.exchangesFullUpdates(peer)
      ? memberId
      : domainSourceId(peer.failureDomain);
  }

  /** Number of known daemons, dead ones included, that rank before this one for a server. */
  rankOf(serverId: ServerId): number {
    const { host, memberId } = this.options;
    const ranked = rankMembers([...this.members(), { host, memberId }], serverId);
    return ranked.findIndex((member) => member.memberId === memberId);
  }

  /** Whether more than half of the known daemons live, as far as this daemon hears. */
  seesMajority(): boolean {
    return 2 * (this.livePeers().length + 1) > this.knownCount();
  }

  /** Whether a daemon lives, as far as this one hears. */
  isLive(memberId: MemberId): boolean {
    return this.livePeers().some((peer) => peer.memberId === memberId);
  }

  /** Live daemons that may pass connections to servers on. */
  tunnelPeers(): readonly TunnelPeer[] {
    return this.livePeers().filter(({ isCutOff, isDraining }) => !isCutOff && !isDraining);
  }

  /** Whether a daemon said that it shuts down. */
  isDraining(memberId: MemberId): boolean {
    return [...this.peers.values()].some((peer) => peer.memberId === memberId && peer.isDraining);
  }

  /** Whether a daemon has this address. */
  isMemberHost(host: string): boolean {
    return this.peers.has(host);
  }

  /** Whether another live daemon of this failure domain accepts new connections. */
  hasDomainSuccessor(): boolean {
    const { failureDomain } = this.options;
    return this.livePeers().some(
      (peer) => peer.failureDomain === failureDomain && !peer.isDraining,
    );
  }

  /** Whether this daemon watches the platform's store on behalf of the fleet. */
  isWatcher(): boolean {
    return this.isWatchedBy(this.options.memberId);
  }

  /** Whether a daemon watches the platform's store on behalf of the fleet, as far as this one hears. */
  isWatchedBy(memberId: MemberId): boolean {
    const { failureDomain, isStoreDown, memberId: ownId } = this.options;
    const self = { failureDomain, memberId: ownId, storeIsAway: isStoreDown() };
    return selectWatchers([...this.livePeersWithDomain(), self]).has(memberId);
  }

  /** Whether the store responds to no live daemon, including this one. */
  isStoreDownForAll(): boolean {
    return this.options.isStoreDown() && this.livePeers().every(({ storeIsAway }) => storeIsAway);
  }

  /**
   * Records a heartbeat.
   *
   * @param heartbeat - the heartbeat
   * @returns the sender, or undefined for an own heartbeat or one that arrived out of order
   */
  recordHeartbeat(heartbeat: PeerHeartbeat): Peer | undefined {
    if (heartbeat.host === this.options.host) {
      return undefined;
    }
    const peer = this.getOrCreate(heartbeat.host, heartbeat.memberId);
    const isStale =
      heartbeat.incarnation === peer.incarnation && heartbeat.sequence <= peer.sequence;
    if (isStale || heartbeat.incarnation === peer.previousIncarnation) {
      return undefined;
    }
    if (heartbeat.incarnation !== peer.incarnation) {
      peer.previousIncarnation = peer.incarnation;
    }
    peer.lastHeardMs = this.options.clock.nowMs();
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    peer.failureDomain = heartbeat.failureDomain;
    peer.isCutOff = heartbeat.isCutOff ?? false;
    peer.isDraining = heartbeat.isDraining;
    peer.storeIsAway = heartbeat.storeIsAway;
    return peer;
  }

  /** Live daemons of this failure domain, including this one, for the other domains. */
  domainMembers(self: {
    readonly isCutOff: boolean;
    readonly isDraining: boolean;
  }): readonly DomainMember[] {
    const { failureDomain, host, isStoreDown, memberId } = this.options;
    const neighbours = this.livePeers().filter((peer) => peer.failureDomain === failureDomain);
    return [
      { ...self, host, memberId, storeIsAway: isStoreDown() },
      ...neighbours.map((peer) => ({
        host: peer.host,
        isCutOff: peer.isCutOff,
        isDraining: peer.isDraining,
        memberId: peer.memberId,
        storeIsAway: peer.storeIsAway,
      })),
    ];
  }

  /**
   * Records the live daemons of another failure domain. Known daemons of it that are not listed count
   * as dead, unless they were heard from directly a moment ago.
   *
   * @param failureDomain - the domain
   * @param members - its live daemons
   */
  recordDomain(failureDomain: FailureDomainId, members: readonly DomainMember[]): void {
    const nowMs = this.options.clock.nowMs();
    const listedHosts = new Set(members.map(({ host }) => host));
    for (const { host, isCutOff = false, isDraining, memberId, storeIsAway } of members) {
      if (host !== this.options.host) {
        const peer = this.getOrCreate(host, memberId);
        Object.assign(peer, {
          failureDomain,
          isCutOff,
          isDraining,
          lastHeardMs: nowMs,
          storeIsAway,
        });
      }
    }
    for (const peer of this.peers.values()) {
      const isOfDomain = peer.failureDomain === failureDomain;
      const wasHeard = nowMs - (peer.lastHeardMs ?? -Infinity) < LIVENESS_TIMEOUT_MS;
      if (isOfDomain && !listedHosts.has(peer.host) && !wasHeard) {
        peer.lastHeardMs = undefined;
      }
    }
  }

  /**
   * Whether this daemon sends the summed load of its failure domain: the live one with the smallest
   * id.
   */
  isDomainAggregator(): boolean {
    const { failureDomain, memberId } = this.options;
    return this.livePeers().every(
      (peer) => peer.failureDomain !== failureDomain || memberId < peer.memberId,
    );
  }

  /**
   * Receivers of the announcement of a new configuration.
   *
   * @param originDomain - domain of the daemon that it was fetched from; the own one for the store
   */
  announcementTargets(originDomain: FailureDomainId): AnnouncementTargets {
    const { failureDomain, memberId } = this.options;
    const candidates = this.livePeersWithDomain();
    return selectAnnouncementTargets({
      candidates,
      originDomain,
      sender: { failureDomain, memberId },
    });
  }

  /** Daemons that receive every heartbeat of this one, with its load. */
  fullUpdatePeers(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => this.exchangesFullUpdates(peer));
  }

  /** Daemons that receive only infrequent heartbeats without load. */
  livenessOnlyPeers(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => !this.exchangesFullUpdates(peer));
  }

  /** Aggregators of the failure domains that receive this domain's load only as a sum. */
  remoteDomainAggregators(): readonly MemberAddress[] {
    const aggregators = new Map<FailureDomainId, Peer>();
    for (const peer of this.livePeers()) {
      const { failureDomain } = peer;
      if (failureDomain === undefined || this.exchangesFullUpdates(peer)) {
        continue;
      }
      const current = aggregators.get(failureDomain);
      if (!current || peer.memberId < current.memberId) {
        aggregators.set(failureDomain, peer);
      }
    }
    return [...aggregators.values()];
  }

  /** Live daemons whose failure domain is known. */
  private livePeersWithDomain(): readonly (Peer & { readonly failureDomain: FailureDomainId })[] {
    return this.livePeers().flatMap((peer) =>
      peer.failureDomain === undefined ? [] : [{ ...peer, failureDomain: peer.failureDomain }],
    );
  }

  private livePeers(): readonly Peer[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.peers.values()].filter((peer) => {
      const timeoutMs = this.exchangesFullUpdates(peer)
        ? LIVENESS_TIMEOUT_MS
        : REMOTE_LIVENESS_TIMEOUT_MS;
      return peer.lastHeardMs !== undefined && nowMs - peer.lastHeardMs < timeoutMs;
    });
  }

  /**
   * Small fleets are a full mesh; in larger ones only daemons of one domain exchange their load
   * directly.
   */
  private exchangesFullUpdates(peer: Peer): boolean {
    return (
      this.peers.size < DOMAIN_AGGREGATION_MIN_PEERS ||
      peer.failureDomain === undefined ||
      peer.failureDomain === this.options.failureDomain
    );
  }

  private getOrCreate(host: string, memberId: MemberId): Peer {
    const current = this.peers.get(host);
    if (current?.memberId === memberId) {
      return current;
    }
    const peer: Peer = {
      failureDomain: undefined,
      previousIncarnation: undefined,
      lastHeardMs: undefined,
      host,
      incarnation: 0,
      isCutOff: false,
      isDraining: false,
      memberId,
      sequence: 0,
      storeIsAway: false,
    };
    this.peers.set(host, peer);
    return peer;
  }
}

/**
 * Id under which the summed load of a failure domain is recorded.
 *
 * @param failureDomain - the domain
 * @returns an id that no daemon has
 */
export function domainSourceId(failureDomain: FailureDomainId): MemberId {
  return toId<MemberId>(`domain ${failureDomain}`);
}
