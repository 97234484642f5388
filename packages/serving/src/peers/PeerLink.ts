import type {
  ColdReport,
  EngineLoad,
  EngineShare,
  LimitReport,
  QuarantineReport,
  ServerIncarnation,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock } from '@laburnumgap/kernel';
import type { SyncPosition } from './LagDetector.js';
import { LagDetector } from './LagDetector.js';
import type {
  BackoffMessage,
  CapacityMessage,
  ChangesMessage,
  ConfigurationMessage,
  DomainDigest,
  DomainLoadMessage,
  MoveMessage,
  PeerHeartbeat,
  PeerMessage,
  PeerSnapshot,
  PermitMessage,
  QuarantineMessage,
} from './PeerMessages.js';
import {
  encodeConfiguration,
  encodeMessage,
  encodeSnapshot,
  parseConfiguration,
  parseDatagram,
  parseSnapshot,
  withoutChanges,
} from './PeerMessages.js';
import type { EvacuationCoordinator } from './EvacuationCoordinator.js';
import { domainSourceId, PeerTable } from './PeerTable.js';
import type { PeerTransport } from './PeerTransport.js';
import type { ServiceShortage } from './ShortageReportCodec.js';
import type { SpeedExchange } from './SpeedReports.js';
import type { ServingLog } from '../ServingLog.js';
import type { MemberAddress } from '../ServingPorts.js';

/** Exchanges what daemons know of their waiting generations. */
export interface ShortageExchange {
  /** Summed report of this daemon and others. */
  domainReport(memberIds: ReadonlySet<MemberId>): readonly ServiceShortage[];
  /** Records the report of another daemon, or of another failure domain. */
  recordReport(sourceId: MemberId, report: readonly ServiceShortage[]): void;
  report(): readonly ServiceShortage[];
}

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  readonly clock: MonotonicClock;
  /** Servers that this daemon found to be cold; none by default. */
  readonly coldServers?: () => readonly ColdReport[];
  /** Evacuated failure domains; not followed where it is absent. */
  readonly evacuations?: Pick<EvacuationCoordinator, 'mergeReports' | 'reports'>;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  readonly incarnation: number;
  /** Whether this daemon reaches servers only through others. */
  readonly isCutOff: () => boolean;
  readonly isDraining: () => boolean;
  /** Whether the platform's store does not respond to this daemon. */
  readonly isStoreDown: () => boolean;
  readonly leavingServers: () => readonly ServerIncarnation[];
  /** Limits of requests that servers named. */
  readonly limits: () => readonly LimitReport[];
  readonly load: EngineLoad;
  readonly localShares: () => readonly EngineShare[];
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /** Called with the servers that a peer found to be cold. */
  readonly onColdServers?: (reports: readonly ColdReport[]) => void;
  /** Called when this daemon has lagged behind others for too long, with a peer that is ahead. */
  readonly onLagging: (peer: MemberAddress) => void;
  /** Called with the servers that a peer reports as leaving. */
  readonly onLeaving: (servers: readonly ServerIncarnation[]) => void;
  /** Called with the limits of servers that a peer knows. */
  readonly onLimits: (limits: readonly LimitReport[]) => void;
  readonly onMessage: (message: Exclude<PeerMessage, DomainLoadMessage>) => void;
  /** Called with the time before now up to which a peer knows all changes of the store. */
  readonly onStoreAge: (ageMs: number) => void;
  /** Called with the quarantines that a peer reports. */
  readonly onQuarantines: (reports: readonly QuarantineReport[]) => void;
  /** The active configuration. */
  readonly configuration: () => ServingConfiguration | undefined;
  /** Configuration version and store revision that this daemon has applied. */
  readonly position: () => SyncPosition;
  /** Quarantines for one heartbeat. */
  readonly quarantines: () => readonly QuarantineReport[];
  /** Absent where daemons do not share a shortage. */
  readonly shortage?: ShortageExchange;
  /** Hosts of daemons to contact before the platform's store was read. */
  readonly seedHosts: readonly string[];
  /**
   * State of this daemon for a peer; contains the configuration only if newer than `knownVersion`.
   */
  readonly snapshot: (knownVersion: number) => PeerSnapshot;
  /** Observed speeds of engines; not exchanged where it is absent. */
  readonly speeds?: SpeedExchange;
  /** Age of what this daemon knows of the store; undefined before it knows anything. */
  readonly storeAgeMs: () => number | undefined;
  readonly transport: PeerTransport;
}

