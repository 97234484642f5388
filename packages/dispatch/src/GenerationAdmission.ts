import type { Placement } from './GenerationPlacement.js';

/** What decides whether a generation begins now. */
export interface AdmissionInput {
  /** The best engine, if there is any. */
  readonly best: Placement | undefined;
  /** Time for which the caller may see nothing before it gives up. */
  readonly callerTimeoutMs: number;
  readonly targetLatencyMs: number;
  /** Rank of the team or route, 0 first. */
  readonly urgency: number;
  readonly waitedMs: number;
}

/** What happens to a generation. */
export type Admission =
  | { readonly kind: 'refuse'; readonly reason: 'noEngine' | 'noRoom' }
  | { readonly kind: 'send'; readonly placement: Placement }
  | { readonly kind: 'wait'; readonly recheckAfterMs: number };

/** Part of the caller's patience that is spent here; the rest is for the engine. */
const PATIENCE_SHARE = 0.6;
/** Time that an engine needs to the first token; with less left a request is late anyway. */
const FIRST_TOKEN_MS = 500;
/** Requests that can still be on time look for room this often, the most urgent ones most. */
const ON_TIME_RECHECK_MS = 10;
const RECHECK_MS_PER_RANK = 10;
/** Late ones look so rarely that they take what those that can be on time leave. */
const LATE_RECHECK_MS = 300;

/**
 * Decides whether a generation begins now. Answers more generations than memory has room for: sent
 * on, they would be preempted and make others read again. They wait where they arrived, and look for
 * room the more often the more urgent they are, late ones rarely: in a queue in order of arrival
 * everybody would be late from one overload on until long after it. One that finds no room for
 * most of its caller's patience is refused; a place would be taken from one that can be on time.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent, waits or is refused
 */
export function admitGeneration(input: AdmissionInput): Admission {
  const { best, callerTimeoutMs: patienceMs, targetLatencyMs, urgency, waitedMs } = input;
  if (!best) {
    return { kind: 'refuse', reason: 'noEngine' };
  }
  if (waitedMs >= patienceMs) {
    // Timers of a process that was frozen fire before it sees that the caller left.
    return { kind: 'refuse', reason: 'noRoom' };
  }
  if (best.fits) {
    return { kind: 'send', placement: best };
  }
  if (waitedMs >= PATIENCE_SHARE * patienceMs) {
    return { kind: 'refuse', reason: 'noRoom' };
  }
  const isOnTime = waitedMs + FIRST_TOKEN_MS < targetLatencyMs;
  const onTimeRecheckMs = ON_TIME_RECHECK_MS + urgency * RECHECK_MS_PER_RANK;
  return { kind: 'wait', recheckAfterMs: isOnTime ? onTimeRecheckMs : LATE_RECHECK_MS };
}

/**
 * The naive twin of {@link admitGeneration}: everything begins at once.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent or refused
 */
export function admitImmediately({ best }: AdmissionInput): Admission {
  return best ? { kind: 'send', placement: best } : { kind: 'refuse', reason: 'noEngine' };
}
