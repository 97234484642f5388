import type { EngineOrder, EngineState, FencingNumber, Revision } from '@laburnumgap/kernel';
import { invariant, toNumberId } from '@laburnumgap/kernel';
import { LEASE_SAFETY_RATIO, LEASE_TTL_MS } from './MembershipConstants.js';
import type { AuthorityRecord } from './MembershipEngineAuthorityRecord.js';

/** The models, adapters and role that an engine should run. */
export type EngineTarget = Omit<EngineOrder, 'fencingNumber'>;

/** Options of an {@link EngineAuthority}. */
export interface EngineAuthorityOptions {
  /** How long the authority lasts after the store has confirmed it; the lease's TTL by default. */
  readonly authorityTtlMs?: number;
  /** Whether the engine rejects orders with an outdated fencing number. */
  readonly checksFencingNumbers: boolean;
  /** Longest time from sending an order until it has been applied or has failed. */
  readonly orderTimeoutMs: number;
  /** This member's process, as it is written into the record. */
  readonly self: AuthorityRecord;
}

/** The next step of the member. */
export type AuthorityStep =
  /** There is no target, or the engine runs it. */
  | { readonly kind: 'idle' }
  /** Reads the authority record. */
  | { readonly kind: 'readRecord' }
  /** Reads the engine's state. */
  | { readonly kind: 'readState' }
  | { readonly kind: 'sendOrder'; readonly order: EngineOrder }
  /** Writes this member into the record if the record's revision is still `guard`. */
  | { readonly guard: Revision; readonly kind: 'swapRecord' }
  | { readonly kind: 'wait'; readonly reason: AuthorityWaitReason; readonly untilMs: number };

/** Why the next step has to wait. */
export type AuthorityWaitReason =
  /** Another member has taken the authority; this one waits before it takes it back. */
  | 'contest'
  /** This member's lease may have expired. */
  | 'lease'
  /** An earlier order of this member, for another target, may still be applied. */
  | 'order'
  /** Orders of an earlier holder may still reach an engine that ignores fencing numbers. */
  | 'quiet';

interface HeldAuthority {
  /** Until when this process may send orders, counted from before the confirming call was sent. */
  confirmedUntilMs: number;
  readonly fencingNumber: FencingNumber;
  /** From when this process may send orders to an engine that ignores fencing numbers. */
  readonly sendFromMs: number;
}

interface KnownRecord {
  readonly modRevision: Revision;
  readonly record?: AuthorityRecord;
}

interface SentOrder {
  readonly target: EngineTarget;
  /** Until when the order may still be applied. */
  readonly untilMs: number;
}

/** Invariant 301: an order is sent only with authority. */
const ORDER_WITHOUT_AUTHORITY_INVARIANT = 301;
/** Delay before a member that lost the authority takes it back. */
const CONTEST_DELAY_MS = 10_000;
/** Interval at which a member without a certain lease checks it again. */
const LEASE_POLL_MS = 1000;

/**
 * State machine by which one member brings one engine to its target.
 *
 * The authority record's revision is the fencing number. The authority expires a fixed time after
 * the record was last confirmed, counted from before the confirming call was sent, and is checked
 * for each order. For an engine that ignores fencing numbers, a new holder sends nothing until every
 * order of an earlier holder has been applied or has failed: the authority's TTL plus the order
 * timeout. Orders are declarative, and the engine's state is read before an order is sent or repeated.
 */
export class EngineAuthority {
  readonly #authorityTtlMs: number;
  readonly #checksFencingNumbers: boolean;
  readonly #orderTimeoutMs: number;
  readonly #self: AuthorityRecord;
  #contestFromMs = -Infinity;
  #held: HeldAuthority | undefined;
  #inForce = false;
  #knownRecord: KnownRecord | undefined;
  #sentOrder: SentOrder | undefined;
  #stateRead = false;
  #target: EngineTarget | undefined;
  /** The latest order before `#sentOrder` whose outcome is unknown. */
  #unsettledOrder: SentOrder | undefined;

  constructor(options: EngineAuthorityOptions) {
    this.#checksFencingNumbers = options.checksFencingNumbers;
    this.#authorityTtlMs = options.authorityTtlMs ?? LEASE_TTL_MS;
    this.#orderTimeoutMs = options.orderTimeoutMs;
    this.#self = options.self;
  }

  /**
   * Sets what the engine should run.
   *
   * @param target - the target; undefined if this member does not own the engine
   * @returns whether the target has changed
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

  /** Discards the engine's known state, so that it is read again. */
  invalidateState(): void {
    this.#inForce = false;
    this.#stateRead = false;
  }

  /** Whether this process has valid authority to send an order now. */
  maySendOrder(nowMs: number, holdsLease: boolean): boolean {
    if (!this.#held || !holdsLease || nowMs >= this.#held.confirmedUntilMs) {
      return false;
    }
    return this.#checksFencingNumbers || nowMs >= this.#held.sendFromMs;
  }

  /** Returns the next step. */
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

  /** Handles the authority record as read from the store. */
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
    // The record may name this process under a fencing number that it does not hold: a swap whose
    // answer was lost, or an earlier ownership of the engine. It is swapped again all the same, since
    // orders sent under that number may still be in flight.
    if (this.#held) {
      this.#contestFromMs = nowMs + CONTEST_DELAY_MS;
      this.invalidateState();
    }
    this.#held = undefined;
  }

  /** Handles a successful swap of the record. */
  onRecordSwapped(modRevision: Revision, sentAtMs: number, nowMs: number): void {
    const hadHolder = this.#knownRecord?.record !== undefined;
    this.#knownRecord = { modRevision, record: this.#self };
    this.#confirmAuthority(modRevision, sentAtMs, nowMs, hadHolder);
  }

  /** Handles a swap that failed or has an unknown outcome: the record is read again. */
  onRecordSwapFailed(): void {
    this.#knownRecord = undefined;
  }

  /** Handles the engine's state, whether read or returned by an order. */
  onState(state: EngineState): void {
    this.#stateRead = true;
    this.#inForce = this.#target !== undefined && isSameTarget(this.#target, state);
  }

  /** Handles an order that is about to be sent. */
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

  /** Handles an answered order: it cannot be applied any later. An earlier one still may be. */
  onOrderSettled(): void {
    this.#sentOrder = undefined;
  }

  /** Handles a rejection for a higher fencing number at the engine: the record is read again. */
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
 * Compares two targets, or an engine's target with its state.
 *
 * @param a - the first
 * @param b - the second
 * @returns whether role, models and adapters are equal; the order of models and adapters is ignored
 */
export function isSameTarget(a: EngineTarget, b: EngineTarget): boolean {
  return a.role === b.role && isSameSet(a.models, b.models) && isSameSet(a.adapters, b.adapters);
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  const inB = new Set(b);
  return a.length === b.length && new Set(a).size === inB.size && a.every((item) => inB.has(item));
}
