import type { RequestId, ServerId } from '@laburnumgap/kernel';
import type { CapacityPriority, CapacityRequest, CapacityReserve } from './EngineCapacity.js';
import type { RankReport } from './ShortageReports.js';

interface Declined {
  readonly atMs: number;
  readonly plannedTokens: number;
  readonly priority: CapacityPriority;
  readonly requestId: RequestId;
  readonly serverId: ServerId;
}

/** A generation that was declined asks elsewhere within this, or is reported as waiting. */
const DECLINED_VALID_MS = 100;
/** A large generation that holds its place asks again within this. */
const HOLD_VALID_MS = 150;
/** Bounds the memory of an owner in a burst. */
const MAX_DECLINED = 256;

/**
 * Capacity that the owner of an engine keeps for the more urgent generations: those that it declined a
 * moment ago and those that daemons report as waiting. Handles requests of several daemons that arrive
 * within a short time, of which the first would otherwise be granted.
 */
export class CapacityReservations {
  private declined: Declined[] = [];

  /**
   * Records a decision on a request at one of the own engines.
   *
   * @param request - the request
   * @param isLacking - whether it was declined since the engine lacks capacity
   * @param nowMs - monotonic time
   */
  recordDecision(request: CapacityRequest, isLacking: boolean, nowMs: number): void {
    const { plannedTokens, priority, requestId, serverId } = request;
    this.declined = this.declined.filter(
      (entry) => entry.requestId !== requestId && isValid(entry, nowMs),
    );
    if (isLacking && priority && this.declined.length < MAX_DECLINED) {
      this.declined.push({ atMs: nowMs, plannedTokens, priority, requestId, serverId });
    }
  }

  /**
   * Capacity that is kept from a request.
   *
   * @param request - the request; all capacity is open to one without a priority
   * @param waiting - waiting generations of the other daemons
   * @param engineCount - engines that can run them
   * @param nowMs - monotonic time
   * @returns the capacity to keep
   */
  reserveFor(
    request: CapacityRequest,
    waiting: readonly RankReport[],
    engineCount: number,
    nowMs: number,
  ): CapacityReserve {
    const { priority, requestId, serverId } = request;
    if (!priority) {
      return { runs: 0, tokens: 0 };
    }
    const kept = this.declined.filter(
      (entry) =>
        entry.serverId === serverId &&
        entry.requestId !== requestId &&
        isValid(entry, nowMs) &&
        isKeptFrom(entry, priority, nowMs),
    );
    const keptTokens = kept.reduce((sum, { plannedTokens }) => sum + plannedTokens, 0);
    const reported = waiting.filter((row) => isReportedBefore(row, priority));
    const count = reported.reduce((sum, { onTimeCount }) => sum + onTimeCount, 0);
    const tokens = reported.reduce((sum, { onTimeTokens }) => sum + onTimeTokens, 0);
    // A place for each at every engine would leave a tenth of the fleet idle for a single one.
    const reportedRuns = Math.floor(count / Math.max(1, engineCount));
    const reportedTokens = tokens / Math.max(1, engineCount);
    // Those that were declined here are usually reported too.
    return {
      runs: Math.max(kept.length, reportedRuns),
      tokens: Math.max(keptTokens, reportedTokens),
    };
  }
}

/**
 * Whether one generation goes before another: one that can be on time before one that cannot, then by
 * the guaranteed share of its rank, then by rank.
 *
 * @param a - priority of one generation
 * @param b - priority of the other
 */
export function precedes(a: CapacityPriority, b: CapacityPriority): boolean {
  return (
    priorityClass(a) < priorityClass(b) ||
    (priorityClass(a) === priorityClass(b) && a.rank < b.rank)
  );
}

function priorityClass({ isGuaranteed, slackMs }: CapacityPriority): number {
  if (slackMs <= 0) {
    return 2;
  }
  return isGuaranteed === true ? 0 : 1;
}

/** Of two that hold the engine, the one with less time goes first; otherwise both would wait. */
function isKeptFrom(entry: Declined, asking: CapacityPriority, nowMs: number): boolean {
  const kept = entry.priority;
  if (kept.isHeld !== true || precedes(asking, kept) || precedes(kept, asking)) {
    return precedes(kept, asking);
  }
  return asking.isHeld !== true || kept.slackMs - (nowMs - entry.atMs) < asking.slackMs;
}

/** Reports do not say which ranks are guaranteed, so a guaranteed request yields to none of them. */
function isReportedBefore({ onTimeCount, rank }: RankReport, priority: CapacityPriority): boolean {
  const isMoreUrgent = priority.slackMs <= 0 || rank < priority.rank;
  return onTimeCount > 0 && isMoreUrgent && priority.isGuaranteed !== true;
}

function isValid({ atMs, priority }: Declined, nowMs: number): boolean {
  const validMs = priority.isHeld === true ? HOLD_VALID_MS : DECLINED_VALID_MS;
  return nowMs - atMs <= validMs && (priority.slackMs <= 0 || nowMs - atMs < priority.slackMs);
}
