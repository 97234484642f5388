import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendServer, EngineLimits, EngineShare } from '@laburnumgap/dispatch';
import {
  addShares,
  EngineLoad,
  KeptPrefixes,
  RetryBudget,
  RouteTable,
  ServerHealth,
  ServerRegistry,
} from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  MonotonicClock,
  Revision,
  ServerId,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { BackendConnections } from './BackendConnections.js';
import type { CallStart } from './CallStart.js';
import { CallsInFlight } from './CallsInFlight.js';
import { DirectoryFollower } from './DirectoryFollower.js';
import { EngineReports } from './EngineReports.js';
import { GenerationRun } from './GenerationRun.js';
import { MoveTurnKeeper } from './MoveTurnKeeper.js';
import { PeerLink } from './PeerLink.js';
import type { ChangesMessage, PeerSnapshot } from './PeerMessages.js';
import { serverChangesOf } from './PeerMessages.js';
import { PlainCallRun } from './PlainCallRun.js';
import type { ServingContext } from './ServingContext.js';
import { ServingFront } from './ServingFront.js';
import type { ServingLog } from './ServingLog.js';
import type { DirectoryChanges, PlatformDirectory, WireProtocol } from './ServingPorts.js';
import { StreamMover } from './StreamMover.js';

/** An address to listen at. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What a serving daemon needs to know. */
export interface ServingSettings {
  readonly beatPort: number;
  readonly failureDomain: FailureDomainId;
  readonly front: ListenAddress;
  /** Time between SIGTERM and the end of the process. */
  readonly graceMs: number;
  readonly memberId: MemberId;
  readonly peers: ListenAddress;
  readonly ready: ListenAddress;
  /** Repeats that all daemons may send in any window beside the ratio. */
  readonly repeatsAtLeast: number;
  /** Repeats for each first try. */
  readonly repeatsRatio: number;
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
  private readonly connections: BackendConnections;
  private readonly context: ServingContext;
  private readonly follower: DirectoryFollower;
  private readonly front: ServingFront;
  private hasServers = false;
  private isClosed = false;
  private isDraining = false;
  private readonly load = new EngineLoad();
  private readonly mover: StreamMover;
  private openPlainCalls = 0;
  private readonly peers: PeerLink;
  private pingedMs = -Infinity;
  private readonly readyServer;
  private readonly registry = new ServerRegistry();
  private readonly reports: EngineReports;
  private revision: Revision = toNumberId<Revision>(0);
  private readonly runs = new Set<GenerationRun>();
  private table: RouteTable | undefined;
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly turns: MoveTurnKeeper;

