import { MIN_RUNNING, MIN_RUNNING_WHILE_LOW, RUNNING_MEMORY_MS } from './QuotaConstants.js';
import type { QuotaAmounts, QuotaContract, QuotaDemand } from './QuotaTypes.js';

/** What a team's share is worked out from, besides the demand. */
export interface QuotaHomeCircumstances {
  /** Shares of an earlier home may still be valid. */
  readonly isWarmingUp: boolean;
  readonly limits: QuotaContract['limits'];
  readonly liveRouters: number;
  readonly nowMs: number;
  readonly paybackMs: number;
  readonly shareTtlMs: number;
}

/** A limit that the demands of all routers have begun, or ceased, to exceed. */
export interface QuotaContention {
  readonly isContended: boolean;
  readonly limit: keyof QuotaAmounts;
}

interface Grant {
  readonly amounts: QuotaAmounts;
  readonly expiresAtMs: number;
}

interface RouterAccount {
  demand: QuotaAmounts;
  /** Shares that may still be in use: the answer to a call may have been lost. */
  grants: Grant[];
  lastAskedAtMs: number;
  reportedRunning: number;
}

type Limit = keyof QuotaAmounts;

const MS_PER_SECOND = 1_000;
/** Part of a limit that must be spare again before it counts as free. */
const CONTENTION_MARGIN = 0.1;

/** Shares of one team at its home. */
export class QuotaHomeTeam {
  private readonly accounts = new Map<string, RouterAccount>();
  private changes: QuotaContention[] = [];
  private readonly contended = new Set<Limit>();
  private debtUpdatedAtMs = -Infinity;
  private requestDebt = 0;
  private tokenDebt = 0;

  /** Takes the changes in contention since the last call. */
  takeContention(): readonly QuotaContention[] {
    const { changes } = this;
    this.changes = [];
    return changes;
  }

  /** Whether no router has used the team for so long that nothing has to be remembered. */
  isIdle(nowMs: number): boolean {
    return [...this.accounts.values()].every(
      (account) => nowMs - account.lastAskedAtMs > RUNNING_MEMORY_MS,
    );
  }

  /**
   * Works out one router's share and remembers it until it must have lapsed. Where the routers
   * outnumber the requests that may run, each may run a few until the home has heard that the team
   * is at its limit.
   *
   * @param routerId - the router that asks
   * @param demand - what it wants, holds and has used
   * @param circumstances - limits, routers and time
   * @returns its share
   */
  acquire(
    routerId: string,
    demand: QuotaDemand,
    circumstances: QuotaHomeCircumstances,
  ): QuotaAmounts {
    const { nowMs, shareTtlMs } = circumstances;
    this.forgetLapsed(nowMs);
    this.payBack(demand, circumstances);
    const account = this.accountOf(routerId);
    account.demand = demand;
    account.lastAskedAtMs = nowMs;
    account.reportedRunning = demand.inFlightRequests;
    const amounts: QuotaAmounts = {
      requestsPerSecond: this.shareOf('requestsPerSecond', routerId, demand, circumstances),
      runningRequests: Math.floor(this.shareOf('runningRequests', routerId, demand, circumstances)),
      tokensPerSecond: this.shareOf('tokensPerSecond', routerId, demand, circumstances),
    };
    account.grants.push({ amounts, expiresAtMs: nowMs + shareTtlMs });
    const smallest = this.smallestRunning(circumstances.limits.concurrentRequests);
    return { ...amounts, runningRequests: Math.max(smallest, amounts.runningRequests) };
  }

  /** Sum of the shares of one limit that may be in use. */
  outstanding(limit: Limit, nowMs: number): number {
    this.forgetLapsed(nowMs);
    return sum([...this.accounts.values()].map((account) => holding(account, limit, nowMs)));
  }

  private accountOf(routerId: string): RouterAccount {
    const known = this.accounts.get(routerId);
    if (known) {
      return known;
    }
    const demand = { requestsPerSecond: 0, runningRequests: 0, tokensPerSecond: 0 };
    const created = { demand, grants: [], lastAskedAtMs: 0, reportedRunning: 0 };
    this.accounts.set(routerId, created);
    return created;
  }

  private forgetLapsed(nowMs: number): void {
    for (const [routerId, account] of this.accounts) {
      account.grants = account.grants.filter((grant) => grant.expiresAtMs > nowMs);
      if (account.grants.length === 0 && nowMs - account.lastAskedAtMs > RUNNING_MEMORY_MS) {
        this.accounts.delete(routerId);
      }
    }
  }