/** Delay of a heartbeat after a change, so that further changes go into the same heartbeat. */
const HEARTBEAT_COALESCE_MS = 10;
/** Interval of the heartbeats that are sent without a change. */
const HEARTBEAT_INTERVAL_MS = 500;
/**
 * Interval of the heartbeats without load to daemons of other failure domains. They hear who lives from
 * their domain's aggregator; these only cover for a domain whose aggregator does not report.
 */
const LIVENESS_ONLY_HEARTBEAT_INTERVAL_MS = 10_000;
/** Interval at which the summed load of a failure domain is sent to the other domains. */
const DOMAIN_LOAD_INTERVAL_MS = 250;
/** Every so many of these messages also report the live daemons of the domain. */
const MESSAGES_PER_DIGEST = 4;
/** Largest change message that is sent as a datagram: few IP fragments. */
const MAX_CHANGES_MESSAGE_BYTES = 8_000;
const SNAPSHOT_TIMEOUT_MS = 1_000;
const SNAPSHOT_PATH = '/peer/snapshot';
/** After this the store is asked instead: well within the time for a configuration to be in force. */
const CONFIGURATION_TIMEOUT_MS = 500;
const CONFIGURATION_PATH = '/peer/configuration';
/** Delay before a relay also tells the daemons that the other relay of its domain should have told. */
const OTHER_RELAY_DELAY_MS = 150;
/** Far above the state of the largest fleet: the store takes at most 1 MiB of configuration. */
const MAX_STATE_BYTES = 16_777_216;

/**
 * Exchanges heartbeats and messages with the other daemons: load at the engines, leaving servers and
 * the applied revision of the store. Serves snapshots to daemons that the store does not respond to.
 */
export class PeerLink {
  private coalesceTimer: NodeJS.Timeout | undefined;
  private domainLoadCount = 0;
  private domainLoadTimer: NodeJS.Timeout | undefined;
  private encodedConfiguration: { readonly bytes: Buffer; readonly version: number } | undefined;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private isStopping = false;
  private readonly lagDetector = new LagDetector();
  private livenessOnlySentMs = -Infinity;
  private sequence = 0;

  /** The known daemons and their liveness. */
  readonly table: PeerTable;

  constructor(private readonly options: PeerLinkOptions) {
    this.table = new PeerTable(options);
  }

  /**
   * Opens the sockets and starts the heartbeats.
   *
   * @returns resolves when both ports are open; rejects when one cannot be opened
   */
  async start(): Promise<void> {
    await this.options.transport.open({
      onDatagram: (bytes) => {
        this.onDatagram(bytes);
      },
      onRequest: (url) => this.stateFor(url),
    });
    this.heartbeatTimer = setInterval(() => {
      this.sendHeartbeat();
    }, HEARTBEAT_INTERVAL_MS);
    this.domainLoadTimer = setInterval(() => {
      this.sendDomainLoad();
    }, DOMAIN_LOAD_INTERVAL_MS);
    this.sendHeartbeat();
  }

  /**
   * Sends a last heartbeat that marks this daemon as stopping, and closes. Idempotent.
   *
   * @returns resolves when the ports are free
   */
  async stop(): Promise<void> {
    if (!this.isStopping) {
      this.isStopping = true;
      clearTimeout(this.coalesceTimer);
      clearInterval(this.domainLoadTimer);
      clearInterval(this.heartbeatTimer);
      this.sendHeartbeat();
      await this.options.transport.close();
    }
  }

  /** Schedules a heartbeat after a change. */
  scheduleHeartbeat(): void {
    if (this.isStopping) {
      return;
    }
    this.coalesceTimer ??= setTimeout(() => {
      this.sendHeartbeat();
    }, HEARTBEAT_COALESCE_MS);
  }

  /** Schedules a heartbeat that also goes to the daemons that receive heartbeats without load. */
  scheduleHeartbeatToAll(): void {
    this.livenessOnlySentMs = -Infinity;
    this.scheduleHeartbeat();
  }

