import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type {
  BackendServer,
  ConnectFailure,
  EngineLimits,
  EngineShare,
  LimitReport,
} from '@laburnumgap/dispatch';
import {
  addShares,
  BrittleServices,
  EngineLoad,
  HeldCalls,
  PrefixCacheIndex,
  Quarantine,
  RecentWaits,
  requestFingerprints,
  RetryBudget,
  ServerHealth,
  ServerLimits,
  ServerPaths,
  ServerRegistry,
  SilenceBackoff,
  Standstills,
} from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  MonotonicClock,
  ServerId,
  ServiceId,
} from '@laburnumgap/kernel';
import type { AdmittedCall, RoutedCall } from './callers/AdmittedCall.js';
import { openReaderBuffers } from './buffers/ReaderBuffers.js';
import type { ReaderBuffers } from './buffers/ReaderBuffers.js';
import { BackendConnectionPool } from './servers/BackendConnectionPool.js';
import { CallsInFlight } from './callers/CallsInFlight.js';
import { ClusterSync } from './peers/ClusterSync.js';
import { ColdPermits } from './servers/ColdPermits.js';
import { CrashDetector } from './servers/CrashDetector.js';
import { EngineCapacityCoordinator } from './servers/EngineCapacityCoordinator.js';
import { EngineControl } from './servers/EngineControl.js';
import { EngineSpeedCoordinator } from './servers/EngineSpeedCoordinator.js';
import { EngineReports } from './servers/EngineReports.js';
import { EvacuationCoordinator } from './peers/EvacuationCoordinator.js';
import { GenerationRun } from './callers/GenerationRun.js';
import { MoveCoordinator } from './peers/MoveCoordinator.js';
import type { BackoffMessage } from './peers/PeerMessages.js';
import { PeerSockets } from './peers/PeerSockets.js';
import type { ListenAddress } from './PortOpener.js';
import { PortOpener } from './PortOpener.js';
import { PlainCallRun } from './callers/PlainCallRun.js';
import { QuarantineArchive } from './peers/QuarantineArchive.js';
import { QuarantineCoordinator } from './peers/QuarantineCoordinator.js';
import { QuarantinePass, quarantineRefusal } from './callers/QuarantinePass.js';
import { ServerAccess } from './servers/ServerAccess.js';
import type { ReplacementDoubt } from './servers/ServerDialer.js';
import { ServerDialer } from './servers/ServerDialer.js';
import { ServerLimitCoordinator } from './servers/ServerLimitCoordinator.js';
import { ServerSignals } from './servers/ServerSignals.js';
import type { ServingContext } from './ServingContext.js';
import { ServingFront } from './callers/ServingFront.js';
import type { ServingLog } from './ServingLog.js';
import type { ServingMetrics } from './ServingMetrics.js';
import { NO_SERVING_METRICS } from './ServingMetrics.js';
import type { PlatformDirectory, QuarantineStore, WireProtocol } from './ServingPorts.js';
import { ShortageQueue } from './callers/ShortageQueue.js';
import type { SocketOpener } from './servers/SocketOpener.js';
import { StopGate } from './callers/StopGate.js';
import { StreamMover } from './servers/StreamMover.js';
import { openTunnel } from './servers/TunnelClient.js';
import { TunnelServer } from './servers/TunnelServer.js';

/** Settings of one serving daemon. */
export interface ServingSettings {
  /**
   * Factor on the requests per second that a cold server takes, which the requests of all daemons
   * together stay below. Cold servers get as many requests as others where it is absent.
   */
  readonly coldOverageFactor?: number;
  /** Requests that a cold server may get in one second in addition to that. */
  readonly coldSlackRequests?: number;
  /** Time after its acknowledgement by which a configuration has to be in force on every daemon. */
  readonly configurationApplyMs?: number;
  /**
   * Time after an operator evacuated a failure domain by which nothing more may reach its servers.
   * Evacuations are ignored where it is absent.
   */
  readonly evacuationBoundMs?: number;
  /** Callers and servers may read so slowly that what the daemon holds for them has to be bounded. */
  readonly expectsSlowReaders?: boolean;
  readonly failureDomain: FailureDomainId;
  /** Address for callers. */
  readonly front: ListenAddress;
  /** Time between SIGTERM and the forced end of the process. */
  readonly graceMs: number;
  /** UDP port for heartbeats and messages between daemons; the same on all hosts. */
  readonly heartbeatPort: number;
  readonly memberId: MemberId;
  /** Memory limit of the process; unknown where it is absent. */
  readonly memoryBytes?: number;
  /** Retries that all daemons together may send in any window in addition to the ratio. */
  readonly minRetries: number;
  /** Address for snapshots to other daemons; its port is the same on all hosts. */
  readonly peers: ListenAddress;
  /** Address of the readiness endpoint. */
  readonly ready: ListenAddress;
  /** Retries allowed for each first attempt. */
  readonly retryRatio: number;
  /** Hosts of daemons to contact before the platform's store was read. */
  readonly seedHosts: readonly string[];
  /** Time for which a backend server still accepts requests after it said that it leaves. */
  readonly serverDrainMs?: number;
  /** Callers compete for too little capacity, so that daemons decide together who gets it. */
  readonly sharesShortage?: boolean;
  /** TCP port at which daemons pass connections to servers on; the same on all hosts. */
  readonly tunnelPort: number;
}

