import type { EngineSpeed } from './EngineSpeeds.js';
import { atRuns } from './EngineSpeeds.js';
import type { SlowPeriodPattern } from './SlowPeriods.js';

/** An engine as far as late events are concerned. */
export interface LateEventInput {
  /** Longest gap between two events that meets the target; 0 for none. */
  readonly maxEventGapMs: number;
  readonly runs: number;
  readonly slowPeriods: SlowPeriodPattern;
  readonly speed: EngineSpeed;
}

/** A prompt that is to be prefilled beside streams. */
export interface PrefillRiskInput extends LateEventInput {
  readonly unreadTokens: number;
}

/** A stream that is to run on an engine. */
export interface StreamRiskInput extends LateEventInput {
  readonly expectedEvents: number;
  /** Share of the time in which the engine is expected to prefill prompts of others. */
  readonly prefillShare: number;
}

/** Usual length of a slow period; a prefill meets those that begin or end beside it too. */
const SLOW_PERIOD_MS = 600;
/** Event times are known only roughly: below this part of the allowed gap no event is late. */
const SAFE_GAP_FRACTION = 0.75;
/** From this part on every event in a slow period is taken to be late. */
const LATE_GAP_FRACTION = 1.05;

/**
 * Probability that a prefill makes an event of one stream beside it late. Each event takes longer while
 * the prompt is prefilled; in a slow period of the engine that can exceed the gap which the route
 * allows. Proportional to the time of the prefill and the share of slow periods.
 *
 * @param input - the engine and the prompt
 * @returns a probability
 */
export function prefillRisk(input: PrefillRiskInput): number {
  const { maxEventGapMs, runs, slowPeriods, speed, unreadTokens } = input;
  const prefillMs = unreadTokens / speed.prefillTokensPerMs;
  const prefillingEventMs = atRuns(speed.prefillingEventMs, runs);
  const coveredEvent = Math.min(1, prefillMs / prefillingEventMs);
  const slowPeriodsMet = slowPeriods.share * (1 + prefillMs / SLOW_PERIOD_MS);
  return Math.min(
    1,
    lateEventProbability(prefillingEventMs, maxEventGapMs, slowPeriods) *
      coveredEvent *
      slowPeriodsMet,
  );
}

/**
 * Probability that a stream gets a late event at an engine: by the prefills of others that are expected
 * there, or by slow periods alone where the engine is so slow.
 *
 * @param input - the engine and the stream
 * @returns a probability
 */
export function streamRisk(input: StreamRiskInput): number {
  const { expectedEvents, maxEventGapMs, prefillShare, runs, slowPeriods, speed } = input;
  const eventMs = atRuns(speed.eventMs, runs);
  const prefillingEventMs = atRuns(speed.prefillingEventMs, runs);
  const meanEventMs = eventMs + prefillShare * (prefillingEventMs - eventMs);
  const slowPeriodCount = (slowPeriods.share * expectedEvents * meanEventMs) / SLOW_PERIOD_MS;
  const lateShare =
    prefillShare * lateEventProbability(prefillingEventMs, maxEventGapMs, slowPeriods) +
    (1 - prefillShare) * lateEventProbability(eventMs, maxEventGapMs, slowPeriods);
  return 1 - Math.exp(-slowPeriodCount * lateShare);
}

/**
 * Probability that an event of some usual length is late when the engine is in a slow period.
 *
 * @param usualMs - time of the event outside slow periods
 * @param maxEventGapMs - longest gap that is not late; 0 for none
 * @param slowPeriods - the pattern of slow periods
 * @returns a probability
 */
export function lateEventProbability(
  usualMs: number,
  maxEventGapMs: number,
  slowPeriods: SlowPeriodPattern,
): number {
  if (maxEventGapMs === 0) {
    return 0;
  }
  const fraction = (usualMs * slowPeriods.factor) / maxEventGapMs;
  const certainty = (fraction - SAFE_GAP_FRACTION) / (LATE_GAP_FRACTION - SAFE_GAP_FRACTION);
  return Math.min(1, Math.max(0, certainty));
}
