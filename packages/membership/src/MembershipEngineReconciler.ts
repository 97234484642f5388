import type { EngineControl } from '@laburnumgap/engine';
import type {
  DecisionSink,
  EngineId,
  EngineOrder,
  EngineState,
  MonotonicClock,
  PlatformStore,
  RandomSource,
  Revision,
  Teardown,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { MembershipBackoff } from './MembershipBackoff.js';
import type {
  AuthorityStep,
  EngineAuthorityOptions,
  EngineTarget,
} from './MembershipEngineAuthority.js';
import { EngineAuthority } from './MembershipEngineAuthority.js';
import {
  authorityKey,
  decodeAuthorityRecord,
  encodeAuthorityRecord,
} from './MembershipEngineAuthorityRecord.js';
import type { MembershipTimers } from './MembershipTimers.js';
import { PROCESS_TIMERS } from './MembershipTimers.js';
import type { WeightPermit, WeightPermits } from './MembershipWeightPermits.js';

/** Options of {@link startEngineReconciler}. */
export interface EngineReconcilerOptions extends EngineAuthorityOptions {
  readonly clock: MonotonicClock;
  readonly control: EngineControl;
  readonly decisions: DecisionSink;
  readonly engineId: EngineId;
  /** Whether this member's lease is certain to be valid. */
  readonly holdsLease: () => boolean;
  /** Limits transfers from the weight store; if absent, they are not limited. */
  readonly permits?: WeightPermits;
  readonly random?: RandomSource;
  readonly store: PlatformStore;
  readonly timers?: MembershipTimers;
}

/** Keeps one engine at its target. */
export interface EngineReconciler {
  /** Sets what the engine should run; undefined if this member does not own the engine. */
  setTarget(target: EngineTarget | undefined): void;
  /** Stops; an order that is in flight may still be applied. */
  stop(): void;
}

/** Interval at which the state of an engine that runs its target is read again, before jitter. */
const STATE_RECHECK_INTERVAL_MS = 30_000;
/** Largest fraction of the interval by which jitter shortens it. */
const STATE_RECHECK_JITTER_RATIO = 0.2;

/**
 * Starts the reconciler of one engine. At most one call is in flight, and none is made until a target
 * is set.
 *
 * @param options - engine, store, authority and clock
 * @returns the running reconciler
 */
export function startEngineReconciler(options: EngineReconcilerOptions): EngineReconciler {
  return new EngineReconcileLoop(options);
}

/** Whether the call of a step was answered. */
type StepOutcome = 'answered' | 'failed';

class EngineReconcileLoop implements EngineReconciler {
  readonly #authority: EngineAuthority;
  readonly #backoff: MembershipBackoff;
  readonly #options: EngineReconcilerOptions;
  readonly #random: RandomSource;
  readonly #timers: MembershipTimers;
  #cancelTimer: Teardown = () => undefined;
  #running = false;
  #state: EngineState | undefined;
  #stopped = false;
  #waitReason = '';

  constructor(options: EngineReconcilerOptions) {
    this.#authority = new EngineAuthority(options);
    this.#options = options;
    this.#random = options.random ?? { nextUnit: Math.random };
    this.#backoff = new MembershipBackoff(this.#random);
    this.#timers = options.timers ?? PROCESS_TIMERS;
  }

  setTarget(target: EngineTarget | undefined): void {
    if (this.#authority.setTarget(target)) {
      this.#wake();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
  }

  #wake(): void {
    if (this.#running || this.#stopped) {
      return;
    }
    this.#cancelTimer();
    this.#running = true;
    void this.#runStep().then((delayMs) => {
      this.#running = false;
      this.#scheduleWake(delayMs);
    });
  }

  #scheduleWake(delayMs: number): void {
    if (this.#stopped) {
      return;
    }
    this.#cancelTimer = this.#timers.after(delayMs, () => {
      this.#wake();
    });
  }

  /** Performs the next step; returns the delay before the following one, in milliseconds. */
  async #runStep(): Promise<number> {
    const { clock, holdsLease } = this.#options;
    const nowMs = clock.nowMs();
    const step = this.#authority.nextStep(nowMs, holdsLease());
    if (step.kind === 'idle') {
      this.#authority.invalidateState();
      return STATE_RECHECK_INTERVAL_MS * (1 - STATE_RECHECK_JITTER_RATIO * this.#random.nextUnit());
    }
    if (step.kind === 'wait') {
      this.#recordWait(step.reason, step.untilMs - nowMs);
      return step.untilMs - nowMs;
    }
    const outcome = await this.#performStep(step);
    if (outcome === 'failed') {
      return this.#backoff.nextDelayMs();
    }
    this.#backoff.reset();
    return 0;
  }

  #performStep(step: Exclude<AuthorityStep, { kind: 'idle' | 'wait' }>): Promise<StepOutcome> {
    switch (step.kind) {
      case 'readRecord':
        return this.#readRecord();
      case 'readState':
        return this.#readState();
      case 'sendOrder':
        return this.#sendOrder(step.order);
      case 'swapRecord':
        return this.#swapRecord(step.guard);
    }
  }

  async #readState(): Promise<StepOutcome> {
    const state = await this.#options.control.state();
    if (!state.ok) {
      return 'failed';
    }
    this.#state = state.value;
    this.#authority.onState(state.value);
    return 'answered';
  }

  async #readRecord(): Promise<StepOutcome> {
    const { clock, engineId, store } = this.#options;
    const sentAtMs = clock.nowMs();
    const read = await store.read(authorityKey(engineId));
    if (!read.ok) {
      return 'failed';
    }
    const record = read.value && decodeAuthorityRecord(read.value.value);
    const modRevision = read.value?.modRevision ?? toNumberId<Revision>(0);
    this.#authority.onRecordRead(record, modRevision, sentAtMs, clock.nowMs());
    return 'answered';
  }

  async #swapRecord(guard: Revision): Promise<StepOutcome> {
    const { clock, engineId, self, store } = this.#options;
    const key = authorityKey(engineId);
    const sentAtMs = clock.nowMs();
    const swapped = await store.commit({
      guards: [{ key, modRevision: guard }],
      writes: [{ key, kind: 'put', value: encodeAuthorityRecord(self) }],
    });
    if (!swapped.ok) {
      this.#authority.onRecordSwapFailed();
      return 'failed';
    }
    this.#authority.onRecordSwapped(swapped.value, sentAtMs, clock.nowMs());
    this.#record('authority', { fencingNumber: swapped.value });
    return 'answered';
  }

  async #sendOrder(targetOrder: EngineOrder): Promise<StepOutcome> {
    const { clock, control, holdsLease, permits } = this.#options;
    const [firstMissing, ...otherMissing] = this.#missingModels(targetOrder);
    const needsPermit = permits !== undefined && firstMissing !== undefined;
    // A permit covers one transfer, so the other missing models are loaded by later orders.
    const models = targetOrder.models.filter((model) => !otherMissing.includes(model));
    const order = needsPermit ? { ...targetOrder, models } : targetOrder;
    const permit = needsPermit ? await permits.acquire() : undefined;
    if (needsPermit && !permit) {
      this.#recordWait('weightPermit');
      return 'failed';
    }
    // Acquiring the permit takes time, so the authority is checked again.
    if (!this.#authority.maySendOrder(clock.nowMs(), holdsLease())) {
      return 'answered';
    }
    this.#authority.onOrderSending(order, clock.nowMs());
    const result = await control.order(order, () => this.#mayWrite(permit));
    if (result.ok) {
      this.#state = result.value;
      this.#authority.onOrderSettled();
      this.#authority.onState(result.value);
      this.#recordOrder(order, 'inForce');
      return 'answered';
    }
    const { error } = result;
    this.#recordOrder(order, error.kind === 'rejected' ? error.reason : error.kind);
    if (error.kind === 'rejected' && error.reason === 'staleFencingNumber') {
      this.#authority.onOrderStale();
    } else if (error.kind !== 'outcomeUnknown') {
      this.#authority.onOrderSettled();
    }
    return 'failed';
  }

  /** Models of an order that the engine has not loaded, by its last known state. */
  #missingModels(order: EngineOrder): readonly string[] {
    return order.models.filter((model) => !this.#state?.models.includes(model));
  }

  /** Checked right before the order's first byte is written. */
  #mayWrite(permit: WeightPermit | undefined): boolean {
    const { clock, holdsLease } = this.#options;
    return (
      !this.#stopped &&
      permit?.mayStart() !== false &&
      this.#authority.maySendOrder(clock.nowMs(), holdsLease())
    );
  }

  /** Records a wait only when its reason changes. */
  #recordWait(reason: string, waitMs = 0): void {
    if (reason !== this.#waitReason) {
      this.#waitReason = reason;
      this.#record('wait', { reason, waitMs });
    }
  }

  #recordOrder(order: EngineOrder, outcome: string): void {
    this.#waitReason = '';
    this.#record('order', {
      adapters: order.adapters.join(','),
      fencingNumber: order.fencingNumber,
      models: order.models.join(','),
      outcome,
      role: order.role,
    });
  }

  #record(decision: string, fields: Readonly<Record<string, number | string>>): void {
    const { decisions, engineId } = this.#options;
    decisions.record({ decision, fields: { engineId, ...fields } });
  }
}