/** Options of a serving daemon. */
export interface ServingDaemonOptions {
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory & QuarantineStore;
  /** Start time of the process; distinguishes restarts under the same member id. */
  readonly incarnation: number;
  readonly log: ServingLog;
  /** Receives metrics; discarded by default. */
  readonly metrics?: ServingMetrics;
  /** Opens connections to backend servers; over TCP by default. */
  readonly openSocket?: SocketOpener;
  readonly protocol: WireProtocol;
  readonly randomUnit: () => number;
  readonly settings: ServingSettings;
  /** Whether cached prefixes are weighed against memory and wait, where that applies; by default. */
  readonly weighsPrefixes?: boolean;
}

/** Interval of the checks for streams on leaving engines and for expired server entries. */
const TICK_MS = 100;
/** A path is examined when nothing arrives from a server for this long, though a request waits. */
const SILENCE_MS = 500;
/** Interval of the reports requested from engines with streams while the store is unreachable. */
const ENGINE_REPORT_INTERVAL_MS = 250;
/**
 * The load balancer removes a draining daemon within this: two readiness probes, one second apart.
 */
const BALANCER_REMOVAL_MS = 2_800;
/** Open requests are ended this long before the process is killed. */
const STOP_MARGIN_MS = 300;
/** A process has released its ports this long after the end of its grace. */
const PORT_RELEASE_MS = 1_000;
/** A head that has begun to arrive gets this long for the rest once the daemon accepts no connections. */
const ARRIVING_HEAD_MS = 1_000;
/** Time for the last responses to be written before connections are closed; within the margin. */
const FLUSH_MS = 150;
const FLUSH_CHECK_MS = 10;
/** Retries that can be saved up before the number of daemons is known. */
const INITIAL_SAVED_RETRIES = 1;
/**
 * Share of the retry budget in use: keeps the fleet within it while daemons disagree on their
 * number.
 */
const RETRY_BUDGET_SHARE = 0.8;

/**
 * One serving process: accepts callers' requests, places them on servers and follows the platform's
 * store.
 */
export class ServingDaemon {
  private readonly callsInFlight = new CallsInFlight();
  private readonly cluster: ClusterSync;
  private readonly cold: ColdPermits;
  private readonly connections: BackendConnectionPool;
  private readonly context: ServingContext;
  private readonly dialer: ServerDialer;
  /** Resolves at the end of the shutdown; set when it begins. */
  private drained: Promise<void> | undefined;
  private readonly engineReports: EngineReports;
  private engineReportsRequestedMs = -Infinity;
  private readonly front: ServingFront;
  private readonly generationRuns = new Set<GenerationRun>();
  private readonly heldCalls = new Map<ServiceId, HeldCalls>();
  private isClosed = false;
  private isDraining = false;
  private isRetryBudgetDivided = false;
  private readonly limits = new ServerLimits();
  private readonly load = new EngineLoad();
  private readonly moveCoordinator: MoveCoordinator;
  private readonly paths = new ServerPaths();
  private readonly permits: ServerLimitCoordinator;
  private readonly plainRuns = new Set<PlainCallRun>();
  private readonly ports: PortOpener;
  private readonly quarantine = new Quarantine();
  private readonly quarantineArchive: QuarantineArchive;
  private readonly quarantineCoordinator: QuarantineCoordinator;
  /** Undefined where callers and servers are expected to read fast. */
  private readonly readerBuffers: ReaderBuffers | undefined;
  private readonly readyServer;
  private readonly registry: ServerRegistry;
  private readonly retryBudget: RetryBudget;
  private readonly shortage: ShortageQueue | undefined;
  private readonly silence = new SilenceBackoff();
  private readonly standstills: Standstills;
  private readonly stopGate: StopGate;
  private readonly streamMover: StreamMover;
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly tunnels: TunnelServer;

