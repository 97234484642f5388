import type { Placement } from './GenerationPlacement.js';

/** What decides whether a generation begins now. */
export interface AdmissionInput {
  /** The best engine, if there is any. */
  readonly best: Placement | undefined;
  /** Time for which the caller may see nothing before it gives up. */
  readonly patienceMs: number;
  readonly targetLatencyMs: number;
  readonly waitedMs: number;
}

/** What happens to a generation. */
export type Admission =
  | { readonly kind: 'refuse' }
  | { readonly kind: 'send'; readonly placement: Placement }
  | { readonly kind: 'wait'; readonly recheckAfterMs: number };

/** Part of the caller's patience that is spent here; the rest is for the engine. */
const PATIENCE_SHARE = 0.6;
/** Time that an engine needs to the first token; with less left a request is late anyway. */
const FIRST_TOKEN_MS = 500;
/** Requests that can still be on time look for room more often than late ones. */
const ON_TIME_RECHECK_MS = 20;
const LATE_RECHECK_MS = 80;

/**
 * Decides whether a generation begins now. Answers more generations than memory has room for: sent
 * on, they would be preempted and make others read again. They wait where they arrived, those that
 * can still be on time first, and go on before the caller's patience ends.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent, waits or is refused
 */
export function admitGeneration(input: AdmissionInput): Admission {
  const { best, patienceMs, targetLatencyMs, waitedMs } = input;
  if (!best) {
    return { kind: 'refuse' };
  }
  if (best.fits || waitedMs >= PATIENCE_SHARE * patienceMs) {
    return { kind: 'send', placement: best };
  }
  const isOnTime = waitedMs + FIRST_TOKEN_MS < targetLatencyMs;
  return { kind: 'wait', recheckAfterMs: isOnTime ? ON_TIME_RECHECK_MS : LATE_RECHECK_MS };
}

/**
 * The naive twin of {@link admitGeneration}: everything begins at once.
 *
 * @param input - the best engine and the times
 * @returns whether it is sent or refused
 */
export function admitAtOnce({ best }: AdmissionInput): Admission {
  return best ? { kind: 'send', placement: best } : { kind: 'refuse' };
}
