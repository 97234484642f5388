import type { IdempotencyKey, SlotNumber, TeamId } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import type {
  ClaimSettings,
  ClaimSlotAction,
  ClaimTime,
  SettleOutcome,
  SlotOperation,
  SlotReply,
} from '../../index.js';
import {
  CLAIM_LAYOUT_KEY,
  ClaimSlot,
  DEFAULT_CLAIM_SETTINGS,
  claimHeadKey,
  claimSlotPrefix,
} from '../../index.js';
import type { ClaimTestStore } from './ClaimTestStore.js';

/**
 * How a store call fails. `lateApply`: the outcome is reported as unknown, and the commit takes
 * effect later; `loseAnswer`: likewise, but it takes effect at once; `unavailable`: it takes no
 * effect. Reads fail with any fault.
 */
export type StoreFault = 'lateApply' | 'loseAnswer' | 'none' | 'unavailable';

/** Clocks that a test sets. */
export interface TestClock {
  epochMs: number;
  monotonicMs: number;
}

export const TEST_SLOT = toNumberId<SlotNumber>(3);
export const TEST_TEAM = toId<TeamId>('hoa-sen-transfers');

type StoreCallAction = Extract<ClaimSlotAction, { kind: 'commit' | 'load' | 'readHead' }>;

/** A ledger process with one slot, whose store calls the test answers one by one. */
export class ClaimTestLedger {
  /** Commits whose outcome was reported as unknown and that may still take effect. */
  readonly lateCommits: (() => void)[] = [];
  /** Replies by operation id. */
  readonly replies = new Map<number, SlotReply>();
  readonly settings: ClaimSettings;
  readonly warnings: string[] = [];
  pendingStoreCall: StoreCallAction | undefined;
  private readonly slot: ClaimSlot;

  constructor(
    private readonly store: ClaimTestStore,
    private readonly clock: TestClock,
    writer = 'ledger-a',
    settings: Partial<ClaimSettings> = {},
    private readonly skewMs = 0,
  ) {
    this.settings = { ...DEFAULT_CLAIM_SETTINGS, commitIntervalMs: 0, ...settings };
    const random = { nextUnit: () => 0.5 };
    this.slot = new ClaimSlot({ random, settings: this.settings, slot: TEST_SLOT, writer });
  }

  get queuedOperations(): number {
    return this.slot.queuedOperations;
  }

  get wakeAtMs(): number | undefined {
    return this.slot.wakeAtMs;
  }

  submit(operation: SlotOperation): SlotReply | undefined {
    this.handleActions(this.slot.submit(operation, this.now()));
    return this.replies.get(operation.operationId);
  }

  wake(): void {
    this.handleActions(this.slot.wake(this.now()));
  }

  /** Answers the outstanding store call. */
  answerStoreCall(fault: StoreFault = 'none'): void {
    const action = this.pendingStoreCall;
    this.pendingStoreCall = undefined;
    if (action !== undefined) {
      this.handleActions(this.performStoreCall(action, fault));
    }
  }

  /** Submits an operation, answers all store calls and returns the reply. */
  run(operation: SlotOperation, fault: StoreFault = 'none'): SlotReply | undefined {
    this.submit(operation);
    this.answerAllStoreCalls(fault);
    return this.replies.get(operation.operationId);
  }

  answerAllStoreCalls(fault: StoreFault = 'none'): void {
    for (let calls = 0; this.pendingStoreCall !== undefined && calls < 20; calls += 1) {
      this.answerStoreCall(fault);
    }
  }

  private performStoreCall(action: StoreCallAction, fault: StoreFault): readonly ClaimSlotAction[] {
    if (action.kind === 'commit') {
      return this.performCommit(action, fault);
    }
    const failed = failure({ detail: 'test', kind: 'unavailable' } as const);
    const shouldFail = fault !== 'none';
    if (action.kind === 'readHead') {
      const read = success(this.store.read(claimHeadKey(TEST_SLOT)));
      return this.slot.onHeadRead(shouldFail ? failed : read, this.now());
    }
    const slot = this.store.range(claimSlotPrefix(TEST_SLOT));
    const loaded = success({ layout: this.store.read(CLAIM_LAYOUT_KEY), slot });
    return this.slot.onLoaded(shouldFail ? failed : loaded, this.now());
  }

  private performCommit(
    action: Extract<StoreCallAction, { kind: 'commit' }>,
    fault: StoreFault,
  ): readonly ClaimSlotAction[] {
    if (fault === 'unavailable') {
      return this.slot.onCommitted(failure({ detail: 'test', kind: 'unavailable' }), this.now());
    }
    if (fault === 'lateApply') {
      this.lateCommits.push(() => this.store.commit(action.commit));
      return this.slot.onCommitted(failure({ detail: 'test', kind: 'outcomeUnknown' }), this.now());
    }
    const result = this.store.commit(action.commit);
    const lost = failure({ detail: 'test', kind: 'outcomeUnknown' } as const);
    return this.slot.onCommitted(fault === 'loseAnswer' ? lost : result, this.now());
  }

  private handleActions(actions: readonly ClaimSlotAction[]): void {
    for (const action of actions) {
      if (action.kind === 'reply') {
        this.replies.set(action.operation.operationId, action.reply);
      } else if (action.kind === 'warn') {
        this.warnings.push(action.detail);
      } else {
        this.pendingStoreCall = action;
      }
    }
  }

  private now(): ClaimTime {
    return { epochMs: this.clock.epochMs + this.skewMs, monotonicMs: this.clock.monotonicMs };
  }
}

/**
 * Creates a UUIDv7 from its arguments only.
 *
 * @param epochMs - timestamp of the key, in milliseconds since the Unix epoch
 * @param salt - distinguishes keys with the same timestamp
 * @returns the key
 */
export function testKey(epochMs: number, salt = 0): IdempotencyKey {
  const time = epochMs.toString(16).padStart(12, '0');
  const tail = salt.toString(16).padStart(12, '0');
  return toId<IdempotencyKey>(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
}

let lastOperationId = 0;

/** Creates a claim. */
export function testClaim(key: IdempotencyKey, claimId: string, callHash = 'hash'): SlotOperation {
  lastOperationId += 1;
  return {
    callDeadlineMs: 10_000,
    callHash,
    claimId,
    idempotencyKey: key,
    kind: 'claim',
    operationId: lastOperationId,
    teamId: TEST_TEAM,
  };
}

/** Creates a settlement. */
export function testSettle(
  key: IdempotencyKey,
  claimId: string,
  outcome: SettleOutcome,
): SlotOperation {
  lastOperationId += 1;
  return {
    claimId,
    idempotencyKey: key,
    kind: 'settle',
    operationId: lastOperationId,
    outcome,
    teamId: TEST_TEAM,
  };
}