  constructor(private readonly options: ServingDaemonOptions) {
    const { clock, directory, incarnation, log, protocol, randomUnit, settings } = options;
    this.ports = new PortOpener({
      clock,
      isStopping: () => this.isClosed || this.isDraining,
      log,
      maxWaitMs: settings.graceMs + PORT_RELEASE_MS,
    });
    this.readerBuffers = openReaderBuffers(settings, {
      clock,
      log,
      metrics: options.metrics ?? NO_SERVING_METRICS,
    });
    this.stopGate = new StopGate({
      clock,
      hasDomainSuccessor: () => this.cluster.peers.table.hasDomainSuccessor(),
      log,
    });
    this.standstills = new Standstills(clock.nowMs());
    this.retryBudget = new RetryBudget({
      maxBalance: INITIAL_SAVED_RETRIES,
      retriesPerFirstAttempt: settings.retryRatio * RETRY_BUDGET_SHARE,
    });
    this.registry = new ServerRegistry({ serverDrainMs: settings.serverDrainMs });
    this.cold = new ColdPermits({
      clock,
      findService: (service) => this.cluster.state.routes()?.findService(service),
      log,
      memberCount: () => this.cluster.peers.table.knownCount(),
      metrics: options.metrics ?? NO_SERVING_METRICS,
      onBecameCold: () => {
        this.cluster.peers.scheduleHeartbeatToAll();
      },
      overageFactor: settings.coldOverageFactor,
      rankOf: (serverId) => this.cluster.peers.table.rankOf(serverId),
      serverOf: (serverId) => this.registry.get(serverId)?.server,
      slackRequests: settings.coldSlackRequests,
    });
    this.dialer = new ServerDialer({
      clock,
      log,
      onCutOffChanged: () => {
        this.cluster.peers.scheduleHeartbeatToAll();
      },
      onSevered: (serverId, failure) => {
        this.onSevered(serverId, failure);
      },
      openSocket: options.openSocket,
      openTunnel: (peer, serverId) =>
        openTunnel({
          clock,
          ownHost: settings.peers.host,
          peer,
          serverId,
          tunnelPort: settings.tunnelPort,
        }),
      paths: this.paths,
      randomUnit,
      replacementDoubt: (server) => this.replacementDoubt(server),
      servers: () => this.reachedServers(),
      tunnelPeers: () => this.cluster.peers.table.tunnelPeers(),
    });
    this.connections = new BackendConnectionPool(clock, this.dialer, this.readerBuffers);
    const evacuations =
      settings.evacuationBoundMs === undefined
        ? undefined
        : new EvacuationCoordinator({
            clock,
            log,
            metrics: options.metrics,
            onEnded: (domain) => {
              this.cold.assumeCold(this.serversIn(domain));
            },
          });
    this.tunnels = new TunnelServer({
      buffers: this.readerBuffers,
      clock,
      host: settings.peers.host,
      isEvacuated: (server) => this.context.serverAccess.avoidsEvacuated(server, 'tunnel'),
      isDraining: () => this.isDraining,
      isMemberHost: (host) => this.cluster.peers.table.isMemberHost(host),
      isSevered: (serverId) => this.paths.isSevered(serverId),
      log,
      openSocket: options.openSocket,
      port: settings.tunnelPort,
      registry: this.registry,
    });
    const serverSignals = new ServerSignals({
      clock,
      limits: this.limits,
      log,
      onBackoff: (server, retryAfterMs) => {
        this.shareBackoff(server, retryAfterMs);
      },
      onCold: (server, remainingColdMs) => {
        this.cold.onResponse(server, remainingColdMs);
      },
      onLeaving: (server) => {
        this.cluster.state.markLeaving([server], 'response');
      },
      onRejected: (server) => {
        this.permits.onRejected(server);
      },
      onLimitChanged: () => {
        this.cluster.peers.scheduleHeartbeatToAll();
      },
      protocol,
      registry: this.registry,
    });
    const brittleServices = new BrittleServices({
      limits: this.limits,
      serversOf: (service) => this.registry.usableServers(service, clock.nowMs()),
    });
    this.permits = new ServerLimitCoordinator({
      assumesBrittle: (server) => brittleServices.includes(server, clock.nowMs()),
      clock,
      cold: this.cold,
      firstRequestNumber: incarnation,
      isLive: (memberId) => this.cluster.peers.table.isLive(memberId),
      limits: this.limits,
      log,
      memberCount: () => this.cluster.peers.table.knownCount(),
      memberId: settings.memberId,
      onLimit: (report) => {
        this.recordLimits([report]);
      },
      ownerOf: (server) => {
        // The others do not ask a draining daemon, which must not keep a second account.
        const excluded = this.isDraining ? [settings.memberId] : [];
        return this.cluster.peers.table.engineOwner(server, new Set(excluded));
      },
      seesMajority: () => this.cluster.peers.table.seesMajority(),
      send: (message, memberId) => {
        this.cluster.peers.sendTo(message, memberId);
      },
      serverOf: (serverId) => this.registry.get(serverId)?.server,
    });
    this.quarantineArchive = new QuarantineArchive({
      clock,
      log,
      reportOf: (fingerprint) => this.quarantine.reportOf(fingerprint, clock.nowMs()),
      store: directory,
    });
    this.quarantineCoordinator = new QuarantineCoordinator({
      archive: this.quarantineArchive,
      broadcast: (message) => {
        this.cluster.peers.broadcast(message);
      },
      clock,
      keepersOf: (fingerprint) => this.cluster.peers.table.evidenceKeepers(fingerprint),
      log,
      memberId: settings.memberId,
      quarantine: this.quarantine,
      send: (message, memberId) => {
        this.cluster.peers.sendTo(message, memberId);
      },
    });
    const serverAccess = new ServerAccess({
      clock,
      connections: this.connections,
      evacuations,
      permits: this.permits,
      registry: this.registry,
    });
    this.shortage = settings.sharesShortage === true ? this.createShortageQueue() : undefined;
    const health = new ServerHealth();
    const engineControl = new EngineControl({
      clock,
      connections: this.connections,
      health,
      protocol,
      serverAccess,
      serverSignals,
    });
    const cachedPrefixes = new PrefixCacheIndex();
    const metrics = options.metrics ?? NO_SERVING_METRICS;
    this.context = {
      cachedPrefixes,
      capacityWaits: new RecentWaits(),
      clock,
      connections: this.connections,
      crashDetector: new CrashDetector({
        clock,
        examine: (server) => this.dialer.examine(server),
        log,
        onCrash: (crash) => {
          this.quarantineCoordinator.onCrash(crash);
        },
        registry: this.registry,
      }),
      engineCapacity: new EngineCapacityCoordinator({
        capacityKeeper: this.shortage,
        clock,
        engineLimitsOf: (serverId) => {
          const server = this.registry.get(serverId)?.server;
          return server && this.engineLimitsOf(server);
        },
        load: this.load,
        loadSourceOf: (memberId) => this.cluster.peers.table.loadSourceOf(memberId),
        log,
        memberId: settings.memberId,
        ownerOf: (server, excluded) => this.cluster.peers.table.engineOwner(server, excluded),
        send: (message, memberId) => {
          this.cluster.peers.sendTo(message, memberId);
        },
      }),
      dialer: this.dialer,
      engineControl,
      engineSpeeds: new EngineSpeedCoordinator({
        cachedPrefixes,
        clock,
        load: this.load,
        log,
        metrics,
        registry: this.registry,
        routes: () => this.cluster.state.routes(),
        sharesShortage: settings.sharesShortage ?? false,
        weighsPrefixes: options.weighsPrefixes ?? true,
      }),
      failureDomain: settings.failureDomain,
      health,
      load: this.load,
      log,
      memberId: settings.memberId,
      metrics,
      paths: this.paths,
      protocol,
      publishLoad: () => {
        this.load.setOwnShares(this.localShares());
        this.cluster.peers.scheduleHeartbeat();
        this.shortage?.onCapacityChanged();
      },
      randomUnit,
      registry: this.registry,
      retryBudget: this.retryBudget,
      serverAccess,
      serverSignals,
      shortage: this.shortage,
      stopGate: this.stopGate,
    };
    this.cluster = new ClusterSync({
      configurationApplyMs: settings.configurationApplyMs,
      clock,
      coldServers: () => this.cold.reports(),
      directory,
      evacuations,
      failureDomain: settings.failureDomain,
      forwarded: (server) => this.cold.forwarded(server),
      host: settings.peers.host,
      incarnation,
      isCutOff: () => this.paths.cutOffSince() !== undefined,
      isDraining: () => this.isDraining,
      limits: this.limits,
      load: this.load,
      localShares: () => this.localShares(),
      log,
      memberId: settings.memberId,
      onColdServers: (reports) => {
        this.cold.onReports(reports);
      },
      onConfiguration: (table) => {
        this.front.applyLimits(table);
      },
      onEntries: (changes) => {
        this.cold.onEntries(changes);
      },
      onLimits: (limits) => {
        this.recordLimits(limits);
      },
      onMessage: (message) => {
        switch (message.kind) {
          case 'permitReleased':
          case 'permitRequest':
          case 'permitResponse':
            this.permits.onMessage(message);
            break;
          case 'quarantine':
          case 'serverCrash':
          case 'trialRequest':
          case 'trialResponse':
            this.quarantineCoordinator.onMessage(message);
            break;
          case 'serverBackoff':
            this.recordBackoff(message);
            break;
          case 'roomAnswer':
          case 'roomWanted':
            this.context.engineCapacity.onMessage(message);
            break;
          default:
            this.moveCoordinator.onMessage(message);
        }
      },
      onQuarantines: (reports) => {
        this.quarantineCoordinator.onHeartbeatReports(reports);
      },
      onServerLeaving: (serverId) => {
        this.connections.close(serverId);
        this.context.cachedPrefixes.removeServer(serverId);
        this.streamMover.moveStreamsFrom(serverId);
      },
      onStoreRestored: () => {
        this.quarantineCoordinator.onStoreRestored();
      },
      onStoredQuarantines: (reports) => {
        this.quarantineCoordinator.onStoredReports(reports);
      },
      quarantines: () => this.quarantineCoordinator.heartbeatReports(),
      randomUnit,
      registry: this.registry,
      seedHosts: settings.seedHosts,
      shortage: this.shortage,
      speeds: this.context.engineSpeeds,
      transport: new PeerSockets({
        heartbeatPort: settings.heartbeatPort,
        host: settings.peers.host,
        ports: this.ports,
        snapshotPort: settings.peers.port,
      }),
    });
    this.moveCoordinator = new MoveCoordinator({
      clock,
      currentCoordinatorId: () => this.cluster.peers.table.lowestLiveId(),
      memberId: settings.memberId,
      send: (message, memberId) => {
        this.cluster.peers.sendTo(message, memberId);
      },
    });
    this.streamMover = new StreamMover(
      this.context,
      this.generationRuns,
      this.moveCoordinator,
      (server) => this.engineLimitsOf(server),
    );
    this.front = new ServingFront({
      buffers: this.readerBuffers,
      clock,
      memoryBytes: settings.memoryBytes,
      protocol,
      randomUnit,
      routes: { current: () => this.cluster.state.routesWhenReady() },
      runCall: (call) => {
        this.admitCall(call);
      },
      stopGate: this.stopGate,
    });
    this.engineReports = new EngineReports({
      engineControl,
      log,
      onLeaving: (server) => {
        this.cluster.state.markLeaving([server], 'engine');
      },
      protocol,
      serverAccess,
    });
    this.readyServer = createServer((_request, response) => {
      response.writeHead(this.isReady() ? 200 : 503);
      response.end();
    });
  }

