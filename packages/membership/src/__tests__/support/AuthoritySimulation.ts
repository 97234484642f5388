import type { EngineOrder, EngineState, Revision } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { PlatformStoreState } from '@laburnumgap/key-value';
import { EngineAuthority } from '../../MembershipEngineAuthority.js';
import type { AuthorityRecord } from '../../MembershipEngineAuthorityRecord.js';
import {
  decodeAuthorityRecord,
  encodeAuthorityRecord,
} from '../../MembershipEngineAuthorityRecord.js';
import type { AuthorityStateMachine } from './PlainLockAuthority.js';
import { PlainLockAuthority } from './PlainLockAuthority.js';

/** An event of a simulation. */
export interface SimulationEvent {
  /** Whether the answer to the step's call is lost. */
  readonly answerLost: boolean;
  readonly elapsedMs: number;
  /** Fraction of the latency after which the call takes effect. */
  readonly effectAtFraction: number;
  readonly holder: number;
  /** A restart creates a new authority in the same process, as for an engine that is owned again. */
  readonly kind: 'clearTarget' | 'restart' | 'setTarget' | 'step';
  /** Time until the holder processes the answer; it may be paused in between. */
  readonly latencyMs: number;
}

/** Options of an {@link AuthoritySimulation}. */
export interface SimulationOptions {
  readonly checksFencingNumbers: boolean;
  readonly holders: number;
  readonly usesPlainLock: boolean;
}

/** Longest time from sending an order until it has been applied or has failed. */
export const ORDER_TIMEOUT_MS = 20_000;

const KEY = 'record';

interface Holder {
  authority: AuthorityStateMachine;
  hasCallInFlight: boolean;
  readonly self: AuthorityRecord;
}

interface ScheduledCallback {
  readonly atMs: number;
  readonly run: () => void;
}

