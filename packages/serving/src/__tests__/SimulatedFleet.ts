import { syncBuiltinESMExports } from 'node:module';
import type { Clock } from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import type { ServingConfiguration } from '@laburnumgap/dispatch';
import { EngineLoad, Quarantine, ServerLimits, ServerRegistry } from '@laburnumgap/dispatch';
import type { FailureDomainId, FingerprintId, MemberId, Result } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import type {
  MemberAddress,
  PeerFetchOptions,
  PeerTransport,
  PeerTransportListener,
} from '../index.js';
import {
  ClusterSync,
  EvacuationCoordinator,
  QuarantineArchive,
  QuarantineCoordinator,
} from '../index.js';
import type { StoreAccess } from './SimulatedStore.js';
import { SimulatedDirectory, SimulatedStore } from './SimulatedStore.js';

/** Options of {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  /** Time after its acknowledgement by which a version is in force. */
  readonly applyMs: number;
  /** Whether daemons answer requests for their state; always by default. */
  readonly canFetch?: () => boolean;
  readonly daemonsPerDomain: number;
  /** Time that a datagram takes; 1 ms by default. */
  readonly delayMs?: (from: SimulatedDaemon, to: SimulatedDaemon) => number;
  readonly domains: number;
  /** Whether a datagram from one daemon to another is lost. */
  readonly isLost?: (from: SimulatedDaemon, to: SimulatedDaemon, text: string) => boolean;
  readonly randomUnit?: () => number;
  /** Changes the text of a datagram, as a daemon of another build would send it; unchanged by default. */
  readonly rewrite?: (text: string) => string;
}

/** An undisturbed daemon whose configuration is older than the one that it must have applied. */
export interface LateDaemon {
  readonly atMs: number;
  readonly name: string;
  readonly requiredVersion: number;
  readonly version: number;
}

const LINK_DELAY_MS = 1;
const START_SPREAD_MS = 300;
const TICK_MS = 100;
const SAMPLE_INTERVAL_MS = 50;
/** The bound applies to daemons that had no fault of their own for this long. */
const STABLE_MS = 4_000;
const FAKED_TIMERS = ['clearInterval', 'clearTimeout', 'setInterval', 'setTimeout'] as const;