  /**
   * Starts listening and registers with the store. Resolves when the store accepted the entry or
   * the daemon stops; rejects when a port is still held after the grace of a former process.
   */
  async start(): Promise<void> {
    const { log, settings } = this.options;
    await Promise.all([
      this.cluster.start(),
      this.tunnels.listen(this.ports),
      this.front.listen(this.ports, settings.front),
    ]);
    await this.ports.listen(this.readyServer, settings.ready);
    this.tickTimer = setInterval(() => {
      this.onTick();
    }, TICK_MS);
    log.info('started', { memberId: settings.memberId });
    await this.cluster.register();
  }

  /**
   * Shuts down gracefully. A further call changes nothing.
   *
   * @returns resolves when nothing is open any more or the grace period is over
   */
  drain(): Promise<void> {
    this.drained ??= this.shutDown();
    return this.drained;
  }

  /**
   * Closes all listeners and connections immediately.
   *
   * @returns resolves when the ports are free
   */
  async close(): Promise<void> {
    this.isClosed = true;
    clearInterval(this.tickTimer);
    this.quarantineArchive.stop();
    const readyServerClosed = new Promise<void>((resolve) => {
      this.readyServer.close(() => {
        resolve();
      });
    });
    this.readyServer.closeAllConnections();
    this.connections.close();
    await Promise.all([
      this.cluster.stop(),
      this.front.close(),
      this.tunnels.close(),
      readyServerClosed,
    ]);
  }

