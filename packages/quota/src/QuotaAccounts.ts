import { SILENT_ROUTER_RETENTION_MS } from './QuotaConstants.js';
import { QuotaDeadlineQueue } from './QuotaDeadlineQueue.js';
import type { QuotaAmounts } from './QuotaTypes.js';

/** Name of one of a team's three limits. */
export type QuotaLimit = keyof QuotaAmounts;

/** A share that was handed out, and the time at which it expires. */
export interface QuotaGrant {
  readonly amounts: QuotaAmounts;
  readonly expiresAtMs: number;
}

/** The demand of one call of a router and the share that answered it. */
export interface QuotaAccountUpdate {
  readonly demand: QuotaAmounts;
  readonly grant: QuotaGrant;
  /** Number of running requests that the router reported. */
  readonly inFlight: number;
  readonly nowMs: number;
}

/** Sums over the routers of a team. */
export interface QuotaTotals {
  /** Demands of the routers that hold a share. */
  readonly demand: QuotaAmounts;
  /** Upper bound of what the routers may be using. */
  readonly held: QuotaAmounts;
  readonly inFlight: number;
  /** Number of routers that hold a share. */
  readonly shareHolders: number;
}

type MutableAmounts = Record<QuotaLimit, number>;

interface MutableTotals {
  readonly demand: MutableAmounts;
  readonly held: MutableAmounts;
  inFlight: number;
  shareHolders: number;
}

interface Account {
  /** What the account currently adds to the totals. */
  contribution: QuotaTotals;
  demand: QuotaAmounts;
  /** All unexpired shares: if the answer to a later call was lost, an earlier share is still in use. */
  grants: readonly QuotaGrant[];
  inFlight: number;
  lastDemandAtMs: number;
}

const NO_AMOUNTS: QuotaAmounts = { requestsPerSecond: 0, runningRequests: 0, tokensPerSecond: 0 };
const NO_TOTALS: QuotaTotals = {
  demand: NO_AMOUNTS,
  held: NO_AMOUNTS,
  inFlight: 0,
  shareHolders: 0,
};
/** Number of changes after which the totals are recomputed, so that rounding errors do not add up. */
const CHANGES_BETWEEN_RECOMPUTATIONS = 1_000;

/** Accounts of the routers of one team, with totals that are updated with each change. */
export class QuotaAccounts {
  private readonly accounts = new Map<string, Account>();
  private changesSinceRecomputation = 0;
  private readonly grantExpiries = new QuotaDeadlineQueue();
  private runningTotals = createTotals();
  private readonly silenceDeadlines = new QuotaDeadlineQueue();

  /** Number of routers with an account. */
  get size(): number {
    return this.accounts.size;
  }

  /** Totals over all routers that are not withdrawn. */
  get totals(): QuotaTotals {
    return this.runningTotals;
  }

  /** Demands of the routers that hold a share and are not withdrawn. */
  demands(limit: QuotaLimit): number[] {
    const demands: number[] = [];
    for (const { contribution } of this.accounts.values()) {
      if (contribution.shareHolders > 0) {
        demands.push(contribution.demand[limit]);
      }
    }
    return demands;
  }

  /** Removes expired shares, and routers silent for {@link SILENT_ROUTER_RETENTION_MS}. */
  expire(nowMs: number): void {
    for (let due = this.grantExpiries.popDue(nowMs); due; due = this.grantExpiries.popDue(nowMs)) {
      const account = this.accounts.get(due.routerId);
      if (account) {
        account.grants = account.grants.filter((grant) => grant.expiresAtMs > nowMs);
        this.setContribution(account, contributionOf(account));
      }
    }
    for (
      let due = this.silenceDeadlines.popDue(nowMs);
      due;
      due = this.silenceDeadlines.popDue(nowMs)
    ) {
      this.forgetIfSilent(due.routerId, nowMs);
    }
  }

  /** Upper bound of what may be in use of a limit, computed from the shares instead of the totals. */
  outstanding(limit: QuotaLimit, nowMs: number): number {
    let total = 0;
    for (const { grants: grants, inFlight } of this.accounts.values()) {
      const valid = grants.filter((grant) => grant.expiresAtMs > nowMs);
      total += heldOf(valid, inFlight)[limit];
    }
    return total;
  }

