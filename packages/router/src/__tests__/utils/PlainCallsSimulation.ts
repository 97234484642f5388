import { Socket } from 'node:net';
import type { IdempotencyKey, KnownServer, Result, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure, success, toId } from '@laburnumgap/kernel';
import type { PlainAnswer } from '@laburnumgap/plain-calls';
import { ServerOutlierDetector } from '@laburnumgap/plain-calls';
import { PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import type { LedgerPort, RouterClaim, RouterClaimReply } from '../../RouterPlainCallsLedger.js';
import { claimWithFailover } from '../../RouterPlainCallsLedger.js';
import type { PlainCallOutcome } from '../../RouterPlainCallsAtMostOnce.js';
import { PlainCallsAtMostOnce } from '../../RouterPlainCallsAtMostOnce.js';
import { PlainCallSettler } from '../../RouterPlainCallsSettler.js';
import { FakeTimers, settleMicrotasks } from './FakeTimers.js';
import type { CallFaults, CallStep } from './PlainCallsFaults.js';
import { SimulatedLedger } from './SimulatedLedger.js';

/** What a caller observed of one call; there is no outcome if its router died. */
export interface ObservedCall {
  readonly effects: number;
  readonly outcome: PlainCallOutcome | undefined;
}

const TEAM = toId<TeamId>('hoa-sen-transfers');
const BETWEEN_CALLS_MS = 1_000;
const PAUSE_MS = 30_000;
const CALL_TIMEOUT_MS = 5_000;
const SERVER: KnownServer = {
  address: 'http://127.0.0.1:1',
  backend: { kind: 'service', service: toId('stock') },
  failureDomain: toId('a'),
  leaving: false,
  region: toId('north'),
  serverId: toId('app-1'),
  state: 'live',
};

/** Simulates routers, ledgers and a server with one store, and calls with faults. */
export class PlainCallsSimulation {
  /** Effects at the server by idempotency key. */
  readonly effectsByKey = new Map<string, number>();
  epochMs = Date.UTC(2026, 11, 3);
  /** The ledgers' monotonic clock, which advances only between calls. */
  ledgerMs = 0;
  readonly state = new PlatformStoreState();
  private externalWork = 0;
  private calls = 0;
  private readonly effectsByCall = new Map<number, number>();
  private ledgers: readonly SimulatedLedger[] = [];

  constructor() {
    this.replaceLedgers();
  }

  /** Replaces all ledger processes; only the store is kept. */
  replaceLedgers(): void {
    this.ledgers.forEach((ledger) => {
      ledger.die();
      ledger.stop();
    });
    this.ledgers = [0, 1].map((index) => new SimulatedLedger(this, index));
  }

  stop(): void {
    this.ledgers.forEach((ledger) => {
      ledger.stop();
    });
  }

  /** Makes a call through a new router and waits until it and its settlements have ended. */
  async call(key: IdempotencyKey, faults: CallFaults = {}, body = 'four'): Promise<ObservedCall> {
    this.calls += 1;
    this.ledgerMs += BETWEEN_CALLS_MS;
    const number = this.calls;
    const router = new SimulatedRouter(this, number, faults);
    const outcome = await this.runUntil(router.timers, router.call(key, body));
    await this.runUntil(router.timers, router.whenIdle());
    return { effects: this.effectsByCall.get(number) ?? 0, outcome };
  }

  /** Tracks work outside the simulated timers; no simulated time passes until it has ended. */
  async trackExternal<T>(work: () => Promise<T>): Promise<T> {
    this.externalWork += 1;
    try {
      return await work();
    } finally {
      this.externalWork -= 1;
    }
  }

  ledgersFor(faults: CallFaults): readonly SimulatedLedger[] {
    const [first] = this.ledgers;
    if (first !== undefined) {
      first.commitFaults = [faults.claimCommit ?? 'none'];
      first.dieAtCommit = faults.ledgerDiesAtClaim ?? false;
    }
    return this.ledgers;
  }

  countEffect(key: string, call: number): void {
    this.effectsByKey.set(key, (this.effectsByKey.get(key) ?? 0) + 1);
    this.effectsByCall.set(call, (this.effectsByCall.get(call) ?? 0) + 1);
  }

  private async runUntil<T>(timers: FakeTimers, work: Promise<T>): Promise<T> {
    const state = { ended: false };
    void work.finally(() => {
      state.ended = true;
    });
    while (!state.ended) {
      await settleMicrotasks();
      if (this.externalWork === 0) {
        timers.runNextTimer();
      }
    }
    return work;
  }
}

/** A router process that serves one call. */
class SimulatedRouter implements LedgerPort {
  readonly timers = new FakeTimers();
  private isDead = false;
  private readonly ledgers: readonly SimulatedLedger[];
  private readonly atMostOnce: PlainCallsAtMostOnce;
  private onDeath: () => void = () => undefined;
  private readonly death = new Promise<undefined>((resolve) => {
    this.onDeath = () => {
      resolve(undefined);
    };
  });
  private readonly settler: PlainCallSettler;

  constructor(
    private readonly simulation: PlainCallsSimulation,
    private readonly callNumber: number,
    private readonly faults: CallFaults,
  ) {
    this.ledgers = simulation.ledgersFor(faults);
    const { timers } = this;
    this.settler = new PlainCallSettler({ clock: timers, ledger: this, log: NO_LOG, timers });
    this.atMostOnce = new PlainCallsAtMostOnce({
      clock: timers,
      connect: () => this.connect(),
      createClaimId: () => `claim-${callNumber}`,
      decisions: NO_DECISION_SINK,
      ledger: this,
      outliers: new ServerOutlierDetector(),
      send: ({ call }) => this.send(call.headers['idempotency-key'] ?? ''),
      servers: () => [SERVER],
      settler: this.settler,
      timers,
    });
  }

  call(key: IdempotencyKey, body: string): Promise<PlainCallOutcome | undefined> {
    const outcome = this.atMostOnce.run({
      call: {
        body: Buffer.from(body),
        headers: { 'idempotency-key': key },
        method: 'POST',
        path: '/v1/transfers',
      },
      callHash: body,
      idempotencyKey: key,
      isCallerDisconnected: () => this.faults.callerDisconnected ?? false,
      requestId: toId(`request-${this.callNumber}`),
      service: 'stock',
      teamId: TEAM,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return Promise.race([outcome, this.death]);
  }

  async whenIdle(): Promise<void> {
    await Promise.race([this.settler.whenIdle(), this.death]);
  }

  async claim(claim: RouterClaim): Promise<RouterClaimReply> {
    await this.reachStep('before the claim');
    const reply = await claimWithFailover(this.ledgers, this.timers, (ledger) =>
      this.claimAt(ledger, claim),
    );
    await this.reachStep('claim granted');
    return reply;
  }

  async settle(claim: RouterClaim, outcome: Parameters<LedgerPort['settle']>[1], attempt: number) {
    if (outcome.kind === 'answered') {
      await this.reachStep('answer received');
    }
    const ledger = this.ledgers[attempt % this.ledgers.length];
    if (ledger === undefined) {
      return false;
    }
    if (attempt === 0) {
      ledger.commitFaults = [this.faults.settleCommit ?? 'none'];
      ledger.dieAtCommit = this.faults.ledgerDiesAtSettle ?? false;
    }
    const reply = await this.simulation.trackExternal(() =>
      ledger.callUnlessDead(() => ledger.slots.settle({ ...claim, outcome })),
    );
    await this.reachStep('answer recorded');
    return reply?.kind === 'settled' && reply.recorded;
  }

  private async claimAt(ledger: SimulatedLedger, claim: RouterClaim): Promise<RouterClaimReply> {
    const isFirst = ledger === this.ledgers[0];
    if (isFirst && this.faults.loseClaimRequest) {
      return { kind: 'lost' };
    }
    const reply = await this.simulation.trackExternal(() =>
      ledger.callUnlessDead(() => ledger.slots.claim(claim)),
    );
    if (reply === undefined || reply.kind === 'settled' || this.faults.loseClaimReply) {
      return { kind: 'lost' };
    }
    return reply;
  }

  private async connect(): Promise<Result<Socket, string>> {
    if (this.faults.server === 'no connection') {
      return failure('refused');
    }
    await this.reachStep('connected');
    return success(new Socket());
  }

  private send(key: string): Promise<Result<PlainAnswer, string>> {
    const fault = this.faults.server ?? 'none';
    if (fault !== 'reset before the effect') {
      this.simulation.countEffect(key, this.callNumber);
    }
    if (fault !== 'none') {
      return Promise.resolve(failure(fault));
    }
    const body = Buffer.from(`done by ${this.callNumber}`);
    return Promise.resolve(success({ body, headers: {}, status: 201 }));
  }

  /** Dies or pauses at the step if configured so; a dead router never continues. */
  private async reachStep(step: CallStep): Promise<void> {
    if (this.faults.routerPausesAt === step) {
      this.timers.passTime(PAUSE_MS);
      this.simulation.epochMs += PAUSE_MS;
    }
    if (this.isDead || this.faults.routerDiesAt === step) {
      this.isDead = true;
      this.onDeath();
      await new Promise(() => undefined);
    }
  }
}