  /** Use leaks out at the contract's rate; what is left over is paid back by smaller shares. */
  private payBack(demand: QuotaDemand, { limits, nowMs }: QuotaHomeCircumstances): void {
    const elapsedMs = Math.max(0, nowMs - this.debtUpdatedAtMs);
    const leak = (unitsPerSecond: number): number => (unitsPerSecond * elapsedMs) / MS_PER_SECOND;
    this.requestDebt = Math.max(0, this.requestDebt - leak(limits.requestsPerSecond));
    this.tokenDebt = Math.max(0, this.tokenDebt - leak(limits.tokensPerSecond));
    this.requestDebt += demand.usedRequests;
    this.tokenDebt += demand.usedTokens;
    this.debtUpdatedAtMs = nowMs;
  }

  private shareOf(
    limit: Limit,
    routerId: string,
    demand: QuotaDemand,
    circumstances: QuotaHomeCircumstances,
  ): number {
    const { isWarmingUp, liveRouters, nowMs } = circumstances;
    const contractLimit = limitOf(circumstances.limits, limit);
    const others = [...this.accounts].filter(([id]) => id !== routerId);
    const taken = sum(others.map(([, account]) => holding(account, limit, nowMs)));
    const free = Math.max(0, contractLimit - taken);
    const fair = this.fairShare(
      limit,
      routerId,
      contractLimit * this.payFactor(limit, circumstances),
      liveRouters,
    );
    const equalPart = contractLimit / Math.max(1, liveRouters);
    const firstPart = limit === 'runningRequests' ? Math.ceil(equalPart) : equalPart;
    const cap = isWarmingUp ? Math.max(heldOf(demand, limit), firstPart) : Infinity;
    return Math.min(fair, free, cap);
  }

  /**
   * Share by demand: what everyone wants and an equal part of the rest, of which the parts of
   * routers without demand stay free for them; or max-min fair.
   */
  private fairShare(
    limit: Limit,
    routerId: string,
    available: number,
    liveRouters: number,
  ): number {
    const asking = [...this.accounts].filter(
      ([id, account]) => id === routerId || account.grants.length > 0,
    );
    const demands = asking.map(([, account]) => account.demand[limit]);
    const own = this.accounts.get(routerId)?.demand[limit] ?? 0;
    const spare = available - sum(demands);
    this.noteContention(limit, spare, available);
    if (spare >= 0) {
      return own + spare / Math.max(liveRouters, demands.length);
    }
    return Math.min(own, waterLevel(demands, available));
  }

  private noteContention(limit: Limit, spare: number, available: number): void {
    const wasContended = this.contended.has(limit);
    const isContended = spare < (wasContended ? available * CONTENTION_MARGIN : 0);
    if (isContended === wasContended) {
      return;
    }
    if (isContended) {
      this.contended.add(limit);
    } else {
      this.contended.delete(limit);
    }
    this.changes.push({ isContended, limit });
  }

  private smallestRunning(limit: number): number {
    const inFlight = sum([...this.accounts.values()].map((account) => account.reportedRunning));
    if (inFlight >= limit) {
      return 0;
    }
    return Math.min(limit, inFlight < limit / 2 ? MIN_RUNNING_WHILE_LOW : MIN_RUNNING);
  }

  private payFactor(limit: Limit, { limits, paybackMs }: QuotaHomeCircumstances): number {
    if (limit === 'runningRequests') {
      return 1;
    }
    const debt = limit === 'requestsPerSecond' ? this.requestDebt : this.tokenDebt;
    const perPayback = (limitOf(limits, limit) * paybackMs) / MS_PER_SECOND;
    return Math.min(1, Math.max(0, 1 - (debt - perPayback / 2) / perPayback));
  }
}

/** The most that a router may be using: any valid share, and what it said is still running. */
function holding(account: RouterAccount, limit: Limit, nowMs: number): number {
  const valid = account.grants.filter((grant) => grant.expiresAtMs > nowMs);
  const granted = Math.max(0, ...valid.map((grant) => grant.amounts[limit]));
  if (limit !== 'runningRequests') {
    return granted;
  }
  return Math.max(granted, account.reportedRunning);
}

function heldOf(demand: QuotaDemand, limit: Limit): number {
  switch (limit) {
    case 'requestsPerSecond':
      return demand.heldRequestsPerSecond;
    case 'runningRequests':
      return Math.max(demand.heldRunningRequests, demand.inFlightRequests);
    case 'tokensPerSecond':
      return demand.heldTokensPerSecond;
  }
}

function limitOf(limits: QuotaContract['limits'], limit: Limit): number {
  return limit === 'runningRequests' ? limits.concurrentRequests : limits[limit];
}

/** Level at which demands cut off at it sum to what is available. */
function waterLevel(demands: readonly number[], available: number): number {
  const rising = [...demands].sort((a, b) => a - b);
  let left = available;
  let level = 0;
  for (const [position, demand] of rising.entries()) {
    const share = left / (rising.length - position);
    level = Math.min(demand, share);
    left -= level;
    if (share < demand) {
      return share;
    }
  }
  return level;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