  /** Whether the load balancer may send new connections. */
  isReady(): boolean {
    return !this.isDraining && this.cluster.state.routesWhenReady() !== undefined;
  }

  private async shutDown(): Promise<void> {
    const { clock, log, settings } = this.options;
    this.isDraining = true;
    const startedMs = clock.nowMs();
    const stopMs = startedMs + settings.graceMs - STOP_MARGIN_MS;
    const balancerRemovalMs = Math.min(startedMs + BALANCER_REMOVAL_MS, stopMs);
    this.stopGate.close({ balancerRemovalMs, stopMs });
    this.cluster.peers.scheduleHeartbeat();
    log.info('draining', { openCalls: this.plainRuns.size, openStreams: this.generationRuns.size });
    await sleep(balancerRemovalMs - startedMs);
    await this.front.stopListening();
    const headsUntilMs = Math.min(clock.nowMs() + ARRIVING_HEAD_MS, stopMs);
    await this.front.closeIdle();
    while (clock.nowMs() < stopMs && this.openWork() > 0) {
      await sleep(TICK_MS / 2);
      if (clock.nowMs() >= headsUntilMs) {
        this.front.refuseHeads();
      }
      await this.front.closeIdle();
    }
    this.endOpenWork(startedMs);
    const flushUntilMs = clock.nowMs() + FLUSH_MS;
    while (clock.nowMs() < flushUntilMs && this.front.busyCount() > 0) {
      await sleep(FLUSH_CHECK_MS);
    }
    await this.close();
  }

