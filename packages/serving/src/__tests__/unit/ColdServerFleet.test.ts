import type { BackendServer, ServingService } from '@laburnumgap/dispatch';
import { rankMembers, ServerLimits } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { Permit, PermitMessage } from '../../index.js';
import { ColdPermits, NO_SERVING_METRICS, ServerLimitCoordinator } from '../../index.js';

/** Settings of the example in docs/OVERLOAD.md: 5 a second gives a bound of 12.5, 30 gives 50. */
const OVERAGE_FACTOR = 1.5;
const SLACK_REQUESTS = 5;
const RATES_PER_S = [5, 30];
const FLEET_SIZES = [6, 80, 195];
/** The bound holds in any one second. */
const BOUND_WINDOW_MS = 1_000;

const EPOCH_MS = 1_700_000_000_000;
const SERVICE = toId<ServiceId>('desk');
const DOMAINS = ['a', 'b', 'c'].map((name) => toId<FailureDomainId>(name));
/** Far longer than servers are cold, so that a fault falls into the cold time. */
const COLD_MS = 5_000;
const END_MS = 5_800;
const FAULT_MS = 2_000;
/** Messages within a failure domain and between domains, as in operation. */
const MIN_DELAY_MS = 10;
const MAX_DELAY_MS = 50;
const MAX_OTHER_DOMAIN_DELAY_MS = 500;
/** Datagrams on links that are not busy. */
const FAST_DELAY_MS = 2;
const FAST_OTHER_DOMAIN_DELAY_MS = 5;
const LIVENESS_TIMEOUT_MS = 1_200;
const VIEW_INTERVAL_MS = 50;
/** Time to connect, and time on the way of a request. */
const MIN_CONNECT_MS = 5;
const MAX_CONNECT_MS = 150;
const SLOW_CONNECT_RATIO = 0.1;
const MAX_DELIVERY_MS = 80;
const RESPONSE_MS = 200;
const MISDIRECTED_RATIO = 0.05;

interface TimedAction {
  readonly atMs: number;
  isCancelled: boolean;
  readonly run: () => void;
}

interface TestDaemon {
  cold: ColdPermits;
  coordinator: ServerLimitCoordinator;
  readonly domain: number;
  readonly memberId: MemberId;
}

interface FleetOptions {
  /** Whether the datagrams between two daemons are lost at a time. */
  readonly isCut?: (sender: number, receiver: number, nowMs: number) => boolean;
  /** Whether a daemon is dead at a time. */
  readonly isDown?: (daemon: number, nowMs: number) => boolean;
  /** Daemon that stands still from a time until another one, with its monotonic clock. */
  readonly frozen?: { readonly daemon: number; readonly fromMs: number; readonly untilMs: number };
  /** Messages take a few milliseconds; by default as long as reports do in operation. */
  readonly hasFastLinks?: boolean;
  readonly lossRatio?: number;
  /** Daemon that another one takes for the owner; by default the first that it hears from. */
  readonly ownerOf?: (daemon: number, server: BackendServer) => number;
  readonly rate: number;
  /** When all daemons restart without a pause, if they do. */
  readonly restartsAtMs?: number;
  readonly servers?: readonly BackendServer[];
  readonly size: number;
}

function serverOf(name: string, domain = 0): BackendServer {
  return {
    remainingColdMs: COLD_MS,
    failureDomain: DOMAINS[domain] ?? toId<FailureDomainId>('a'),
    host: '10.0.0.9',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>(name),
    service: SERVICE,
    slots: 6,
    startedEpochMs: EPOCH_MS,
  };
}

