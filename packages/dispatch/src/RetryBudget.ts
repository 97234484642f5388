/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Largest balance of a key in retries; also its initial balance. */
  readonly maxBalance?: number;
  /** Keys whose balance is kept; the least recently used one is dropped first. */
  readonly maxKeys?: number;
  /** Retries that each first attempt adds to the balance. */
  readonly retriesPerFirstAttempt?: number;
}

const DEFAULT_MAX_BALANCE = 10;
const DEFAULT_MAX_KEYS = 5_000;
const DEFAULT_RETRIES_PER_FIRST_ATTEMPT = 0.1;

/**
 * Limits the retries and hedges of each key (a team or a service) to a fraction of its first
 * attempts, so that they don't amplify an outage:
 * retries <= maxBalance + retriesPerFirstAttempt * first attempts.
 */
export class RetryBudget {
  private readonly balances = new Map<string, number>();
  private maxBalance: number;
  private readonly maxKeys: number;
  private readonly retriesPerFirstAttempt: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.maxBalance = options.maxBalance ?? DEFAULT_MAX_BALANCE;
    this.maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
    this.retriesPerFirstAttempt =
      options.retriesPerFirstAttempt ?? DEFAULT_RETRIES_PER_FIRST_ATTEMPT;
  }

  /** Records a first attempt, which adds to the key's balance. */
  recordFirstAttempt(key: string): void {
    const balance = this.balances.get(key) ?? this.maxBalance;
    this.storeBalance(key, Math.min(this.maxBalance, balance + this.retriesPerFirstAttempt));
  }

  /** Changes the largest balance when more or fewer processes share the budget. */
  setMaxBalance(maxBalance: number): void {
    this.maxBalance = maxBalance;
    for (const [key, balance] of this.balances) {
      this.balances.set(key, Math.min(balance, maxBalance));
    }
  }

  /** Spends one retry; returns false when the balance is below one. */
  takeRetry(key: string): boolean {
    const balance = this.balances.get(key) ?? this.maxBalance;
    if (balance < 1) {
      return false;
    }
    this.storeBalance(key, balance - 1);
    return true;
  }

  private storeBalance(key: string, balance: number): void {
    this.balances.delete(key);
    this.balances.set(key, balance);
    if (this.balances.size > this.maxKeys) {
      this.balances.delete(this.balances.keys().next().value ?? key);
    }
  }
}