  /** Answers what is still open, so that callers need not wait for the end of their connections. */
  private endOpenWork(startedMs: number): void {
    const calls = [...this.plainRuns];
    const streams = [...this.generationRuns];
    const retryAfterMs = this.stopGate.retryAfterMs();
    [...calls, ...streams].forEach((run) => {
      run.stop(retryAfterMs);
    });
    this.options.log.info('stopped', {
      arrivingBodies: this.front.refuseArriving(),
      arrivingHeads: this.front.refuseHeads(),
      busyConnections: this.front.busyCount(),
      openCalls: calls.length,
      openStreams: streams.length,
      openTunnels: this.tunnels.openCount(),
      tookMs: Math.round(this.options.clock.nowMs() - startedMs),
    });
  }

  /** Runs a call unless requests like it crash servers. */
  private admitCall(call: RoutedCall): void {
    const { log } = this.options;
    const { body, exchange, request, team } = call;
    const { host, path, prompt } = request;
    const fingerprints = requestFingerprints(
      { body, host, path, teamId: team?.teamId },
      prompt?.parts ?? [],
    );
    this.quarantineCoordinator.admit(fingerprints, (verdict) => {
      if (exchange.outcome()) {
        return;
      }
      if (verdict.kind === 'refused') {
        const { fingerprint, retryAfterMs } = verdict;
        log.info('request-quarantined', {
          fingerprint,
          requestId: request.requestId,
          retryAfterMs,
        });
        exchange.refuse(quarantineRefusal(verdict));
        return;
      }
      const pass = new QuarantinePass(this.quarantineCoordinator, fingerprints, verdict.trialOf);
      this.runCall({ ...call, pass });
    });
  }

