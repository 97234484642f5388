import type { QuotaLimit } from './QuotaAccounts.js';
import { QuotaAccounts } from './QuotaAccounts.js';
import { MIN_RUNNING_REQUESTS, MIN_RUNNING_REQUESTS_AT_LOW_LOAD } from './QuotaConstants.js';
import type { QuotaAmounts, QuotaContract, QuotaDemand } from './QuotaTypes.js';

/** What a router's share of a team's limits is computed from, besides its demand. */
export interface QuotaHomeContext {
  /** Whether shares of an earlier home may still be valid. */
  readonly isWarmingUp: boolean;
  readonly limits: QuotaContract['limits'];
  readonly liveRouters: number;
  readonly nowMs: number;
  readonly paybackWindowMs: number;
  readonly shareTtlMs: number;
}

/** A limit that the demands of all routers have started or stopped exceeding. */
export interface QuotaContentionChange {
  readonly isContended: boolean;
  readonly limit: QuotaLimit;
}

interface CachedFairLevel {
  readonly atMs: number;
  readonly level: number;
}

const MS_PER_SECOND = 1_000;
/** Fraction of a limit that must be unused before the limit stops counting as contended. */
const CONTENTION_HYSTERESIS_RATIO = 0.1;
/** Above this number of routers, a limit's max-min fair level is cached instead of recomputed. */
const MAX_ROUTERS_WITHOUT_LEVEL_CACHE = 16;
const LEVEL_CACHE_TTL_MS = 200;

/** One team's limits at its quota home. */
export class QuotaHomeTeam {
  private readonly accounts = new QuotaAccounts();
  private readonly cachedLevels = new Map<QuotaLimit, CachedFairLevel>();
  private readonly contendedLimits = new Set<QuotaLimit>();
  private contentionChanges: QuotaContentionChange[] = [];
  private requestUsageDebt = 0;
  private tokenUsageDebt = 0;
  private usageDebtUpdatedAtMs = -Infinity;

  /** Returns and clears the changes in contention since the last call. */
  takeContentionChanges(): readonly QuotaContentionChange[] {
    const { contentionChanges } = this;
    this.contentionChanges = [];
    return contentionChanges;
  }

  /** Whether all routers have been silent for so long that the state can be discarded. */
  isIdle(nowMs: number): boolean {
    this.accounts.expire(nowMs);
    return this.accounts.size === 0;
  }

  /**
   * Computes one router's share and counts it until it must have expired. If there are more routers
   * than requests that may run, each router may run a few until the reports of the routers show that
   * the team is at its limit.
   *
   * @param routerId - the router that asks
   * @param demand - what it demands, holds and has used
   * @param context - limits, routers and time
   * @returns its share
   */
  acquire(routerId: string, demand: QuotaDemand, context: QuotaHomeContext): QuotaAmounts {
    const { limits, nowMs, shareTtlMs } = context;
    this.accounts.expire(nowMs);
    this.updateUsageDebt(demand, context);
    this.accounts.withdraw(routerId);
    const amounts: QuotaAmounts = {
      requestsPerSecond: this.computeShare('requestsPerSecond', demand, context),
      runningRequests: Math.floor(this.computeShare('runningRequests', demand, context)),
      tokensPerSecond: this.computeShare('tokensPerSecond', demand, context),
    };
    const { requestsPerSecond, runningRequests, tokensPerSecond } = demand;
    this.accounts.record(routerId, {
      demand: { requestsPerSecond, runningRequests, tokensPerSecond },
      grant: { amounts, expiresAtMs: nowMs + shareTtlMs },
      inFlight: demand.inFlightRequests,
      nowMs,
    });
    const minRunning = this.minRunningRequests(limits.concurrentRequests);
    return { ...amounts, runningRequests: Math.max(minRunning, amounts.runningRequests) };
  }

  /** Upper bound of what the routers may be using of one limit. */
  outstanding(limit: QuotaLimit, nowMs: number): number {
    return this.accounts.outstanding(limit, nowMs);
  }

  /** Debt drains at the contract's rate; what remains is paid back by smaller shares. */
  private updateUsageDebt(demand: QuotaDemand, { limits, nowMs }: QuotaHomeContext): void {
    const elapsedMs = Math.max(0, nowMs - this.usageDebtUpdatedAtMs);
    const drained = (unitsPerSecond: number): number =>
      (unitsPerSecond * elapsedMs) / MS_PER_SECOND;
    this.requestUsageDebt = Math.max(0, this.requestUsageDebt - drained(limits.requestsPerSecond));
    this.tokenUsageDebt = Math.max(0, this.tokenUsageDebt - drained(limits.tokensPerSecond));
    this.requestUsageDebt += demand.usedRequests;
    this.tokenUsageDebt += demand.usedTokens;
    this.usageDebtUpdatedAtMs = nowMs;
  }

