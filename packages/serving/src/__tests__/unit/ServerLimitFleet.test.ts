import type { BackendServer } from '@laburnumgap/dispatch';
import { selectEngineOwner, ServerLimits } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { Permit, PermitMessage } from '../../index.js';
import { ServerLimitCoordinator } from '../../index.js';

const DOMAIN = toId<FailureDomainId>('a');
const SERVER: BackendServer = {
  failureDomain: DOMAIN,
  host: '10.0.0.9',
  leaving: false,
  port: 80,
  serverId: toId<ServerId>('s1'),
  service: toId<ServiceId>('desk'),
  slots: 6,
  startedEpochMs: 1,
};
const ONE_WAY_DELAY_MS = 2;
/** A daemon that is not heard for this long counts as dead. */
const LIVENESS_TIMEOUT_MS = 1_200;
const FROZEN_CHECK_INTERVAL_MS = 50;
const VIEW_INTERVAL_MS = 100;
const WINDOW_MS = 4_000;
/** The server names its limit this long before the arrivals are counted. */
const SETTLE_MS = 3_000;
const END_MS = 20_000;
const DEMAND_PER_S = 60;
/** Time that a brittle server works on a request, and the requests that it lets wait. */
const WORK_MS = 200;
const ROOM = 2;
const MAX_REJECTIONS_PER_S = 4;

interface TimedAction {
  isCancelled: boolean;
  readonly atMs: number;
  readonly run: () => void;
}

interface TestDaemon {
  readonly coordinator: ServerLimitCoordinator;
  readonly limits: ServerLimits;
  readonly memberId: MemberId;
}

interface View {
  readonly ownerId: MemberId;
  readonly seesMajority: boolean;
  readonly slot: number;
}

/** Whether a daemon is unable to run or to communicate at a time. */
type Outage = (daemon: number, nowMs: number) => boolean;

interface FleetOptions {
  /** Whether the datagrams between two daemons are lost at a time. */
  readonly isCut?: (sender: number, receiver: number, nowMs: number) => boolean;
  readonly isDown?: Outage;
  readonly isFrozen?: Outage;
  /** Whether no callers send anything at a time. */
  readonly isQuiet?: (nowMs: number) => boolean;
  /** What the server says at a time. */
  readonly limitAt?: (nowMs: number) => number | undefined;
  readonly lossRatio?: number;
  /** The server is brittle and names no limit; requests take {@link WORK_MS}. */
  readonly isBrittle?: boolean;
  /** When each daemon hears of the limit first; by default all at once. */
  readonly learnsAtMs?: (daemon: number) => number;
  readonly size: number;
  /** Whether a daemon that hears of a limit or of its end tells the others; true by default. */
  readonly tellsOthers?: boolean;
}

/** Daemons that send to one server, on a fake clock and a network with faults. */
class TestFleet {
  readonly arrivalTimesMs: number[] = [];
  readonly rejectionTimesMs: number[] = [];
  readonly daemons: readonly TestDaemon[];
  /** Requests at a brittle server. */
  private inFlight = 0;
  nowMs = 0;
  /** Latest first; actions of the same time in the order of their scheduling. */
  private readonly actions: TimedAction[] = [];
  private readonly owners = new Map<string, MemberId>();
  private randomState = 25;
  private readonly views = new Map<number, View>();

  constructor(private readonly options: FleetOptions) {
    this.daemons = Array.from({ length: options.size }, (_, index) => this.createDaemon(index));
  }

  /** Number of the daemon that owns the server when all live. */
  owner(): number {
    const ownerId = this.ownerAmong(this.daemons.map(() => true));
    return this.daemons.findIndex(({ memberId }) => memberId === ownerId);
  }