/** Daemons that send to cold servers, on fake clocks and a network with faults. */
class TestFleet {
  readonly arrivals = new Map<ServerId, number[]>();
  /** Requests that no server took. */
  refusedCount = 0;
  private readonly actions: TimedAction[] = [];
  private readonly daemons: TestDaemon[];
  private readonly majorities = new Map<
    number,
    { readonly seesMajority: boolean; readonly slot: number }
  >();
  private nowMs = 0;
  private randomState = 7;
  /** Daemons of the domain of each server, its owner first. */
  private readonly ranked = new Map<ServerId, readonly number[]>();
  private readonly servers: readonly BackendServer[];
  private starts = 0;

  constructor(private readonly options: FleetOptions) {
    this.servers = options.servers ?? [serverOf('s1')];
    this.daemons = Array.from({ length: options.size }, (_, index) => this.createDaemon(index));
  }

  /** Number of the daemon that owns a server when all live. */
  owner(server: BackendServer = serverOf('s1')): number {
    return this.firstOf(server, () => true);
  }

  run(): this {
    const { rate, restartsAtMs, size } = this.options;
    this.daemons.forEach((_, index) => {
      this.after(this.delayMs(0, index), () => {
        this.readEntries(index);
      });
    });
    if (restartsAtMs !== undefined) {
      this.after(restartsAtMs, () => {
        this.restart();
      });
    }
    const demandPerS = this.servers.length * 4 * boundOf(rate) + size;
    for (let atMs = 600; atMs < END_MS; atMs += 1_000 / demandPerS) {
      this.after(atMs, () => {
        this.sendRequest(Math.floor(this.randomUnit() * size));
      });
    }
    for (let next = this.actions.pop(); next; next = this.actions.pop()) {
      this.nowMs = next.atMs;
      if (!next.isCancelled) {
        next.run();
      }
    }
    return this;
  }

  /** Most requests at one cold server in any second. */
  maxInOneSecond(): number {
    return Math.max(0, ...[...this.arrivals.values()].map(maxInOneSecond));
  }

  arrivedBetween(serverId: ServerId, startMs: number, endMs: number): number {
    const times = this.arrivals.get(serverId) ?? [];
    return times.filter((ms) => ms >= startMs && ms < endMs).length;
  }

  private createDaemon(index: number): TestDaemon {
    const { ownerOf, rate, size } = this.options;
    const memberId = toId<MemberId>(`m${index}`);
    const members = Array.from({ length: size }, (_, other) => ({
      memberId: toId<MemberId>(`m${other}`),
    }));
    const clock = { nowMs: () => this.monotonicMs(index) };
    const nowEpochMs = (): number => EPOCH_MS + this.nowMs;
    const log = { info: () => undefined, warn: () => undefined };
    const find = (id: ServerId): BackendServer | undefined =>
      this.servers.find(({ serverId }) => serverId === id);
    const service: ServingService = {
      coldRequestsPerS: rate,
      coldStartMs: 1_000,
      healthPath: '/',
      maxConnections: 9,
      service: SERVICE,
    };
    const cold = new ColdPermits({
      clock,
      findService: () => service,
      log,
      memberCount: () => size,
      metrics: NO_SERVING_METRICS,
      nowEpochMs,
      onBecameCold: () => undefined,
      overageFactor: OVERAGE_FACTOR,
      rankOf: (serverId) =>
        rankMembers(members, serverId).findIndex((member) => member.memberId === memberId),
      serverOf: find,
      slackRequests: SLACK_REQUESTS,
    });
    this.starts += 1;
    const coordinator = new ServerLimitCoordinator({
      after: (delayMs, run) => this.afterAt(index, delayMs, run),
      clock,
      cold,
      firstRequestNumber: this.starts * 1_000_000,
      isLive: () => true,
      limits: new ServerLimits(),
      log,
      memberCount: () => size,
      memberId,
      nowEpochMs,
      onLimit: () => undefined,
      ownerOf: (server) =>
        toId<MemberId>(
          `m${ownerOf?.(index, server) ?? this.firstOf(server, (other) => this.hears(index, other))}`,
        ),
      seesMajority: () => this.seesMajority(index),
      send: (message, recipientId) => {
        this.send(message, index, Number(recipientId.slice(1)));
      },
      serverOf: find,
    });
    return { cold, coordinator, domain: index % DOMAINS.length, memberId };
  }

