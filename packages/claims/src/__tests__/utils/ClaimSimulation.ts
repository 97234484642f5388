import type { IdempotencyKey } from '@laburnumgap/kernel';
import type { SlotOperation, SlotReply } from '../../index.js';
import type { StoreFault, TestClock } from './ClaimTestLedger.js';
import { testClaim, testKey, testSettle } from './ClaimTestLedger.js';

/** A ledger as {@link ClaimSimulation} drives it. */
export interface SimulatedLedger {
  /** Commits whose outcome was reported as unknown and that may still take effect. */
  readonly lateCommits: (() => void)[];
  /** Replies by operation id. */
  readonly replies: ReadonlyMap<number, SlotReply>;
  answerAllStoreCalls(fault?: StoreFault): void;
  answerStoreCall(fault: StoreFault): void;
  submit(operation: SlotOperation): SlotReply | undefined;
  wake(): void;
}

/** One event of a simulation; the indices wrap around the existing calls, keys and ledgers. */
export interface SimulationEvent {
  readonly callIndex: number;
  readonly fault: StoreFault;
  readonly keyIndex: number;
  readonly kind:
    /** Advances the clocks by `passedMs`. */
    | 'advanceClock'
    /** Answers the outstanding store call of the ledger, with `fault`. */
    | 'answerStoreCall'
    /** Applies the oldest commit whose outcome was reported as unknown. */
    | 'applyLateCommit'
    /** A router submits the claim of a new call to the ledger. */
    | 'claim'
    /** The router of a call takes its next step: sends it, settles the claim or gives up. */
    | 'proceed'
    /** Restarts the ledger process. */
    | 'restart'
    /** A router submits the claim of an existing call again, to this ledger. */
    | 'resubmitClaim'
    /** Wakes the ledger. */
    | 'wake';
  readonly ledgerIndex: number;
  readonly passedMs: number;
  /** Whether a router that proceeds sends its granted call, or gets the answer of a sent one. */
  readonly succeeds: boolean;
}

/** A call of a caller, as its router sees it. */
interface SimulatedCall {
  readonly callHash: string;
  readonly claimId: string;
  readonly key: IdempotencyKey;
  /** Operations that submitted its claim. */
  readonly operationIds: number[];
  state: 'abandoned' | 'claiming' | 'sent';
}

/** Description of a violated guarantee; undefined when there is none. */
export type Violation = string | undefined;

const KEY_TIME_OFFSETS_MS = [0, 400, 800];
const CALL_HASHES = ['one', 'one', 'one', 'other'];
const KEY_EPOCH_MS = 100_000;

/** Simulates routers and ledgers that share one slot, with events in a randomly drawn order. */
export class ClaimSimulation {
  /** Calls that were sent to a server, by idempotency key. */
  readonly sentCalls = new Map<IdempotencyKey, SimulatedCall[]>();
  private readonly calls: SimulatedCall[] = [];
  private readonly lateCommits: (() => void)[] = [];
  private readonly ledgers: SimulatedLedger[];
  private processCount = 0;

  constructor(
    private readonly clock: TestClock,
    ledgers: number,
    private readonly createLedger: (index: number, writer: string) => SimulatedLedger,
  ) {
    this.ledgers = Array.from({ length: ledgers }, (_, index) => this.startLedger(index));
  }

  /** Runs the events; returns the first violation. */
  run(events: readonly SimulationEvent[]): Violation {
    for (const event of events) {
      this.applyEvent(event);
      const violation = this.findViolation();
      if (violation !== undefined) {
        return violation;
      }
    }
    return undefined;
  }

  private applyEvent(event: SimulationEvent): void {
    const ledgerIndex = event.ledgerIndex % this.ledgers.length;
    const ledger = this.ledgers[ledgerIndex];
    if (ledger === undefined) {
      return;
    }
    switch (event.kind) {
      case 'proceed':
        this.proceed(event, ledger);
        return;
      case 'claim':
        this.submitNewClaim(event, ledger);
        return;
      case 'resubmitClaim':
        this.resubmitClaim(event, ledger);
        return;
      case 'applyLateCommit':
        this.lateCommits.push(...ledger.lateCommits.splice(0));
        this.lateCommits.shift()?.();
        return;
      case 'advanceClock':
        this.clock.epochMs += event.passedMs;
        this.clock.monotonicMs += event.passedMs;
        return;
      case 'restart':
        // An unanswered commit of the old process may still take effect.
        ledger.answerStoreCall('lateApply');
        this.lateCommits.push(...ledger.lateCommits.splice(0));
        this.ledgers[ledgerIndex] = this.startLedger(ledgerIndex);
        return;
      case 'answerStoreCall':
        ledger.answerStoreCall(event.fault);
        return;
      case 'wake':
        ledger.wake();
    }
  }

