import type { ModelId, RandomSource, Refusal, TeamId } from '@laburnumgap/kernel';
import { refusal, toId, toNumberId } from '@laburnumgap/kernel';
import type {
  AdmissionEstimateQuery,
  AdmissionRequest,
  EngineStopReason,
} from './AdmissionTypes.js';
import type { LengthCurve } from './LengthCurve.js';
import type { LengthKey } from './LengthModel.js';

const MIN_RETRY_AFTER_MS = 250;
const LOWEST_JITTER = 0.75;
const JITTER_RANGE = 0.5;
/** Engine priorities of a class and the next; preempted generations lie in between. */
const PRIORITY_STEP = 10;
const PREEMPTED_PRIORITY_GAIN = 4;
const MAX_PRIORITY_GAINS = 2;

/** Stands for generations of which neither team nor model is known. */
export const UNKNOWN_LENGTH_KEY: LengthKey = {
  maxTokens: 1,
  model: toId<ModelId>('?'),
  promptTokens: 1,
  teamId: toId<TeamId>('?'),
};

const ESTIMATED_REQUEST: Omit<AdmissionRequest, keyof AdmissionEstimateQuery> = {
  attempt: toNumberId(1),
  generationId: toId(''),
  preemptions: 0,
  priorityClass: 1,
  producedTokens: 0,
  requestId: toId(''),
  reservationId: toId(''),
  waitBoundMs: Infinity,
  weight: 1,
};

/**
 * Builds the request that an estimate asks about.
 *
 * @param query - the query
 * @returns a first attempt with no wait bound
 */
export function requestOfQuery(query: AdmissionEstimateQuery): AdmissionRequest {
  return { ...ESTIMATED_REQUEST, ...query };
}

/**
 * Memory that a request is expected to hold, times the tokens for which it holds it.
 *
 * @param request - the request
 * @param curve - its length distribution
 * @returns the work in token-steps
 */
export function workOf(request: AdmissionRequest, curve: LengthCurve): number {
  const { maxTokens, producedTokens, promptTokens } = request;
  const remainingTokens = curve.expectedRemaining(producedTokens, maxTokens);
  return (promptTokens + producedTokens + remainingTokens / 2) * Math.max(1, remainingTokens);
}

/**
 * Priority for the engine; lower runs first. A preempted generation goes before its class.
 *
 * @param request - the request
 * @returns the priority
 */
export function enginePriorityOf(request: AdmissionRequest): number {
  const gains = Math.min(request.preemptions, MAX_PRIORITY_GAINS);
  return (request.priorityClass + 1) * PRIORITY_STEP - gains * PREEMPTED_PRIORITY_GAIN;
}

/**
 * Refusal of every request at an engine that takes none.
 *
 * @param draining - whether the scheduler is shutting down
 * @param stopReason - why the engine takes no work, if it takes none
 * @returns the refusal, or undefined where requests are taken
 */
export function closedRefusalOf(
  draining: boolean,
  stopReason: EngineStopReason | undefined,
): Refusal | undefined {
  if (draining) {
    return refusal('DRAINING', 'the scheduler is shutting down; ask its successor');
  }
  if (stopReason) {
    return refusal('NO_ENGINE', `the engine is ${stopReason}`);
  }
  return undefined;
}

/**
 * Time after which a refused caller should come back, spread so that callers don't come together.
 *
 * @param waitMs - time until there is room
 * @param random - source of the jitter
 * @returns the time
 */
export function jitteredRetryMs(waitMs: number, random: RandomSource): number {
  const jitter = LOWEST_JITTER + JITTER_RANGE * random.nextUnit();
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) * jitter);
}
