import type { StandinOrder } from './EngineStandinSchema.js';

/** Options of {@link EngineStandinOrders}. */
export interface EngineStandinOrdersOptions {
  /** Whether orders with a fencing number below the highest one seen are refused. */
  readonly checksFencingNumbers?: boolean;
  /** Models that are loaded at the start. */
  readonly models?: readonly string[];
  /** Base URL of the weight store; without it, models load without a transfer. */
  readonly weightStoreUrl?: string;
}

/** Outcome of an order, as the engine answers it. */
export type OrderOutcome = 'inForce' | 'staleFencingNumber' | 'weightsUnavailable';

/** Configuration of a stand-in engine, and the orders that were applied to it. */
export class EngineStandinOrders {
  /** Applied orders, oldest first. */
  readonly appliedOrders: StandinOrder[] = [];
  readonly checksFencingNumbers: boolean;
  readonly #weightStoreUrl: string | undefined;
  #state: StandinOrder;

  constructor(options: EngineStandinOrdersOptions) {
    this.checksFencingNumbers = options.checksFencingNumbers ?? true;
    this.#weightStoreUrl = options.weightStoreUrl;
    this.#state = {
      adapters: [],
      fencingNumber: 0,
      models: [...(options.models ?? ['default'])],
      role: 'mixed',
    };
  }

  /** Current configuration, with the highest fencing number seen. */
  get state(): StandinOrder {
    return this.#state;
  }

  /**
   * Applies an order. The fencing number is checked before and after the weights are loaded, since
   * a newer order can be applied in the meantime.
   *
   * @param order - the configuration to apply
   * @returns the outcome
   */
  async apply(order: StandinOrder): Promise<OrderOutcome> {
    if (this.#isStale(order)) {
      return 'staleFencingNumber';
    }
    const missingModels = order.models.filter((model) => !this.#state.models.includes(model));
    for (const model of missingModels) {
      if (!(await this.#loadWeights(model))) {
        return 'weightsUnavailable';
      }
    }
    if (this.#isStale(order)) {
      return 'staleFencingNumber';
    }
    const fencingNumber = Math.max(order.fencingNumber, this.#state.fencingNumber);
    this.#state = { ...order, fencingNumber };
    this.appliedOrders.push(order);
    return 'inForce';
  }

  #isStale(order: StandinOrder): boolean {
    return this.checksFencingNumbers && order.fencingNumber < this.#state.fencingNumber;
  }

  async #loadWeights(model: string): Promise<boolean> {
    if (this.#weightStoreUrl === undefined) {
      return true;
    }
    try {
      const answer = await fetch(`${this.#weightStoreUrl}/v1/weights/${model}`);
      await answer.arrayBuffer();
      return answer.ok;
    } catch {
      return false;
    }
  }
}
