import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Server } from 'node:http';
import { createServer, get } from 'node:http';
import type { EngineLoad, EngineShare } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import type { SyncPosition } from './LagDetector.js';
import { LagDetector } from './LagDetector.js';
import type {
  ChangesMessage,
  DomainLoadMessage,
  MoveMessage,
  PeerHeartbeat,
  PeerSnapshot,
  RoomMessage,
} from './PeerMessages.js';
import { parseHeartbeat, parsePeerMessage, parseSnapshot, encodeMessage } from './PeerMessages.js';
import type { Peer } from './PeerTable.js';
import { domainSourceId, PeerTable } from './PeerTable.js';
import type { ServingLog } from './ServingLog.js';
import type { MemberAddress } from './ServingPorts.js';

/** Options of the link to the other daemons. */
export interface PeerLinkOptions {
  readonly beatPort: number;
  readonly clock: MonotonicClock;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  readonly incarnation: number;
  readonly isDraining: () => boolean;
  /** The store does not answer this daemon. */
  readonly isAlone: () => boolean;
  readonly load: EngineLoad;
  readonly log: ServingLog;
  readonly leavingIds: () => readonly ServerId[];
  readonly memberId: MemberId;
  /** Another daemon knows more than this one for a while already. */
  readonly onBehind: (peer: MemberAddress) => void;
  /** Another daemon has heard that servers leave. */
  readonly onLeaving: (serverIds: readonly ServerId[]) => void;
  readonly onMessage: (message: ChangesMessage | MoveMessage | RoomMessage) => void;
  readonly ownShares: () => readonly EngineShare[];
  readonly position: () => SyncPosition;
  /** Daemons that may be there before the platform's store was read. */
  readonly seedHosts: readonly string[];
  /** All that this daemon knows; the configuration only where it is newer than `knownVersion`. */
  readonly snapshot: (knownVersion: number) => PeerSnapshot;
  readonly snapshotPort: number;
}

/** Changes are told at least this much later than the first of them, in one message. */
const BEAT_DELAY_MS = 10;
/** Without changes, beats say that the daemon lives. */
const BEAT_INTERVAL_MS = 500;
/** Daemons of other domains say this often that they live. */
const FAR_BEAT_INTERVAL_MS = 2_000;
/** The sum of a domain's load is told this often. */
const DOMAIN_LOAD_INTERVAL_MS = 250;
/** A datagram that is not cut up much. */
const MAX_PUSHED_BYTES = 8_000;
const SNAPSHOT_TIMEOUT_MS = 1_000;
const SNAPSHOT_PATH = '/peer/snapshot';

/**
 * Tells the other daemons what this one has at the engines and how much of the platform's store it
 * knows, and gives all that it knows to a daemon that the store does not answer.
 */
export class PeerLink {
  private beatTimer: NodeJS.Timeout | undefined;
  private domainTimer: NodeJS.Timeout | undefined;
  private farBeatMs = -Infinity;
  private intervalTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private isStopping = false;
  private readonly lagWatch = new LagDetector();
  private sequence = 0;
  private readonly server: Server;
  private readonly socket: Socket;

  /** Who the other daemons are. */
  readonly table: PeerTable;