  private restart(): void {
    this.daemons.forEach((_, index) => {
      this.daemons[index] = this.createDaemon(index);
      this.readEntries(index);
    });
  }

  private readEntries(index: number): void {
    const changes = this.servers.map((server) => ({
      revision: toNumberId<Revision>(1),
      server: { ...server, remainingColdMs: (server.remainingColdMs ?? 0) - this.nowMs },
      serverId: server.serverId,
    }));
    this.daemons[index]?.cold.onEntries(changes);
  }

  /** Sends one request to a server that takes requests, and to another one when that declines. */
  private sendRequest(index: number, excluded: readonly ServerId[] = []): void {
    const daemon = this.daemons[index];
    if (!daemon || this.isAway(index)) {
      return;
    }
    const { coordinator } = daemon;
    const open = this.servers.filter(
      (server) => coordinator.availableAfterMs(server) === 0 && !excluded.includes(server.serverId),
    );
    const server = open[Math.floor(this.randomUnit() * open.length)];
    if (!server) {
      this.refusedCount += 1;
      return;
    }
    coordinator.requestPermit(server, 0, (decision, permit) => {
      if (decision.kind === 'declined') {
        this.sendRequest(index, [...excluded, server.serverId]);
        return;
      }
      const maxConnectMs = this.randomUnit() < SLOW_CONNECT_RATIO ? MAX_CONNECT_MS : MIN_CONNECT_MS;
      this.afterAt(index, decision.waitMs + this.randomUnit() * maxConnectMs, () => {
        this.write(index, server, permit);
      });
    });
  }

  private write(index: number, server: BackendServer, permit: Permit | undefined): void {
    if (!this.daemons[index]?.coordinator.mayUse(server, permit)) {
      permit?.release();
      return;
    }
    const isMisdirected = this.randomUnit() < MISDIRECTED_RATIO;
    permit?.setUsed(true);
    if (!isMisdirected) {
      const times = this.arrivals.get(server.serverId) ?? [];
      times.push(this.nowMs + this.randomUnit() * MAX_DELIVERY_MS);
      this.arrivals.set(server.serverId, times);
    }
    this.afterAt(index, RESPONSE_MS, () => {
      permit?.setUsed(!isMisdirected);
      permit?.release();
    });
  }

  private send(message: PermitMessage, sender: number, receiver: number): void {
    const isLost = this.randomUnit() < (this.options.lossRatio ?? 0);
    if (isLost || this.options.isCut?.(sender, receiver, this.nowMs)) {
      return;
    }
    this.afterAt(receiver, this.delayMs(sender, receiver), () => {
      this.daemons[receiver]?.coordinator.onMessage(message);
    });
  }

  private delayMs(sender: number, receiver: number): number {
    const isSameDomain = sender % DOMAINS.length === receiver % DOMAINS.length;
    if (this.options.hasFastLinks) {
      return this.randomUnit() * (isSameDomain ? FAST_DELAY_MS : FAST_OTHER_DOMAIN_DELAY_MS);
    }
    const maxMs = isSameDomain ? MAX_DELAY_MS : MAX_OTHER_DOMAIN_DELAY_MS;
    return MIN_DELAY_MS + this.randomUnit() * (maxMs - MIN_DELAY_MS);
  }

  /** The first daemon of the server's domain that is heard from. */
  private firstOf(server: BackendServer, isHeard: (daemon: number) => boolean): number {
    const ranked = this.ranked.get(server.serverId) ?? this.rank(server);
    this.ranked.set(server.serverId, ranked);
    return ranked.find(isHeard) ?? ranked[0] ?? 0;
  }

