import { SILENT_ROUTER_RETENTION_MS } from './QuotaConstants.js';
import { QuotaDeadlines } from './QuotaDeadlines.js';
import type { QuotaAmounts } from './QuotaTypes.js';

/** Name of a limit. */
export type QuotaLimit = keyof QuotaAmounts;

/** A share with the time after which it is not in use any more. */
export interface QuotaGrant {
  readonly amounts: QuotaAmounts;
  readonly expiresAtMs: number;
}

/** What is remembered of one call of a router. */
export interface QuotaRecord {
  readonly demand: QuotaAmounts;
  readonly grant: QuotaGrant;
  /** Requests that the router said were running. */
  readonly inFlight: number;
  readonly nowMs: number;
}

/** Sums over the routers of a team. */
export interface QuotaTotals {
  /** Routers that hold a share. */
  readonly asking: number;
  /** What the routers that hold a share want. */
  readonly demand: QuotaAmounts;
  /** The most that may be in use. */
  readonly held: QuotaAmounts;
  readonly inFlight: number;
}

type MutableAmounts = Record<QuotaLimit, number>;

interface MutableTotals {
  asking: number;
  readonly demand: MutableAmounts;
  readonly held: MutableAmounts;
  inFlight: number;
}

interface Account {
  demand: QuotaAmounts;
  /** Shares that may still be in use: the answer to a call may have been lost. */
  grants: readonly QuotaGrant[];
  inFlight: number;
  lastAskedAtMs: number;
  /** What the account adds to the totals now. */
  part: QuotaTotals;
}

const NO_AMOUNTS: QuotaAmounts = { requestsPerSecond: 0, runningRequests: 0, tokensPerSecond: 0 };
const NO_TOTALS: QuotaTotals = { asking: 0, demand: NO_AMOUNTS, held: NO_AMOUNTS, inFlight: 0 };
/** After so many changes the totals are summed up anew, against rounding errors. */
const CHANGES_BETWEEN_SUMS = 1_000;

/** The routers of one team, with sums that are kept up to date with each change. */
export class QuotaAccounts {
  private readonly accounts = new Map<string, Account>();
  private changes = 0;
  private readonly lapses = new QuotaDeadlines();
  private readonly silences = new QuotaDeadlines();
  private sums = emptySums();

  /** Number of routers remembered. */
  get size(): number {
    return this.accounts.size;
  }

  /** Sums over all routers that were not withdrawn. */
  get totals(): QuotaTotals {
    return this.sums;
  }

  /** Demands of the routers that hold a share and were not withdrawn. */
  demands(limit: QuotaLimit): number[] {
    const demands: number[] = [];
    for (const { part } of this.accounts.values()) {
      if (part.asking > 0) {
        demands.push(part.demand[limit]);
      }
    }
    return demands;
  }

  /** Forgets shares that have lapsed, and routers that have been silent for long. */
  forgetLapsed(nowMs: number): void {
    for (let due = this.lapses.takeDue(nowMs); due; due = this.lapses.takeDue(nowMs)) {
      const account = this.accounts.get(due.routerId);
      if (account) {
        account.grants = account.grants.filter((grant) => grant.expiresAtMs > nowMs);
        this.count(account, partOf(account));
      }
    }
    for (let due = this.silences.takeDue(nowMs); due; due = this.silences.takeDue(nowMs)) {
      this.forgetSilent(due.routerId, nowMs);
    }
  }

  /** The most that may be in use of a limit, summed up from the shares themselves. */
  outstanding(limit: QuotaLimit, nowMs: number): number {
    let total = 0;
    for (const { grants, inFlight } of this.accounts.values()) {
      const valid = grants.filter((grant) => grant.expiresAtMs > nowMs);
      total += heldOf(valid, inFlight)[limit];
    }
    return total;
  }

  /** Remembers a call of a router and the share that answered it. */
  record(routerId: string, { demand, grant, inFlight, nowMs }: QuotaRecord): void {
    const known = this.accounts.get(routerId);
    const account: Account = known ?? {
      demand,
      grants: [],
      inFlight,
      lastAskedAtMs: nowMs,
      part: NO_TOTALS,
    };
    account.demand = demand;
    account.grants = [...account.grants, grant];
    account.inFlight = inFlight;
    account.lastAskedAtMs = nowMs;
    this.accounts.set(routerId, account);
    this.count(account, partOf(account));
    this.lapses.push({ atMs: grant.expiresAtMs, routerId });
    if (!known) {
      this.silences.push({ atMs: nowMs + SILENT_ROUTER_RETENTION_MS, routerId });
    }
  }

  /** Takes a router out of the totals until its next record. */
  withdraw(routerId: string): void {
    const account = this.accounts.get(routerId);
    if (account) {
      this.count(account, NO_TOTALS);
    }
  }

  /** Each router has one deadline of silence, which moves on when it is found to have asked. */
  private forgetSilent(routerId: string, nowMs: number): void {
    const account = this.accounts.get(routerId);
    if (!account) {
      return;
    }
    const atMs = account.lastAskedAtMs + SILENT_ROUTER_RETENTION_MS;
    if (atMs > nowMs) {
      this.silences.push({ atMs, routerId });
      return;
    }
    this.count(account, NO_TOTALS);
    this.accounts.delete(routerId);
  }

  private count(account: Account, part: QuotaTotals): void {
    accumulate(this.sums, account.part, -1);
    accumulate(this.sums, part, 1);
    account.part = part;
    this.changes += 1;
    if (this.changes >= CHANGES_BETWEEN_SUMS) {
      this.changes = 0;
      this.sums = emptySums();
      for (const each of this.accounts.values()) {
        accumulate(this.sums, each.part, 1);
      }
    }
  }
}

function partOf({ demand, grants, inFlight }: Account): QuotaTotals {
  const isAsking = grants.length > 0;
  return {
    asking: isAsking ? 1 : 0,
    demand: isAsking ? demand : NO_AMOUNTS,
    held: heldOf(grants, inFlight),
    inFlight,
  };
}

/** The most that a router may be using: any valid share, and what it said is still running. */
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

function emptySums(): MutableTotals {
  return { asking: 0, demand: { ...NO_AMOUNTS }, held: { ...NO_AMOUNTS }, inFlight: 0 };
}

function accumulate(sums: MutableTotals, part: QuotaTotals, sign: -1 | 1): void {
  sums.asking += sign * part.asking;
  sums.inFlight += sign * part.inFlight;
  accumulateAmounts(sums.demand, part.demand, sign);
  accumulateAmounts(sums.held, part.held, sign);
}

function accumulateAmounts(sums: MutableAmounts, part: QuotaAmounts, sign: -1 | 1): void {
  sums.requestsPerSecond += sign * part.requestsPerSecond;
  sums.runningRequests += sign * part.runningRequests;
  sums.tokensPerSecond += sign * part.tokensPerSecond;
}