/** One daemon of a {@link SimulatedFleet}. */
export class SimulatedDaemon implements PeerTransport {
  readonly directory: SimulatedDirectory;
  /** Daemons to and from which all datagrams and requests are lost. */
  readonly cutOff = new Set<SimulatedDaemon>();
  disturbedUntilMs = -Infinity;
  isPowered = true;
  /** Versions in the order in which they were applied since the last start. */
  appliedVersions: number[] = [];
  /** Evacuations that the process which runs now knows of. */
  evacuations: EvacuationCoordinator | undefined;
  private listener: PeerTransportListener | undefined;
  private incarnation = 0;
  /** Quarantine of the process that runs now. */
  quarantine: QuarantineCoordinator | undefined;
  private sync: ClusterSync | undefined;
  private tickTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly fleet: SimulatedFleet,
    readonly address: MemberAddress,
    readonly failureDomain: FailureDomainId,
    store: SimulatedStore,
  ) {
    this.directory = new SimulatedDirectory(store);
  }

  start(): void {
    const { address, directory, failureDomain, fleet } = this;
    this.incarnation += 1;
    const { incarnation } = this;
    this.appliedVersions = [];
    const evacuations = new EvacuationCoordinator({
      clock: fleet.clock,
      log: { info: () => undefined, warn: () => undefined },
    });
    this.evacuations = evacuations;
    const quarantine = new Quarantine();
    const coordinator = new QuarantineCoordinator({
      archive: new QuarantineArchive({
        clock: fleet.clock,
        log: { info: () => undefined, warn: () => undefined },
        reportOf: (fingerprint) => quarantine.reportOf(fingerprint, fleet.clock.nowMs()),
        sleep: (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs)),
        store: directory,
      }),
      broadcast: (message) => {
        sync.peers.broadcast(message);
      },
      clock: fleet.clock,
      keepersOf: (fingerprint) => sync.peers.table.evidenceKeepers(fingerprint),
      log: { info: () => undefined, warn: () => undefined },
      memberId: address.memberId,
      quarantine,
      send: (message, memberId) => {
        sync.peers.sendTo(message, memberId);
      },
    });
    this.quarantine = coordinator;
    const sync: ClusterSync = new ClusterSync({
      configurationApplyMs: fleet.applyMs(),
      clock: fleet.clock,
      directory,
      evacuations,
      failureDomain,
      host: address.host,
      incarnation,
      isCutOff: () => false,
      isDraining: () => false,
      limits: new ServerLimits(),
      load: new EngineLoad(),
      localShares: () => [],
      log: { info: () => undefined, warn: () => undefined },
      memberId: address.memberId,
      onConfiguration: ({ configuration }) => {
        // In this process, pending calls of a stopped daemon still complete.
        if (incarnation === this.incarnation && this.isPowered) {
          this.appliedVersions.push(configuration.version);
        }
      },
      onLimits: () => undefined,
      onMessage: (message) => {
        switch (message.kind) {
          case 'quarantine':
          case 'serverCrash':
          case 'trialRequest':
          case 'trialResponse':
            coordinator.onMessage(message);
        }
      },
      onQuarantines: (reports) => {
        coordinator.onHeartbeatReports(reports);
      },
      onServerLeaving: () => undefined,
      onStoredQuarantines: (reports) => {
        coordinator.onStoredReports(reports);
      },
      quarantines: () => coordinator.heartbeatReports(),
      randomUnit: fleet.randomUnit,
      registry: new ServerRegistry(),
      seedHosts: [],
      transport: this,
    });
    this.sync = sync;
    void sync.start().then(() => sync.register());
    this.tickTimer = setInterval(() => {
      quarantine.expire(fleet.clock.nowMs());
      sync.onTick(fleet.clock.nowMs());
    }, TICK_MS);
  }

  version(): number {
    return this.appliedVersions.at(-1) ?? 0;
  }

  /** Whether the process has the list of servers, without which it is not ready. */
  knowsServers(): boolean {
    return this.sync?.state.knowsServers() ?? false;
  }

  isWatcher(): boolean {
    return this.sync?.peers.table.isWatcher() ?? false;
  }

  keepersOf(fingerprint: FingerprintId): readonly MemberId[] {
    return this.sync?.peers.table.evidenceKeepers(fingerprint) ?? [];
  }

  /** Whether a fault of this daemon is going on. */
  isDisturbed(): boolean {
    return this.disturbedUntilMs === Infinity;
  }

  /** Whether each version was higher than the one before it, since the last start. */
  hasOnlyAdvanced(): boolean {
    return this.appliedVersions.every(
      (version, index) => version > (this.appliedVersions[index - 1] ?? 0),
    );
  }

  /** Cuts the links to other daemons and to the store. */
  cutOffFrom(daemons: readonly SimulatedDaemon[]): void {
    daemons.forEach((daemon) => this.cutOff.add(daemon));
    this.setStoreAccess('silent');
  }

  /** Ends all faults of this daemon. */
  recover(): void {
    this.cutOff.clear();
    if (this.isPowered) {
      this.setStoreAccess('answers');
    } else {
      this.powerOn();
    }
  }

  setStoreAccess(access: StoreAccess): void {
    this.directory.access = access;
    this.disturbedUntilMs = access === 'answers' ? this.fleet.clock.nowMs() : Infinity;
  }

  /** Stops the process; datagrams that have not arrived yet are lost. */
  powerOff(): void {
    this.isPowered = false;
    this.directory.access = 'silent';
    this.disturbedUntilMs = Infinity;
    clearInterval(this.tickTimer);
    void this.sync?.stop();
  }

  private powerOn(): void {
    this.isPowered = true;
    this.setStoreAccess('answers');
    this.start();
  }

  open(listener: PeerTransportListener): Promise<void> {
    this.listener = listener;
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  send(bytes: Buffer, host: string): void {
    const receiver = this.fleet.daemonAt(host);
    if (!receiver || !this.isPowered || this.fleet.isLost(this, receiver, bytes)) {
      return;
    }
    setTimeout(
      () => {
        if (this.isPowered && this.reaches(receiver)) {
          receiver.listener?.onDatagram(this.fleet.rewrite(bytes));
        }
      },
      this.fleet.delayMs(this, receiver),
    );
  }

  fetch(host: string, path: string, options: PeerFetchOptions): Promise<Result<Buffer, string>> {
    const server = this.fleet.daemonAt(host);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        resolve(failure('timeout'));
      }, options.timeoutMs);
      setTimeout(() => {
        if (!server || !this.reaches(server) || !this.fleet.canFetch()) {
          return;
        }
        const body = server.listener?.onRequest(new URL(path, 'http://peer'));
        setTimeout(() => {
          if (this.reaches(server)) {
            clearTimeout(timer);
            resolve(body ? success(body) : failure('status 404'));
          }
        }, LINK_DELAY_MS);
      }, LINK_DELAY_MS);
    });
  }

  private reaches(other: SimulatedDaemon): boolean {
    return other.isPowered && !this.cutOff.has(other) && !other.cutOff.has(this);
  }
}

/**
 * Runs daemons that follow a store and each other on a fake clock. Records the undisturbed daemons that
 * do not apply a version in time. Replaces the timers of the process until {@link SimulatedFleet.stop}.
 */
export class SimulatedFleet {
  readonly clock: { readonly nowMs: () => number };
  readonly daemons: readonly SimulatedDaemon[];
  readonly late: LateDaemon[] = [];
  readonly randomUnit: () => number;
  readonly store: SimulatedStore;
  private readonly acknowledged: { readonly atMs: number; readonly version: number }[] = [];
  private readonly byHost: ReadonlyMap<string, SimulatedDaemon>;
  private readonly timers: Clock;