  /**
   * Sends changes of the store to all daemons. Changes above the size limit are left out: peers notice
   * from the heartbeats that they lag behind, and fetch a snapshot.
   */
  broadcastChanges(changes: ChangesMessage): void {
    const encodedMessage = encodeMessage(changes);
    const isTooLarge = Buffer.byteLength(encodedMessage) > MAX_CHANGES_MESSAGE_BYTES;
    this.sendToHosts(
      isTooLarge ? encodeMessage(withoutChanges(changes)) : encodedMessage,
      this.table.hosts(),
    );
  }

  /**
   * Tells other daemons about a new configuration, which they fetch from this one.
   *
   * @param version - version of the active configuration
   * @param originDomain - domain of the daemon that it was fetched from; the own one for the store
   */
  announceConfiguration(version: number, originDomain: FailureDomainId): void {
    const { failureDomain, host, log } = this.options;
    const { delayed, immediate } = this.table.announcementTargets(originDomain);
    log.info('configuration-announced', {
      delayed: delayed.length,
      immediate: immediate.length,
      originDomain,
      version,
    });
    const message: ConfigurationMessage = { failureDomain, host, kind: 'configuration', version };
    const encodedMessage = encodeMessage(message);
    const send = (members: readonly MemberId[]): void => {
      this.sendToHosts(
        encodedMessage,
        members.flatMap((memberId) => this.table.hostsOf(memberId)),
      );
    };
    send(immediate);
    if (delayed.length > 0) {
      setTimeout(() => {
        send(delayed);
      }, OTHER_RELAY_DELAY_MS).unref();
    }
  }

  /** Sends a message to all known daemons. */
  broadcast(message: QuarantineMessage): void {
    this.sendToHosts(encodeMessage(message), this.table.hosts());
  }

  /** Sends a message to one daemon; does nothing when the daemon is unknown. */
  sendTo(
    message: BackoffMessage | CapacityMessage | MoveMessage | PermitMessage | QuarantineMessage,
    memberId: MemberId,
  ): void {
    this.sendToHosts(encodeMessage(message), this.table.hostsOf(memberId));
  }

  /** Sends a message to the daemon at an address. */
  sendToHost(message: BackoffMessage, host: string): void {
    this.sendToHosts(encodeMessage(message), [host]);
  }

  /** Removes a daemon and its load. */
  removeMember(memberId: MemberId): void {
    this.table.remove(memberId);
    this.options.load.removeMember(memberId);
  }

  /** Random host to fetch a snapshot from: a daemon that has sent a heartbeat, otherwise a seed. */
  randomHost(randomUnit: () => number): string | undefined {
    const heardHosts = this.table.seenHosts();
    const hosts = heardHosts.length > 0 ? heardHosts : this.otherSeeds();
    return hosts[Math.floor(randomUnit() * hosts.length)];
  }

  /**
   * Fetches the state of another daemon.
   *
   * @param host - host of the daemon
   * @returns the snapshot, or undefined when the daemon does not respond or the body is invalid
   */
  async fetchSnapshot(host: string): Promise<PeerSnapshot | undefined> {
    const path = `${SNAPSHOT_PATH}?version=${this.options.position().configurationVersion}`;
    const body = await this.fetch(host, path, SNAPSHOT_TIMEOUT_MS);
    return body && parseSnapshot(body.toString());
  }

  /**
   * Fetches the active configuration of another daemon.
   *
   * @param host - host of the daemon
   * @returns the configuration, or undefined when the daemon does not respond or has none
   */
  async fetchConfiguration(host: string): Promise<ServingConfiguration | undefined> {
    const body = await this.fetch(host, CONFIGURATION_PATH, CONFIGURATION_TIMEOUT_MS);
    return body && parseConfiguration(body);
  }

  /** Body of a successful response of another daemon; undefined, with a log line, without one. */
  private async fetch(host: string, path: string, timeoutMs: number): Promise<Buffer | undefined> {
    const { log, transport } = this.options;
    const body = await transport.fetch(host, path, { maxBytes: MAX_STATE_BYTES, timeoutMs });
    if (!body.ok) {
      log.info('peer-request-failed', { host, path, reason: body.error });
      return undefined;
    }
    return body.value;
  }

