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
/** Shortest interval that demand is divided by, so that two quick calls do not inflate the rate. */
const MIN_MEASUREMENT_INTERVAL_MS = 100;
/** Decay of an earlier demand per interval; bursty teams keep their share between bursts. */
const DEMAND_DECAY_FACTOR = 0.7;
/** With fewer attempts in an interval, the rate is smoothed over several intervals. */
const MIN_ATTEMPTS_FOR_PEAK = 4;
const SMOOTHING_FACTOR = 0.3;
const NO_AMOUNTS: QuotaAmounts = { requestsPerSecond: 0, runningRequests: 0, tokensPerSecond: 0 };

/** Enforces one team's limits at one router. */
export class QuotaTeamLimiter {
  private admittedSinceDemand = 0;
  private attemptsSinceDemand = 0;
  private contract: QuotaContract;
  private current: QuotaAmounts;
  private demandEstimate: QuotaAmounts = NO_AMOUNTS;
  private lastDemandAtMs: number;
  private lastUsedAtMs: number;
  private peakRunning = 0;
  private refusedForConcurrency = 0;
  private readonly requestBucket: QuotaTokenBucket;
  private running = 0;
  private share: QuotaTeamShare | undefined;
  private shareExpiresAtMs = -Infinity;
  private readonly tokenBucket: QuotaTokenBucket;
  private tokensSinceDemand = 0;
  private unacknowledgedUse = { requests: 0, tokens: 0 };
  /** Time of the earliest demand that the next answer may belong to. */
  private unansweredSinceMs: number | undefined;

  constructor({ contract, liveRouters, nowMs }: QuotaTeamLimiterOptions) {
    this.contract = contract;
    this.current = equalShareOf(contract, liveRouters);
    this.lastDemandAtMs = nowMs - SHARE_INTERVAL_MS;
    this.lastUsedAtMs = nowMs;
    const { requestsPerSecond, tokensPerSecond } = this.current;
    const requestBurst = requestBurstOf(requestsPerSecond, contract);
    const tokenBurst = tokenBurstOf(tokensPerSecond);
    this.requestBucket = new QuotaTokenBucket({
      capacity: requestBurst,
      nowMs,
      unitsPerSecond: requestsPerSecond,
    });
    this.tokenBucket = new QuotaTokenBucket({
      capacity: tokenBurst,
      nowMs,
      unitsPerSecond: tokensPerSecond,
    });
  }

  /** Amounts that apply now. */
  get currentAmounts(): QuotaAmounts {
    return this.current;
  }

  /** Whether a home's share applies, instead of an equal part of the limit. */
  holdsShare(nowMs: number): boolean {
    return nowMs < this.shareExpiresAtMs;
  }

  /** Applies a share; its validity counts from the earliest demand that it may answer. */
  applyShare(share: QuotaTeamShare, nowMs: number): void {
    const askedAtMs = Math.min(nowMs, this.unansweredSinceMs ?? this.lastDemandAtMs);
    this.unansweredSinceMs = this.lastDemandAtMs > askedAtMs ? this.lastDemandAtMs : undefined;
    this.share = share;
    this.shareExpiresAtMs = askedAtMs + share.validForMs;
    this.unacknowledgedUse = { requests: 0, tokens: 0 };
    this.setAmounts(share, nowMs);
  }

  /** Charges tokens, even beyond the level of the bucket. */
  chargeTokens(tokens: number, nowMs: number): void {
    this.tokenBucket.charge(tokens, nowMs);
    this.tokensSinceDemand += tokens;
    this.lastUsedAtMs = nowMs;
  }

  /** Estimates the demand from the requests since the last call. */
  demand(nowMs: number): Omit<QuotaDemand, 'teamId'> {
    const elapsedMs = Math.max(MIN_MEASUREMENT_INTERVAL_MS, nowMs - this.lastDemandAtMs);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const combine = this.attemptsSinceDemand < MIN_ATTEMPTS_FOR_PEAK ? smoothed : decayedPeak;
    const attemptsPerAdmission =
      this.admittedSinceDemand > 0
        ? this.attemptsSinceDemand / Math.max(1, this.admittedSinceDemand)
        : 1;
    this.demandEstimate = {
      requestsPerSecond: combine(
        this.demandEstimate.requestsPerSecond,
        this.attemptsSinceDemand * perSecond,
      ),
      runningRequests: Math.ceil(
        decayedPeak(
          this.demandEstimate.runningRequests - 1,
          this.peakRunning + this.refusedForConcurrency,
        ),
      ),
      tokensPerSecond: combine(
        this.demandEstimate.tokensPerSecond,
        this.tokensSinceDemand * perSecond * Math.max(1, attemptsPerAdmission),
      ),
    };
    this.unacknowledgedUse.requests += this.admittedSinceDemand;
    this.unacknowledgedUse.tokens += this.tokensSinceDemand;
    this.admittedSinceDemand = 0;
    this.attemptsSinceDemand = 0;
    this.tokensSinceDemand = 0;
    this.refusedForConcurrency = 0;
    this.peakRunning = this.running;
    this.lastDemandAtMs = nowMs;
    this.unansweredSinceMs ??= nowMs;
    const held = this.holdsShare(nowMs) ? (this.share ?? NO_AMOUNTS) : NO_AMOUNTS;
    return {
      ...this.demandEstimate,
      heldRequestsPerSecond: held.requestsPerSecond,
      heldRunningRequests: held.runningRequests,
      heldTokensPerSecond: held.tokensPerSecond,
      inFlightRequests: this.running,
      usedRequests: this.unacknowledgedUse.requests,
      usedTokens: this.unacknowledgedUse.tokens,
    };
  }

