import { Socket } from 'node:net';
import type { IdempotencyKey, KnownServer, Result, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure, success, toId } from '@laburnumgap/kernel';
import type { PlainAnswer } from '@laburnumgap/plain-calls';
import { ServerOutlierDetector } from '@laburnumgap/plain-calls';
import { PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import type { LedgerPort, RouterClaim, RouterClaimReply } from '../../RouterPlainCallsLedger.js';
import { claimInOrder } from '../../RouterPlainCallsLedger.js';
import type { PlainCallOutcome } from '../../RouterPlainCallsOnce.js';
import { PlainCallsOnce } from '../../RouterPlainCallsOnce.js';
import { PlainCallSettler } from '../../RouterPlainCallsSettler.js';
import { FakeTimers, settleMicrotasks } from './FakeTimers.js';
import type { CallFaults, CallStep } from './PlainCallsFaults.js';
import { WorldLedger } from './PlainCallsLedger.js';

/** What a caller saw of one call: nothing when its router died. */
export interface SeenCall {
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

/** Routers, ledgers and a server around one store; a call at a time, each with its faults. */
export class PlainCallsWorld {
  /** Effects at the server by idempotency key. */
  readonly effectsByKey = new Map<string, number>();
  epochMs = Date.UTC(2026, 11, 3);
  /** The ledgers' monotonic clock; it moves between calls only. */
  ledgerMs = 0;
  readonly state = new PlatformStoreState();
  private busy = 0;
  private calls = 0;
  private readonly effectsByCall = new Map<number, number>();
  private ledgers: readonly WorldLedger[] = [];

  constructor() {
    this.replaceAll();
  }

  /** Replaces every process; only the store is kept. */
  replaceAll(): void {
    this.ledgers.forEach((ledger) => {
      ledger.die();
      ledger.stop();
    });
    this.ledgers = [0, 1].map((index) => new WorldLedger(this, index));
  }

  stop(): void {
    this.ledgers.forEach((ledger) => {
      ledger.stop();
    });
  }

  /** Makes a call through a router of its own, and lets it and its settlements end. */
  async call(key: IdempotencyKey, faults: CallFaults = {}, body = 'four'): Promise<SeenCall> {
    this.calls += 1;
    this.ledgerMs += BETWEEN_CALLS_MS;
    const number = this.calls;
    const router = new WorldRouter(this, number, faults);
    const outcome = await this.runUntil(router.timers, router.call(key, body));
    await this.runUntil(router.timers, router.idle());
    return { effects: this.effectsByCall.get(number) ?? 0, outcome };
  }

  /** Marks work that is neither a timer nor a promise at hand. */
  async outside<T>(work: () => Promise<T>): Promise<T> {
    this.busy += 1;
    try {
      return await work();
    } finally {
      this.busy -= 1;
    }
  }

  ledgersFor(faults: CallFaults): readonly WorldLedger[] {
    const [first] = this.ledgers;
    if (first !== undefined) {
      first.commitFaults = [faults.claimCommit ?? 'none'];
      first.dieAtCommit = faults.ledgerDiesAtClaim ?? false;
    }
    return this.ledgers;
  }

  takeEffect(key: string, call: number): void {
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
      if (this.busy === 0) {
        timers.advance();
      }
    }
    return work;
  }
}

/** A router process that serves one call. */
class WorldRouter implements LedgerPort {
  readonly timers = new FakeTimers();
  private dead = false;
  private readonly ledgers: readonly WorldLedger[];
  private readonly once: PlainCallsOnce;
  private onDeath: () => void = () => undefined;
  private readonly death = new Promise<undefined>((resolve) => {
    this.onDeath = () => {
      resolve(undefined);
    };
  });
  private readonly settler: PlainCallSettler;

  constructor(
    private readonly world: PlainCallsWorld,
    private readonly number: number,
    private readonly faults: CallFaults,
  ) {
    this.ledgers = world.ledgersFor(faults);
    const { timers } = this;
    this.settler = new PlainCallSettler({ clock: timers, ledger: this, log: NO_LOG, timers });
    this.once = new PlainCallsOnce({
      clock: timers,
      connect: () => this.connect(),
      decisions: NO_DECISION_SINK,
      ledger: this,
      newClaimId: () => `claim-${number}`,
      outliers: new ServerOutlierDetector(),
      send: ({ call }) => this.send(call.headers['idempotency-key'] ?? ''),
      servers: () => [SERVER],
      settler: this.settler,
      timers,
    });
  }

  call(key: IdempotencyKey, body: string): Promise<PlainCallOutcome | undefined> {
    const outcome = this.once.run({
      call: {
        body: Buffer.from(body),
        headers: { 'idempotency-key': key },
        method: 'POST',
        path: '/v1/transfers',
      },
      callHash: body,
      idempotencyKey: key,
      isGone: () => this.faults.callerGone ?? false,
      requestId: toId(`request-${this.number}`),
      service: 'stock',
      teamId: TEAM,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return Promise.race([outcome, this.death]);
  }

  async idle(): Promise<void> {
    await Promise.race([this.settler.whenIdle(), this.death]);
  }

  async claim(claim: RouterClaim): Promise<RouterClaimReply> {
    await this.reach('before the claim');
    const reply = await claimInOrder(this.ledgers, this.timers, (ledger) =>
      this.claimAt(ledger, claim),
    );
    await this.reach('claim granted');
    return reply;
  }

  async settle(claim: RouterClaim, outcome: Parameters<LedgerPort['settle']>[1], attempt: number) {
    if (outcome.kind === 'answered') {
      await this.reach('answer received');
    }
    const ledger = this.ledgers[attempt % this.ledgers.length];
    if (ledger === undefined) {
      return false;
    }
    if (attempt === 0) {
      ledger.commitFaults = [this.faults.settleCommit ?? 'none'];
      ledger.dieAtCommit = this.faults.ledgerDiesAtSettle ?? false;
    }
    const reply = await this.world.outside(() =>
      ledger.ask(() => ledger.slots.settle({ ...claim, outcome })),
    );
    await this.reach('answer recorded');
    return reply?.kind === 'settled' && reply.recorded;
  }

  private async claimAt(ledger: WorldLedger, claim: RouterClaim): Promise<RouterClaimReply> {
    const isFirst = ledger === this.ledgers[0];
    if (isFirst && this.faults.loseClaimRequest) {
      return { kind: 'lost' };
    }
    const reply = await this.world.outside(() => ledger.ask(() => ledger.slots.claim(claim)));
    if (reply === undefined || reply.kind === 'settled' || this.faults.loseClaimReply) {
      return { kind: 'lost' };
    }
    return reply;
  }

  private async connect(): Promise<Result<Socket, string>> {
    if (this.faults.server === 'no connection') {
      return failure('refused');
    }
    await this.reach('connected');
    return success(new Socket());
  }

  private send(key: string): Promise<Result<PlainAnswer, string>> {
    const fault = this.faults.server ?? 'none';
    if (fault !== 'reset before the effect') {
      this.world.takeEffect(key, this.number);
    }
    if (fault !== 'none') {
      return Promise.resolve(failure(fault));
    }
    const body = Buffer.from(`done by ${this.number}`);
    return Promise.resolve(success({ body, headers: {}, status: 201 }));
  }

  /** Dies or pauses here when told so; a dead router never goes on. */
  private async reach(step: CallStep): Promise<void> {
    if (this.faults.routerPausesAt === step) {
      this.timers.pass(PAUSE_MS);
      this.world.epochMs += PAUSE_MS;
    }
    if (this.dead || this.faults.routerDiesAt === step) {
      this.dead = true;
      this.onDeath();
      await new Promise(() => undefined);
    }
  }
}