  private rank(server: BackendServer): readonly number[] {
    const members = Array.from({ length: this.options.size }, (_, number) => number)
      .filter((number) => DOMAINS[number % DOMAINS.length] === server.failureDomain)
      .map((number) => ({ memberId: toId<MemberId>(`m${number}`) }));
    return rankMembers(members, server.serverId).map(({ memberId }) => Number(memberId.slice(1)));
  }

  /** Computed anew every 50 ms. */
  private seesMajority(daemon: number): boolean {
    const slot = Math.floor(this.nowMs / VIEW_INTERVAL_MS);
    const known = this.majorities.get(daemon);
    if (known?.slot === slot) {
      return known.seesMajority;
    }
    const heardCount = this.daemons.filter((_, other) => this.hears(daemon, other)).length;
    const seesMajority = 2 * heardCount > this.options.size;
    this.majorities.set(daemon, { seesMajority, slot });
    return seesMajority;
  }

  /** A daemon is heard from for a while after it died, was cut off or stood still. */
  private hears(daemon: number, other: number): boolean {
    if (daemon === other) {
      return true;
    }
    const heardMs = this.nowMs - LIVENESS_TIMEOUT_MS;
    const isUnheard = (atMs: number): boolean =>
      this.isAway(other, atMs) || (this.options.isCut?.(other, daemon, atMs) ?? false);
    return !(isUnheard(heardMs) && isUnheard(this.nowMs));
  }

  private isAway(daemon: number, atMs = this.nowMs): boolean {
    const { frozen, isDown } = this.options;
    const isFrozen = frozen?.daemon === daemon && atMs >= frozen.fromMs && atMs < frozen.untilMs;
    return isFrozen || (isDown?.(daemon, atMs) ?? false);
  }

  private monotonicMs(daemon: number): number {
    const { frozen } = this.options;
    if (frozen?.daemon !== daemon) {
      return this.nowMs;
    }
    const stoodStillMs = Math.min(this.nowMs, frozen.untilMs) - frozen.fromMs;
    return this.nowMs - Math.max(0, stoodStillMs);
  }

  /** Runs an action at a daemon: not at all while it is dead, later while it is frozen. */
  private afterAt(daemon: number, delayMs: number, run: () => void): () => void {
    return this.after(delayMs, () => {
      const { frozen, isDown } = this.options;
      if (isDown?.(daemon, this.nowMs)) {
        return;
      }
      if (frozen && this.isAway(daemon)) {
        this.after(frozen.untilMs - this.nowMs, run);
      } else {
        run();
      }
    });
  }

  private after(delayMs: number, run: () => void): () => void {
    const action: TimedAction = { atMs: this.nowMs + delayMs, isCancelled: false, run };
    let first = 0;
    let end = this.actions.length;
    while (first < end) {
      const middle = (first + end) >> 1;
      if ((this.actions[middle]?.atMs ?? 0) > action.atMs) {
        first = middle + 1;
      } else {
        end = middle;
      }
    }
    this.actions.splice(first, 0, action);
    return () => {
      action.isCancelled = true;
    };
  }

  private randomUnit(): number {
    this.randomState = (this.randomState * 1_103_515_245 + 12_345) % 2 ** 31;
    return this.randomState / 2 ** 31;
  }
}

function boundOf(rate: number): number {
  return rate * OVERAGE_FACTOR + SLACK_REQUESTS;
}

