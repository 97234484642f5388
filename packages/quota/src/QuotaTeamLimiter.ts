import type { Refusal } from '@laburnumgap/kernel';
import { invariant, refusal } from '@laburnumgap/kernel';
import {
  BURST_WINDOW_MS,
  MIN_REQUEST_BURST,
  MIN_RUNNING_REQUESTS,
  SHARE_INTERVAL_MS,
} from './QuotaConstants.js';
import type { QuotaAdmitted } from './QuotaLimiter.js';
import { QuotaTokenBucket } from './QuotaTokenBucket.js';
import type { QuotaAmounts, QuotaContract, QuotaDemand, QuotaTeamShare } from './QuotaTypes.js';

/** Options of {@link QuotaTeamLimiter}. */
export interface QuotaTeamLimiterOptions {
  readonly contract: QuotaContract;
  readonly liveRouters: number;
  readonly nowMs: number;
}

/** Invariant 1301: an admitted request is released once. */
const RELEASED_ONCE_INVARIANT = 1301;

const MS_PER_SECOND = 1_000;
const MIN_INTERVAL_MS = 100;
/** What remains of an earlier demand after an interval: bursty teams keep their share between. */
const DEMAND_DECAY = 0.7;
/** Fewer attempts in an interval say little, so that they are averaged over several. */
const FEW_ATTEMPTS = 4;
const FEW_WEIGHT = 0.3;
const NO_AMOUNTS: QuotaAmounts = { requestsPerSecond: 0, runningRequests: 0, tokensPerSecond: 0 };

/** One team's share at one router. */
export class QuotaTeamLimiter {
  private admitted = 0;
  private attempts = 0;
  private chargedTokens = 0;
  private contract: QuotaContract;
  private current: QuotaAmounts;
  private demandAtMs: number;
  private estimate: QuotaAmounts = NO_AMOUNTS;
  private lastUsedAtMs: number;
  private mostRunning = 0;
  private readonly requests: QuotaTokenBucket;
  private running = 0;
  private share: QuotaTeamShare | undefined;
  private shareExpiresAtMs = -Infinity;
  private readonly tokens: QuotaTokenBucket;
  private turnedAwayRunning = 0;
  /** The earliest demand that the next answer may belong to. */
  private unansweredSinceMs: number | undefined;
  private unacknowledged = { requests: 0, tokens: 0 };

  constructor({ contract, liveRouters, nowMs }: QuotaTeamLimiterOptions) {
    this.contract = contract;
    this.current = fallback(contract, liveRouters);
    this.demandAtMs = nowMs - SHARE_INTERVAL_MS;
    this.lastUsedAtMs = nowMs;
    const { requestsPerSecond, tokensPerSecond } = this.current;
    const requestBurst = requestBurstOf(requestsPerSecond, contract);
    const tokenBurst = tokenBurstOf(tokensPerSecond);
    this.requests = new QuotaTokenBucket({
      capacity: requestBurst,
      nowMs,
      unitsPerSecond: requestsPerSecond,
    });
    this.tokens = new QuotaTokenBucket({
      capacity: tokenBurst,
      nowMs,
      unitsPerSecond: tokensPerSecond,
    });
  }

  /** Amounts in force. */
  get currentAmounts(): QuotaAmounts {
    return this.current;
  }

  /** Whether a home's share is in force, rather than an equal part of the limit. */
  holdsShare(nowMs: number): boolean {
    return nowMs < this.shareExpiresAtMs;
  }

  /** Takes a share; its validity counts from the earliest demand that it may answer. */
  applyShare(share: QuotaTeamShare, nowMs: number): void {
    const askedAtMs = Math.min(nowMs, this.unansweredSinceMs ?? this.demandAtMs);
    this.unansweredSinceMs = this.demandAtMs > askedAtMs ? this.demandAtMs : undefined;
    this.share = share;
    this.shareExpiresAtMs = askedAtMs + share.validForMs;
    this.unacknowledged = { requests: 0, tokens: 0 };
    this.setAmounts(share, nowMs);
  }

  /** Charges tokens, also beyond what the bucket holds. */
  chargeTokens(tokens: number, nowMs: number): void {
    this.tokens.charge(tokens, nowMs);
    this.chargedTokens += tokens;
    this.lastUsedAtMs = nowMs;
  }

