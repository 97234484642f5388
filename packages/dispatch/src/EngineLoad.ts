import type { MemberId, ServerId } from '@laburnumgap/kernel';

/** Load that one or more daemons have placed on one engine. */
export interface EngineTotals {
  /** Generations with much output still to come, see `isLongStream`; absent when there is none. */
  readonly longRuns?: number;
  /** Generations whose first event is overdue, see `isFirstEventOverdue`; absent without any. */
  readonly overdueRuns?: number;
  /** Prompt and output tokens in the KV cache, including the planned growth of the outputs. */
  readonly plannedTokens: number;
  /** Prompt tokens that the engine has not prefilled yet. */
  readonly readingTokens: number;
  /** Generations on the engine, including those that still wait for prefill. */
  readonly runs: number;
  /** Prompt and output tokens in the KV cache now. */
  readonly usedTokens: number;
}

type OptionalCounts = Pick<EngineTotals, 'longRuns' | 'overdueRuns'>;

/** Load that one daemon, or all daemons of a failure domain, have placed on one engine. */
export interface EngineShare extends EngineTotals {
  readonly serverId: ServerId;
}

/** Capacity that an engine's owner granted to a generation. */
export interface CapacityGrant {
  /** Whether the load of the generation's daemon arrives as part of its domain's aggregate. */
  readonly isAggregated: boolean;
  /** Source whose load report will include the generation: its daemon or that daemon's domain. */
  readonly reporterId: MemberId;
  readonly share: EngineShare;
}

interface PendingGrant extends CapacityGrant {
  readonly atMs: number;
}

interface OwnerReport {
  readonly atMs: number;
  readonly totals: EngineTotals;
}

interface MemberReport {
  readonly atMs: number;
  readonly shares: ReadonlyMap<ServerId, EngineShare>;
}

/** Prompt tokens that an engine prefills per millisecond while other requests decode. */
export const PREFILL_TOKENS_PER_MS = 7;
/** Fraction of a prompt that counts as unread while its first token is overdue. */
const OVERDUE_UNREAD_FRACTION = 0.5;
/** A daemon that reported nothing for this long is dead, and its connections are closed. */
const MEMBER_TIMEOUT_MS = 3_000;
/** A report that arrives this long after a grant includes it: longer than a round trip. */
const GRANT_REPORT_DELAY_MS = 10;
/** The same for a domain's aggregate, which its first daemon builds after it got that report. */
const GRANT_AGGREGATE_DELAY_MS = 40;
/** Without such a report by then, the generation was not sent or its daemon is dead. */
const GRANT_TIMEOUT_MS = 1_000;
/** After this time the other daemons' reports are as recent as what the engine's owner sent. */
const OWNER_REPORT_VALID_MS = 250;

const ZERO_TOTALS: EngineTotals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };

/**
 * Load of all engines: this daemon's own load plus the last report of each other daemon, less the
 * prompt tokens that were prefilled since. Grants that no report includes yet are counted too, so
 * that many daemons don't overload an engine by placing work from the same stale reports.
 */
export class EngineLoad {
  private grants: PendingGrant[] = [];
  private readonly memberReports = new Map<MemberId, MemberReport>();
  private readonly ownerReports = new Map<ServerId, OwnerReport>();
  private ownShares: ReadonlyMap<ServerId, EngineShare> = new Map();

  /** Replaces the load report of another daemon, or of another failure domain. */
  recordMemberReport(memberId: MemberId, shares: readonly EngineShare[], nowMs: number): void {
    const byServer = new Map(shares.map((share) => [share.serverId, share]));
    this.memberReports.set(memberId, { atMs: nowMs, shares: byServer });
  }

  /** Counts a granted generation until a report of its daemon includes it. */
  recordGrant(grant: CapacityGrant, nowMs: number): void {
    this.grants = this.grants.filter((pending) => this.isPending(pending, nowMs));
    this.grants.push({ ...grant, atMs: nowMs });
  }

  /** Records the load that the owner of an engine returned with its decision. */
  recordOwnerReport(serverId: ServerId, totals: EngineTotals, nowMs: number): void {
    for (const [otherId, { atMs }] of this.ownerReports) {
      if (nowMs - atMs > OWNER_REPORT_VALID_MS) {
        this.ownerReports.delete(otherId);
      }
    }
    this.ownerReports.set(serverId, { atMs: nowMs, totals });
  }

  /** Drops the report of a daemon that has stopped. */
  removeMember(memberId: MemberId): void {
    this.memberReports.delete(memberId);
  }

  /** Replaces this daemon's own load. */
  setOwnShares(shares: readonly EngineShare[]): void {
    this.ownShares = new Map(shares.map((share) => [share.serverId, share]));
  }

  /**
   * Sums the load of this daemon and some others, one share for each engine.
   *
   * @param memberIds - the other daemons
   * @param nowMs - monotonic time
   * @returns the shares, sorted by engine
   */
  sumShares(memberIds: ReadonlySet<MemberId>, nowMs: number): readonly EngineShare[] {
    const sums = new Map(this.ownShares);
    for (const [memberId, { atMs, shares }] of this.memberReports) {
      if (memberIds.has(memberId) && nowMs - atMs <= MEMBER_TIMEOUT_MS) {
        for (const share of shares.values()) {
          sums.set(share.serverId, addShares(sums.get(share.serverId), share));
        }
      }
    }
    return [...sums.values()].sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
  }

