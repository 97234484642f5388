/** The first event of a run, and the time since the run was sent. */
export interface FirstEventWait {
  readonly hasEvent: boolean;
  readonly sinceSentMs: number;
}

/** Shortest time after which callers give up a stream that delivers nothing. */
const OVERDUE_FROM_MS = 2_000;
/** Older waits say nothing of the engine now: it may have recovered without its earlier runs. */
const OVERDUE_UNTIL_MS = 6_000;
/** One run without an event makes an engine worse than a busy one, though not than a full one. */
const OVERDUE_RUN_COST_MS = 3_000;
/** An engine that starts no run costs as much as one where every call fails. */
const MAX_OVERDUE_COST_MS = 6_000;

/**
 * Whether a run shows that its engine starts no runs. Handles engines that accept connections and
 * requests and then produce nothing, which look idle to every daemon until the first callers leave.
 *
 * @param wait - the run
 * @returns whether its first event is overdue now
 */
export function isFirstEventOverdue({ hasEvent, sinceSentMs }: FirstEventWait): boolean {
  return !hasEvent && sinceSentMs >= OVERDUE_FROM_MS && sinceSentMs < OVERDUE_UNTIL_MS;
}

/**
 * Cost of an engine with overdue runs, in the unit of the placement cost.
 *
 * @param overdueRuns - overdue runs of all daemons
 * @returns milliseconds
 */
export function overdueCostMs(overdueRuns: number): number {
  return Math.min(MAX_OVERDUE_COST_MS, overdueRuns * OVERDUE_RUN_COST_MS);
}
