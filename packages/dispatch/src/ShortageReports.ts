import type { MemberId } from '@laburnumgap/kernel';

/** What one daemon, or one failure domain, knows of its generations of one rank. */
export interface RankReport {
  /** Planned tokens of the waiting generations that cannot be on time. */
  readonly lateTokens: number;
  /** Recent generations that were served or refused; older ones count less. */
  readonly offered: number;
  /** Waiting generations that can still be on time. */
  readonly onTimeCount: number;
  /** Their planned tokens. */
  readonly onTimeTokens: number;
  /** Planned tokens of the generations placed in the last seconds, per second. */
  readonly placedTokensPerS: number;
  readonly rank: number;
  readonly served: number;
  /** Time until the first of the waiting generations can no longer be on time; 0 without any. */
  readonly slackMs: number;
  /** Planned tokens of the generations at the engines. */
  readonly usedTokens: number;
}

interface MemberReport {
  readonly atMs: number;
  readonly ranks: readonly RankReport[];
}

/**
 * Ranks in one report; the least urgent ones are added up. A rank takes about 50 bytes in a heartbeat.
 */
export const MAX_REPORTED_RANKS = 4;
/** Without a report for this long a daemon counts as dead, as in the table of the daemons. */
const REPORT_VALID_MS = 1_200;
/** A source that was silent for longer has left for good. */
const SOURCE_RETENTION_MS = 10_000;

/** What the other daemons report about their waiting generations. */
export class ShortageReports {
  private readonly reports = new Map<MemberId, MemberReport>();

  /** Replaces the report of another daemon, or of another failure domain; one row for each rank. */
  record(sourceId: MemberId, ranks: readonly RankReport[], nowMs: number): void {
    this.reports.set(sourceId, { atMs: nowMs, ranks });
  }

  /** Recent rows of all sources but one. */
  rows(nowMs: number, excludedId?: MemberId): readonly RankReport[] {
    const rows: RankReport[] = [];
    for (const [sourceId, { atMs, ranks }] of this.reports) {
      if (nowMs - atMs > SOURCE_RETENTION_MS) {
        this.reports.delete(sourceId);
      } else if (nowMs - atMs <= REPORT_VALID_MS && sourceId !== excludedId) {
        rows.push(...ranks);
      }
    }
    return rows;
  }

  /** Recent rows of some sources. */
  rowsOf(sourceIds: ReadonlySet<MemberId>, nowMs: number): readonly RankReport[] {
    return [...this.reports].flatMap(([sourceId, { atMs, ranks }]) =>
      sourceIds.has(sourceId) && nowMs - atMs <= REPORT_VALID_MS ? ranks : [],
    );
  }

  /** Whether a source that reported a while ago reports no more. */
  isIncomplete(nowMs: number): boolean {
    return [...this.reports.values()].some(({ atMs }) => nowMs - atMs > REPORT_VALID_MS);
  }
}

/**
 * Adds up the rows of each rank, and those of the least urgent ranks above the limit.
 *
 * @param rows - rows of any number of daemons
 * @returns at most {@link MAX_REPORTED_RANKS} rows, the most urgent first
 */
export function mergeRanks(rows: readonly RankReport[]): readonly RankReport[] {
  const ranks = [...new Set(rows.map(({ rank }) => rank))].sort((a, b) => a - b);
  const lastRank = ranks[MAX_REPORTED_RANKS - 1] ?? Infinity;
  const sums = new Map<number, RankReport>();
  for (const row of rows) {
    const rank = Math.min(row.rank, lastRank);
    const sum = sums.get(rank);
    sums.set(rank, sum ? addRows(sum, row) : { ...row, rank });
  }
  return [...sums.values()].sort((a, b) => a.rank - b.rank);
}

function addRows(sum: RankReport, row: RankReport): RankReport {
  return {
    lateTokens: sum.lateTokens + row.lateTokens,
    offered: sum.offered + row.offered,
    onTimeCount: sum.onTimeCount + row.onTimeCount,
    onTimeTokens: sum.onTimeTokens + row.onTimeTokens,
    placedTokensPerS: sum.placedTokensPerS + row.placedTokensPerS,
    rank: sum.rank,
    served: sum.served + row.served,
    slackMs: earlierSlackMs(sum, row),
    usedTokens: sum.usedTokens + row.usedTokens,
  };
}

function earlierSlackMs(a: RankReport, b: RankReport): number {
  if (a.onTimeCount === 0 || b.onTimeCount === 0) {
    return a.onTimeCount === 0 ? b.slackMs : a.slackMs;
  }
  return Math.min(a.slackMs, b.slackMs);
}