  /** Estimated load of one engine now. */
  totals(serverId: ServerId, nowMs: number): EngineTotals {
    const sum = new LoadSum(this.ownShares.get(serverId));
    for (const [memberId, { atMs, shares }] of this.memberReports) {
      if (nowMs - atMs > MEMBER_TIMEOUT_MS) {
        this.memberReports.delete(memberId);
        continue;
      }
      const share = shares.get(serverId);
      if (share) {
        sum.addAged(share, nowMs - atMs);
      }
    }
    for (const grant of this.grants) {
      if (grant.share.serverId === serverId && this.isPending(grant, nowMs)) {
        sum.addAged(grant.share, nowMs - grant.atMs);
      }
    }
    return this.applyOwnerReport(serverId, nowMs, sum.totals());
  }

  /** Whether no report can include the grant yet. */
  private isPending({ atMs, isAggregated, reporterId }: PendingGrant, nowMs: number): boolean {
    const reportedAtMs = this.memberReports.get(reporterId)?.atMs ?? -Infinity;
    const includedFromMs = atMs + (isAggregated ? GRANT_AGGREGATE_DELAY_MS : GRANT_REPORT_DELAY_MS);
    return nowMs - atMs <= GRANT_TIMEOUT_MS && reportedAtMs < includedFromMs;
  }

  /** Raises a sum to what the engine's owner reported, while that report is recent. */
  private applyOwnerReport(serverId: ServerId, nowMs: number, sum: EngineTotals): EngineTotals {
    const report = this.ownerReports.get(serverId);
    if (!report || nowMs - report.atMs > OWNER_REPORT_VALID_MS) {
      return sum;
    }
    const { totals } = report;
    return {
      ...optionalCounts({
        longRuns: Math.max(sum.longRuns ?? 0, totals.longRuns ?? 0),
        overdueRuns: Math.max(sum.overdueRuns ?? 0, totals.overdueRuns ?? 0),
      }),
      plannedTokens: Math.max(sum.plannedTokens, totals.plannedTokens),
      readingTokens: Math.max(sum.readingTokens, totals.readingTokens),
      runs: Math.max(sum.runs, totals.runs),
      usedTokens: Math.max(sum.usedTokens, totals.usedTokens),
    };
  }
}

/**
 * Estimates how many prompt tokens of a run without a first token are not prefilled yet. Engines
 * prefill prompts one after the other, so an overdue prompt is queued behind others or its engine
 * is slow; it still counts in part.
 *
 * @param promptTokens - length of the prompt in tokens
 * @param sinceSentMs - time since the run was sent
 * @returns estimated unread tokens
 */
export function unreadPromptTokens(promptTokens: number, sinceSentMs: number): number {
  const expectedTokens = promptTokens - sinceSentMs * PREFILL_TOKENS_PER_MS;
  return Math.max(promptTokens * OVERDUE_UNREAD_FRACTION, expectedTokens);
}

/** Adds up shares of one engine. */
class LoadSum {
  private longRuns: number;
  private overdueRuns: number;
  private plannedTokens: number;
  private readingTokens: number;
  private runs: number;
  private usedTokens: number;

  constructor(own: EngineTotals = ZERO_TOTALS) {
    this.longRuns = own.longRuns ?? 0;
    this.overdueRuns = own.overdueRuns ?? 0;
    this.plannedTokens = own.plannedTokens;
    this.readingTokens = own.readingTokens;
    this.runs = own.runs;
    this.usedTokens = own.usedTokens;
  }

  /** Adds a share that was reported some time ago, less the prompt tokens prefilled since. */
  addAged(share: EngineShare, ageMs: number): void {
    this.longRuns += share.longRuns ?? 0;
    this.overdueRuns += share.overdueRuns ?? 0;
    this.plannedTokens += share.plannedTokens;
    this.readingTokens += unreadPromptTokens(share.readingTokens, ageMs);
    this.runs += share.runs;
    this.usedTokens += share.usedTokens;
  }

  totals(): EngineTotals {
    const { longRuns, overdueRuns, plannedTokens, readingTokens, runs, usedTokens } = this;
    const counts = optionalCounts({ longRuns, overdueRuns });
    return { ...counts, plannedTokens, readingTokens, runs, usedTokens };
  }
}

/**
 * Adds up two shares of one engine.
 *
 * @param sum - the sum so far, if any
 * @param share - the share to add
 * @returns the new sum
 */
export function addShares(sum: EngineShare | undefined, share: EngineShare): EngineShare {
  return {
    ...optionalCounts({
      longRuns: (sum?.longRuns ?? 0) + (share.longRuns ?? 0),
      overdueRuns: (sum?.overdueRuns ?? 0) + (share.overdueRuns ?? 0),
    }),
    plannedTokens: Math.round((sum?.plannedTokens ?? 0) + share.plannedTokens),
    readingTokens: Math.round((sum?.readingTokens ?? 0) + share.readingTokens),
    runs: (sum?.runs ?? 0) + share.runs,
    serverId: share.serverId,
    usedTokens: (sum?.usedTokens ?? 0) + share.usedTokens,
  };
}

function optionalCounts({ longRuns, overdueRuns }: Required<OptionalCounts>): OptionalCounts {
  return { ...(longRuns > 0 && { longRuns }), ...(overdueRuns > 0 && { overdueRuns }) };
}
