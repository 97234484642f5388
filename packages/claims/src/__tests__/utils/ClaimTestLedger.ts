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

/** How the store treats a call. `lateApply`: the answer is lost and the effect comes later. */
export type StoreFault = 'lateApply' | 'loseAnswer' | 'none' | 'unavailable';

/** Time that a test sets. */
export interface TestClock {
  epochMs: number;
  monotonicMs: number;
}

export const TEST_SLOT = toNumberId<SlotNumber>(3);
export const TEST_TEAM = toId<TeamId>('hoa-sen-transfers');

type StoreAction = Extract<ClaimSlotAction, { kind: 'commit' | 'load' | 'readHead' }>;

/** A ledger process of one slot, whose store calls are answered one by one by the test. */
export class ClaimTestLedger {
  /** Commits whose answer was given as unknown and that may still take effect. */
  readonly late: (() => void)[] = [];
  readonly replies = new Map<number, SlotReply>();
  readonly settings: ClaimSettings;
  readonly warnings: string[] = [];
  pending: StoreAction | undefined;
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
    this.perform(this.slot.submit(operation, this.now()));
    return this.replies.get(operation.operationId);
  }

  wake(): void {
    this.perform(this.slot.wake(this.now()));
  }

  /** Answers the outstanding store call. */
  step(fault: StoreFault = 'none'): void {
    const action = this.pending;
    this.pending = undefined;
    if (action !== undefined) {
      this.perform(this.answer(action, fault));
    }
  }

  /** Submits and answers store calls until there is a reply. */
  run(operation: SlotOperation, fault: StoreFault = 'none'): SlotReply | undefined {
    this.submit(operation);
    this.settleStore(fault);
    return this.replies.get(operation.operationId);
  }

  settleStore(fault: StoreFault = 'none'): void {
    for (let calls = 0; this.pending !== undefined && calls < 20; calls += 1) {
      this.step(fault);
    }
  }

  private answer(action: StoreAction, fault: StoreFault): readonly ClaimSlotAction[] {
    if (action.kind === 'commit') {
      return this.answerCommit(action, fault);
    }
    const failed = failure({ detail: 'test', kind: 'unavailable' } as const);
    const isLost = fault !== 'none';
    if (action.kind === 'readHead') {
      const read = success(this.store.read(claimHeadKey(TEST_SLOT)));
      return this.slot.onHeadRead(isLost ? failed : read, this.now());
    }
    const slot = this.store.range(claimSlotPrefix(TEST_SLOT));
    const loaded = success({ layout: this.store.read(CLAIM_LAYOUT_KEY), slot });
    return this.slot.onLoaded(isLost ? failed : loaded, this.now());
  }

  private answerCommit(
    action: Extract<StoreAction, { kind: 'commit' }>,
    fault: StoreFault,
  ): readonly ClaimSlotAction[] {
    if (fault === 'unavailable') {
      return this.slot.onCommitted(failure({ detail: 'test', kind: 'unavailable' }), this.now());
    }
    if (fault === 'lateApply') {
      this.late.push(() => this.store.commit(action.commit));
      return this.slot.onCommitted(failure({ detail: 'test', kind: 'outcomeUnknown' }), this.now());
    }
    const result = this.store.commit(action.commit);
    const lost = failure({ detail: 'test', kind: 'outcomeUnknown' } as const);
    return this.slot.onCommitted(fault === 'loseAnswer' ? lost : result, this.now());
  }

  private perform(actions: readonly ClaimSlotAction[]): void {
    for (const action of actions) {
      if (action.kind === 'reply') {
        this.replies.set(action.operation.operationId, action.reply);
      } else if (action.kind === 'warn') {
        this.warnings.push(action.detail);
      } else {
        this.pending = action;
      }
    }
  }

  private now(): ClaimTime {
    return { epochMs: this.clock.epochMs + this.skewMs, monotonicMs: this.clock.monotonicMs };
  }
}

/**
 * Builds a UUIDv7 for a time, the same for the same arguments.
 *
 * @param epochMs - the time
 * @param salt - tells keys of one time apart
 * @returns the key
 */
export function testKey(epochMs: number, salt = 0): IdempotencyKey {
  const time = epochMs.toString(16).padStart(12, '0');
  const tail = salt.toString(16).padStart(12, '0');
  return toId<IdempotencyKey>(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
}

let operationIds = 0;

/** A claim of a test. */
export function testClaim(key: IdempotencyKey, claimId: string, callHash = 'hash'): SlotOperation {
  operationIds += 1;
  return {
    callDeadlineMs: 10_000,
    callHash,
    claimId,
    idempotencyKey: key,
    kind: 'claim',
    operationId: operationIds,
    teamId: TEST_TEAM,
  };
}

/** A settlement of a test. */
export function testSettle(
  key: IdempotencyKey,
  claimId: string,
  outcome: SettleOutcome,
): SlotOperation {
  operationIds += 1;
  return {
    claimId,
    idempotencyKey: key,
    kind: 'settle',
    operationId: operationIds,
    outcome,
    teamId: TEST_TEAM,
  };
}