  /** Estimates the demand since the last call. */
  demand(nowMs: number): Omit<QuotaDemand, 'teamId'> {
    const elapsedMs = Math.max(MIN_INTERVAL_MS, nowMs - this.demandAtMs);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const estimate = this.attempts < FEW_ATTEMPTS ? average : peak;
    const wanted = this.admitted > 0 ? this.attempts / Math.max(1, this.admitted) : 1;
    this.estimate = {
      requestsPerSecond: estimate(this.estimate.requestsPerSecond, this.attempts * perSecond),
      runningRequests: Math.ceil(
        peak(this.estimate.runningRequests - 1, this.mostRunning + this.turnedAwayRunning),
      ),
      tokensPerSecond: estimate(
        this.estimate.tokensPerSecond,
        this.chargedTokens * perSecond * Math.max(1, wanted),
      ),
    };
    this.unacknowledged.requests += this.admitted;
    this.unacknowledged.tokens += this.chargedTokens;
    this.admitted = 0;
    this.attempts = 0;
    this.chargedTokens = 0;
    this.turnedAwayRunning = 0;
    this.mostRunning = this.running;
    this.demandAtMs = nowMs;
    this.unansweredSinceMs ??= nowMs;
    const held = this.holdsShare(nowMs) ? (this.share ?? NO_AMOUNTS) : NO_AMOUNTS;
    return {
      ...this.estimate,
      heldRequestsPerSecond: held.requestsPerSecond,
      heldRunningRequests: held.runningRequests,
      heldTokensPerSecond: held.tokensPerSecond,
      inFlightRequests: this.running,
      usedRequests: this.unacknowledged.requests,
      usedTokens: this.unacknowledged.tokens,
    };
  }

  /** Whether the team runs nothing and has not been used for a time. */
  isIdle(nowMs: number, idleTeamMs: number): boolean {
    return this.running === 0 && nowMs - this.lastUsedAtMs > idleTeamMs;
  }

  /** Falls back to an equal part of the limit once the share has lapsed. */
  refresh(contract: QuotaContract, liveRouters: number, nowMs: number): void {
    this.contract = contract;
    if (!this.holdsShare(nowMs)) {
      this.setAmounts(fallback(contract, liveRouters), nowMs);
    }
  }

  /** Ends an admitted request. */
  release(): void {
    invariant(this.running > 0, RELEASED_ONCE_INVARIANT, 'a request was released twice');
    this.running -= 1;
  }

  /** Admits a request or says when to come back. */
  tryAdmit(nowMs: number): QuotaAdmitted | Refusal {
    this.attempts += 1;
    this.lastUsedAtMs = nowMs;
    if (this.running >= this.current.runningRequests) {
      this.turnedAwayRunning += 1;
      const detail = `${this.running} requests of the team run at this router`;
      return refusal('CONCURRENCY_LIMITED', detail, SHARE_INTERVAL_MS);
    }
    const tokenWaitMs = this.tokens.waitMsFor(Number.EPSILON, nowMs);
    if (tokenWaitMs > 0) {
      return refusal(
        'TOKEN_BUDGET_EXHAUSTED',
        'the token rate is used up',
        retryAfter(tokenWaitMs),
      );
    }
    const requestWaitMs = this.requests.waitMsFor(1, nowMs);
    if (requestWaitMs > 0) {
      return refusal('RATE_LIMITED', 'the request rate is used up', retryAfter(requestWaitMs));
    }
    this.requests.charge(1, nowMs);
    this.admitted += 1;
    this.running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    return { kind: 'admitted' };
  }

  private setAmounts(amounts: QuotaAmounts, nowMs: number): void {
    const { requestsPerSecond, tokensPerSecond } = amounts;
    this.current = amounts;
    this.requests.setRate(
      requestsPerSecond,
      requestBurstOf(requestsPerSecond, this.contract),
      nowMs,
    );
    this.tokens.setRate(tokensPerSecond, tokenBurstOf(tokensPerSecond), nowMs);
  }
}

function average(before: number, now: number): number {
  return before * (1 - FEW_WEIGHT) + now * FEW_WEIGHT;
}

function peak(before: number, now: number): number {
  return Math.max(now, before * DEMAND_DECAY);
}

function fallback({ limits }: QuotaContract, liveRouters: number): QuotaAmounts {
  const routers = Math.max(1, liveRouters);
  return {
    requestsPerSecond: limits.requestsPerSecond / routers,
    runningRequests: Math.max(
      Math.min(limits.concurrentRequests, MIN_RUNNING_REQUESTS),
      Math.floor(limits.concurrentRequests / routers),
    ),
    tokensPerSecond: limits.tokensPerSecond / routers,
  };
}

/** What a second of the share gives, and a few requests at least: calls come in bunches. */
function requestBurstOf(unitsPerSecond: number, { limits }: QuotaContract): number {
  const ofLimit = (limits.requestsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND;
  const smallest = Math.max(1, Math.min(ofLimit, MIN_REQUEST_BURST));
  return Math.max(smallest, (unitsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND);
}

function tokenBurstOf(unitsPerSecond: number): number {
  return Math.max(1, (unitsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND);
}

/** A share may grow at the next interval, so that nobody is sent away for longer than needed. */
function retryAfter(waitMs: number): number {
  const bounded = Number.isFinite(waitMs) ? waitMs : SHARE_INTERVAL_MS;
  return Math.max(1, Math.ceil(bounded));
}