  private runCall(admitted: AdmittedCall): void {
    if (!this.isRetryBudgetDivided) {
      // Calls can arrive before the first tick.
      this.divideRetryBudget();
    }
    const { engine } = admitted.service;
    const { prompt } = admitted.request;
    if (engine && prompt && admitted.route.kind === 'stream') {
      const run = new GenerationRun(this.context, admitted, engine, prompt, {
        onDone: (ended) => {
          this.generationRuns.delete(ended);
        },
        onSevered: (broken, server) => {
          this.streamMover.rescue(broken, server);
        },
      });
      this.generationRuns.add(run);
      run.start();
      return;
    }
    const plainRun = new PlainCallRun(
      this.context,
      admitted,
      this.callsInFlight,
      this.heldCallsOf(admitted),
      (ended) => {
        this.plainRuns.delete(ended);
      },
    );
    if (!plainRun.hasEnded()) {
      this.plainRuns.add(plainRun);
    }
  }

  private createShortageQueue(): ShortageQueue {
    const { clock, log, metrics = NO_SERVING_METRICS, randomUnit } = this.options;
    return new ShortageQueue({
      clock,
      engineCountOf: (service) => this.registry.usableServers(service, clock.nowMs()).length,
      log,
      metrics,
      onWaiting: () => {
        this.cluster.peers.scheduleHeartbeat();
      },
      randomUnit,
      serviceOf: (serverId) => this.registry.get(serverId)?.server.service,
    });
  }

  /** Calls to the service of a request that wait for a server with room. */
  private heldCallsOf({ service: { service } }: AdmittedCall): HeldCalls {
    const held = this.heldCalls.get(service) ?? new HeldCalls();
    this.heldCalls.set(service, held);
    return held;
  }

  /** Records limits of known servers that another daemon reports. */
  private recordLimits(reports: readonly LimitReport[]): void {
    const { clock, log } = this.options;
    for (const report of reports) {
      const isRegistered = this.registry.get(report.serverId) !== undefined;
      if (isRegistered && this.limits.recordReport(report, clock.nowMs())) {
        log.info('server-limit-changed', { ...report, source: 'peer' });
      }
    }
  }

  private localShares(): readonly EngineShare[] {
    const nowMs = this.options.clock.nowMs();
    const shareByServer = new Map<ServerId, EngineShare>();
    for (const run of this.generationRuns) {
      for (const share of run.shares(nowMs)) {
        shareByServer.set(share.serverId, addShares(shareByServer.get(share.serverId), share));
      }
    }
    return [...shareByServer.values()];
  }

  /** While no daemon reaches the store, asks the engines themselves whether they are leaving. */
  private requestEngineReports(nowMs: number): void {
    if (
      !this.cluster.peers.table.isStoreDownForAll() ||
      nowMs - this.engineReportsRequestedMs < ENGINE_REPORT_INTERVAL_MS
    ) {
      return;
    }
    this.engineReportsRequestedMs = nowMs;
    for (const serverId of new Set([...this.generationRuns].map((run) => run.serverId()))) {
      const entry = serverId && this.registry.get(serverId);
      if (entry && !entry.leaving) {
        void this.engineReports.requestReport(entry.server);
      }
    }
  }

  /**
   * Gives each daemon an equal part of the retry budget, also while it is partitioned from the
   * others.
   */
  private divideRetryBudget(): void {
    if (this.cluster.state.knowsServers()) {
      const { minRetries } = this.options.settings;
      const retriesPerMember =
        (minRetries * RETRY_BUDGET_SHARE) / this.cluster.peers.table.knownCount();
      this.retryBudget.setMaxBalance(Math.max(INITIAL_SAVED_RETRIES, Math.floor(retriesPerMember)));
      this.isRetryBudgetDivided = true;
    }
  }

  /** Requests of callers, from the first byte to the last of the response, and connections of other daemons. */
  private openWork(): number {
    const heldResponses = this.readerBuffers?.heldCount() ?? 0;
    const runs = this.generationRuns.size + this.plainRuns.size;
    return runs + this.front.busyCount() + this.tunnels.openCount() + heldResponses;
  }

  private serversIn(failureDomain: FailureDomainId): readonly BackendServer[] {
    const servers = this.registry.all().map(({ server }) => server);
    return servers.filter((server) => server.failureDomain === failureDomain);
  }

  private replacementDoubt(server: BackendServer): ReplacementDoubt | undefined {
    if (this.registry.isReplaced(server)) {
      return 'replaced';
    }
    return this.standstills.mayReadLate(this.options.clock.nowMs()) ? 'standstill' : undefined;
  }

