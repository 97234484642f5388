import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendServer, EngineLimits, EngineShare } from '@laburnumgap/dispatch';
import {
  addShares,
  EngineLoad,
  KeptPrefixes,
  RecentWaits,
  RetryBudget,
  ServerHealth,
  ServerRegistry,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import { BackendConnectionPool } from './BackendConnectionPool.js';
import { CallsInFlight } from './CallsInFlight.js';
import { ClusterState } from './ClusterState.js';
import { DirectoryFollower } from './DirectoryFollower.js';
import { EngineCapacityCoordinator } from './EngineCapacityCoordinator.js';
import { EngineReports } from './EngineReports.js';
import { GenerationRun } from './GenerationRun.js';
import { MoveTurnCoordinator } from './MoveTurnCoordinator.js';
import { PeerLink } from './PeerLink.js';
import { PlainCallRun } from './PlainCallRun.js';
import type { ServingContext } from './ServingContext.js';
import { ServingFront } from './ServingFront.js';
import type { ServingLog } from './ServingLog.js';
import type { PlatformDirectory, WireProtocol } from './ServingPorts.js';
import { StreamMover } from './StreamMover.js';

/** An address to listen at. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What a serving daemon needs to know. */
export interface ServingSettings {
  readonly heartbeatPort: number;
  readonly failureDomain: FailureDomainId;
  readonly front: ListenAddress;
  /** Time between SIGTERM and the end of the process. */
  readonly graceMs: number;
  readonly memberId: MemberId;
  readonly peers: ListenAddress;
  readonly ready: ListenAddress;
  /** Repeats that all daemons may send in any window beside the ratio. */
  readonly minRetries: number;
  /** Repeats for each first try. */
  readonly retryRatio: number;
  readonly seedHosts: readonly string[];
}

/** Options of a serving daemon. */
export interface ServingDaemonOptions {
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory;
  /** Start of the process, to tell a restart. */
  readonly incarnation: number;
  readonly log: ServingLog;
  readonly protocol: WireProtocol;
  readonly randomUnit: () => number;
  readonly settings: ServingSettings;
}

/** Streams on leaving engines and lapsed entries are looked at this often. */
const TICK_MS = 100;
/** Time between two tries to register while the store refuses. */
const REGISTER_RETRY_MS = 2_000;
/** Time between two questions of the whole fleet to the store. */
const PING_MS_PER_MEMBER = 80;
/** Engines with streams are asked this often while the store is silent. */
const ASK_ENGINES_MS = 250;
/** After SIGTERM the balancer has taken the daemon out by then: two questions, a second apart. */
const BALANCER_NOTICE_MS = 2_800;
/** Streams are broken off this long before the process is killed. */
const KILL_MARGIN_MS = 300;
/** Repeats that are saved up until the number of daemons is known. */
const START_SAVED_REPEATS = 1;
/** Part of the budget that is used, so that daemons that disagree on their number stay inside. */
const BUDGET_SHARE = 0.8;

/** One process that serves callers: takes requests, places them, and follows the platform. */
export class ServingDaemon {
  private askedMs = -Infinity;
  private readonly budget: RetryBudget;
  private readonly calls = new CallsInFlight();
  private readonly connections: BackendConnectionPool;
  private readonly context: ServingContext;
  private readonly follower: DirectoryFollower;
  private readonly front: ServingFront;
  private isBudgetShared = false;
  private isClosed = false;
  private isDraining = false;
  private readonly knowledge: ClusterState;
  private readonly load = new EngineLoad();
  private readonly mover: StreamMover;
  private openPlainCalls = 0;
  private readonly peers: PeerLink;
  private pingedMs = -Infinity;
  private readonly readyServer;
  private readonly registry = new ServerRegistry();
  private readonly reports: EngineReports;
  private readonly runs = new Set<GenerationRun>();
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly turns: MoveTurnCoordinator;

  constructor(private readonly options: ServingDaemonOptions) {
    const { clock, directory, incarnation, log, protocol, randomUnit, settings } = options;
    this.budget = new RetryBudget({
      maxSaved: START_SAVED_REPEATS,
      perFirstTry: settings.retryRatio * BUDGET_SHARE,
    });
    this.connections = new BackendConnectionPool(clock);
    this.context = {
      retryBudget: this.budget,
      clock,
      connections: this.connections,
      failureDomain: settings.failureDomain,
      health: new ServerHealth(),
      load: this.load,
      log,
      memberId: settings.memberId,
      publishLoad: () => {
        this.load.setOwn(this.ownShares());
        this.peers.noteChanged();
      },
      prefixes: new KeptPrefixes(),
      protocol,
      randomUnit,
      registry: this.registry,
      engineCapacity: new EngineCapacityCoordinator({
        clock,
        engineOf: (serverId) => {
          const server = this.registry.get(serverId)?.server;
          return server && this.engineOf(server);
        },
        load: this.load,
        log,
        loadSourceOf: (memberId) => this.peers.table.loadSourceOf(memberId),
        memberId: settings.memberId,
        ownerOf: (server, without) => this.peers.table.ownerOf(server, without),
        send: (message, memberId) => {
          this.peers.tell(message, memberId);
        },
      }),
      waits: new RecentWaits(),
    };
    this.knowledge = new ClusterState({
      advance: (revision) => {
        this.follower.advance(revision);
      },
      clock,
      directory,
      host: settings.peers.host,
      log,
      memberId: settings.memberId,
      onConfiguration: (table) => {
        this.front.applyLimits(table);
      },
      onServerLeaves: (serverId) => {
        this.connections.close(serverId);
        this.context.prefixes.forget(serverId);
        this.mover.moveFrom(serverId);
      },
      peers: () => this.peers,
      randomUnit,
      registry: this.registry,
    });
    this.turns = new MoveTurnCoordinator({
      clock,
      memberId: settings.memberId,
      ownerId: () => this.peers.table.firstLive(),
      send: (message, memberId) => {
        this.peers.tell(message, memberId);
      },
    });
    this.mover = new StreamMover(this.context, this.runs, this.turns, (server) =>
      this.engineOf(server),
    );
    this.front = new ServingFront({
      clock,
      protocol,
      randomUnit,
      neighbourTakesOver: () => this.peers.table.hasNeighbour(),
      routes: { current: () => this.knowledge.usable() },
      run: (start) => {
        this.run(start);
      },
    });
    this.peers = new PeerLink({
      beatPort: settings.heartbeatPort,
      failureDomain: settings.failureDomain,
      isDraining: () => this.isDraining,
      clock,
      host: settings.peers.host,
      incarnation,
      isAlone: () => this.follower.isAway(),
      leavingIds: () => this.registry.notedLeaving(),
      load: this.load,
      log,
      memberId: settings.memberId,
      onLeaving: (serverIds) => {
        this.knowledge.noteLeaving(serverIds, 'peer');
      },
      onMessage: (message) => {
        switch (message.kind) {
          case 'changes':
            this.knowledge.changesPushed(message);
            break;
          case 'roomAnswer':
          case 'roomWanted':
            this.context.engineCapacity.heard(message);
            break;
          default:
            this.turns.heard(message);
        }
      },
      onBehind: (peer) => {
        this.follower.renew();
        void this.knowledge.learnFrom(peer.host);
      },
      ownShares: () => this.ownShares(),
      position: () => this.knowledge.position(),
      seedHosts: settings.seedHosts,
      snapshot: (knownVersion) => this.knowledge.snapshot(knownVersion),
      snapshotPort: settings.peers.port,
    });
    this.reports = new EngineReports({
      connections: this.connections,
      log,
      onLeaving: (serverId) => {
        this.knowledge.noteLeaving([serverId], 'engine');
      },
      protocol,
    });
    this.follower = new DirectoryFollower({
      directory,
      isWatcher: () => this.peers.table.isWatcher(),
      log,
      onChanges: (changes, isWhole) => {
        this.knowledge.takeFromStore(changes, isWhole);
      },
      onUnanswered: () => {
        this.knowledge.askAnyPeer();
      },
      randomUnit,
    });
    this.readyServer = createServer((_request, response) => {
      response.writeHead(this.isReady() ? 200 : 503);
      response.end();
    });
  }

  async start(): Promise<void> {
    const { log, settings } = this.options;
    this.follower.start();
    await Promise.all([
      this.front.listen(settings.front.host, settings.front.port),
      this.peers.start(),
      new Promise<void>((resolve) => {
        this.readyServer.listen(settings.ready.port, settings.ready.host, resolve);
      }),
    ]);
    this.tickTimer = setInterval(() => {
      this.tick();
    }, TICK_MS);
    log.info('started', { memberId: settings.memberId });
    await this.registerMember();
  }

  /** Stops gracefully. Resolves when nothing is open or the grace is over. */
  async drain(): Promise<void> {
    if (this.isDraining) {
      return;
    }
    const { clock, log, settings } = this.options;
    this.isDraining = true;
    const nowMs = clock.nowMs();
    const stopsAtMs = nowMs + settings.graceMs - KILL_MARGIN_MS;
    this.front.drain({ balancedUntilMs: nowMs + BALANCER_NOTICE_MS, stopsAtMs });
    this.peers.noteChanged();
    log.info('draining', { openCalls: this.openPlainCalls, openStreams: this.runs.size });
    await sleep(BALANCER_NOTICE_MS);
    this.front.stopListening();
    while (clock.nowMs() < stopsAtMs && this.runs.size + this.openPlainCalls > 0) {
      this.front.closeIdle();
      await sleep(TICK_MS / 2);
    }
    log.info('stopped', { openCalls: this.openPlainCalls, openStreams: this.runs.size });
    this.close();
  }

  /** Ends everything at once. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.tickTimer);
    this.follower.stop();
    this.peers.stop();
    this.readyServer.close();
    this.readyServer.closeAllConnections();
    this.front.stopListening();
    this.front.closeAll();
    this.connections.close();
  }

  isReady(): boolean {
    return !this.isDraining && this.knowledge.usable() !== undefined;
  }

  /** The entry introduces this daemon to the others; it is tried until the store takes it. */
  private async registerMember(): Promise<void> {
    const { directory, log, settings } = this.options;
    const member = { host: settings.peers.host, memberId: settings.memberId };
    let registered = await directory.register(member);
    while (!registered.ok && !this.isDraining && !this.isClosed) {
      log.warn('member-not-registered', registered.error);
      await sleep(REGISTER_RETRY_MS);
      registered = await directory.register(member);
    }
  }

  private run(start: AdmittedCall): void {
    if (!this.isBudgetShared) {
      // The first calls come before the first tick.
      this.shareBudget();
    }
    const { engine } = start.service;
    const { prompt } = start.request;
    if (engine && prompt && start.route.kind === 'stream') {
      const run = new GenerationRun(this.context, start, engine, prompt, (ended) => {
        this.runs.delete(ended);
      });
      this.runs.add(run);
      run.begin();
      return;
    }
    this.openPlainCalls += 1;
    new PlainCallRun(this.context, start, this.calls, () => {
      this.openPlainCalls -= 1;
    });
  }

  private ownShares(): readonly EngineShare[] {
    const nowMs = this.options.clock.nowMs();
    const byServer = new Map<ServerId, EngineShare>();
    for (const run of this.runs) {
      for (const share of run.shares(nowMs)) {
        byServer.set(share.serverId, addShares(byServer.get(share.serverId), share));
      }
    }
    return [...byServer.values()];
  }

  /** The daemons take turns, so that the store is asked no more often in a larger fleet. */
  private pingStore(nowMs: number): void {
    if (nowMs - this.pingedMs < PING_MS_PER_MEMBER * this.peers.table.knownCount()) {
      return;
    }
    this.pingedMs = nowMs;
    void this.follower.ping().then(() => {
      this.peers.noteChanged();
    });
  }

  /** While the store is silent, the engines themselves say whether they leave. */
  private askEngines(nowMs: number): void {
    if (!this.peers.table.allMissStore() || nowMs - this.askedMs < ASK_ENGINES_MS) {
      return;
    }
    this.askedMs = nowMs;
    for (const serverId of new Set([...this.runs].map((run) => run.serverId()))) {
      const entry = serverId && this.registry.get(serverId);
      if (entry && !entry.leaving) {
        void this.reports.ask(entry.server);
      }
    }
  }

  /** Each daemon has an equal part of the budget, also while it is cut off. */
  private shareBudget(): void {
    if (this.knowledge.knowsServers()) {
      const { minRetries: repeatsAtLeast } = this.options.settings;
      const share = (repeatsAtLeast * BUDGET_SHARE) / this.peers.table.knownCount();
      this.budget.setMaxSaved(Math.max(START_SAVED_REPEATS, Math.floor(share)));
      this.isBudgetShared = true;
    }
  }

  private engineOf(server: BackendServer): EngineLimits | undefined {
    return this.knowledge.configured()?.service(server.service)?.engine;
  }

  private tick(): void {
    const nowMs = this.options.clock.nowMs();
    this.knowledge.expireLapsed();
    this.context.health.keepOnly((serverId) => this.registry.get(serverId) !== undefined);
    this.connections.closeExpired();
    this.mover.moveSilent();
    for (const { leaving, server } of this.registry.all()) {
      if (leaving && this.engineOf(server)) {
        this.mover.moveFrom(server.serverId);
      }
    }
    this.shareBudget();
    this.pingStore(nowMs);
    this.askEngines(nowMs);
  }
}