  /** Whether the team runs nothing and has not been used for longer than the timeout. */
  isIdle(nowMs: number, idleTimeoutMs: number): boolean {
    return this.running === 0 && nowMs - this.lastUsedAtMs > idleTimeoutMs;
  }

  /** Falls back to an equal part of the limit once the share has expired. */
  refresh(contract: QuotaContract, liveRouters: number, nowMs: number): void {
    this.contract = contract;
    if (!this.holdsShare(nowMs)) {
      this.setAmounts(equalShareOf(contract, liveRouters), nowMs);
    }
  }

  /** Releases an admitted request. */
  release(): void {
    invariant(this.running > 0, RELEASED_ONCE_INVARIANT, 'a request was released twice');
    this.running -= 1;
  }

  /** Admits a request, or refuses it with the time after which to retry. */
  tryAdmit(nowMs: number): QuotaAdmitted | Refusal {
    this.attemptsSinceDemand += 1;
    this.lastUsedAtMs = nowMs;
    if (this.running >= this.current.runningRequests) {
      this.refusedForConcurrency += 1;
      const detail = `${this.running} requests of the team run at this router`;
      return refusal('CONCURRENCY_LIMITED', detail, SHARE_INTERVAL_MS);
    }
    const tokenWaitMs = this.tokenBucket.waitMsFor(Number.EPSILON, nowMs);
    if (tokenWaitMs > 0) {
      return refusal(
        'TOKEN_BUDGET_EXHAUSTED',
        'the token rate is used up',
        retryAfterMsOf(tokenWaitMs),
      );
    }
    const requestWaitMs = this.requestBucket.waitMsFor(1, nowMs);
    if (requestWaitMs > 0) {
      return refusal('RATE_LIMITED', 'the request rate is used up', retryAfterMsOf(requestWaitMs));
    }
    this.requestBucket.charge(1, nowMs);
    this.admittedSinceDemand += 1;
    this.running += 1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    return { kind: 'admitted' };
  }

  private setAmounts(amounts: QuotaAmounts, nowMs: number): void {
    const { requestsPerSecond, tokensPerSecond } = amounts;
    this.current = amounts;
    this.requestBucket.setRate(
      requestsPerSecond,
      requestBurstOf(requestsPerSecond, this.contract),
      nowMs,
    );
    this.tokenBucket.setRate(tokensPerSecond, tokenBurstOf(tokensPerSecond), nowMs);
  }
}

function smoothed(before: number, now: number): number {
  return before * (1 - SMOOTHING_FACTOR) + now * SMOOTHING_FACTOR;
}

function decayedPeak(before: number, now: number): number {
  return Math.max(now, before * DEMAND_DECAY_FACTOR);
}

function equalShareOf({ limits }: QuotaContract, liveRouters: number): QuotaAmounts {
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

/** Requests of one burst window, but at least a few, because callers send requests in bunches. */
function requestBurstOf(unitsPerSecond: number, { limits }: QuotaContract): number {
  const burstOfLimit = (limits.requestsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND;
  const minBurst = Math.max(1, Math.min(burstOfLimit, MIN_REQUEST_BURST));
  return Math.max(minBurst, (unitsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND);
}

function tokenBurstOf(unitsPerSecond: number): number {
  return Math.max(1, (unitsPerSecond * BURST_WINDOW_MS) / MS_PER_SECOND);
}

/** An unbounded wait becomes one share interval, since the share may grow at the next answer. */
function retryAfterMsOf(waitMs: number): number {
  const bounded = Number.isFinite(waitMs) ? waitMs : SHARE_INTERVAL_MS;
  return Math.max(1, Math.ceil(bounded));
}
