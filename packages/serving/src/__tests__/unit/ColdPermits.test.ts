import type { BackendServer, PermitDecision, ServingService } from '@laburnumgap/dispatch';
import { ServerLimits } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ColdPermitsOptions, Permit, PermitMessage } from '../../index.js';
import { ColdPermits, NO_SERVING_METRICS, ServerLimitCoordinator } from '../../index.js';

const SERVICE: ServingService = {
  coldRequestsPerS: 5,
  coldStartMs: 1_000,
  healthPath: '/',
  maxConnections: 9,
  service: toId<ServiceId>('desk'),
};
const SERVER: BackendServer = {
  remainingColdMs: 1_000,
  failureDomain: toId<FailureDomainId>('a'),
  host: '10.0.0.9',
  leaving: false,
  port: 80,
  serverId: toId<ServerId>('s1'),
  service: SERVICE.service,
  slots: 6,
  startedEpochMs: 1_700_000_000_000,
};
const OWN = toId<MemberId>('m1');
const OWNER = toId<MemberId>('m2');
/** Longer than any account remembers. */
const START_MS = 100_000;

type PermitRequest = Extract<PermitMessage, { kind: 'permitRequest' }>;

/** One daemon at a server that another daemon owns, whose answers the test makes. */
class TestDaemon {
  readonly cold: ColdPermits;
  readonly coordinator: ServerLimitCoordinator;
  epochMs = 1_700_000_100_000;
  readonly loggedEvents: string[] = [];
  nowMs = START_MS;
  ownerId = OWNER;
  readonly sent: PermitMessage[] = [];
  private readonly timers: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor(options: Partial<ColdPermitsOptions> = {}) {
    const clock = { nowMs: () => this.nowMs };
    const nowEpochMs = (): number => this.epochMs;
    const log = {
      info: (event: string) => this.loggedEvents.push(event),
      warn: (event: string) => this.loggedEvents.push(event),
    };
    this.cold = new ColdPermits({
      clock,
      findService: () => SERVICE,
      log,
      memberCount: () => 2,
      metrics: NO_SERVING_METRICS,
      nowEpochMs,
      onBecameCold: () => undefined,
      overageFactor: 1.5,
      rankOf: () => 0,
      serverOf: () => SERVER,
      slackRequests: 5,
      ...options,
    });
    this.coordinator = new ServerLimitCoordinator({
      after: (delayMs, run) => {
        const timer = { atMs: this.nowMs + delayMs, run };
        this.timers.push(timer);
        return () => this.timers.splice(this.timers.indexOf(timer), 1);
      },
      clock,
      cold: this.cold,
      isLive: () => true,
      limits: new ServerLimits(),
      log,
      memberCount: () => 2,
      memberId: OWN,
      nowEpochMs,
      onLimit: () => undefined,
      ownerOf: () => this.ownerId,
      seesMajority: () => true,
      send: (message) => this.sent.push(message),
      serverOf: () => SERVER,
    });
  }

  /** Receives the entry of the server. */
  readEntry(remainingColdMs: number, revision = 1): void {
    const server = { ...SERVER, remainingColdMs };
    const { serverId } = SERVER;
    this.cold.onEntries([{ revision: toNumberId<Revision>(revision), server, serverId }]);
  }

  request(): { decision?: PermitDecision; permit?: Permit } {
    const outcome: { decision?: PermitDecision; permit?: Permit } = {};
    this.coordinator.requestPermit(SERVER, 0, (decision, permit) => {
      outcome.decision = decision;
      outcome.permit = permit;
    });
    return outcome;
  }

  /** Answers the latest request for a permit. */
  respond(decision: PermitDecision, countsCold = true): void {
    const request = this.sent.findLast(
      (message): message is PermitRequest => message.kind === 'permitRequest',
    );
    this.coordinator.onMessage({
      countsCold,
      decision,
      kind: 'permitResponse',
      requestNumber: request?.requestNumber ?? -1,
      serverId: SERVER.serverId,
    });
  }

  advance(ms: number): void {
    this.nowMs += ms;
    this.epochMs += ms;
    for (const timer of [...this.timers].filter(({ atMs }) => atMs <= this.nowMs)) {
      this.timers.splice(this.timers.indexOf(timer), 1);
      timer.run();
    }
  }

  unusedReleases(): number {
    return this.sent.filter((message) => message.kind === 'permitReleased' && message.isUnused)
      .length;
  }
}

const GRANTED: PermitDecision = { kind: 'granted', waitMs: 0 };

for (const [name, options] of [
  ['no factor is set', { overageFactor: undefined }],
  ['no slack is set', { slackRequests: undefined }],
  ['the service has no cold rate', { findService: () => ({ ...SERVICE, coldRequestsPerS: 0 }) }],
  ['the configuration names none', { findService: () => undefined }],
] as const) {
  test(`permits of cold servers are off where ${name}: no message, no report and no log line`, (t) => {
    const daemon = new TestDaemon(options);
    daemon.readEntry(1_000);
    daemon.cold.onResponse(SERVER, 500);
    t.deepEqual(daemon.request(), { decision: GRANTED, permit: undefined });
    t.false(daemon.coordinator.isLimited(SERVER));
    t.true(daemon.coordinator.mayUse(SERVER, undefined));
    t.deepEqual(daemon.sent, []);
    t.deepEqual(daemon.cold.reports(), []);
    t.deepEqual(daemon.loggedEvents, []);
  });
}

