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
  readonly isAlone: () => boolean;
  readonly memberId: MemberId;
}

/** Another daemon, as its last beat told it. */
export interface Peer extends MemberAddress {
  failureDomain: FailureDomainId | undefined;
  /** Late beats of the daemon's earlier life are not taken. */
  formerIncarnation: number | undefined;
  heardMs: number | undefined;
  incarnation: number;
  isDraining: boolean;
  sequence: number;
  storeIsAway: boolean;
}

/** Two beats lost in a row: others do the work of the daemon. */
const LIVE_MS = 1_200;
/** The same for daemons of other domains, whose beats are rarer. */
const FAR_LIVE_MS = 5_000;
/** From this many other daemons on, load is told by domain. */
const FULL_MESH_PEERS = 16;

/** The other daemons by their hosts, and what follows from who of them lives. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeerTableOptions) {}

  /** Takes a daemon that the platform's store names. */
  add(member: MemberAddress): void {
    if (member.host !== this.options.host) {
      this.peerAt(member.host, member.memberId);
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
  heardHosts(): readonly string[] {
    return [...this.peers.values()]
      .filter(({ heardMs }) => heardMs !== undefined)
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
  firstLive(): MemberId {
    let first = this.options.memberId;
    for (const { memberId } of this.live()) {
      first = memberId < first ? memberId : first;
    }
    return first;
  }

  /**
   * The daemon that is asked before a generation is sent to an engine; this one where it is that.
   *
   * @param server - the engine
   * @param without - daemons that are passed over
   * @returns id of the owner
   */
  ownerOf({ failureDomain, serverId }: BackendServer, without: ReadonlySet<MemberId>): MemberId {
    const { memberId } = this.options;
    const others = this.placed().filter((peer) => !peer.isDraining && !without.has(peer.memberId));
    const own = { failureDomain: this.options.failureDomain, memberId };
    return selectEngineOwner(serverId, failureDomain, [...others, own]) ?? memberId;
  }

  /** Whose word names the load of a daemon: its own, or that of its domain. */
  loadSourceOf(memberId: MemberId): MemberId {
    const peer = [...this.peers.values()].find((other) => other.memberId === memberId);
    return peer?.failureDomain === undefined || this.isNear(peer)
      ? memberId
      : domainSourceId(peer.failureDomain);
  }

  /** Whether a live daemon of the same failure domain takes new connections. */
  hasNeighbour(): boolean {
    const { failureDomain } = this.options;
    return this.live().some((peer) => peer.failureDomain === failureDomain && !peer.isDraining);
  }

  /** Whether this daemon watches the platform's store for others. */
  isWatcher(): boolean {
    const { failureDomain, isAlone, memberId } = this.options;
    const own = { failureDomain, memberId, storeIsAway: isAlone() };
    return selectWatchers([...this.placed(), own]).has(memberId);
  }

  /** Whether the store answers no live daemon, this one included. */
  allMissStore(): boolean {
    return this.options.isAlone() && this.live().every(({ storeIsAway }) => storeIsAway);
  }

  /**
   * Takes a beat.
   *
   * @param beat - a daemon's word
   * @returns the daemon, or undefined for a beat of this daemon or one that is older than another
   */
  take(beat: PeerHeartbeat): Peer | undefined {
    if (beat.host === this.options.host) {
      return undefined;
    }
    const peer = this.peerAt(beat.host, beat.memberId);
    const isOld = beat.incarnation === peer.incarnation && beat.sequence <= peer.sequence;
    if (isOld || beat.incarnation === peer.formerIncarnation) {
      return undefined;
    }
    if (beat.incarnation !== peer.incarnation) {
      peer.formerIncarnation = peer.incarnation;
    }
    peer.heardMs = this.options.clock.nowMs();
    peer.incarnation = beat.incarnation;
    peer.sequence = beat.sequence;
    peer.failureDomain = beat.failureDomain;
    peer.isDraining = beat.isDraining;
    peer.storeIsAway = beat.storeIsAway;
    return peer;
  }

  /** Whether this daemon speaks for its failure domain. */
  isFirstOfDomain(): boolean {
    const { failureDomain, memberId } = this.options;
    return this.live().every(
      (peer) => peer.failureDomain !== failureDomain || memberId < peer.memberId,
    );
  }

  /** Daemons that hear every beat of this one. */
  near(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => this.isNear(peer));
  }

  /** Daemons that hear only that this one lives. */
  far(): readonly MemberAddress[] {
    return [...this.peers.values()].filter((peer) => !this.isNear(peer));
  }

  /** The first live daemon of each other domain, where domains keep their beats to themselves. */
  firstsOfFarDomains(): readonly MemberAddress[] {
    const firsts = new Map<FailureDomainId, Peer>();
    for (const peer of this.live()) {
      const { failureDomain } = peer;
      if (failureDomain === undefined || this.isNear(peer)) {
        continue;
      }
      const known = firsts.get(failureDomain);
      if (!known || peer.memberId < known.memberId) {
        firsts.set(failureDomain, peer);
      }
    }
    return [...firsts.values()];
  }

  /** Live daemons whose failure domain is known. */
  private placed(): readonly (Peer & { readonly failureDomain: FailureDomainId })[] {
    return this.live().flatMap((peer) =>
      peer.failureDomain === undefined ? [] : [{ ...peer, failureDomain: peer.failureDomain }],
    );
  }

  private live(): readonly Peer[] {
    const nowMs = this.options.clock.nowMs();
    return [...this.peers.values()].filter((peer) => {
      const liveMs = this.isNear(peer) ? LIVE_MS : FAR_LIVE_MS;
      return peer.heardMs !== undefined && nowMs - peer.heardMs < liveMs;
    });
  }

  /** Small fleets tell everybody everything; in larger ones a domain keeps its beats to itself. */
  private isNear(peer: Peer): boolean {
    return (
      this.peers.size < FULL_MESH_PEERS ||
      peer.failureDomain === undefined ||
      peer.failureDomain === this.options.failureDomain
    );
  }

  private peerAt(host: string, memberId: MemberId): Peer {
    const known = this.peers.get(host);
    if (known?.memberId === memberId) {
      return known;
    }
    const peer: Peer = {
      failureDomain: undefined,
      formerIncarnation: undefined,
      heardMs: undefined,
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