  private computeShare(limit: QuotaLimit, demand: QuotaDemand, context: QuotaHomeContext): number {
    const { isWarmingUp, liveRouters } = context;
    const contractLimit = limitOf(context.limits, limit);
    const free = Math.max(0, contractLimit - this.accounts.totals.held[limit]);
    const available = contractLimit * this.paybackFactor(limit, context);
    const fairShare = this.fairShare(limit, demand[limit], available, context);
    const equalShare = contractLimit / Math.max(1, liveRouters);
    const initialShare = limit === 'runningRequests' ? Math.ceil(equalShare) : equalShare;
    const warmUpCap = isWarmingUp ? Math.max(heldOf(demand, limit), initialShare) : Infinity;
    return Math.min(fairShare, free, warmUpCap);
  }

  /**
   * If the demands fit, a router gets its demand and an equal part of the rest; the parts of routers
   * without demand are kept free for them. Otherwise the limit is divided by max-min fairness.
   */
  private fairShare(
    limit: QuotaLimit,
    ownDemand: number,
    available: number,
    { liveRouters, nowMs }: QuotaHomeContext,
  ): number {
    const { totals } = this.accounts;
    const spare = available - totals.demand[limit] - ownDemand;
    this.updateContention(limit, spare, available);
    if (spare >= 0) {
      return ownDemand + spare / Math.max(liveRouters, totals.shareHolders + 1);
    }
    return Math.min(ownDemand, this.fairLevel(limit, ownDemand, available, nowMs));
  }

  /** Max-min fair level of a contended limit, cached for a short time if there are many routers. */
  private fairLevel(
    limit: QuotaLimit,
    ownDemand: number,
    available: number,
    nowMs: number,
  ): number {
    const cached = this.cachedLevels.get(limit);
    const hasManyRouters = this.accounts.size > MAX_ROUTERS_WITHOUT_LEVEL_CACHE;
    if (cached && hasManyRouters && nowMs - cached.atMs < LEVEL_CACHE_TTL_MS) {
      return cached.level;
    }
    const level = maxMinFairLevel([...this.accounts.demands(limit), ownDemand], available);
    this.cachedLevels.set(limit, { atMs: nowMs, level });
    return level;
  }

  private updateContention(limit: QuotaLimit, spare: number, available: number): void {
    const wasContended = this.contendedLimits.has(limit);
    const isContended = spare < (wasContended ? available * CONTENTION_HYSTERESIS_RATIO : 0);
    if (isContended === wasContended) {
      return;
    }
    if (isContended) {
      this.contendedLimits.add(limit);
    } else {
      this.contendedLimits.delete(limit);
    }
    this.contentionChanges.push({ isContended, limit });
  }

  /** Requests that every router may run whatever its share; none once the team is at its limit. */
  private minRunningRequests(limit: number): number {
    const { inFlight } = this.accounts.totals;
    if (inFlight >= limit) {
      return 0;
    }
    return Math.min(
      limit,
      inFlight < limit / 2 ? MIN_RUNNING_REQUESTS_AT_LOW_LOAD : MIN_RUNNING_REQUESTS,
    );
  }

  /** Factor from 1 (debt up to half a window's limit) to 0 (one and a half windows or more). */
  private paybackFactor(limit: QuotaLimit, { limits, paybackWindowMs }: QuotaHomeContext): number {
    if (limit === 'runningRequests') {
      return 1;
    }
    const debt = limit === 'requestsPerSecond' ? this.requestUsageDebt : this.tokenUsageDebt;
    const limitPerWindow = (limitOf(limits, limit) * paybackWindowMs) / MS_PER_SECOND;
    return Math.min(1, Math.max(0, 1 - (debt - limitPerWindow / 2) / limitPerWindow));
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

/** Returns the level at which the demands, each capped at the level, add up to `available`. */
function maxMinFairLevel(demands: readonly number[], available: number): number {
  const ascending = [...demands].sort((a, b) => a - b);
  let remaining = available;
  let level = 0;
  for (const [position, demand] of ascending.entries()) {
    const share = remaining / (ascending.length - position);
    level = Math.min(demand, share);
    remaining -= level;
    if (share < demand) {
      return share;
    }
  }
  return level;
}