test('a grant is valid for a short time after it was requested', (t) => {
  const daemon = new TestDaemon();
  daemon.readEntry(1_000);
  const outcome = daemon.request();
  daemon.advance(30);
  daemon.respond(GRANTED);
  t.deepEqual(outcome.decision, GRANTED);
  t.true(daemon.coordinator.mayUse(SERVER, outcome.permit));
  daemon.advance(91);
  t.false(daemon.coordinator.mayUse(SERVER, outcome.permit));
  outcome.permit?.release();
  t.is(daemon.unusedReleases(), 1);
  daemon.advance(1_000);
  t.true(daemon.coordinator.mayUse(SERVER, outcome.permit), 'the server is warm');
});

test('a grant is not used after the daemon stood still with its monotonic clock', (t) => {
  const daemon = new TestDaemon();
  daemon.readEntry(1_000);
  const outcome = daemon.request();
  daemon.respond(GRANTED);
  daemon.epochMs += 2_000;
  t.false(daemon.coordinator.mayUse(SERVER, outcome.permit));
});

test('a grant that arrives after the owner counted as silent is dropped and given back', (t) => {
  const daemon = new TestDaemon();
  daemon.readEntry(1_000);
  const outcome = daemon.request();
  daemon.advance(40);
  daemon.advance(80);
  t.truthy(outcome.decision, 'it decides by itself');
  t.is(daemon.unusedReleases(), 1);
  const { decision } = outcome;
  daemon.respond(GRANTED);
  t.is(outcome.decision, decision);
});

test('a grant of a daemon that does not count cold servers is not used', (t) => {
  const daemon = new TestDaemon();
  daemon.readEntry(1_000);
  const outcome = daemon.request();
  daemon.respond(GRANTED, false);
  t.is(daemon.loggedEvents.filter((event) => event === 'cold-permit').length, 1, 'its own share');
  t.truthy(outcome.decision);
  t.is(daemon.unusedReleases(), 1);
});

test('a server that becomes cold while its permit was requested needs another one', (t) => {
  const daemon = new TestDaemon();
  const before = daemon.request();
  t.deepEqual(before.decision, GRANTED);
  t.true(daemon.coordinator.mayUse(SERVER, before.permit));
  daemon.cold.onResponse(SERVER, 800);
  t.false(daemon.coordinator.mayUse(SERVER, before.permit));
});

test('a decline is remembered no longer than the server is cold', (t) => {
  const daemon = new TestDaemon();
  daemon.readEntry(1_000);
  daemon.request();
  daemon.respond({ kind: 'declined', retryAfterMs: 5_000 });
  t.is(daemon.coordinator.availableAfterMs(SERVER), 1_000);
  daemon.cold.onResponse(SERVER, 300);
  daemon.advance(300);
  t.is(daemon.coordinator.availableAfterMs(SERVER), 0, 'a response said that it is warm earlier');
  daemon.cold.onResponse(SERVER, 800);
  t.is(daemon.coordinator.availableAfterMs(SERVER), 700, 'cold again within the remembered time');
});

test('a daemon keeps its account of a cold server when the owner answers in between', (t) => {
  const daemon = new TestDaemon();
  daemon.advance(2_000);
  daemon.readEntry(60_000);
  const grantedCount = (): number => {
    const outcome = daemon.request();
    daemon.advance(40);
    daemon.advance(80);
    return outcome.decision?.kind === 'granted' ? 1 : 0;
  };
  t.is(grantedCount(), 1, 'the share of the first daemon');
  daemon.advance(500);
  daemon.request();
  daemon.respond({ kind: 'declined', retryAfterMs: 10 });
  daemon.advance(20);
  t.is(grantedCount(), 0, 'the share is used up within the second');
});

test('an owner that does not know that a server is cold counts requests of those that do', (t) => {
  const daemon = new TestDaemon();
  daemon.ownerId = OWN;
  for (let requestNumber = 1; requestNumber <= 20; requestNumber += 1) {
    daemon.coordinator.onMessage({
      isCold: true,
      kind: 'permitRequest',
      maxWaitMs: 0,
      memberId: OWNER,
      requestNumber,
      serverId: SERVER.serverId,
    });
  }
  const responses = daemon.sent.filter((message) => message.kind === 'permitResponse');
  t.true(responses.every(({ countsCold }) => countsCold === true));
  t.true(responses.filter(({ decision }) => decision.kind === 'granted').length <= 5);
});

test('servers are assumed cold until a response says otherwise', (t) => {
  const daemon = new TestDaemon();
  daemon.cold.assumeCold([SERVER]);
  t.true(daemon.coordinator.isCold(SERVER));
  t.deepEqual(daemon.cold.reports(), [], 'nothing was observed');
  daemon.advance(1);
  daemon.cold.onResponse(SERVER, 0);
  t.false(daemon.coordinator.isCold(SERVER));
});