  constructor(private readonly options: PeerLinkOptions) {
    this.table = new PeerTable(options);
    this.socket = createSocket('udp4');
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://peer');
      const isKnown = url.pathname === SNAPSHOT_PATH;
      response.writeHead(isKnown ? 200 : 404, { 'Content-Type': 'application/json' });
      const knownVersion = Number(url.searchParams.get('version') ?? 0);
      response.end(isKnown ? JSON.stringify(options.snapshot(knownVersion)) : '{}');
    });
  }

  async start(): Promise<void> {
    const { beatPort, host, log, snapshotPort } = this.options;
    this.socket.on('message', (bytes) => {
      this.heard(bytes);
    });
    this.socket.on('error', (error) => {
      log.warn('peer-socket-failed', { reason: error.message });
    });
    await new Promise<void>((resolve) => {
      this.socket.bind(beatPort, host, resolve);
    });
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(snapshotPort, host, resolve);
    });
    this.intervalTimer = setInterval(() => {
      this.beat();
    }, BEAT_INTERVAL_MS);
    this.domainTimer = setInterval(() => {
      this.tellDomainLoad();
    }, DOMAIN_LOAD_INTERVAL_MS);
    this.beat();
  }

  /** Says goodbye and closes. Calling it twice does nothing more. */
  stop(): void {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    clearTimeout(this.beatTimer);
    clearInterval(this.domainTimer);
    clearInterval(this.intervalTimer);
    this.beat();
    this.server.close();
    this.server.closeAllConnections();
    setImmediate(() => {
      this.isClosed = true;
      this.socket.close();
    });
  }

  /** Tells the others soon that something changed. */
  noteChanged(): void {
    if (this.isStopping) {
      return;
    }
    this.beatTimer ??= setTimeout(() => {
      this.beat();
    }, BEAT_DELAY_MS);
  }

  /** Tells all daemons at once. */
  noteUrgent(): void {
    this.farBeatMs = -Infinity;
    this.noteChanged();
  }

  /** Passes changes on to all daemons. Too large ones are fetched by those that see them missing. */
  push(changes: ChangesMessage): void {
    const text = encodeMessage(changes);
    if (text.length > MAX_PUSHED_BYTES) {
      return;
    }
    this.sendAll(text, this.table.hosts());
  }

  /** Sends a message to one daemon. */
  tell(message: MoveMessage | RoomMessage, memberId: MemberId): void {
    this.sendAll(encodeMessage(message), this.table.hostsOf(memberId));
  }

  /** Forgets a daemon and what it has at the engines. */
  removeMember(memberId: MemberId): void {
    this.table.remove(memberId);
    this.options.load.dropMember(memberId);
  }

  /** A daemon to ask for a snapshot: one that was heard, or a seed. */
  anyHost(randomUnit: () => number): string | undefined {
    const heard = this.table.heardHosts();
    const hosts = heard.length > 0 ? heard : this.otherSeeds();
    return hosts[Math.floor(randomUnit() * hosts.length)];
  }

  /** Asks a daemon for all that it knows; undefined when it does not answer. */
  fetchSnapshot(host: string): Promise<PeerSnapshot | undefined> {
    const { log, position, snapshotPort } = this.options;
    return new Promise((resolve) => {
      const request = get(
        {
          agent: false,
          host,
          path: `${SNAPSHOT_PATH}?version=${position().configurationVersion}`,
          port: snapshotPort,
          timeout: SNAPSHOT_TIMEOUT_MS,
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', () => {
            resolve(undefined);
          });
          response.on('end', () => {
            resolve(parseSnapshot(Buffer.concat(chunks).toString()));
          });
        },
      );
      request.on('timeout', () => request.destroy(new Error('timeout')));
      request.on('error', (error) => {
        log.info('peer-snapshot-failed', { host, reason: error.message });
        resolve(undefined);
      });
    });
  }

  private otherSeeds(): readonly string[] {
    return this.options.seedHosts.filter((host) => host !== this.options.host);
  }

  private beat(): void {
    clearTimeout(this.beatTimer);
    this.beatTimer = undefined;
    const { failureDomain, host, incarnation, leavingIds, load, memberId } = this.options;
    const shares = this.options.ownShares();
    load.setOwn(shares);
    this.sequence += 1;
    const { isStopping, sequence } = this;
    const beat: PeerHeartbeat = {
      ...this.options.position(),
      failureDomain,
      host,
      incarnation,
      isDraining: this.options.isDraining(),
      isStopping,
      leavingIds: leavingIds(),
      memberId,
      sequence,
      shares,
      storeIsAway: this.options.isAlone(),
    };
    this.sendAll(encodeMessage(beat), [...hostsOf(this.table.near()), ...this.otherSeeds()]);
    const nowMs = this.options.clock.nowMs();
    if (isStopping || nowMs - this.farBeatMs >= FAR_BEAT_INTERVAL_MS) {
      this.farBeatMs = nowMs;
      this.sendAll(encodeMessage({ ...beat, shares: [] }), hostsOf(this.table.far()));
    }
  }

  /** The first daemon of a domain tells the first ones of the others what its domain has. */
  private tellDomainLoad(): void {
    const { clock, failureDomain, load } = this.options;
    const firsts = this.table.firstsOfFarDomains();
    if (firsts.length === 0 || !this.table.isFirstOfDomain()) {
      return;
    }
    const near = new Set(this.table.near().map(({ memberId }) => memberId));
    const shares = load.sumOf(near, clock.nowMs());
    const message: DomainLoadMessage = { failureDomain, kind: 'domainLoad', shares };
    this.sendAll(encodeMessage(message), hostsOf(firsts));
  }

  private domainLoadHeard(message: DomainLoadMessage): void {
    const { clock, failureDomain, load } = this.options;
    if (message.failureDomain === failureDomain) {
      return;
    }
    load.noteMember(domainSourceId(message.failureDomain), message.shares, clock.nowMs());
    if (this.table.isFirstOfDomain()) {
      this.sendAll(encodeMessage(message), hostsOf(this.table.near()));
    }
  }

  private sendAll(text: string, hosts: readonly string[]): void {
    if (this.isClosed) {
      return;
    }
    const bytes = Buffer.from(text);
    for (const host of new Set(hosts)) {
      this.socket.send(bytes, this.options.beatPort, host, () => {
        // A lost datagram is followed by the next one.
      });
    }
  }

  private heard(bytes: Buffer): void {
    const beat = parseHeartbeat(bytes);
    if (!beat) {
      const message = parsePeerMessage(bytes);
      if (message?.kind === 'domainLoad') {
        this.domainLoadHeard(message);
      } else if (message) {
        this.options.onMessage(message);
      }
      return;
    }
    const peer = this.table.take(beat);
    if (!peer) {
      return;
    }
    const { clock, load } = this.options;
    if (beat.isStopping) {
      this.removeMember(beat.memberId);
      return;
    }
    const nowMs = clock.nowMs();
    load.noteMember(beat.memberId, beat.shares, nowMs);
    this.options.onLeaving(beat.leavingIds);
    this.compare(beat, peer, nowMs);
  }

  private compare(beat: PeerHeartbeat, peer: Peer, nowMs: number): void {
    const { isAlone, onBehind, position } = this.options;
    if (this.lagWatch.isDue(beat, position(), isAlone(), nowMs)) {
      onBehind(peer);
    }
  }
}

function hostsOf(members: readonly MemberAddress[]): readonly string[] {
  return members.map(({ host }) => host);
}