  private stateFor(url: URL): Buffer | undefined {
    const { configuration, snapshot } = this.options;
    if (url.pathname === SNAPSHOT_PATH) {
      const knownVersion = Number(url.searchParams.get('version') ?? 0);
      return Buffer.from(encodeSnapshot(snapshot(knownVersion)));
    }
    const active = url.pathname === CONFIGURATION_PATH ? configuration() : undefined;
    return active && this.encodeOnce(active);
  }

  /** Encodes a configuration once, however many daemons fetch it. */
  private encodeOnce(configuration: ServingConfiguration): Buffer {
    if (this.encodedConfiguration?.version !== configuration.version) {
      const { version } = configuration;
      this.encodedConfiguration = { bytes: encodeConfiguration(configuration), version };
    }
    return this.encodedConfiguration.bytes;
  }

  private otherSeeds(): readonly string[] {
    return this.options.seedHosts.filter((host) => host !== this.options.host);
  }

  private sendHeartbeat(): void {
    clearTimeout(this.coalesceTimer);
    this.coalesceTimer = undefined;
    const { failureDomain, host, incarnation, leavingServers, limits, load, memberId } =
      this.options;
    const shares = this.options.localShares();
    load.setOwnShares(shares);
    this.sequence += 1;
    const { isStopping, sequence } = this;
    const cold = this.options.coldServers?.() ?? [];
    const quarantines = this.options.quarantines();
    const evacuations = this.options.evacuations?.reports() ?? [];
    const speeds = this.options.speeds?.reports('domain') ?? [];
    const shortage = this.options.shortage?.report();
    const heartbeat: PeerHeartbeat = {
      ...this.options.position(),
      ...(cold.length > 0 ? { cold } : {}),
      ...(evacuations.length > 0 ? { evacuations } : {}),
      failureDomain,
      host,
      incarnation,
      ...(this.options.isCutOff() ? { isCutOff: true } : {}),
      isDraining: this.options.isDraining(),
      isStopping,
      leavingServers: leavingServers(),
      limits: limits(),
      memberId,
      ...(quarantines.length > 0 ? { quarantines } : {}),
      sequence,
      shares,
      ...(shortage ? { shortage } : {}),
      ...(speeds.length > 0 ? { speeds } : {}),
      ...this.storeAge(),
      storeIsAway: this.options.isStoreDown(),
    };
    this.sendToHosts(encodeMessage(heartbeat), [
      ...hostsOf(this.table.fullUpdatePeers()),
      ...this.otherSeeds(),
    ]);
    const nowMs = this.options.clock.nowMs();
    if (isStopping || nowMs - this.livenessOnlySentMs >= LIVENESS_ONLY_HEARTBEAT_INTERVAL_MS) {
      this.livenessOnlySentMs = nowMs;
      this.sendToHosts(
        encodeMessage({ ...heartbeat, shares: [], shortage: undefined, speeds: undefined }),
        hostsOf(this.table.livenessOnlyPeers()),
      );
    }
  }

  /**
   * As the aggregator of this failure domain, sends its summed load to the aggregators of the
   * others.
   */
  private sendDomainLoad(): void {
    const { clock, failureDomain, load } = this.options;
    const aggregators = this.table.remoteDomainAggregators();
    if (aggregators.length === 0 || !this.table.isDomainAggregator()) {
      return;
    }
    const domainMembers = new Set(this.table.fullUpdatePeers().map(({ memberId }) => memberId));
    const shares = load.sumShares(domainMembers, clock.nowMs());
    const speeds = this.options.speeds?.reports('otherDomains') ?? [];
    const shortage = this.options.shortage?.domainReport(domainMembers);
    const isDigestDue = this.domainLoadCount % MESSAGES_PER_DIGEST === 0;
    this.domainLoadCount += 1;
    const message: DomainLoadMessage = {
      digest: isDigestDue ? this.domainDigest() : undefined,
      failureDomain,
      kind: 'domainLoad',
      shares,
      ...(shortage ? { shortage } : {}),
      ...(speeds.length > 0 ? { speeds } : {}),
      ...this.storeAge(),
    };
    this.sendToHosts(encodeMessage(message), hostsOf(aggregators));
  }

