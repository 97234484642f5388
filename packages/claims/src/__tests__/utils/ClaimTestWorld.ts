import type { IdempotencyKey } from '@laburnumgap/kernel';
import type { SlotOperation, SlotReply } from '../../index.js';
import type { StoreFault, TestClock } from './ClaimTestLedger.js';
import { testClaim, testKey, testSettle } from './ClaimTestLedger.js';

/** A ledger as the world drives it. */
export interface WorldLedger {
  readonly late: (() => void)[];
  readonly replies: ReadonlyMap<number, SlotReply>;
  settleStore(fault?: StoreFault): void;
  step(fault: StoreFault): void;
  submit(operation: SlotOperation): SlotReply | undefined;
  wake(): void;
}

/** One thing that happens. */
export interface WorldEvent {
  readonly call: number;
  readonly fault: StoreFault;
  readonly key: number;
  readonly kind: 'act' | 'ask' | 'askAgain' | 'late' | 'pass' | 'restart' | 'step' | 'wake';
  readonly ledger: number;
  readonly passMs: number;
  readonly sends: boolean;
}

/** A call of a caller, as its router sees it. */
interface WorldCall {
  readonly claimId: string;
  readonly hash: string;
  readonly key: IdempotencyKey;
  readonly operations: number[];
  state: 'abandoned' | 'asked' | 'sent';
}

/** What went wrong, if anything. */
export type Violation = string | undefined;

const KEY_TIMES_MS = [0, 400, 800];
const HASHES = ['one', 'one', 'one', 'other'];
const LATEST_MS = 100_000;

/** Routers and ledgers of one slot, under whatever order of events a test draws. */
export class ClaimTestWorld {
  readonly effects = new Map<IdempotencyKey, WorldCall[]>();
  private readonly calls: WorldCall[] = [];
  private readonly lateCommits: (() => void)[] = [];
  private readonly ledgers: WorldLedger[];
  private starts = 0;

  constructor(
    private readonly clock: TestClock,
    ledgers: number,
    private readonly start: (index: number, writer: string) => WorldLedger,
  ) {
    this.ledgers = Array.from({ length: ledgers }, (_, index) => this.startLedger(index));
  }

  /** Runs the events; returns the first violation. */
  run(events: readonly WorldEvent[]): Violation {
    for (const event of events) {
      this.happen(event);
      const violation = this.violation();
      if (violation !== undefined) {
        return violation;
      }
    }
    return undefined;
  }

  private happen(event: WorldEvent): void {
    const index = event.ledger % this.ledgers.length;
    const ledger = this.ledgers[index];
    if (ledger === undefined) {
      return;
    }
    switch (event.kind) {
      case 'act':
        this.act(event, ledger);
        return;
      case 'ask':
        this.ask(event, ledger);
        return;
      case 'askAgain':
        this.askAgain(event, ledger);
        return;
      case 'late':
        this.lateCommits.push(...ledger.late.splice(0));
        this.lateCommits.shift()?.();
        return;
      case 'pass':
        this.clock.epochMs += event.passMs;
        this.clock.monotonicMs += event.passMs;
        return;
      case 'restart':
        // What the old process had written without an answer may still take effect.
        ledger.step('lateApply');
        this.lateCommits.push(...ledger.late.splice(0));
        this.ledgers[index] = this.startLedger(index);
        return;
      case 'step':
        ledger.step(event.fault);
        return;
      case 'wake':
        ledger.wake();
    }
  }

  private ask(event: WorldEvent, ledger: WorldLedger): void {
    const timeMs = KEY_TIMES_MS[event.key % KEY_TIMES_MS.length] ?? 0;
    const key = testKey(LATEST_MS + timeMs, event.key);
    const hash = HASHES[event.call % HASHES.length] ?? '';
    const claimId = `c${this.calls.length}`;
    const call: WorldCall = { claimId, hash, key, operations: [], state: 'asked' };
    this.calls.push(call);
    this.submitClaim(call, ledger);
  }

  /** The router asks a second ledger for the same claim. */
  private askAgain(event: WorldEvent, ledger: WorldLedger): void {
    const call = this.pick(event);
    if (call?.state === 'asked') {
      this.submitClaim(call, ledger);
    }
  }

  private act(event: WorldEvent, ledger: WorldLedger): void {
    const call = this.pick(event);
    if (call === undefined) {
      return;
    }
    if (call.state === 'asked' && event.sends) {
      this.sendIfGranted(call);
      return;
    }
    if (call.state === 'sent') {
      const answer = { body: call.claimId, contentType: '', status: 200 };
      const outcome = event.sends
        ? ({ answer, kind: 'answered' } as const)
        : ({ kind: 'unknown' } as const);
      ledger.submit(testSettle(call.key, call.claimId, outcome));
      return;
    }
    call.state = 'abandoned';
    ledger.submit(testSettle(call.key, call.claimId, { kind: 'notRun' }));
  }

  private sendIfGranted(call: WorldCall): void {
    if (this.isGranted(call)) {
      call.state = 'sent';
      this.effects.set(call.key, [...(this.effects.get(call.key) ?? []), call]);
    }
  }

  private submitClaim(call: WorldCall, ledger: WorldLedger): void {
    const operation = testClaim(call.key, call.claimId, call.hash);
    call.operations.push(operation.operationId);
    ledger.submit(operation);
  }

  private isGranted(call: WorldCall): boolean {
    return this.repliesTo(call).some((reply) => reply.kind === 'granted');
  }

  private repliesTo(call: WorldCall): readonly SlotReply[] {
    return call.operations.flatMap((id) =>
      this.ledgers.flatMap((ledger) => ledger.replies.get(id) ?? []),
    );
  }

  private violation(): Violation {
    for (const [key, calls] of this.effects) {
      if (calls.length > 1) {
        return `${calls.length} effects of ${key}: ${calls.map((call) => call.claimId).join()}`;
      }
    }
    for (const call of this.calls) {
      const ran = this.effects.get(call.key)?.[0];
      for (const reply of this.repliesTo(call)) {
        if (reply.kind === 'answered' && reply.answer.body !== ran?.claimId) {
          return `${call.claimId} got the answer of ${reply.answer.body}`;
        }
        if (reply.kind === 'answered' && call.hash !== ran?.hash) {
          return `${call.claimId} got the answer of another call`;
        }
      }
    }
    return undefined;
  }

  private pick(event: WorldEvent): WorldCall | undefined {
    return this.calls[event.call % Math.max(1, this.calls.length)];
  }

  private startLedger(index: number): WorldLedger {
    this.starts += 1;
    return this.start(index, `ledger-${index}/${this.starts}`);
  }
}

/** Time at which a world starts: all its keys are within the window. */
export const WORLD_START_MS = LATEST_MS + 500;
