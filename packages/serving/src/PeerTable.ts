import type { BackendServer } from '@laburnumgap/dispatch';
import { selectEngineOwner, selectWatchers } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PeerHeartbeat } from './PeerMessages.js';
import type { MemberAddress } from './ServingPorts.js';

/** Options of a table. */
export interface PeerTableOptions {
  readonly clock: MonotonicClock;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** The store does not answer this daemon. */
  readonly isStoreDown: () => boolean;
  readonly memberId: MemberId;
}

/** Another daemon, as its last beat told it. */
export interface Peer extends MemberAddress {
  failureDomain: FailureDomainId | undefined;
  /** Late beats of the daemon's earlier life are not taken. */
  previousIncarnation: number | undefined;
  lastHeardMs: number | undefined;
  incarnation: number;
  isDraining: boolean;
  sequence: number;
  storeIsAway: boolean;
}

/** Two beats lost in a row: others do the work of the daemon. */
const LIVENESS_TIMEOUT_MS = 1_200;
/** The same for daemons of other domains, whose beats are rarer. */
const LIVENESS_ONLY_TIMEOUT_MS = 5_000;
/** From this many other daemons on, load is told by domain. */
const DOMAIN_AGGREGATION_MIN_PEERS = 16;

/** The other daemons by their hosts, and what follows from who of them lives. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeerTableOptions) {}

  /** Takes a daemon that the platform's store names. */
  add(member: MemberAddress): void {
    if (member.host !== this.options.host) {
      this.getOrCreate(member.host, member.memberId);
    }
  }

  /** Forgets a daemon. */
  remove(memberId: MemberId): void {
    for (const [host, peer] of this.peers) {
      if (peer.memberId === memberId) {
        this.peers.delete(host);
      }
    }
  }

  /** Hosts of all daemons. */
  hosts(): readonly string[] {
    return [...this.peers.keys()];
  }

  /** Host of one daemon, if it is known. */
  hostsOf(memberId: MemberId): readonly string[] {
    return [...this.peers.values()]
      .filter((peer) => peer.memberId === memberId)
      .map(({ host }) => host);
  }

  /** Hosts of the daemons that were ever heard. */
  seenHosts(): readonly string[] {
    return [...this.peers.values()]
      .filter(({ lastHeardMs }) => lastHeardMs !== undefined)
      .map(({ host }) => host);
  }

  /** Daemons that are known, this one not included. */
  members(): readonly MemberAddress[] {
    return [...this.peers.values()].map(({ host, memberId }) => ({ host, memberId }));
  }

  /** Daemons that are known, also those that are silent now, this one included. */
  knownCount(): number {
    return this.peers.size + 1;
  }

  /** The live daemon with the smallest id; this one where it is that. */
  lowestLiveId(): MemberId {
    let lowestId = this.options.memberId;
    for (const { memberId } of this.livePeers()) {
      lowestId = memberId < lowestId ? memberId : lowestId;
    }
    return lowestId;
  }

  /**
   * The daemon that is asked before a generation is sent to an engine; this one where it is that.
   *
   * @param server - the engine
   * @param excluded - daemons that are passed over
   * @returns id of the owner
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
    return selectEngineOwner(serverId, failureDomain, [...others, self]) ?? memberId;
  }

  /** Whose word names the load of a daemon: its own, or that of its domain. */
  loadSourceOf(memberId: MemberId): MemberId {
    const peer = [...this.peers.values()].find((other) => other.memberId === memberId);
    return peer?.failureDomain === undefined || this.exchangesFullUpdates(peer)
      ? memberId
      : domainSourceId(peer.failureDomain);
  }

  /** Whether a live daemon of the same failure domain takes new connections. */
  hasDomainSuccessor(): boolean {
    const { failureDomain } = this.options;
    return this.livePeers().some(
      (peer) => peer.failureDomain === failureDomain && !peer.isDraining,
    );
  }

  /** Whether this daemon watches the platform's store for others. */
  isWatcher(): boolean {
    const { failureDomain, isStoreDown, memberId } = this.options;
    const self = { failureDomain, memberId, storeIsAway: isStoreDown() };
    return selectWatchers([...this.livePeersWithDomain(), self]).has(memberId);
  }

  /** Whether the store answers no live daemon, this one included. */
  isStoreDownForAll(): boolean {
    return this.options.isStoreDown() && this.livePeers().every(({ storeIsAway }) => storeIsAway);
  }

  /**
   * Takes a beat.
   *
   * @param heartbeat - a daemon's word
   * @returns the daemon, or undefined for a beat of this daemon or one that is older than another
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
    peer.isDraining = heartbeat.isDraining;
    peer.storeIsAway = heartbeat.storeIsAway;
    return peer;
  }

  /** Whether this daemon speaks for its failure domain. */
  isDomainAggregator(): boolean {
    const { failureDomain, memberId } = this.options;
    return this.livePeers().every(
      (peer) => peer.failureDomain !== failureDomain || memberId < peer.memberId,
    );
  }

  /** Daemons that hear every beat of this one. */
  fullUpdatePeers(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => this.exchangesFullUpdates(peer));
  }

  /** Daemons that hear only that this one lives. */
  livenessOnlyPeers(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => !this.exchangesFullUpdates(peer));
  }

  /** The first live daemon of each other domain, where domains keep their beats to themselves. */
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
        : LIVENESS_ONLY_TIMEOUT_MS;
      return peer.lastHeardMs !== undefined && nowMs - peer.lastHeardMs < timeoutMs;
    });
  }

  /** Small fleets tell everybody everything; in larger ones a domain keeps its beats to itself. */
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
 * Names a whole domain as the source of a load.
 *
 * @param failureDomain - the domain
 * @returns an id that no daemon has
 */
export function domainSourceId(failureDomain: FailureDomainId): MemberId {
  return toId<MemberId>(`domain ${failureDomain}`);
}
