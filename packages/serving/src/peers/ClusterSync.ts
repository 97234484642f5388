import type {
  BackendServer,
  ColdReport,
  EngineLoad,
  EngineShare,
  LimitReport,
  QuarantineReport,
  RouteTable,
  ServerChange,
  ServerLimits,
  ServerRegistry,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { ClusterState } from './ClusterState.js';
import type { EvacuationCoordinator } from './EvacuationCoordinator.js';
import { DirectoryFollower } from '../store/DirectoryFollower.js';
import { StoreFreshness } from '../store/StoreFreshness.js';
import { MemberRegistration } from './MemberRegistration.js';
import type { ShortageExchange } from './PeerLink.js';
import { PeerLink } from './PeerLink.js';
import type {
  BackoffMessage,
  CapacityMessage,
  MoveMessage,
  PermitMessage,
  QuarantineMessage,
} from './PeerMessages.js';
import type { PeerTransport } from './PeerTransport.js';
import type { SpeedExchange } from './SpeedReports.js';
import type { ServingLog } from '../ServingLog.js';
import type { PlatformDirectory } from '../ServingPorts.js';

/** Options of {@link ClusterSync}. */
export interface ClusterSyncOptions {
  /** Time within which a configuration has to be in force on every daemon. */
  readonly configurationApplyMs?: number;
  readonly clock: MonotonicClock;
  /** Servers that this daemon found to be cold; none by default. */
  readonly coldServers?: () => readonly ColdReport[];
  readonly directory: PlatformDirectory;
  /** Evacuated failure domains; not followed where it is absent. */
  readonly evacuations?: EvacuationCoordinator;
  readonly failureDomain: FailureDomainId;
  /** Updates an entry before it is forwarded in a snapshot; unchanged by default. */
  readonly forwarded?: (server: BackendServer) => BackendServer;
  readonly host: string;
  /** Start time of the process; distinguishes restarts under the same member id. */
  readonly incarnation: number;
  /** Whether this daemon reaches servers only through others. */
  readonly isCutOff: () => boolean;
  readonly isDraining: () => boolean;
  readonly limits: Pick<ServerLimits, 'reports'>;
  readonly load: EngineLoad;
  readonly localShares: () => readonly EngineShare[];
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /** Called with the servers that another daemon found to be cold. */
  readonly onColdServers?: (reports: readonly ColdReport[]) => void;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Called with entries of servers before they are applied, from the store or another daemon. */
  readonly onEntries?: (changes: readonly ServerChange[]) => void;
  /** Called with the limits of servers that another daemon knows. */
  readonly onLimits: (limits: readonly LimitReport[]) => void;
  readonly onMessage: (
    message: BackoffMessage | CapacityMessage | MoveMessage | PermitMessage | QuarantineMessage,
  ) => void;
  /** Called with the quarantines that another daemon reports. */
  readonly onQuarantines: (reports: readonly QuarantineReport[]) => void;
  readonly onServerLeaving: (serverId: ServerId) => void;
  /** Called when the store has come back from a copy. */
  readonly onStoreRestored?: () => void;
  /** Called with the quarantines in the store, before this daemon is ready. */
  readonly onStoredQuarantines?: (reports: readonly QuarantineReport[]) => void;
  /** Quarantines for one heartbeat. */
  readonly quarantines: () => readonly QuarantineReport[];
  /** Absent where daemons do not share a shortage. */
  readonly shortage?: ShortageExchange;
  readonly randomUnit: () => number;
  readonly registry: ServerRegistry;
  /** Hosts of daemons to contact before the platform's store was read. */
  readonly seedHosts: readonly string[];
  /** Observed speeds of engines; not exchanged where it is absent. */
  readonly speeds?: SpeedExchange;
  readonly transport: PeerTransport;
}

/** In a new era of the store, all daemons register again within this times their number. */
const REGISTER_SPREAD_PER_MEMBER_MS = 20;
/**
 * Time between two store pings of the whole fleet. The interval of each daemon is this times the
 * number of daemons.
 */
const PING_INTERVAL_PER_MEMBER_MS = 80;
/** The whole fleet depends on the watchers, so that they notice soon when the store is silent. */
const MAX_WATCHER_PING_INTERVAL_MS = 400;
/** Limits of servers in one heartbeat, which has to fit into few IP fragments. */
const MAX_REPORTED_LIMITS = 16;

/**
 * Keeps what this daemon knows of configuration, servers and other daemons in step with the
 * platform's store and the other daemons.
 */
export class ClusterSync {
  private readonly registration: MemberRegistration;
  private readonly storeFollower: DirectoryFollower;
  private storePingedMs = -Infinity;

  readonly peers: PeerLink;
  readonly state: ClusterState;

  constructor(private readonly options: ClusterSyncOptions) {
    const { clock, directory, failureDomain, host, limits, log, memberId, randomUnit, registry } =
      options;
    const freshness = new StoreFreshness({
      clock,
      configurationApplyMs: options.configurationApplyMs,
    });
    this.state = new ClusterState({
      advanceStorePosition: (position) => {
        this.storeFollower.advance(position);
      },
      clock,
      directory,
      evacuations: options.evacuations,
      failureDomain,
      forwarded: options.forwarded,
      host,
      limits: () => limits.reports(clock.nowMs()),
      log,
      memberId,
      onConfiguration: options.onConfiguration,
      onEntries: options.onEntries,
      onLimits: options.onLimits,
      onNewEra: () => {
        this.scheduleRegistration();
        options.onStoreRestored?.();
      },
      onOwnEntryGone: () => {
        log.warn('member-entry-gone', { memberId });
        this.scheduleRegistration();
      },
      onServerLeaving: options.onServerLeaving,
      onStoredQuarantines: options.onStoredQuarantines,
      peers: () => this.peers,
      randomUnit,
      registry,
    });
    this.peers = new PeerLink({
      clock,
      coldServers: options.coldServers,
      configuration: () => this.state.routes()?.configuration,
      evacuations: options.evacuations,
      failureDomain,
      host,
      incarnation: options.incarnation,
      isCutOff: options.isCutOff,
      isDraining: options.isDraining,
      isStoreDown: () => this.storeFollower.isStoreDown(),
      leavingServers: () => registry.serversMarkedLeaving(),
      limits: () => limits.reports(clock.nowMs(), MAX_REPORTED_LIMITS),
      load: options.load,
      localShares: options.localShares,
      log,
      memberId,
      onColdServers: options.onColdServers,
      onLagging: (peer) => {
        this.storeFollower.restartWatch();
        void this.state.syncFromPeer(peer.host);
      },
      onLeaving: (servers) => {
        this.state.markLeaving(servers, 'peer');
      },
      onLimits: options.onLimits,
      onMessage: (message) => {
        switch (message.kind) {
          case 'changes':
            this.state.onChangesMessage(message);
            break;
          case 'configuration':
            void this.state.onConfigurationMessage(message);
            break;
          default:
            options.onMessage(message);
        }
      },
      onQuarantines: options.onQuarantines,
      onStoreAge: (ageMs) => {
        freshness.confirm(ageMs);
      },
      position: () => this.state.position(),
      quarantines: options.quarantines,
      shortage: options.shortage,
      seedHosts: options.seedHosts,
      snapshot: (knownVersion) => this.state.snapshot(knownVersion),
      speeds: options.speeds,
      storeAgeMs: () => this.storeFollower.ageMs(),
      transport: options.transport,
    });
    this.registration = new MemberRegistration({
      currentEra: () => this.state.position().era,
      directory,
      isDraining: options.isDraining,
      log,
      member: { host, memberId },
    });
    this.storeFollower = new DirectoryFollower({
      clock,
      directory,
      freshness,
      isWatcher: () => this.peers.table.isWatcher(),
      log,
      onChanges: (changes, read) => {
        this.state.applyStoreChanges(changes, read);
      },
      onReachabilityChanged: () => {
        this.peers.scheduleHeartbeat();
      },
      onStoreDown: () => {
        this.state.syncFromAnyPeer();
      },
      randomUnit,
    });
  }

  /**
   * Starts to follow the store and to exchange messages.
   *
   * @returns resolves when the sockets are open; rejects when one cannot be opened
   */
  async start(): Promise<void> {
    this.storeFollower.start();
    await this.peers.start();
  }

  /**
   * Writes the entry by which other daemons find this one, and keeps it; see {@link MemberRegistration}.
   *
   * @returns resolves when the store has accepted it or the daemon stops
   */
  register(): Promise<void> {
    return this.registration.register();
  }

  /** Ends what expired of servers and evacuations, and pings the store when it is time. */
  onTick(nowMs: number): void {
    this.state.removeExpiredServers();
    this.options.evacuations?.expire();
    this.pingStoreIfDue(nowMs);
  }

  /** Stops following the store and closes the sockets; resolves when the ports are free. */
  async stop(): Promise<void> {
    this.registration.stop();
    this.storeFollower.stop();
    await this.peers.stop();
  }

  /** Registers again, spread out so that the store's rate limit suffices when all daemons do. */
  private scheduleRegistration(): void {
    const spreadMs = REGISTER_SPREAD_PER_MEMBER_MS * this.peers.table.knownCount();
    this.registration.schedule(this.options.randomUnit() * spreadMs);
  }

  /** Pings less often in a larger fleet, so that the store's load stays constant. */
  private pingStoreIfDue(nowMs: number): void {
    const { table } = this.peers;
    const elapsedMs = nowMs - this.storePingedMs;
    const isDue =
      elapsedMs >= PING_INTERVAL_PER_MEMBER_MS * table.knownCount() ||
      (elapsedMs >= MAX_WATCHER_PING_INTERVAL_MS && table.isWatcher());
    if (isDue) {
      this.storePingedMs = nowMs;
      void this.storeFollower.ping();
    }
  }
}