/** Most times in any sliding second before the server is warm. */
function maxInOneSecond(timesMs: readonly number[]): number {
  const times = timesMs.filter((ms) => ms < COLD_MS).sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  times.forEach((ms, index) => {
    while ((times[first] ?? 0) <= ms - BOUND_WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

function isBetween(nowMs: number, startMs: number, endMs: number): boolean {
  return nowMs >= startMs && nowMs < endMs;
}

/** Another daemon of the domain. */
function otherOf(owner: number, size: number): number {
  return owner + DOMAINS.length < size ? owner + DOMAINS.length : owner - DOMAINS.length;
}

type Fault = readonly [name: string, (owner: number, size: number) => Partial<FleetOptions>];

const FAULTS: readonly Fault[] = [
  ['all live', () => ({})],
  ['every fifth datagram is lost', () => ({ lossRatio: 0.2 })],
  [
    'the owner dies with grants out',
    (owner) => ({ isDown: (daemon, ms) => daemon === owner && ms >= FAULT_MS }),
  ],
  [
    'two daemons believe that they own the server',
    (owner, size) => ({
      ownerOf: (daemon) => {
        const other = otherOf(owner, size);
        const isOwner = daemon === owner || daemon === other;
        return isOwner ? daemon : daemon % 2 === 0 ? owner : other;
      },
    }),
  ],
  [
    'the fleet is divided into two halves',
    (_owner, size) => ({
      isCut: (sender, receiver, ms) =>
        2 * sender < size !== 2 * receiver < size && isBetween(ms, FAULT_MS, FAULT_MS + 2_000),
    }),
  ],
  [
    'the owner is cut off from all others',
    (owner) => ({
      isCut: (sender, receiver, ms) =>
        (sender === owner) !== (receiver === owner) && isBetween(ms, FAULT_MS, FAULT_MS + 2_000),
    }),
  ],
  [
    'the owner stands still and wakes up',
    (owner) => ({ frozen: { daemon: owner, fromMs: FAULT_MS, untilMs: FAULT_MS + 2_000 } }),
  ],
  [
    'another daemon stands still with permits',
    (owner, size) => ({
      frozen: {
        daemon: (owner + DOMAINS.length) % size,
        fromMs: FAULT_MS,
        untilMs: FAULT_MS + 700,
      },
    }),
  ],
  ['all daemons restart without their state', () => ({ restartsAtMs: FAULT_MS })],
];

for (const size of FLEET_SIZES) {
  for (const rate of RATES_PER_S) {
    for (const [fault, optionsOf] of FAULTS) {
      for (const hasFastLinks of [false, true]) {
        const links = hasFastLinks ? 'fast' : 'slow';
        test(`load pattern: a burst of ${size} daemons with ${links} links keeps to ${boundOf(rate)} in any second at a cold server while ${fault}`, (t) => {
          const owner = new TestFleet({ rate, size }).owner();
          const options = { ...optionsOf(owner, size), hasFastLinks, rate, size };
          const fleet = new TestFleet(options).run();
          const most = fleet.maxInOneSecond();
          const used = fleet.arrivedBetween(toId('s1'), 1_000, COLD_MS);
          t.log(`most in a second ${most}, sent in ${(COLD_MS - 1_000) / 1_000} s ${used}`);
          t.true(most <= boundOf(rate), `${most} in one second`);
          t.true(used > 0, 'the server is used');
          t.true(
            fleet.arrivedBetween(toId('s1'), COLD_MS, END_MS) > boundOf(rate),
            'the burst goes to it as soon as it is warm',
          );
        });
      }
    }
  }

  test(`load pattern: a failure domain comes back cold under a burst of ${size} daemons, and the warm servers take the rest`, (t) => {
    const numbers = Array.from({ length: 8 }, (_, number) => number);
    const coldServers = numbers.map((number) => serverOf(`cold${number}`));
    const warmServers = numbers.map((number) => ({
      ...serverOf(`warm${number}`, 1),
      remainingColdMs: 0,
    }));
    const rate = 30;
    const servers = [...coldServers, ...warmServers];
    const fleet = new TestFleet({ hasFastLinks: true, rate, servers, size }).run();
    for (const { serverId } of coldServers) {
      const most = maxInOneSecond(fleet.arrivals.get(serverId) ?? []);
      t.true(most <= boundOf(rate), `${most} in one second`);
      t.true(fleet.arrivedBetween(serverId, 1_000, COLD_MS) > 0, 'each is used');
    }
    t.is(fleet.refusedCount, 0, 'a declined request goes to another server');
  });
}