/** Several holders with different targets for one engine, over one store. */
export class AuthoritySimulation {
  /** Applied orders in sequence, by fencing number and by the number of their target. */
  readonly applied: { readonly fencingNumber: number; readonly targetNumber: number }[] = [];
  readonly holders: readonly Holder[];
  readonly #options: SimulationOptions;
  readonly #queue: ScheduledCallback[] = [];
  readonly #store = new PlatformStoreState();
  #highestFencing = 0;
  #models: readonly string[] = [];
  #nowMs = 0;
  #targetCount = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.holders = Array.from({ length: options.holders }, (_, index) => this.#createHolder(index));
  }

  /** Models that the engine runs. */
  get models(): readonly string[] {
    return this.#models;
  }

  /** Whether an order was ever applied after a newer one. */
  get hadStaleOrder(): boolean {
    return this.applied.some((order, index) => {
      const earlier = this.applied[index - 1];
      return (
        earlier !== undefined &&
        (order.fencingNumber < earlier.fencingNumber ||
          (order.fencingNumber === earlier.fencingNumber &&
            order.targetNumber < earlier.targetNumber))
      );
    });
  }

  handle(event: SimulationEvent): void {
    this.#advance(event.elapsedMs);
    const holder = this.holders[event.holder % this.holders.length];
    if (!holder) {
      return;
    }
    switch (event.kind) {
      case 'restart':
        holder.authority = this.#createAuthority(holder.self);
        holder.hasCallInFlight = false;
        return;
      case 'step':
        this.#performStep(holder, event);
        return;
      case 'clearTarget':
        holder.authority.setTarget(undefined);
        return;
      case 'setTarget':
        this.setNextTarget(holder);
    }
  }

  /** Gives a holder a new target; returns the name of its model. */
  setNextTarget(holder: Holder): string {
    this.#targetCount += 1;
    const model = `m${this.#targetCount}`;
    holder.authority.setTarget({ adapters: [], models: [model], role: 'mixed' });
    return model;
  }

  #createHolder(index: number): Holder {
    const self = { incarnation: toId<never>(`i${index}`), memberId: toId<never>(`h${index}`) };
    return { authority: this.#createAuthority(self), hasCallInFlight: false, self };
  }

  #createAuthority(self: AuthorityRecord): AuthorityStateMachine {
    const { checksFencingNumbers, usesPlainLock } = this.#options;
    return usesPlainLock
      ? new PlainLockAuthority()
      : new EngineAuthority({ checksFencingNumbers, orderTimeoutMs: ORDER_TIMEOUT_MS, self });
  }

  #performStep(holder: Holder, event: SimulationEvent): void {
    if (holder.hasCallInFlight) {
      return;
    }
    const { authority } = holder;
    const step = authority.nextStep(this.#nowMs, true);
    switch (step.kind) {
      case 'idle':
      case 'wait':
        return;
      case 'readRecord':
        this.#makeCall(holder, event, () => this.#readRecord(authority));
        return;
      case 'readState':
        this.#makeCall(holder, event, () => {
          const state = this.#engineState();
          return () => {
            authority.onState(state);
          };
        });
        return;
      case 'sendOrder':
        authority.onOrderSending(step.order, this.#nowMs);
        this.#sendOrder(holder, event, step.order);
        return;
      case 'swapRecord':
        this.#makeCall(
          holder,
          event,
          () => this.#swap(holder, step.guard),
          () => {
            authority.onRecordSwapFailed();
          },
        );
    }
  }

  /** Makes a call, which takes effect within its latency; its answer may be lost. */
  #makeCall(
    holder: Holder,
    event: SimulationEvent,
    takeEffect: () => (sentAtMs: number) => void,
    onLost: () => void = () => undefined,
  ): void {
    const sentAtMs = this.#nowMs;
    const { authority } = holder;
    let deliver: (sentAtMs: number) => void = () => undefined;
    holder.hasCallInFlight = true;
    this.#schedule(sentAtMs + event.latencyMs * event.effectAtFraction, () => {
      deliver = takeEffect();
    });
    this.#schedule(sentAtMs + event.latencyMs, () => {
      if (holder.authority === authority) {
        holder.hasCallInFlight = false;
      }
      if (event.answerLost) {
        onLost();
      } else {
        deliver(sentAtMs);
      }
    });
  }

  #readRecord(authority: AuthorityStateMachine): (sentAtMs: number) => void {
    const stored = this.#store.read(KEY);
    const record = stored && decodeAuthorityRecord(stored.value);
    const modRevision = stored?.modRevision ?? toNumberId<Revision>(0);
    return (sentAtMs) => {
      authority.onRecordRead(record, modRevision, sentAtMs, this.#nowMs);
    };
  }

  #swap(holder: Holder, guard: Revision): (sentAtMs: number) => void {
    const { authority } = holder;
    const swapped = this.#store.commit({
      guards: [{ key: KEY, modRevision: guard }],
      writes: [{ key: KEY, kind: 'put', value: encodeAuthorityRecord(holder.self) }],
    });
    return (sentAtMs) => {
      if (swapped.ok) {
        authority.onRecordSwapped(swapped.value, sentAtMs, this.#nowMs);
      } else {
        authority.onRecordSwapFailed();
      }
    };
  }

  /** Sends an order, which is applied or fails within its timeout, whenever its sender learns of it. */
  #sendOrder(holder: Holder, event: SimulationEvent, order: EngineOrder): void {
    const { authority } = holder;
    const sentAtMs = this.#nowMs;
    const effectMs = Math.min(event.latencyMs, ORDER_TIMEOUT_MS - 1) * event.effectAtFraction;
    let isStale = false;
    holder.hasCallInFlight = true;
    this.#schedule(sentAtMs + effectMs, () => {
      isStale = !this.#applyOrder(order);
    });
    // A sender that times out early does not cancel the order.
    const senderTimedOut = event.answerLost;
    const answerMs = senderTimedOut ? effectMs / 2 : event.latencyMs;
    this.#schedule(sentAtMs + answerMs, () => {
      if (holder.authority === authority) {
        holder.hasCallInFlight = false;
      }
      if (senderTimedOut) {
        return;
      }
      if (isStale) {
        authority.onOrderStale();
        return;
      }
      authority.onOrderSettled();
    });
  }

  #applyOrder(order: EngineOrder): boolean {
    if (this.#options.checksFencingNumbers && order.fencingNumber < this.#highestFencing) {
      return false;
    }
    this.#highestFencing = Math.max(this.#highestFencing, order.fencingNumber);
    this.#models = order.models;
    const targetNumber = Number(order.models[0]?.slice(1));
    this.applied.push({ fencingNumber: order.fencingNumber, targetNumber });
    return true;
  }

  #engineState(): EngineState {
    return {
      adapters: [],
      canContinueFromPrefix: true,
      checksFencingNumbers: this.#options.checksFencingNumbers,
      fencingNumber: toNumberId(this.#highestFencing),
      kvTokensCapacity: 1,
      maxRunning: 1,
      models: this.#models,
      role: 'mixed',
    };
  }

  #schedule(atMs: number, run: () => void): void {
    const insertAt = this.#queue.findIndex((entry) => entry.atMs > atMs);
    this.#queue.splice(insertAt === -1 ? this.#queue.length : insertAt, 0, { atMs, run });
  }

  #advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    while (this.#queue[0] && this.#queue[0].atMs <= endMs) {
      const next = this.#queue.shift();
      this.#nowMs = next?.atMs ?? this.#nowMs;
      next?.run();
    }
    this.#nowMs = endMs;
  }
}
