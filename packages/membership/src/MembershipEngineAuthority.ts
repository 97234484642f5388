import type { EngineOrder, EngineState, FencingNumber, Revision } from '@laburnumgap/kernel';
import { invariant, toNumberId } from '@laburnumgap/kernel';
import { LEASE_SAFETY_RATIO, LEASE_TTL_MS } from './MembershipConstants.js';
import type { AuthorityRecord } from './MembershipEngineAuthorityRecord.js';

/** What an engine is to run. */
export type EngineTarget = Omit<EngineOrder, 'fencingNumber'>;

/** Options of an {@link EngineAuthority}. */
export interface EngineAuthorityOptions {
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencingNumbers: boolean;
  /** How long the right to order lasts after the store confirmed it. */
  readonly authorityTtlMs?: number;
  /** Longest time from sending an order until it is in force or has failed. */
  readonly orderTimeoutMs: number;
  /** This member's process. */
  readonly self: AuthorityRecord;
}

/** What to do next. */
export type AuthorityStep =
  /** Nothing is wanted of the engine, or it is in force. */
  | { readonly kind: 'idle' }
  /** Reads the authority record. */
  | { readonly kind: 'readRecord' }
  /** Reads what the engine runs. */
  | { readonly kind: 'readState' }
  | { readonly kind: 'sendOrder'; readonly order: EngineOrder }
  /** Writes this member into the record under the guard. */
  | { readonly guard: Revision; readonly kind: 'swapRecord' }
  | { readonly kind: 'wait'; readonly reason: AuthorityWaitReason; readonly untilMs: number };

/** Why a step has to wait. */
export type AuthorityWaitReason =
  /** Another member took the authority; it is not contested at once. */
  | 'contest'
  /** This member's lease is not certain. */
  | 'lease'
  /** An earlier order of this holder may still come into force. */
  | 'order'
  /** An earlier holder may still be sending orders to an engine that ignores numbers. */
  | 'quiet';

interface HeldAuthority {
  /** Until when this process may send, counted from before the confirming call was sent. */
  confirmedUntilMs: number;
  readonly fencingNumber: FencingNumber;
  /** From when this process may send. */
  readonly sendFromMs: number;
}

interface KnownRecord {
  readonly modRevision: Revision;
  readonly record?: AuthorityRecord;
}

interface SentOrder {
  readonly target: EngineTarget;
  /** Until when it may still come into force. */
  readonly untilMs: number;
}

/** Invariant 301: an order is sent only with authority. */
const ORDER_WITHOUT_AUTHORITY_INVARIANT = 301;
const CONTEST_DELAY_MS = 10_000;
const LEASE_POLL_MS = 1000;

/**
 * Decides how one member brings one engine to run what is wanted.
 *
 * The authority record's revision is the fencing number. The right to send ends a fixed time after
 * the record was last confirmed, counted from before the confirming call was sent, and is checked
 * for each order. For an engine that ignores numbers, a new holder sends nothing until every order
 * of an earlier holder has come into force or failed: the hold time plus the longest order timeout.
 * Orders are declarative, and the engine's state is read before one is sent or repeated.
 */
export class EngineAuthority {
  readonly #checksFencingNumbers: boolean;
  readonly #authorityTtlMs: number;
  readonly #orderTimeoutMs: number;
  readonly #self: AuthorityRecord;
  #contestFromMs = -Infinity;
  #held: HeldAuthority | undefined;
  #inForce = false;
  #target: EngineTarget | undefined;
  #knownRecord: KnownRecord | undefined;
  #sentOrder: SentOrder | undefined;
  #stateRead = false;
  /** The latest order whose outcome never became known. */
  #unsettledOrder: SentOrder | undefined;

  constructor(options: EngineAuthorityOptions) {
    this.#checksFencingNumbers = options.checksFencingNumbers;
    this.#authorityTtlMs = options.authorityTtlMs ?? LEASE_TTL_MS;
    this.#orderTimeoutMs = options.orderTimeoutMs;
    this.#self = options.self;
  }

  /**
   * Sets what the engine is to run; undefined when this member does not own the engine. Returns
   * whether that is a change.
   */
  setTarget(target: EngineTarget | undefined): boolean {
    const isSame =
      target && this.#target ? isSameTarget(target, this.#target) : target === this.#target;
    if (isSame) {
      return false;
    }
    this.#target = target;
    this.invalidateState();
    return true;
  }

  /** Forgets what the engine is known to run, so that it is read again. */
  invalidateState(): void {
    this.#inForce = false;
    this.#stateRead = false;
  }

  /** Whether this process may send an order now. */
  maySendOrder(nowMs: number, holdsLease: boolean): boolean {
    if (!this.#held || !holdsLease || nowMs >= this.#held.confirmedUntilMs) {
      return false;
    }
    return this.#checksFencingNumbers || nowMs >= this.#held.sendFromMs;
  }

  /** The next step. */
  nextStep(nowMs: number, holdsLease: boolean): AuthorityStep {
    if (!this.#target || this.#inForce) {
      return { kind: 'idle' };
    }
    if (!this.#stateRead) {
      return { kind: 'readState' };
    }
    if (!holdsLease) {
      return { kind: 'wait', reason: 'lease', untilMs: nowMs + LEASE_POLL_MS };
    }
    return this.#held
      ? this.#nextStepAsHolder(this.#held, nowMs)
      : this.#nextStepWithoutAuthority(nowMs);
  }

