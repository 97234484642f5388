/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that a team may save up, and has at the start. */
  readonly maxBalance?: number;
  /** Teams of which a balance is kept; the one unused for longest is dropped first. */
  readonly maxTeams?: number;
  /** Retries that each first try adds. */
  readonly retriesPerFirstAttempt?: number;
}

const DEFAULT_MAX_SAVED = 10;
const DEFAULT_MAX_TEAMS = 5_000;
const DEFAULT_PER_FIRST_TRY = 0.1;

/**
 * Bounds retries and hedges of each team to a fraction of its first tries, so that trouble of a
 * service is not multiplied: retries <= maxSaved + perFirstTry * first tries.
 */
export class RetryBudget {
  private readonly balances = new Map<string, number>();
  private maxSaved: number;
  private readonly maxTeams: number;
  private readonly perFirstTry: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.maxSaved = options.maxBalance ?? DEFAULT_MAX_SAVED;
    this.maxTeams = options.maxTeams ?? DEFAULT_MAX_TEAMS;
    this.perFirstTry = options.retriesPerFirstAttempt ?? DEFAULT_PER_FIRST_TRY;
  }

  /** Notes a first try. */
  recordFirstAttempt(team: string): void {
    const balance = this.balances.get(team) ?? this.maxSaved;
    this.keep(team, Math.min(this.maxSaved, balance + this.perFirstTry));
  }

  /** Changes the retries that may be saved up, because more or fewer processes share them. */
  setMaxBalance(maxSaved: number): void {
    this.maxSaved = maxSaved;
    for (const [team, balance] of this.balances) {
      this.balances.set(team, Math.min(balance, maxSaved));
    }
  }

  /** Takes one retry; false when there is none left. */
  takeRetry(team: string): boolean {
    const balance = this.balances.get(team) ?? this.maxSaved;
    if (balance < 1) {
      return false;
    }
    this.keep(team, balance - 1);
    return true;
  }

  private keep(team: string, balance: number): void {
    this.balances.delete(team);
    this.balances.set(team, balance);
    if (this.balances.size > this.maxTeams) {
      this.balances.delete(this.balances.keys().next().value ?? team);
    }
  }
}
