import type { MeasuredTime } from './MeasuredTimes.js';
import { plannedOutputTokens } from './PlannedOutput.js';
import type { PromptShape } from './PromptShape.js';

/** Times of a request that may be begun before the daemon stops. */
export interface TimesBeforeStop {
  /** Time until the request gets a final answer in any case. */
  readonly untilFinalResponseMs: number;
  /** Time until open requests are given up. */
  readonly untilStopMs: number;
}

/** Input of {@link expectedCallMs}. */
export interface CallDuration {
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean;
  /** Duration of such calls; undefined as long as none has ended. */
  readonly measured: MeasuredTime | undefined;
  /** Assumed duration where nothing was measured. */
  readonly targetLatencyMs: number;
}

/**
 * How sure it must be that a stream ends in time: more likely than not, in nine of ten cases, or however
 * long its output becomes.
 */
export type StreamCertainty = 'certain' | 'likely' | 'usual';

/** Input of {@link expectedStreamMs}. */
export interface StreamDuration {
  readonly certainty: StreamCertainty;
  /** Time from sending such a stream to its first event. */
  readonly firstEvent: MeasuredTime | undefined;
  readonly prompt: PromptShape;
  /** Time of one output token of such streams. */
  readonly token: MeasuredTime | undefined;
}

/** Deviations above the mean that calls rarely exceed, as for retransmissions of TCP. */
const REPEATABLE_DEVIATIONS = 4;
/** The same where a call that is cut must not be sent again. */
const ONCE_DEVIATIONS = 8;
/** Deviation of a duration that was never measured, as a part of the target latency. */
const UNMEASURED_DEVIATION_FRACTION = 0.5;
const FIRST_EVENT_DEVIATIONS = 4;
/** Less than for first events, since the times of the tokens of one stream even out. */
const TOKEN_DEVIATIONS: Readonly<Record<StreamCertainty, number>> = {
  certain: 2,
  likely: 0,
  usual: 1,
};
/** Assumed until a stream was measured: a busy engine. */
const UNMEASURED_FIRST_EVENT: MeasuredTime = { deviationMs: 0, meanMs: 600 };
const UNMEASURED_TOKEN: MeasuredTime = { deviationMs: 0, meanMs: 10 };
/**
 * Nine of ten outputs are shorter than this multiple of their median, where the logarithm of the length is
 * normally distributed and its mean is 1.3 medians.
 */
const USUAL_TO_MEDIAN_RATIO = 2.5;

/**
 * Whether a request may still be sent to a server before the daemon stops: one that is cut has cost its
 * caller the time, and must not be repeated where it may have run. One whose final answer is due before
 * the stop cannot be cut.
 *
 * @param expectedMs - time that nearly all such requests take at most
 * @param times - times of the request
 */
export function mayBeginBeforeStop(expectedMs: number, times: TimesBeforeStop): boolean {
  return Math.min(expectedMs, times.untilFinalResponseMs) <= times.untilStopMs;
}

/** Time that nearly all calls of a kind take at most; more of them where they may not be repeated. */
export function expectedCallMs(call: CallDuration): number {
  const { isRepeatable, measured, targetLatencyMs } = call;
  const { deviationMs, meanMs } = measured ?? {
    deviationMs: targetLatencyMs * UNMEASURED_DEVIATION_FRACTION,
    meanMs: targetLatencyMs,
  };
  return meanMs + deviationMs * (isRepeatable ? REPEATABLE_DEVIATIONS : ONCE_DEVIATIONS);
}

/** Time in which a stream ends with a certainty, by the length of its output and the measured speed. */
export function expectedStreamMs(stream: StreamDuration): number {
  const { certainty, prompt } = stream;
  const firstEvent = stream.firstEvent ?? UNMEASURED_FIRST_EVENT;
  const token = stream.token ?? UNMEASURED_TOKEN;
  const firstEventDeviations = certainty === 'likely' ? 0 : FIRST_EVENT_DEVIATIONS;
  const firstEventMs = firstEvent.meanMs + firstEventDeviations * firstEvent.deviationMs;
  const tokenMs = token.meanMs + TOKEN_DEVIATIONS[certainty] * token.deviationMs;
  return firstEventMs + tokenMs * outputTokens(prompt, certainty);
}

function outputTokens(prompt: PromptShape, certainty: StreamCertainty): number {
  const { expectedOutputTokens = Infinity, maxOutputTokens } = prompt;
  switch (certainty) {
    case 'certain':
      return maxOutputTokens;
    case 'likely':
      return plannedOutputTokens(prompt, 0);
    case 'usual':
      return Math.min(maxOutputTokens, expectedOutputTokens * USUAL_TO_MEDIAN_RATIO);
  }
}
