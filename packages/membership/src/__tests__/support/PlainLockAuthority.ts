import type { EngineOrder, EngineState, FencingNumber, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type {
  AuthorityStep,
  EngineAuthority,
  EngineTarget,
} from '../../MembershipEngineAuthority.js';
import { isSameTarget } from '../../MembershipEngineAuthority.js';

/** The part of an authority that the simulation uses. */
export type AuthorityStateMachine = Pick<
  EngineAuthority,
  | 'nextStep'
  | 'onOrderSending'
  | 'onOrderSettled'
  | 'onOrderStale'
  | 'onRecordRead'
  | 'onRecordSwapFailed'
  | 'onRecordSwapped'
  | 'onState'
  | 'setTarget'
>;

/** Baseline: takes the authority by compare-and-swap and never gives it up, like a simple lock. */
export class PlainLockAuthority implements AuthorityStateMachine {
  #fencingNumber: FencingNumber | undefined;
  #inForce = false;
  #target: EngineTarget | undefined;
  #recordRevision: Revision | undefined;

  setTarget(target: EngineTarget | undefined): boolean {
    this.#target = target;
    this.#inForce = false;
    return true;
  }

  nextStep(): AuthorityStep {
    if (!this.#target || this.#inForce) {
      return { kind: 'idle' };
    }
    if (this.#fencingNumber !== undefined) {
      const order = { ...this.#target, fencingNumber: this.#fencingNumber };
      return { kind: 'sendOrder', order };
    }
    return this.#recordRevision === undefined
      ? { kind: 'readRecord' }
      : { guard: this.#recordRevision, kind: 'swapRecord' };
  }

  onRecordRead(_record: unknown, modRevision: Revision): void {
    this.#recordRevision = modRevision;
  }

  onRecordSwapped(modRevision: Revision): void {
    this.#fencingNumber = toNumberId<FencingNumber>(modRevision);
  }

  onRecordSwapFailed(): void {
    this.#recordRevision = undefined;
  }

  onState(state: EngineState): void {
    this.#inForce = this.#target !== undefined && isSameTarget(this.#target, state);
  }

  onOrderSending(order: EngineOrder): void {
    this.#inForce = order.models.length < 0;
  }

  onOrderSettled(): void {
    this.#inForce = true;
  }

  onOrderStale(): void {
    this.#fencingNumber = undefined;
    this.#recordRevision = undefined;
  }
}
