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

interface Router {
  readonly id: string;
  isCutOff: boolean;
  isPaused: boolean;
  nextAskAtMs: number;
  readonly running: number[];
  shareUntilMs: number;
  readonly share: QuotaLimiter;
}

/** Options of {@link QuotaFleet}. */
export interface QuotaFleetOptions {
  readonly limits: QuotaContract['limits'];
  readonly random: () => number;
  readonly routers: number;
}

/** Routers and homes of one team on a fake clock. */
export class QuotaFleet {
  admitted = 0;
  /** Whether an answer of a home is lost on its way. */
  losesReplies = false;
  nowMs = 0;
  readonly refusals: Record<string, number> = {};
  readonly routers: Router[] = [];
  private readonly contract: QuotaContract;
  private readonly grantedAtMs = new Map<QuotaHome, number>();
  private homes: QuotaHome[] = [];
  private nextRouter = 0;

  constructor(private readonly options: QuotaFleetOptions) {
    this.contract = { limits: options.limits, revision: toNumberId<Revision>(1) };
    for (let place = 0; place < options.routers; place += 1) {
      this.addRouter();
    }
    this.replaceHome();
  }

  addRouter(): void {
    const share = createQuotaLimiter({
      contractOf: () => this.contract,
      liveRouters: () => Math.max(1, this.routers.length),
    });
    this.routers.push({
      id: `router-${this.nextRouter}`,
      isCutOff: false,
      isPaused: false,
      nextAskAtMs: this.nowMs + Math.floor(this.options.random() * SHARE_INTERVAL_MS),
      running: [],
      share,
      shareUntilMs: -1,
    });
    this.nextRouter += 1;
  }

  /** A router dies with all that runs there. */
  removeRouter(): void {
    if (this.routers.length > 1) {
      this.routers.shift();
    }
  }

  /** The home dies and another takes over, which knows no shares. */
  replaceHome(): void {
    this.homes = [this.createHome()];
  }

  /** Two daemons take themselves for the home. */
  splitHome(): void {
    this.homes = [...this.homes.slice(0, 1), this.createHome()];
  }

  /** Homes that have handed out a share that may still be valid. */
  actingHomes(): number {
    return [...this.grantedAtMs.values()].filter((atMs) => atMs + SHARE_TTL_MS > this.nowMs).length;
  }

  /** Fraction of the routers that hold no share and use an equal part of the limit. */
  withoutShare(): number {
    const without = this.routers.filter(({ share, shareUntilMs }) => {
      const holds = share.holdsShare(TEAM, this.nowMs);
      if (holds && shareUntilMs <= this.nowMs) {
        throw new Error('a share is in force for longer than it is valid');
      }
      return !holds;
    });
    return without.length / this.routers.length;
  }

  /** Sum of the request rates in force. */
  rateInForce(): number {
    const rates = this.routers.map(
      ({ share }) => share.currentAmounts(TEAM, this.nowMs)?.requestsPerSecond ?? 0,
    );
    return rates.reduce((total, rate) => total + rate, 0);
  }

  running(): number {
    return this.routers.reduce((total, { running }) => total + running.length, 0);
  }

  /** Advances by one step with a number of attempts at each router. */
  step(attemptsOf: (place: number) => number, lengthMs = 500): void {
    this.nowMs += STEP_MS;
    for (const [place, router] of this.routers.entries()) {
      if (!router.isPaused) {
        this.finish(router);
        this.attempt(router, attemptsOf(place), lengthMs);
        this.ask(router);
      }
    }
  }

  private ask(router: Router): void {
    if (this.nowMs < router.nextAskAtMs) {
      return;
    }
    router.nextAskAtMs = this.nowMs + SHARE_INTERVAL_MS;
    const demands = router.share.demands(this.nowMs);
    const home = this.homes[this.routers.indexOf(router) % this.homes.length];
    if (demands.length === 0 || router.isCutOff || !home) {
      return;
    }
    const shares = home.acquire(router.id, demands, this.nowMs);
    this.grantedAtMs.set(home, this.nowMs);
    if (!this.losesReplies) {
      router.share.applyShares(shares, this.nowMs);
      router.shareUntilMs = this.nowMs + SHARE_TTL_MS;
    }
  }

  private attempt(router: Router, attempts: number, lengthMs: number): void {
    for (let number = 0; number < attempts; number += 1) {
      const outcome = router.share.tryAdmit(TEAM, this.nowMs);
      if (outcome.kind === 'admitted') {
        this.admitted += 1;
        router.running.push(this.nowMs + lengthMs);
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

  private finish(router: Router): void {
    while ((router.running[0] ?? Infinity) <= this.nowMs) {
      router.running.shift();
      router.share.release(TEAM);
    }
  }
}

/** Numbers from a seed, uniform in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}