  /** Records a router's demand and the share that answered it. */
  record(routerId: string, { demand, grant, inFlight, nowMs }: QuotaAccountUpdate): void {
    const known = this.accounts.get(routerId);
    const account: Account = known ?? {
      demand,
      grants: [],
      inFlight,
      lastDemandAtMs: nowMs,
      contribution: NO_TOTALS,
    };
    account.demand = demand;
    account.grants = [...account.grants, grant];
    account.inFlight = inFlight;
    account.lastDemandAtMs = nowMs;
    this.accounts.set(routerId, account);
    this.setContribution(account, contributionOf(account));
    this.grantExpiries.push({ atMs: grant.expiresAtMs, routerId });
    if (!known) {
      this.silenceDeadlines.push({ atMs: nowMs + SILENT_ROUTER_RETENTION_MS, routerId });
    }
  }

  /** Excludes a router from the totals until its next {@link record}. */
  withdraw(routerId: string): void {
    const account = this.accounts.get(routerId);
    if (account) {
      this.setContribution(account, NO_TOTALS);
    }
  }

  /** Each router has one queued deadline, which is renewed if the router has called since. */
  private forgetIfSilent(routerId: string, nowMs: number): void {
    const account = this.accounts.get(routerId);
    if (!account) {
      return;
    }
    const atMs = account.lastDemandAtMs + SILENT_ROUTER_RETENTION_MS;
    if (atMs > nowMs) {
      this.silenceDeadlines.push({ atMs, routerId });
      return;
    }
    this.setContribution(account, NO_TOTALS);
    this.accounts.delete(routerId);
  }

  private setContribution(account: Account, contribution: QuotaTotals): void {
    addContribution(this.runningTotals, account.contribution, -1);
    addContribution(this.runningTotals, contribution, 1);
    account.contribution = contribution;
    this.changesSinceRecomputation += 1;
    if (this.changesSinceRecomputation >= CHANGES_BETWEEN_RECOMPUTATIONS) {
      this.changesSinceRecomputation = 0;
      this.runningTotals = createTotals();
      for (const each of this.accounts.values()) {
        addContribution(this.runningTotals, each.contribution, 1);
      }
    }
  }
}

function contributionOf({ demand, grants: grants, inFlight }: Account): QuotaTotals {
  const holdsShare = grants.length > 0;
  return {
    demand: holdsShare ? demand : NO_AMOUNTS,
    held: heldOf(grants, inFlight),
    inFlight,
    shareHolders: holdsShare ? 1 : 0,
  };
}

/** Upper bound of a router's use: the largest of its valid shares and its reported requests. */
function heldOf(grants: readonly QuotaGrant[], inFlight: number): QuotaAmounts {
  let { requestsPerSecond, tokensPerSecond } = NO_AMOUNTS;
  let runningRequests = inFlight;
  for (const { amounts } of grants) {
    requestsPerSecond = Math.max(requestsPerSecond, amounts.requestsPerSecond);
    runningRequests = Math.max(runningRequests, amounts.runningRequests);
    tokensPerSecond = Math.max(tokensPerSecond, amounts.tokensPerSecond);
  }
  return { requestsPerSecond, runningRequests, tokensPerSecond };
}

function createTotals(): MutableTotals {
  return { demand: { ...NO_AMOUNTS }, held: { ...NO_AMOUNTS }, inFlight: 0, shareHolders: 0 };
}

function addContribution(totals: MutableTotals, contribution: QuotaTotals, sign: -1 | 1): void {
  totals.shareHolders += sign * contribution.shareHolders;
  totals.inFlight += sign * contribution.inFlight;
  addAmounts(totals.demand, contribution.demand, sign);
  addAmounts(totals.held, contribution.held, sign);
}

function addAmounts(totals: MutableAmounts, contribution: QuotaAmounts, sign: -1 | 1): void {
  totals.requestsPerSecond += sign * contribution.requestsPerSecond;
  totals.runningRequests += sign * contribution.runningRequests;
  totals.tokensPerSecond += sign * contribution.tokensPerSecond;
}