  after(delayMs: number, run: () => void): () => void {
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

  run(): void {
    const learnsAtMs = this.options.learnsAtMs ?? (() => 0);
    this.daemons.forEach((_, index) => {
      this.after(learnsAtMs(index), () => {
        this.observe(index);
      });
    });
    for (let atMs = 0; atMs < END_MS; atMs += 1_000 / DEMAND_PER_S) {
      this.after(atMs, () => {
        this.sendRequest(Math.floor(this.randomUnit() * this.options.size));
      });
    }
    while (this.runNext());
  }

  /** Largest excess of arrivals over what the server allows, in any window after it settled. */
  maxExcess(): number {
    const times = [...this.arrivalTimesMs].sort((a, b) => a - b);
    const excesses = times
      .filter((startMs) => startMs >= SETTLE_MS)
      .map((startMs) => {
        const endMs = startMs + WINDOW_MS;
        const arrived = times.filter((ms) => ms >= startMs && ms < endMs).length;
        const limit = Math.max(this.limitAt(startMs) ?? Infinity, this.limitAt(endMs) ?? Infinity);
        return arrived - (1.5 * (WINDOW_MS / 1_000) * limit + 5);
      });
    return Math.max(-Infinity, ...excesses);
  }

  arrivedBetween(startMs: number, endMs: number): number {
    return this.arrivalTimesMs.filter((ms) => ms >= startMs && ms < endMs).length;
  }

  private limitAt(nowMs: number): number | undefined {
    return this.options.isBrittle ? undefined : (this.options.limitAt ?? (() => 5))(nowMs);
  }

  private observe(daemon: number): void {
    const { serverId, startedEpochMs } = SERVER;
    const requestsPerS = this.limitAt(this.nowMs);
    const limits = this.daemons[daemon]?.limits;
    const previousPerS = limits?.requestsPerS(SERVER);
    const maxRejectionsPerS = this.options.isBrittle ? MAX_REJECTIONS_PER_S : undefined;
    const wasBrittle = limits?.isBrittle(SERVER) ?? false;
    limits?.record({
      maxRejectionsPerS,
      observedMs: this.nowMs,
      requestsPerS,
      serverId,
      startedEpochMs,
    });
    const hasChanged =
      (previousPerS === undefined) !== (requestsPerS === undefined) ||
      wasBrittle !== (maxRejectionsPerS !== undefined);
    if (hasChanged && (this.options.tellsOthers ?? true)) {
      this.tellOthers(daemon);
    }
  }

  /** A heartbeat to all daemons that carries what the sender knows. */
  private tellOthers(daemon: number): void {
    const report = this.daemons[daemon]?.limits.reportOf(SERVER.serverId, this.nowMs);
    this.daemons.forEach(({ limits }, receiver) => {
      if (report && receiver !== daemon && !this.isLost(daemon, receiver)) {
        this.afterAt(receiver, ONE_WAY_DELAY_MS, () => {
          limits.recordReport(report, this.nowMs);
        });
      }
    });
  }

  private runNext(): boolean {
    const next = this.actions.pop();
    if (!next || next.atMs > END_MS) {
      return false;
    }
    this.nowMs = Math.max(this.nowMs, next.atMs);
    if (!next.isCancelled) {
      next.run();
    }
    return true;
  }

  private createDaemon(index: number): TestDaemon {
    const memberId = toId<MemberId>(`m${index}`);
    const limits = new ServerLimits();
    const coordinator = new ServerLimitCoordinator({
      after: (delayMs, run) => this.afterAt(index, delayMs, run),
      clock: { nowMs: () => this.nowMs },
      isLive: () => true,
      limits,
      log: { info: () => undefined, warn: () => undefined },
      memberCount: () => this.options.size,
      onLimit: (report) => {
        limits.recordReport(report, this.nowMs);
      },
      memberId,
      ownerOf: () => this.viewOf(index).ownerId,
      seesMajority: () => this.viewOf(index).seesMajority,
      send: (message, recipientId) => {
        this.send(message, index, recipientId);
      },
      serverOf: () => SERVER,
    });
    return { coordinator, limits, memberId };
  }

  /** What a daemon believes about the others; computed anew every 100 ms. */
  private viewOf(daemon: number): View {
    const slot = Math.floor(this.nowMs / VIEW_INTERVAL_MS);
    const known = this.views.get(daemon);
    if (known?.slot === slot) {
      return known;
    }
    const seen = this.daemons.map((_, other) => this.sees(daemon, other));
    const seesMajority = 2 * seen.filter(Boolean).length > this.options.size;
    const view = { ownerId: this.ownerAmong(seen), seesMajority, slot };
    this.views.set(daemon, view);
    return view;
  }

  private ownerAmong(seen: readonly boolean[]): MemberId {
    const key = seen.map(Number).join('');
    const known = this.owners.get(key);
    if (known !== undefined) {
      return known;
    }
    const candidates = this.daemons
      .filter((_, index) => seen[index])
      .map(({ memberId }) => ({ failureDomain: DOMAIN, memberId }));
    const ownerId = selectEngineOwner(SERVER.serverId, DOMAIN, candidates) ?? toId<MemberId>('');
    this.owners.set(key, ownerId);
    return ownerId;
  }

  /** A daemon sees those that it heard from lately, and itself. */
  private sees(daemon: number, other: number): boolean {
    if (daemon === other) {
      return true;
    }
    for (let agoMs = 0; agoMs < LIVENESS_TIMEOUT_MS; agoMs += 500) {
      const atMs = this.nowMs - agoMs;
      if (atMs >= 0 && !this.isAway(other, atMs) && !this.isCut(other, daemon, atMs)) {
        return true;
      }
    }
    return false;
  }

  private isAway(daemon: number, nowMs: number): boolean {
    const { isDown, isFrozen } = this.options;
    return (isDown?.(daemon, nowMs) ?? false) || (isFrozen?.(daemon, nowMs) ?? false);
  }

  private isCut(sender: number, receiver: number, nowMs: number): boolean {
    return this.options.isCut?.(sender, receiver, nowMs) ?? false;
  }

  private send(message: PermitMessage, sender: number, recipientId: MemberId): void {
    const receiver = this.daemons.findIndex(({ memberId }) => memberId === recipientId);
    if (!this.isLost(sender, receiver)) {
      this.afterAt(receiver, ONE_WAY_DELAY_MS, () => {
        this.daemons[receiver]?.coordinator.onMessage(message);
      });
    }
  }

  private isLost(sender: number, receiver: number): boolean {
    const isCut = this.isCut(sender, receiver, this.nowMs);
    return isCut || this.randomUnit() < (this.options.lossRatio ?? 0);
  }

  /** Runs an action at a daemon: not at all while it is down, later while it is frozen. */
  private afterAt(daemon: number, delayMs: number, run: () => void): () => void {
    return this.after(delayMs, () => {
      if (this.options.isDown?.(daemon, this.nowMs)) {
        return;
      }
      if (this.options.isFrozen?.(daemon, this.nowMs)) {
        this.afterAt(daemon, FROZEN_CHECK_INTERVAL_MS, run);
      } else {
        run();
      }
    });
  }

  private sendRequest(daemon: number): void {
    if (this.isAway(daemon, this.nowMs) || this.options.isQuiet?.(this.nowMs)) {
      return;
    }
    const target = this.daemons[daemon];
    if (!target) {
      return;
    }
    target.coordinator.requestPermit(SERVER, 0, (decision, permit) => {
      if (decision.kind === 'granted') {
        this.arrivalTimesMs.push(this.nowMs + decision.waitMs);
        if (this.options.isBrittle) {
          this.runAtBrittleServer(daemon, permit);
        }
        // Every response says what the server says then.
        this.after(ONE_WAY_DELAY_MS, () => {
          this.observe(daemon);
        });
      }
    });
  }

  /** Most rejections within a second, after the daemons settled. */
  maxRejectionsPerS(): number {
    const times = this.rejectionTimesMs.filter((ms) => ms >= SETTLE_MS);
    const counts = times.map((ms) => times.filter((other) => isBetween(other, ms, ms + 1_000)));
    return Math.max(0, ...counts.map(({ length }) => length));
  }

  private runAtBrittleServer(daemon: number, permit: Permit | undefined): void {
    if (this.inFlight >= SERVER.slots + ROOM) {
      this.rejectionTimesMs.push(this.nowMs);
      this.afterAt(daemon, ONE_WAY_DELAY_MS, () => {
        permit?.release();
        this.daemons[daemon]?.coordinator.onRejected(SERVER);
      });
      return;
    }
    this.inFlight += 1;
    this.after(WORK_MS, () => {
      this.inFlight -= 1;
      this.afterAt(daemon, ONE_WAY_DELAY_MS, () => {
        permit?.release();
      });
    });
  }

  private randomUnit(): number {
    this.randomState = (this.randomState * 1_103_515_245 + 12_345) % 2 ** 31;
    return this.randomState / 2 ** 31;
  }
}

const SIZES = [6, 195];

function isBetween(nowMs: number, startMs: number, endMs: number): boolean {
  return nowMs >= startMs && nowMs < endMs;
}

for (const size of SIZES) {
  test(`load pattern: ${size} daemons send a server what it takes, and no more`, (t) => {
    const fleet = new TestFleet({ size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(SETTLE_MS, END_MS) >= 0.8 * 5 * 17, 'the server is used');
  });

  test(`load pattern: ${size} daemons keep to a limit in a burst after a quiet time`, (t) => {
    const fleet = new TestFleet({ isQuiet: (ms) => isBetween(ms, 5_000, 12_000), size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(12_000, END_MS) >= 0.8 * 5 * 8, 'the server is used');
  });

  test(`${size} daemons keep to a limit while its owner is dead`, (t) => {
    const owner = new TestFleet({ size }).owner();
    const fleet = new TestFleet({ isDown: (daemon, ms) => daemon === owner && ms > 6_000, size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(9_000, END_MS) >= 0.8 * 5 * 11, 'another daemon owns the server');
  });

  test(`${size} daemons keep to a limit when its owner freezes and wakes`, (t) => {
    const owner = new TestFleet({ size }).owner();
    const isFrozen: Outage = (daemon, ms) => daemon === owner && isBetween(ms, 6_000, 9_000);
    const fleet = new TestFleet({ isFrozen, size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
  });

  test(`${size} daemons keep to a limit when its owner is cut off from all others`, (t) => {
    const owner = new TestFleet({ size }).owner();
    const fleet = new TestFleet({
      isCut: (sender, receiver, ms) =>
        (sender === owner || receiver === owner) && isBetween(ms, 6_000, 14_000),
      size,
    });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(9_000, 14_000) >= 0.8 * 5 * 5, 'the others use the server');
  });

  test(`${size} daemons keep to a limit when they are divided into two halves`, (t) => {
    const isCut = (sender: number, receiver: number, ms: number): boolean =>
      2 * sender < size !== 2 * receiver < size && isBetween(ms, 6_000, 14_000);
    const fleet = new TestFleet({ isCut, size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
  });

  test(`${size} daemons keep to a limit though every fifth datagram is lost`, (t) => {
    const fleet = new TestFleet({ lossRatio: 0.2, size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(SETTLE_MS, END_MS) >= 0.5 * 5 * 17, 'the server is used');
  });

  test(`${size} daemons keep to a limit when all of them start at once`, (t) => {
    const fleet = new TestFleet({
      isCut: (sender, receiver, ms) => ms < 3_500 + 300 * ((sender + receiver) % 4),
      size,
    });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
  });

  test(`${size} daemons keep to a limit that changes`, (t) => {
    const limitAt = (ms: number): number => (isBetween(ms, 8_000, 12_000) ? 1 : 8);
    const fleet = new TestFleet({ limitAt, size });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
    t.true(fleet.arrivedBetween(9_000, 12_000) <= 1.5 * 3 + 5);
    t.true(fleet.arrivedBetween(13_000, END_MS) >= 0.8 * 8 * 7, 'the greater limit is used');
  });

  test(`${size} daemons send freely once a server names no limit any more`, (t) => {
    const limitAt = (ms: number): number | undefined => (ms < 8_000 ? 2 : undefined);
    const fleet = new TestFleet({ limitAt, size });
    fleet.run();
    t.true(fleet.arrivedBetween(10_000, END_MS) >= 0.8 * DEMAND_PER_S * 10);
  });

  test(`${size} daemons that hear of a limit one after the other keep to it`, (t) => {
    const learnsAtMs = (daemon: number): number => (daemon % 6) * 600;
    const fleet = new TestFleet({ learnsAtMs, size, tellsOthers: false });
    fleet.run();
    t.true(fleet.maxExcess() <= 0, `excess ${fleet.maxExcess()}`);
  });

  test(`a server that takes nothing gets a request of ${size} daemons from time to time`, (t) => {
    const fleet = new TestFleet({ limitAt: () => 0, size });
    fleet.run();
    const arrived = fleet.arrivedBetween(SETTLE_MS, END_MS);
    t.true(arrived >= 1 && arrived <= 3, `${arrived} arrived`);
  });
}

const BRITTLE_FAULTS: readonly (readonly [string, (owner: number) => Partial<FleetOptions>])[] = [
  ['all live', () => ({})],
  ['a tenth of the datagrams is lost', () => ({ lossRatio: 0.1 })],
  ['its owner dies', (owner) => ({ isDown: (daemon, ms) => daemon === owner && ms >= 8_000 })],
  [
    'its owner freezes and wakes up',
    (owner) => ({ isFrozen: (daemon, ms) => daemon === owner && isBetween(ms, 8_000, 11_000) }),
  ],
  [
    'its owner is cut off and back',
    (owner) => ({
      isCut: (sender, receiver, ms) =>
        (sender === owner) !== (receiver === owner) && isBetween(ms, 8_000, 12_000),
    }),
  ],
];

for (const size of SIZES) {
  for (const [fault, optionsOf] of BRITTLE_FAULTS) {
    test(`load pattern: ${size} daemons keep a brittle server from turning requests away while ${fault}`, (t) => {
      const owner = new TestFleet({ size }).owner();
      const fleet = new TestFleet({ ...optionsOf(owner), isBrittle: true, size });
      fleet.run();
      const rejections = fleet.maxRejectionsPerS();
      t.true(rejections <= MAX_REJECTIONS_PER_S, `${rejections} rejections in a second`);
      const runsPerS = (SERVER.slots * 1_000) / WORK_MS;
      const served = fleet.arrivedBetween(SETTLE_MS, END_MS) - fleet.rejectionTimesMs.length;
      const possible = runsPerS * ((END_MS - SETTLE_MS) / 1_000);
      t.log(`served ${served} of ${possible}`);
      t.true(served >= possible / 2, 'the server is used');
    });
  }
}

test('the requests of a restarted daemon are not taken for those before its restart', (t) => {
  const limits = new ServerLimits();
  const { serverId, startedEpochMs } = SERVER;
  limits.record({
    maxRejectionsPerS: 4,
    observedMs: 0,
    requestsPerS: undefined,
    serverId,
    startedEpochMs,
  });
  const [ownerId, memberId] = ['m1', 'm2'].map((id) => toId<MemberId>(id)) as [MemberId, MemberId];
  const decisions: string[] = [];
  const coordinators = new Map<MemberId, ServerLimitCoordinator>();
  const create = (id: MemberId, firstRequestNumber: number): ServerLimitCoordinator => {
    const coordinator: ServerLimitCoordinator = new ServerLimitCoordinator({
      after: () => () => undefined,
      clock: { nowMs: () => 10_000 * coordinators.size },
      firstRequestNumber,
      isLive: () => true,
      limits,
      log: { info: () => undefined, warn: () => undefined },
      memberCount: () => 2,
      memberId: id,
      onLimit: () => undefined,
      ownerOf: () => ownerId,
      seesMajority: () => true,
      send: (message, recipientId) => coordinators.get(recipientId)?.onMessage(message),
      serverOf: () => SERVER,
    });
    coordinators.set(id, coordinator);
    return coordinator;
  };
  create(ownerId, 0).requestPermit(SERVER, 0, () => undefined);
  for (const incarnation of [1_000, 2_000]) {
    create(memberId, incarnation).requestPermit(SERVER, 0, ({ kind }, permit) => {
      decisions.push(kind);
      permit?.release();
    });
  }
  t.deepEqual(decisions, ['granted', 'granted']);
});