  private submitNewClaim(event: SimulationEvent, ledger: SimulatedLedger): void {
    const offsetMs = KEY_TIME_OFFSETS_MS[event.keyIndex % KEY_TIME_OFFSETS_MS.length] ?? 0;
    const key = testKey(KEY_EPOCH_MS + offsetMs, event.keyIndex);
    const callHash = CALL_HASHES[event.callIndex % CALL_HASHES.length] ?? '';
    const claimId = `c${this.calls.length}`;
    const call: SimulatedCall = {
      callHash,
      claimId,
      key,
      operationIds: [],
      state: 'claiming',
    };
    this.calls.push(call);
    this.submitClaim(call, ledger);
  }

  /** The router submits the same claim again, as it does when a ledger did not reply. */
  private resubmitClaim(event: SimulationEvent, ledger: SimulatedLedger): void {
    const call = this.pickCall(event);
    if (call?.state === 'claiming') {
      this.submitClaim(call, ledger);
    }
  }

  private proceed(event: SimulationEvent, ledger: SimulatedLedger): void {
    const call = this.pickCall(event);
    if (call === undefined) {
      return;
    }
    if (call.state === 'claiming' && event.succeeds) {
      this.sendIfGranted(call);
      return;
    }
    if (call.state === 'sent') {
      const answer = { body: call.claimId, contentType: '', status: 200 };
      const outcome = event.succeeds
        ? ({ answer, kind: 'answered' } as const)
        : ({ kind: 'unknown' } as const);
      ledger.submit(testSettle(call.key, call.claimId, outcome));
      return;
    }
    call.state = 'abandoned';
    ledger.submit(testSettle(call.key, call.claimId, { kind: 'notRun' }));
  }

  private sendIfGranted(call: SimulatedCall): void {
    if (this.isGranted(call)) {
      call.state = 'sent';
      this.sentCalls.set(call.key, [...(this.sentCalls.get(call.key) ?? []), call]);
    }
  }

  private submitClaim(call: SimulatedCall, ledger: SimulatedLedger): void {
    const operation = testClaim(call.key, call.claimId, call.callHash);
    call.operationIds.push(operation.operationId);
    ledger.submit(operation);
  }

  private isGranted(call: SimulatedCall): boolean {
    return this.repliesTo(call).some((reply) => reply.kind === 'granted');
  }

  private repliesTo(call: SimulatedCall): readonly SlotReply[] {
    return call.operationIds.flatMap((id) =>
      this.ledgers.flatMap((ledger) => ledger.replies.get(id) ?? []),
    );
  }

  private findViolation(): Violation {
    for (const [key, calls] of this.sentCalls) {
      if (calls.length > 1) {
        return `${calls.length} calls sent for ${key}: ${calls.map((call) => call.claimId).join()}`;
      }
    }
    for (const call of this.calls) {
      const executedCall = this.sentCalls.get(call.key)?.[0];
      for (const reply of this.repliesTo(call)) {
        if (reply.kind === 'answered' && reply.answer.body !== executedCall?.claimId) {
          return `${call.claimId} got the answer of ${reply.answer.body}`;
        }
        if (reply.kind === 'answered' && call.callHash !== executedCall?.callHash) {
          return `${call.claimId} got the answer of another call`;
        }
      }
    }
    return undefined;
  }

  private pickCall(event: SimulationEvent): SimulatedCall | undefined {
    return this.calls[event.callIndex % Math.max(1, this.calls.length)];
  }

  private startLedger(index: number): SimulatedLedger {
    this.processCount += 1;
    return this.createLedger(index, `ledger-${index}/${this.processCount}`);
  }
}

/** Time at which a simulation starts: all its keys are within the retention window. */
export const SIMULATION_START_MS = KEY_EPOCH_MS + 500;