  constructor(private readonly options: ServingDaemonOptions) {
    const { clock, directory, incarnation, log, protocol, randomUnit, settings } = options;
    this.budget = new RetryBudget({
      maxSaved: START_SAVED_REPEATS,
      perFirstTry: settings.repeatsRatio * BUDGET_SHARE,
    });
    this.connections = new BackendConnections(clock);
    this.context = {
      budget: this.budget,
      clock,
      connections: this.connections,
      failureDomain: settings.failureDomain,
      health: new ServerHealth(),
      load: this.load,
      log,
      memberId: settings.memberId,
      noteLoadChanged: () => {
        this.load.setOwn(this.ownShares());
        this.peers.noteChanged();
      },
      prefixes: new KeptPrefixes(),
      protocol,
      randomUnit,
      registry: this.registry,
    };
    this.turns = new MoveTurnKeeper({
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
      routes: { current: () => (this.hasServers ? this.table : undefined) },
      run: (start) => {
        this.run(start);
      },
    });
    this.peers = new PeerLink({
      beatPort: settings.beatPort,
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
        this.noteLeaving(serverIds, 'peer');
      },
      onMessage: (message) => {
        if (message.kind === 'changes') {
          this.changesPushed(message);
        } else {
          this.turns.heard(message);
        }
      },
      onBehind: (peer) => {
        this.follower.renew();
        void this.learnFrom(peer.host);
      },
      ownShares: () => this.ownShares(),
      position: () => ({
        configurationVersion: this.table?.configuration.version ?? 0,
        revision: this.revision,
      }),
      seedHosts: settings.seedHosts,
      snapshot: (knownVersion) => this.snapshot(knownVersion),
      snapshotPort: settings.peers.port,
    });
    this.reports = new EngineReports({
      connections: this.connections,
      log,
      onLeaving: (serverId) => {
        this.noteLeaving([serverId], 'engine');
      },
      protocol,
    });
    this.follower = new DirectoryFollower({
      directory,
      isWatcher: () => this.peers.table.isWatcher(),
      log,
      onChanges: (changes, isWhole) => {
        this.passOn(changes, isWhole);
        this.applyChanges(changes, isWhole);
      },
      onUnanswered: () => {
        this.askAnyPeer();
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
    return !this.isDraining && this.table !== undefined && this.hasServers;
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

  private run(start: CallStart): void {
    const { engine } = start.service;
    const { prompt } = start.call;
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

  private applyChanges(changes: DirectoryChanges, isWhole: boolean): void {
    const { clock, log } = this.options;
    for (const { key, reason } of changes.unreadable) {
      log.warn('entry-unreadable', { key, reason });
    }
    if (changes.configuration) {
      this.applyConfiguration(new RouteTable(changes.configuration), 'store');
    }
    const nowMs = clock.nowMs();
    for (const { revision, server } of changes.servers) {
      if (server && !this.registry.get(server.serverId)) {
        const { serverId, service } = server;
        log.info('server-known', { revision, serverId, service });
      }
    }
    const leaving = isWhole
      ? this.registry.replace(changes.servers, changes.revision, nowMs)
      : this.registry.apply(changes.servers, nowMs);
    this.hasServers ||= isWhole;
    changes.members.forEach((member) => {
      this.peers.table.add(member);
    });
    changes.membersGone.forEach((memberId) => {
      this.peers.removeMember(memberId);
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
    this.peers.push({
      configurationVersion: changes.configuration?.version ?? 0,
      host: this.options.settings.peers.host,
      kind: 'changes',
      members,
      membersGone,
      revision,
      servers,
      sinceRevision: this.revision,
    });
  }

  private changesPushed(message: ChangesMessage): void {
    if (message.configurationVersion > (this.table?.configuration.version ?? 0)) {
      void this.readConfiguration(message.host);
    }
    const isKnown = message.revision <= this.revision;
    if (isKnown || !this.hasServers || message.sinceRevision > this.revision) {
      return;
    }
    this.applyChanges({ ...message, configuration: undefined, unreadable: [] }, false);
    this.follower.advance(message.revision);
  }

  /** The store gives the configuration itself; another daemon does where the store does not. */
  private async readConfiguration(otherwiseHost: string): Promise<void> {
    const read = await this.options.directory.readConfiguration();
    if (read.ok) {
      this.applyConfiguration(new RouteTable(read.value), 'store');
      return;
    }
    this.options.log.warn('configuration-not-read', read.error);
    await this.learnFrom(otherwiseHost);
  }

  private applyConfiguration(table: RouteTable, source: string): void {
    const { version } = table.configuration;
    if (version <= (this.table?.configuration.version ?? 0)) {
      return;
    }
    this.table = table;
    this.front.applyLimits(table);
    this.options.log.info('configuration-applied', { source, version });
  }

  private serversLeave(leaving: readonly ServerId[], source: string): void {
    for (const serverId of leaving) {
      this.options.log.info('server-leaves', { revision: this.revision, serverId, source });
      this.connections.close(serverId);
      this.context.prefixes.forget(serverId);
      this.mover.moveFrom(serverId);
    }
  }

  private noteLeaving(serverIds: readonly ServerId[], source: string): void {
    const news = serverIds.filter((serverId) => this.registry.noteLeaving(serverId));
    if (news.length > 0) {
      this.serversLeave(news, source);
      this.peers.noteUrgent();
    }
  }

  private noteRevision(revision: Revision): void {
    if (revision > this.revision) {
      this.revision = revision;
      this.peers.noteChanged();
    }
  }

  private askAnyPeer(): void {
    const host = this.peers.anyHost(this.options.randomUnit);
    if (host !== undefined) {
      void this.learnFrom(host);
    }
  }

  private async learnFrom(host: string): Promise<void> {
    const snapshot = await this.peers.fetchSnapshot(host);
    if (!snapshot) {
      return;
    }
    snapshot.members.forEach((member) => {
      this.peers.table.add(member);
    });
    if (snapshot.configuration) {
      this.applyConfiguration(new RouteTable(snapshot.configuration), `peer ${host}`);
    }
    if (snapshot.revision > this.revision && snapshot.servers.length > 0) {
      const nowMs = this.options.clock.nowMs();
      const changes = serverChangesOf(snapshot);
      const leaving = this.registry.replace(changes, snapshot.revision, nowMs);
      this.hasServers = true;
      this.follower.advance(snapshot.revision);
      this.noteRevision(snapshot.revision);
      this.serversLeave(leaving, `peer ${host}`);
    }
  }

  private snapshot(knownVersion: number): PeerSnapshot {
    const { memberId, peers } = this.options.settings;
    const configuration = this.table?.configuration;
    return {
      configuration: (configuration?.version ?? 0) > knownVersion ? configuration : undefined,
      members: [{ host: peers.host, memberId }, ...this.peers.table.members()],
      revision: this.revision,
      servers: this.registry.all(),
    };
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
    if (this.hasServers) {
      const { repeatsAtLeast } = this.options.settings;
      const share = (repeatsAtLeast * BUDGET_SHARE) / this.peers.table.knownCount();
      this.budget.setMaxSaved(Math.max(START_SAVED_REPEATS, Math.floor(share)));
    }
  }

  private engineOf(server: BackendServer): EngineLimits | undefined {
    return this.table?.service(server.service)?.engine;
  }

  private tick(): void {
    const nowMs = this.options.clock.nowMs();
    this.serversLeave(this.registry.expireLapsed(nowMs), 'lapsed');
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

function isEmpty({ configuration, members, membersGone, servers }: DirectoryChanges): boolean {
  return !configuration && members.length + membersGone.length + servers.length === 0;
}
