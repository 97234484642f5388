import type { EngineOrder, EngineState, Revision } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { PlatformStoreState } from '@laburnumgap/key-value';
import { EngineAuthority } from '../../MembershipEngineAuthority.js';
import type { AuthorityRecord } from '../../MembershipEngineAuthorityRecord.js';
import {
  decodeAuthorityRecord,
  encodeAuthorityRecord,
} from '../../MembershipEngineAuthorityRecord.js';
import type { AuthorityKernel } from './NaiveAuthority.js';
import { NaiveAuthority } from './NaiveAuthority.js';

/** Something that happens in a simulation. */
export interface SimulationEvent {
  /** Whether the answer of the step's call is lost. */
  readonly answerLost: boolean;
  readonly elapsedMs: number;
  /** When within the latency the call takes effect. */
  readonly effectShare: number;
  readonly holder: number;
  /** A restart is a new authority in the same process, as when an engine comes back to its owner. */
  readonly kind: 'restart' | 'step' | 'unwant' | 'want';
  /** Time until the holder has the answer; it may have been paused meanwhile. */
  readonly latencyMs: number;
}

/** Options of an {@link AuthoritySimulation}. */
export interface SimulationOptions {
  readonly checksFencingNumbers: boolean;
  readonly holders: number;
  readonly naive: boolean;
}

/** Longest time from sending an order until it is in force or has failed. */
export const ORDER_TIMEOUT_MS = 20_000;

const KEY = 'record';

interface Holder {
  authority: AuthorityKernel;
  busy: boolean;
  readonly self: AuthorityRecord;
}

interface Scheduled {
  readonly atMs: number;
  readonly run: () => void;
}

/** Several holders that each want one engine to run something else, over one store. */
export class AuthoritySimulation {
  /** Orders in force one after another, by their fencing number and the number of their intent. */
  readonly applied: { readonly fencingNumber: number; readonly intent: number }[] = [];
  readonly holders: readonly Holder[];
  readonly #options: SimulationOptions;
  readonly #queue: Scheduled[] = [];
  readonly #store = new PlatformStoreState();
  #highestFencing = 0;
  #intents = 0;
  #models: readonly string[] = [];
  #nowMs = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.holders = Array.from({ length: options.holders }, (_, index) => this.#holder(index));
  }

  /** Models that the engine runs. */
  get models(): readonly string[] {
    return this.#models;
  }

  /** Whether an order was ever in force after a newer one. */
  get hadStaleOrder(): boolean {
    return this.applied.some((order, index) => {
      const earlier = this.applied[index - 1];
      return (
        earlier !== undefined &&
        (order.fencingNumber < earlier.fencingNumber ||
          (order.fencingNumber === earlier.fencingNumber && order.intent < earlier.intent))
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
        holder.authority = this.#authority(holder.self);
        holder.busy = false;
        return;
      case 'step':
        this.#step(holder, event);
        return;
      case 'unwant':
        holder.authority.setTarget(undefined);
        return;
      case 'want':
        this.want(holder);
    }
  }

  /** Has a holder want something new; returns its name. */
  want(holder: Holder): string {
    this.#intents += 1;
    const model = `m${this.#intents}`;
    holder.authority.setTarget({ adapters: [], models: [model], role: 'mixed' });
    return model;
  }

  #holder(index: number): Holder {
    const self = { incarnation: toId<never>(`i${index}`), memberId: toId<never>(`h${index}`) };
    return { authority: this.#authority(self), busy: false, self };
  }

  #authority(self: AuthorityRecord): AuthorityKernel {
    const { checksFencingNumbers, naive } = this.#options;
    return naive
      ? new NaiveAuthority()
      : new EngineAuthority({ checksFencingNumbers, orderTimeoutMs: ORDER_TIMEOUT_MS, self });
  }

  #step(holder: Holder, event: SimulationEvent): void {
    if (holder.busy) {
      return;
    }
    const { authority } = holder;
    const step = authority.nextStep(this.#nowMs, true);
    switch (step.kind) {
      case 'idle':
      case 'wait':
        return;
      case 'readRecord':
        this.#call(holder, event, () => this.#readRecord(authority));
        return;
      case 'readState':
        this.#call(holder, event, () => {
          const state = this.#state();
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
        this.#call(
          holder,
          event,
          () => this.#swap(holder, step.guard),
          () => {
            authority.onRecordSwapFailed();
          },
        );
    }
  }

  /** Makes a call: it takes effect within its latency; its answer may be lost. */
  #call(
    holder: Holder,
    event: SimulationEvent,
    takeEffect: () => (sentAtMs: number) => void,
    onLost: () => void = () => undefined,
  ): void {
    const sentAtMs = this.#nowMs;
    const { authority } = holder;
    let deliver: (sentAtMs: number) => void = () => undefined;
    holder.busy = true;
    this.#schedule(sentAtMs + event.latencyMs * event.effectShare, () => {
      deliver = takeEffect();
    });
    this.#schedule(sentAtMs + event.latencyMs, () => {
      if (holder.authority === authority) {
        holder.busy = false;
      }
      if (event.answerLost) {
        onLost();
      } else {
        deliver(sentAtMs);
      }
    });
  }

  #readRecord(authority: AuthorityKernel): (sentAtMs: number) => void {
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

  /** An order is in force or has failed within its timeout, whenever its sender learns of it. */
  #sendOrder(holder: Holder, event: SimulationEvent, order: EngineOrder): void {
    const { authority } = holder;
    const sentAtMs = this.#nowMs;
    const effectMs = Math.min(event.latencyMs, ORDER_TIMEOUT_MS - 1) * event.effectShare;
    let isStale = false;
    holder.busy = true;
    this.#schedule(sentAtMs + effectMs, () => {
      isStale = !this.#apply(order);
    });
    // A sender that gives up early does not take the order back.
    const gaveUp = event.answerLost;
    const answerMs = gaveUp ? effectMs / 2 : event.latencyMs;
    this.#schedule(sentAtMs + answerMs, () => {
      if (holder.authority === authority) {
        holder.busy = false;
      }
      if (gaveUp) {
        return;
      }
      if (isStale) {
        authority.onOrderStale();
        return;
      }
      authority.onOrderSettled();
    });
  }

  #apply(order: EngineOrder): boolean {
    if (this.#options.checksFencingNumbers && order.fencingNumber < this.#highestFencing) {
      return false;
    }
    this.#highestFencing = Math.max(this.#highestFencing, order.fencingNumber);
    this.#models = order.models;
    const intent = Number(order.models[0]?.slice(1));
    this.applied.push({ fencingNumber: order.fencingNumber, intent });
    return true;
  }

  #state(): EngineState {
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
    const after = this.#queue.findIndex((entry) => entry.atMs > atMs);
    this.#queue.splice(after === -1 ? this.#queue.length : after, 0, { atMs, run });
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