  private constructor(private readonly options: SimulatedFleetOptions) {
    this.timers = FakeTimers.install({ now: 0, toFake: [...FAKED_TIMERS] });
    syncBuiltinESMExports();
    this.clock = { nowMs: () => this.timers.now };
    this.randomUnit = options.randomUnit ?? (() => 0.5);
    const { daemonsPerDomain, domains } = options;
    const places = Array.from({ length: domains * daemonsPerDomain }, (_, index) => ({
      domain: Math.floor(index / daemonsPerDomain),
      number: (index % daemonsPerDomain) + 1,
    }));
    const addressOf = ({ domain, number }: (typeof places)[number]): MemberAddress => ({
      host: `10.0.${domain}.${number}`,
      memberId: toId<MemberId>(`d${domain}-${String(number).padStart(3, '0')}`),
    });
    this.store = new SimulatedStore(places.map(addressOf));
    this.daemons = places.map(
      (place) =>
        new SimulatedDaemon(
          this,
          addressOf(place),
          toId<FailureDomainId>(`d${place.domain}`),
          this.store,
        ),
    );
    this.byHost = new Map(this.daemons.map((daemon) => [daemon.address.host, daemon]));
  }

  /** Starts a fleet with one version in force, and waits until its members know each other. */
  static async start(options: SimulatedFleetOptions): Promise<SimulatedFleet> {
    const fleet = new SimulatedFleet(options);
    fleet.publish();
    fleet.daemons.forEach((daemon) => {
      setTimeout(() => {
        daemon.start();
      }, fleet.randomUnit() * START_SPREAD_MS);
    });
    setInterval(() => {
      fleet.sample();
    }, SAMPLE_INTERVAL_MS);
    await fleet.run(STABLE_MS);
    return fleet;
  }

  /** Daemon of a failure domain by its number from 1. */
  daemon(domain: number, number: number): SimulatedDaemon {
    const daemon = this.daemonAt(`10.0.${domain}.${number}`);
    if (!daemon) {
      throw new Error(`daemon ${number} of domain ${domain} does not exist`);
    }
    return daemon;
  }

  daemonAt(host: string): SimulatedDaemon | undefined {
    return this.byHost.get(host);
  }

  /** Daemons that keep the evidence about a fingerprint, as the first daemon that runs sees it. */
  keepersOf(fingerprint: FingerprintId): readonly MemberId[] {
    return this.daemons.find(({ isPowered }) => isPowered)?.keepersOf(fingerprint) ?? [];
  }

  watchers(): readonly SimulatedDaemon[] {
    return this.daemons.filter((daemon) => daemon.isPowered && daemon.isWatcher());
  }

  isLost(from: SimulatedDaemon, to: SimulatedDaemon, bytes: Buffer): boolean {
    return this.options.isLost?.(from, to, bytes.toString()) ?? false;
  }

  /** Time after its acknowledgement by which a version is in force. */
  applyMs(): number {
    return this.options.applyMs;
  }

  canFetch(): boolean {
    return this.options.canFetch?.() ?? true;
  }

  rewrite(bytes: Buffer): Buffer {
    const { rewrite } = this.options;
    return rewrite ? Buffer.from(rewrite(bytes.toString())) : bytes;
  }

  delayMs(from: SimulatedDaemon, to: SimulatedDaemon): number {
    return this.options.delayMs?.(from, to) ?? LINK_DELAY_MS;
  }

  /** The operator writes the next version. */
  publish(): number {
    const version = (this.acknowledged.at(-1)?.version ?? 0) + 1;
    this.store.publish(configurationOf(version));
    this.acknowledged.push({ atMs: this.clock.nowMs(), version });
    return version;
  }

  /** Lets time pass. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.timers.now + durationMs;
    setTimeout(() => undefined, durationMs);
    while (this.timers.now < endMs) {
      this.timers.next();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Restores the timers of the process. */
  stop(): void {
    this.timers.uninstall();
    syncBuiltinESMExports();
  }

  private sample(): void {
    const nowMs = this.clock.nowMs();
    const requiredVersion =
      this.acknowledged.findLast(({ atMs }) => atMs + this.options.applyMs < nowMs)?.version ?? 0;
    for (const daemon of this.daemons) {
      const isUndisturbed = daemon.isPowered && daemon.disturbedUntilMs + STABLE_MS <= nowMs;
      const version = daemon.version();
      if (isUndisturbed && version < requiredVersion) {
        const name = daemon.address.memberId;
        this.late.push({ atMs: nowMs, name, requiredVersion, version });
      }
    }
  }
}

function configurationOf(version: number): ServingConfiguration {
  const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 };
  return { limits, routes: [], services: [], teams: [], version };
}
