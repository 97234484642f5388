import type { Revision, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { QuotaContract, QuotaHome, QuotaLimiter } from '../../index.js';
import {
  SHARE_INTERVAL_MS,
  SHARE_TTL_MS,
  createQuotaHome,
  createQuotaLimiter,
} from '../../index.js';

export const TEAM = toId<TeamId>('transfers');
export const STEP_MS = 100;

interface SimulatedRouter {
  readonly id: string;
  isDisconnected: boolean;
  isPaused: boolean;
  readonly limiter: QuotaLimiter;
  nextDemandAtMs: number;
  readonly runningUntilMs: number[];
  shareExpiresAtMs: number;
}

/** Options of {@link QuotaFleet}. */
export interface QuotaFleetOptions {
  readonly limits: QuotaContract['limits'];
  readonly random: () => number;
  readonly routers: number;
}

/** Routers and quota homes of one team on a simulated clock. */
export class QuotaFleet {
  admitted = 0;
  /** Whether answers of homes are lost. */
  dropsReplies = false;
  nowMs = 0;
  readonly refusals: Record<string, number> = {};
  readonly routers: SimulatedRouter[] = [];
  private readonly contract: QuotaContract;
  private readonly grantedAtMs = new Map<QuotaHome, number>();
  private homes: QuotaHome[] = [];
  private nextRouter = 0;

  constructor(private readonly options: QuotaFleetOptions) {
    this.contract = { limits: options.limits, revision: toNumberId<Revision>(1) };
    for (let index = 0; index < options.routers; index += 1) {
      this.addRouter();
    }
    this.replaceHome();
  }

  addRouter(): void {
    const limiter = createQuotaLimiter({
      contractOf: () => this.contract,
      liveRouters: () => Math.max(1, this.routers.length),
    });
    this.routers.push({
      id: `router-${this.nextRouter}`,
      isDisconnected: false,
      isPaused: false,
      limiter,
      nextDemandAtMs: this.nowMs + Math.floor(this.options.random() * SHARE_INTERVAL_MS),
      runningUntilMs: [],
      shareExpiresAtMs: -1,
    });
    this.nextRouter += 1;
  }

  /** Removes a router with its running requests. */
  removeRouter(): void {
    if (this.routers.length > 1) {
      this.routers.shift();
    }
  }

  /** Replaces the home by one that knows of no shares. */
  replaceHome(): void {
    this.homes = [this.createHome()];
  }

  /** Adds a second home, as if two schedulers both considered themselves the home. */
  splitHome(): void {
    this.homes = [...this.homes.slice(0, 1), this.createHome()];
  }

  /** Number of homes that have handed out shares that may still be valid. */
  activeHomes(): number {
    return [...this.grantedAtMs.values()].filter((atMs) => atMs + SHARE_TTL_MS > this.nowMs).length;
  }

  /** Fraction of the routers that hold no share and use an equal part of the limit instead. */
  fractionWithoutShare(): number {
    const without = this.routers.filter(({ limiter, shareExpiresAtMs }) => {
      const holds = limiter.holdsShare(TEAM, this.nowMs);
      if (holds && shareExpiresAtMs <= this.nowMs) {
        throw new Error('a share is used for longer than it is valid');
      }
      return !holds;
    });
    return without.length / this.routers.length;
  }

  /** Sum of the request rates that apply at the routers. */
  totalRequestRate(): number {
    const rates = this.routers.map(
      ({ limiter }) => limiter.currentAmounts(TEAM, this.nowMs)?.requestsPerSecond ?? 0,
    );
    return rates.reduce((total, rate) => total + rate, 0);
  }

  running(): number {
    return this.routers.reduce((total, { runningUntilMs }) => total + runningUntilMs.length, 0);
  }

  /** Advances the clock by one step and attempts a number of requests at each router. */
  step(attemptsOf: (index: number) => number, durationMs = 500): void {
    this.nowMs += STEP_MS;
    for (const [index, router] of this.routers.entries()) {
      if (!router.isPaused) {
        this.releaseFinished(router);
        this.attemptRequests(router, attemptsOf(index), durationMs);
        this.requestShare(router);
      }
    }
  }

  private requestShare(router: SimulatedRouter): void {
    if (this.nowMs < router.nextDemandAtMs) {
      return;
    }
    router.nextDemandAtMs = this.nowMs + SHARE_INTERVAL_MS;
    const demands = router.limiter.demands(this.nowMs);
    const home = this.homes[this.routers.indexOf(router) % this.homes.length];
    if (demands.length === 0 || router.isDisconnected || !home) {
      return;
    }
    const shares = home.acquire(router.id, demands, this.nowMs);
    this.grantedAtMs.set(home, this.nowMs);
    if (!this.dropsReplies) {
      router.limiter.applyShares(shares, this.nowMs);
      router.shareExpiresAtMs = this.nowMs + SHARE_TTL_MS;
    }
  }

  private attemptRequests(router: SimulatedRouter, attempts: number, durationMs: number): void {
    for (let number = 0; number < attempts; number += 1) {
      const outcome = router.limiter.tryAdmit(TEAM, this.nowMs);
      if (outcome.kind === 'admitted') {
        this.admitted += 1;
        router.runningUntilMs.push(this.nowMs + durationMs);
      } else {
        this.refusals[outcome.code] = (this.refusals[outcome.code] ?? 0) + 1;
      }
    }
  }

  private createHome(): QuotaHome {
    return createQuotaHome({
      contractOf: () => this.contract,
      liveRouters: () => this.routers.length,
      startedAtMs: this.nowMs,
    });
  }

  private releaseFinished(router: SimulatedRouter): void {
    while ((router.runningUntilMs[0] ?? Infinity) <= this.nowMs) {
      router.runningUntilMs.shift();
      router.limiter.release(TEAM);
    }
  }
}

/** Creates a seeded generator of numbers that are uniform in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}
