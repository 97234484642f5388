import type { QuotaLimit } from './QuotaAccounts.js';
import { QuotaAccounts } from './QuotaAccounts.js';
import { MIN_RUNNING_REQUESTS, MIN_RUNNING_REQUESTS_AT_LOW_LOAD } from './QuotaConstants.js';
import type { QuotaAmounts, QuotaContract, QuotaDemand } from './QuotaTypes.js';

/** What a team's share is worked out from, besides the demand. */
export interface QuotaHomeContext {
  /** Shares of an earlier home may still be valid. */
  readonly isWarmingUp: boolean;
  readonly limits: QuotaContract['limits'];
  readonly liveRouters: number;
  readonly nowMs: number;
  readonly paybackWindowMs: number;
  readonly shareTtlMs: number;
}

/** A limit that the demands of all routers have begun, or ceased, to exceed. */
export interface QuotaContention {
  readonly isContended: boolean;
  readonly limit: QuotaLimit;
}

interface CachedLevel {
  readonly atMs: number;
  readonly level: number;
}

const MS_PER_SECOND = 1_000;
/** Part of a limit that must be spare again before it counts as free. */
const CONTENTION_MARGIN = 0.1;
/** Above so many routers the level of a divided limit is kept for a while. */
const FEW_ROUTERS = 16;
const LEVEL_MEMORY_MS = 200;

/** Shares of one team at its home. */
export class QuotaHomeTeam {
  private readonly accounts = new QuotaAccounts();
  private changes: QuotaContention[] = [];
  private readonly contended = new Set<QuotaLimit>();
  private debtUpdatedAtMs = -Infinity;
  private readonly levels = new Map<QuotaLimit, CachedLevel>();
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
    this.accounts.forgetLapsed(nowMs);
    return this.accounts.size === 0;
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
  acquire(routerId: string, demand: QuotaDemand, circumstances: QuotaHomeContext): QuotaAmounts {
    const { limits, nowMs, shareTtlMs } = circumstances;
    this.accounts.forgetLapsed(nowMs);
    this.payBack(demand, circumstances);
    this.accounts.withdraw(routerId);
    const amounts: QuotaAmounts = {
      requestsPerSecond: this.shareOf('requestsPerSecond', demand, circumstances),
      runningRequests: Math.floor(this.shareOf('runningRequests', demand, circumstances)),
      tokensPerSecond: this.shareOf('tokensPerSecond', demand, circumstances),
    };
    const { requestsPerSecond, runningRequests, tokensPerSecond } = demand;
    this.accounts.record(routerId, {
      demand: { requestsPerSecond, runningRequests, tokensPerSecond },
      grant: { amounts, expiresAtMs: nowMs + shareTtlMs },
      inFlight: demand.inFlightRequests,
      nowMs,
    });
    const smallest = this.smallestRunning(limits.concurrentRequests);
    return { ...amounts, runningRequests: Math.max(smallest, amounts.runningRequests) };
  }

  /** Sum of the shares of one limit that may be in use. */
  outstanding(limit: QuotaLimit, nowMs: number): number {
    return this.accounts.outstanding(limit, nowMs);
  }

  /** Use leaks out at the contract's rate; what is left over is paid back by smaller shares. */
  private payBack(demand: QuotaDemand, { limits, nowMs }: QuotaHomeContext): void {
    const elapsedMs = Math.max(0, nowMs - this.debtUpdatedAtMs);
    const leak = (unitsPerSecond: number): number => (unitsPerSecond * elapsedMs) / MS_PER_SECOND;
    this.requestDebt = Math.max(0, this.requestDebt - leak(limits.requestsPerSecond));
    this.tokenDebt = Math.max(0, this.tokenDebt - leak(limits.tokensPerSecond));
    this.requestDebt += demand.usedRequests;
    this.tokenDebt += demand.usedTokens;
    this.debtUpdatedAtMs = nowMs;
  }

  private shareOf(limit: QuotaLimit, demand: QuotaDemand, circumstances: QuotaHomeContext): number {
    const { isWarmingUp, liveRouters } = circumstances;
    const contractLimit = limitOf(circumstances.limits, limit);
    const free = Math.max(0, contractLimit - this.accounts.totals.held[limit]);
    const available = contractLimit * this.payFactor(limit, circumstances);
    const fair = this.fairShare(limit, demand[limit], available, circumstances);
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
    limit: QuotaLimit,
    own: number,
    available: number,
    { liveRouters, nowMs }: QuotaHomeContext,
  ): number {
    const { totals } = this.accounts;
    const spare = available - totals.demand[limit] - own;
    this.noteContention(limit, spare, available);
    if (spare >= 0) {
      return own + spare / Math.max(liveRouters, totals.asking + 1);
    }
    return Math.min(own, this.levelOf(limit, own, available, nowMs));
  }

  private levelOf(limit: QuotaLimit, own: number, available: number, nowMs: number): number {
    const known = this.levels.get(limit);
    const isMany = this.accounts.size > FEW_ROUTERS;
    if (known && isMany && nowMs - known.atMs < LEVEL_MEMORY_MS) {
      return known.level;
    }
    const level = waterLevel([...this.accounts.demands(limit), own], available);
    this.levels.set(limit, { atMs: nowMs, level });
    return level;
  }

  private noteContention(limit: QuotaLimit, spare: number, available: number): void {
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
    const { inFlight } = this.accounts.totals;
    if (inFlight >= limit) {
      return 0;
    }
    return Math.min(
      limit,
      inFlight < limit / 2 ? MIN_RUNNING_REQUESTS_AT_LOW_LOAD : MIN_RUNNING_REQUESTS,
    );
  }

  private payFactor(
    limit: QuotaLimit,
    { limits, paybackWindowMs }: QuotaHomeContext,
  ): number {
    if (limit === 'runningRequests') {
      return 1;
    }
    const debt = limit === 'requestsPerSecond' ? this.requestDebt : this.tokenDebt;
    const perPayback = (limitOf(limits, limit) * paybackWindowMs) / MS_PER_SECOND;
    return Math.min(1, Math.max(0, 1 - (debt - perPayback / 2) / perPayback));
  }
}

function heldOf(demand: QuotaDemand, limit: QuotaLimit): number {
  switch (limit) {
    case 'requestsPerSecond':
      return demand.heldRequestsPerSecond;
    case 'runningRequests':
      return Math.max(demand.heldRunningRequests, demand.inFlightRequests);
    case 'tokensPerSecond':
      return demand.heldTokensPerSecond;
  }
}

function limitOf(limits: QuotaContract['limits'], limit: QuotaLimit): number {
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
