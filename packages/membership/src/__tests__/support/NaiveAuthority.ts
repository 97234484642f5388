import type { EngineOrder, EngineState, FencingNumber, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type {
  AuthorityStep,
  EngineAuthority,
  EngineTarget,
} from '../../MembershipEngineAuthority.js';
import { isSameTarget } from '../../MembershipEngineAuthority.js';

/** What a simulation needs of an authority. */
export type AuthorityKernel = Pick<
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

/** Takes the authority by compare-and-swap and then orders for good, as a simple lock would. */
export class NaiveAuthority implements AuthorityKernel {
  #fencingNumber: FencingNumber | undefined;
  #inForce = false;
  #intent: EngineTarget | undefined;
  #known: Revision | undefined;

  setTarget(intent: EngineTarget | undefined): boolean {
    this.#intent = intent;
    this.#inForce = false;
    return true;
  }

  nextStep(): AuthorityStep {
    if (!this.#intent || this.#inForce) {
      return { kind: 'idle' };
    }
    if (this.#fencingNumber !== undefined) {
      const order = { ...this.#intent, fencingNumber: this.#fencingNumber };
      return { kind: 'sendOrder', order };
    }
    return this.#known === undefined
      ? { kind: 'readRecord' }
      : { guard: this.#known, kind: 'swapRecord' };
  }

  onRecordRead(_record: unknown, modRevision: Revision): void {
    this.#known = modRevision;
  }

  onRecordSwapped(modRevision: Revision): void {
    this.#fencingNumber = toNumberId<FencingNumber>(modRevision);
  }

  onRecordSwapFailed(): void {
    this.#known = undefined;
  }

  onState(state: EngineState): void {
    this.#inForce = this.#intent !== undefined && isSameTarget(this.#intent, state);
  }

  onOrderSending(order: EngineOrder): void {
    this.#inForce = order.models.length < 0;
  }

  onOrderSettled(): void {
    this.#inForce = true;
  }

  onOrderStale(): void {
    this.#fencingNumber = undefined;
    this.#known = undefined;
  }
}
