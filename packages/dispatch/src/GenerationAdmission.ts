import type { Placement } from './GenerationPlacement.js';

/** Input of {@link admitGeneration}. */
export interface AdmissionInput {
  /** The best-ranked engine, if there is any. */
  readonly best: Placement | undefined;
  /** Time after which a caller that received nothing gives up. */
  readonly callerTimeoutMs: number;
  readonly targetLatencyMs: number;
  /** Priority rank of the team or route; 0 is the most urgent. */
  readonly urgency: number;
  readonly waitedMs: number;
}

/** Decision on a generation. */
export type Admission =
  | { readonly kind: 'refuse'; readonly reason: 'noEngine' | 'noRoom' }
  | { readonly kind: 'send'; readonly placement: Placement }
  | { readonly kind: 'wait'; readonly recheckAfterMs: number };

/** Fraction of the caller's timeout that may pass before sending; the rest is for the engine. */
const MAX_WAIT_FRACTION = 0.6;
/** Shortest time to the first token; with less left until its target a request is late anyway. */
const MIN_FIRST_TOKEN_MS = 500;
/** Recheck interval of the most urgent requests that can still be on time. */
const ON_TIME_RECHECK_MS = 10;
/** Added to that interval for each priority rank. */
const RECHECK_MS_PER_RANK = 10;
/** Late requests recheck rarely, so they get only the capacity that others leave. */
const LATE_RECHECK_MS = 300;

/**
 * Decides whether a generation is sent to an engine now. When there are more generations than fit
 * into the KV caches, sending all of them would cause preemptions and repeated prefill. The excess
 * waits at the daemon where it arrived and rechecks for capacity: the more urgent the more often,
 * and late requests rarely, since in a first-in, first-out queue every request would be late from
 * an overload until long after it. A generation that found no capacity for most of its caller's
 * timeout is refused, since it would take the capacity of one that can be on time.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent, waits or is refused
 */
export function admitGeneration(input: AdmissionInput): Admission {
  const { best, callerTimeoutMs, targetLatencyMs, urgency, waitedMs } = input;
  if (!best) {
    return { kind: 'refuse', reason: 'noEngine' };
  }
  if (waitedMs >= callerTimeoutMs) {
    // After a freeze of the process its timers fire before it sees that the caller disconnected.
    return { kind: 'refuse', reason: 'noRoom' };
  }
  if (best.fits) {
    return { kind: 'send', placement: best };
  }
  if (waitedMs >= MAX_WAIT_FRACTION * callerTimeoutMs) {
    return { kind: 'refuse', reason: 'noRoom' };
  }
  const canBeOnTime = waitedMs + MIN_FIRST_TOKEN_MS < targetLatencyMs;
  const onTimeRecheckMs = ON_TIME_RECHECK_MS + urgency * RECHECK_MS_PER_RANK;
  return { kind: 'wait', recheckAfterMs: canBeOnTime ? onTimeRecheckMs : LATE_RECHECK_MS };
}

/**
 * Admission without waiting, the baseline that tests compare {@link admitGeneration} with.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent or refused
 */
export function admitImmediately({ best }: AdmissionInput): Admission {
  return best ? { kind: 'send', placement: best } : { kind: 'refuse', reason: 'noEngine' };
}