  private storeAge(): { readonly storeAgeMs?: number } {
    const ageMs = this.options.storeAgeMs();
    return ageMs === undefined ? {} : { storeAgeMs: Math.ceil(ageMs) };
  }

  private domainDigest(): DomainDigest {
    const { host, isCutOff, isDraining, position } = this.options;
    const self = { isCutOff: isCutOff(), isDraining: isDraining() };
    return { ...position(), host, members: this.table.domainMembers(self) };
  }

  private onDomainLoad(message: DomainLoadMessage): void {
    const { clock, failureDomain, load } = this.options;
    const { digest } = message;
    if (message.failureDomain === failureDomain) {
      return;
    }
    const nowMs = clock.nowMs();
    const sourceId = domainSourceId(message.failureDomain);
    load.recordMemberReport(sourceId, message.shares, nowMs);
    this.options.shortage?.recordReport(sourceId, message.shortage ?? []);
    this.options.speeds?.onReports(message.speeds, false);
    if (digest) {
      this.table.recordDomain(message.failureDomain, digest.members);
    }
    if (message.storeAgeMs !== undefined) {
      this.options.onStoreAge(message.storeAgeMs);
    }
    if (message.isForwarded !== true && this.table.isDomainAggregator()) {
      const forwarded = encodeMessage({ ...message, isForwarded: true });
      this.sendToHosts(forwarded, hostsOf(this.table.fullUpdatePeers()));
      const aggregator = digest?.members.find(({ host }) => host === digest.host);
      if (digest && aggregator) {
        // The others of this domain learn from this daemon's heartbeats that they lag behind.
        this.checkLag(digest, aggregator, nowMs);
      }
    }
  }

  private sendToHosts(encodedMessage: string, hosts: readonly string[]): void {
    const bytes = Buffer.from(encodedMessage);
    for (const host of new Set(hosts)) {
      this.options.transport.send(bytes, host);
    }
  }

  private onDatagram(bytes: Buffer): void {
    const received = parseDatagram(bytes);
    if (received && 'kind' in received) {
      if (received.kind === 'domainLoad') {
        this.onDomainLoad(received);
      } else {
        this.options.onMessage(received);
      }
    } else if (received) {
      this.onHeartbeat(received);
    }
  }

  private onHeartbeat(heartbeat: PeerHeartbeat): void {
    const peer = this.table.recordHeartbeat(heartbeat);
    if (!peer) {
      return;
    }
    const { clock, load } = this.options;
    if (heartbeat.isStopping) {
      this.removeMember(heartbeat.memberId);
      return;
    }
    const nowMs = clock.nowMs();
    if (heartbeat.storeAgeMs !== undefined) {
      this.options.onStoreAge(heartbeat.storeAgeMs);
    } else if (!heartbeat.storeIsAway && this.table.isWatchedBy(heartbeat.memberId)) {
      // A daemon of an earlier build, which states no age.
      this.options.onStoreAge(0);
    }
    load.recordMemberReport(heartbeat.memberId, heartbeat.shares, nowMs);
    this.options.evacuations?.mergeReports(heartbeat.evacuations ?? [], 'heartbeat');
    // Seeds of other domains get the heartbeats too, besides the sum of the domain.
    if (heartbeat.shortage && this.table.loadSourceOf(heartbeat.memberId) === heartbeat.memberId) {
      this.options.shortage?.recordReport(heartbeat.memberId, heartbeat.shortage);
    }
    this.options.onLeaving(heartbeat.leavingServers);
    this.options.onColdServers?.(heartbeat.cold ?? []);
    this.options.onLimits(heartbeat.limits ?? []);
    this.options.onQuarantines(heartbeat.quarantines ?? []);
    this.options.speeds?.onReports(
      heartbeat.speeds,
      heartbeat.failureDomain === this.options.failureDomain,
    );
    this.checkLag(heartbeat, peer, nowMs);
  }

  private checkLag(other: SyncPosition, peer: MemberAddress, nowMs: number): void {
    const { isStoreDown, onLagging, position } = this.options;
    if (this.lagDetector.shouldSync(other, position(), isStoreDown(), nowMs)) {
      onLagging(peer);
    }
  }
}

function hostsOf(members: readonly MemberAddress[]): readonly string[] {
  return members.map(({ host }) => host);
}
