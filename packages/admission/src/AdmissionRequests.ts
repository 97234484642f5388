import type { ModelId, RandomSource, Refusal, TeamId } from '@laburnumgap/kernel';
import { refusal, toId, toNumberId } from '@laburnumgap/kernel';
import type {
  AdmissionEstimateQuery,
  AdmissionRequest,
  EngineStopReason,
} from './AdmissionTypes.js';
import type { LengthKey } from './LengthModel.js';
import type { LengthSurvivalCurve } from './LengthSurvivalCurve.js';

const MIN_RETRY_AFTER_MS = 250;
const MIN_JITTER_FACTOR = 0.75;
const JITTER_RANGE = 0.5;
/** Distance between the engine priorities of adjacent classes; preempted requests lie between. */
const PRIORITY_STEP = 10;
/** Improvement of the engine priority for each preemption, up to the number of times below. */
const PREEMPTED_PRIORITY_GAIN = 4;
const MAX_PRIORITY_GAINS = 2;

/** Key of the length model for generations whose team and model are unknown. */
export const UNKNOWN_LENGTH_KEY: LengthKey = {
  maxTokens: 1,
  model: toId<ModelId>('?'),
  promptTokens: 1,
  teamId: toId<TeamId>('?'),
};

const ESTIMATE_REQUEST_DEFAULTS: Omit<AdmissionRequest, keyof AdmissionEstimateQuery> = {
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
 * Builds a hypothetical request from an estimate query.
 *
 * @param query - the estimate query
 * @returns a request for a first attempt without a wait bound
 */
export function requestForEstimate(query: AdmissionEstimateQuery): AdmissionRequest {
  return { ...ESTIMATE_REQUEST_DEFAULTS, ...query };
}

/**
 * Expected work of a request: the tokens that it is expected to hold in the KV cache, multiplied by
 * the number of decoding steps during which it holds them.
 *
 * @param request - the request
 * @param curve - survival curve of its output length
 * @returns the work in tokens times decoding steps
 */
export function expectedWork(request: AdmissionRequest, curve: LengthSurvivalCurve): number {
  const { maxTokens, producedTokens, promptTokens } = request;
  const remainingTokens = curve.expectedRemainingTokens(producedTokens, maxTokens);
  return (promptTokens + producedTokens + remainingTokens / 2) * Math.max(1, remainingTokens);
}

/**
 * Computes the scheduling priority that the engine is given. Lower values run first. A preempted
 * generation runs before other requests of its class.
 *
 * @param request - the request
 * @returns the priority
 */
export function enginePriorityOf(request: AdmissionRequest): number {
  const priorityGains = Math.min(request.preemptions, MAX_PRIORITY_GAINS);
  return (request.priorityClass + 1) * PRIORITY_STEP - priorityGains * PREEMPTED_PRIORITY_GAIN;
}

/**
 * Builds the refusal for all requests while the scheduler or the engine accepts no work.
 *
 * @param draining - whether the scheduler is shutting down
 * @param stopReason - why the engine accepts no work, undefined if it does
 * @returns the refusal, or undefined while requests are accepted
 */
export function unavailableRefusalOf(
  draining: boolean,
  stopReason: EngineStopReason | undefined,
): Refusal | undefined {
  if (draining) {
    return refusal('DRAINING', 'the scheduler is shutting down; retry at its successor');
  }
  if (stopReason) {
    return refusal('NO_ENGINE', `the engine is ${stopReason}`);
  }
  return undefined;
}

/**
 * Computes the retry delay of a refused request. Jitter keeps callers from retrying at the same
 * time.
 *
 * @param waitMs - expected time until the request could be queued, in milliseconds
 * @param random - source of the jitter
 * @returns the retry delay in milliseconds
 */
export function jitteredRetryAfterMs(waitMs: number, random: RandomSource): number {
  const jitter = MIN_JITTER_FACTOR + JITTER_RANGE * random.nextUnit();
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) * jitter);
}
