import type { StandinOrder } from './EngineStandinSchema.js';

/** Options of {@link EngineStandinOrders}. */
export interface EngineStandinOrdersOptions {
  readonly checksFencingNumbers?: boolean;
  readonly models?: readonly string[];
  /** Loading a model takes its weights from there. */
  readonly weightStoreUrl?: string;
}

/** How an order ended. */
export type OrderOutcome = 'inForce' | 'staleFencingNumber' | 'weightsUnavailable';

/** What a stand-in engine runs, and the orders that took effect. */
export class EngineStandinOrders {
  /** Orders in the order in which they came into force. */
  readonly inForce: StandinOrder[] = [];
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

  /** What runs, with the highest fencing number seen. */
  get state(): StandinOrder {
    return this.#state;
  }

  /** Carries out an order; the number is checked before and after the weights are loaded. */
  async carryOut(order: StandinOrder): Promise<OrderOutcome> {
    if (this.#isStale(order)) {
      return 'staleFencingNumber';
    }
    const missing = order.models.filter((model) => !this.#state.models.includes(model));
    for (const model of missing) {
      if (!(await this.#loadWeights(model))) {
        return 'weightsUnavailable';
      }
    }
    if (this.#isStale(order)) {
      return 'staleFencingNumber';
    }
    const fencingNumber = Math.max(order.fencingNumber, this.#state.fencingNumber);
    this.#state = { ...order, fencingNumber };
    this.inForce.push(order);
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