  /** The record was read. */
  onRecordRead(
    record: AuthorityRecord | undefined,
    modRevision: Revision,
    sentAtMs: number,
    nowMs: number,
  ): void {
    this.#knownRecord = { modRevision, record };
    const isConfirmed =
      record && this.#isSelf(record) && Number(modRevision) === this.#held?.fencingNumber;
    if (isConfirmed) {
      this.#confirmAuthority(modRevision, sentAtMs, nowMs, true);
      return;
    }
    // This process's own record under a number that it does not hold, from a swap whose answer was
    // lost or from an earlier charge of the engine, is swapped anew: orders may be under way.
    if (this.#held) {
      this.#contestFromMs = nowMs + CONTEST_DELAY_MS;
      this.invalidateState();
    }
    this.#held = undefined;
  }

  /** The swap was made. */
  onRecordSwapped(modRevision: Revision, sentAtMs: number, nowMs: number): void {
    const hadHolder = this.#knownRecord?.record !== undefined;
    this.#knownRecord = { modRevision, record: this.#self };
    this.#confirmAuthority(modRevision, sentAtMs, nowMs, hadHolder);
  }

  /** The swap failed or its outcome is not known: the record is read again. */
  onRecordSwapFailed(): void {
    this.#knownRecord = undefined;
  }

  /** The engine's state was read, or came with the answer of an order. */
  onState(state: EngineState): void {
    this.#stateRead = true;
    this.#inForce = this.#target !== undefined && isSameTarget(this.#target, state);
  }

  /** An order is about to be sent. */
  onOrderSending(order: EngineOrder, nowMs: number): void {
    const held = this.#held;
    invariant(
      held?.fencingNumber === order.fencingNumber && nowMs < held.confirmedUntilMs,
      ORDER_WITHOUT_AUTHORITY_INVARIANT,
      'an order is sent only with authority',
    );
    this.#unsettledOrder = this.#sentOrder ?? this.#unsettledOrder;
    this.#sentOrder = { target: order, untilMs: nowMs + this.#orderTimeoutMs };
    this.#stateRead = false;
  }

  /** The order was answered: it can't come into force later. An earlier one still may. */
  onOrderSettled(): void {
    this.#sentOrder = undefined;
  }

  /** The engine has seen a higher fencing number: the record is read again. */
  onOrderStale(): void {
    this.#sentOrder = undefined;
    this.#knownRecord = undefined;
    if (this.#held) {
      this.#held.confirmedUntilMs = -Infinity;
    }
  }

  #nextStepAsHolder(held: HeldAuthority, nowMs: number): AuthorityStep {
    const target = this.#target;
    if (!target) {
      return { kind: 'idle' };
    }
    if (!this.#checksFencingNumbers && nowMs < held.sendFromMs) {
      return { kind: 'wait', reason: 'quiet', untilMs: held.sendFromMs };
    }
    for (const earlier of [this.#sentOrder, this.#unsettledOrder]) {
      if (earlier && nowMs < earlier.untilMs && !isSameTarget(earlier.target, target)) {
        return { kind: 'wait', reason: 'order', untilMs: earlier.untilMs };
      }
    }
    if (nowMs >= held.confirmedUntilMs) {
      return { kind: 'readRecord' };
    }
    return { kind: 'sendOrder', order: { ...target, fencingNumber: held.fencingNumber } };
  }

  #nextStepWithoutAuthority(nowMs: number): AuthorityStep {
    if (nowMs < this.#contestFromMs) {
      return { kind: 'wait', reason: 'contest', untilMs: this.#contestFromMs };
    }
    if (!this.#knownRecord) {
      return { kind: 'readRecord' };
    }
    return { guard: this.#knownRecord.modRevision, kind: 'swapRecord' };
  }

  #confirmAuthority(
    modRevision: Revision,
    sentAtMs: number,
    nowMs: number,
    hadHolder: boolean,
  ): void {
    const fencingNumber = toNumberId<FencingNumber>(modRevision);
    const confirmedUntilMs = sentAtMs + this.#authorityTtlMs * (1 - LEASE_SAFETY_RATIO);
    if (this.#held?.fencingNumber === fencingNumber) {
      this.#held.confirmedUntilMs = confirmedUntilMs;
      return;
    }
    const quietMs = hadHolder ? this.#authorityTtlMs + this.#orderTimeoutMs : 0;
    this.#held = { confirmedUntilMs, fencingNumber, sendFromMs: nowMs + quietMs };
    this.#stateRead = false;
  }

  #isSelf(record: AuthorityRecord): boolean {
    return record.memberId === this.#self.memberId && record.incarnation === this.#self.incarnation;
  }
}

/**
 * Compares what an engine is to run with what it runs.
 *
 * @param a - one of them
 * @param b - the other
 * @returns whether role, models and adapters are the same, in any order
 */
export function isSameTarget(a: EngineTarget, b: EngineTarget): boolean {
  return a.role === b.role && isSameSet(a.models, b.models) && isSameSet(a.adapters, b.adapters);
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  const inB = new Set(b);
  return a.length === b.length && new Set(a).size === inB.size && a.every((item) => inB.has(item));
}