  /** Servers that requests may go to; the paths to others say nothing of this daemon. */
  private reachedServers(): readonly BackendServer[] {
    const { serverAccess } = this.context;
    return this.registry
      .all()
      .flatMap(({ leaving, server }) =>
        leaving || serverAccess.isEvacuated(server) ? [] : [server],
      );
  }

  /** What was sent on a silent path may never arrive, and idle connections on it look sound. */
  private onSevered(serverId: ServerId, failure: ConnectFailure): void {
    this.options.log.warn('path-severed', { failure, serverId });
    if (failure === 'silent') {
      this.connections.closeIdle((id, via) => id === serverId && via === undefined);
    }
  }

  /** Examines servers that went silent, probes severed paths, and leaves daemons that pass no more on. */
  private watchPaths(): void {
    const nowMs = this.options.clock.nowMs();
    for (const serverId of this.silence.take(this.connections.silentServers(SILENCE_MS), nowMs)) {
      const server = this.registry.get(serverId)?.server;
      if (server && !this.paths.isSevered(serverId)) {
        this.dialer.dial(server, this.connections.spareListener(server));
      }
    }
    this.dialer.probe((server) => this.connections.spareListener(server));
    const { table } = this.cluster.peers;
    const peers = new Set(table.tunnelPeers().map(({ memberId }) => memberId));
    this.connections.closeIdle((_serverId, via) => via !== undefined && !peers.has(via));
    // A daemon that is not heard for a while still passes events on.
    this.streamMover.moveStreamsVia((via) => table.isDraining(via));
  }

  /** A server knows a daemon by its address, which all connections that it passes on share. */
  private shareBackoff({ serverId, startedEpochMs }: BackendServer, retryAfterMs: number): void {
    const { peers } = this.cluster;
    const message: BackoffMessage = {
      kind: 'serverBackoff',
      retryAfterMs,
      server: { serverId, startedEpochMs },
    };
    this.connections.tunnelPeersTo(serverId).forEach((memberId) => {
      peers.sendTo(message, memberId);
    });
    this.tellTunnelClients(message);
  }

  /** Tells the daemons whose connections to a server this one passes on. */
  private tellTunnelClients(message: BackoffMessage): void {
    this.tunnels.clientHosts(message.server.serverId).forEach((host) => {
      this.cluster.peers.sendToHost(message, host);
    });
  }

  private recordBackoff({ retryAfterMs, server }: BackoffMessage): void {
    const { clock, log } = this.options;
    const { serverId } = server;
    const nowMs = clock.nowMs();
    const isKnown = this.registry.isBackingOff(serverId, nowMs);
    this.registry.backOff(server, nowMs + retryAfterMs);
    if (isKnown) {
      return;
    }
    log.info('server-backs-off', { retryAfterMs, serverId, source: 'peer' });
    this.tellTunnelClients({ kind: 'serverBackoff', retryAfterMs, server });
  }

  private engineLimitsOf(server: BackendServer): EngineLimits | undefined {
    return this.cluster.state.routes()?.findService(server.service)?.engine;
  }

  private onTick(): void {
    const nowMs = this.options.clock.nowMs();
    this.standstills.onTick(nowMs);
    this.cluster.onTick(nowMs);
    this.context.engineSpeeds.onTick(nowMs);
    const isRegistered = (serverId: ServerId): boolean => this.registry.get(serverId) !== undefined;
    this.context.health.retain(isRegistered);
    this.limits.retain(isRegistered, nowMs);
    this.permits.retain(isRegistered);
    this.cold.retain(isRegistered);
    this.quarantine.expire(nowMs);
    this.paths.retain((serverId) => {
      const server = this.registry.get(serverId)?.server;
      return server !== undefined && !this.context.serverAccess.isEvacuated(server);
    });
    this.connections.closeExpired();
    this.watchPaths();
    this.streamMover.moveStalledStreams();
    this.readerBuffers?.onTick();
    for (const { leaving, server } of this.registry.all()) {
      if (leaving && this.engineLimitsOf(server)) {
        this.streamMover.moveStreamsFrom(server.serverId);
      }
    }
    if (this.isDraining) {
      [...this.generationRuns].forEach((run) => {
        run.refuseIfLate();
      });
    }
    this.divideRetryBudget();
    this.shortage?.onTick();
    this.requestEngineReports(nowMs);
  }
}
