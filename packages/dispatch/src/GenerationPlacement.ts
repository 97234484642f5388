import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import { remainingCapacity } from './EngineCapacity.js';
import type { EngineTotals } from './EngineLoad.js';
import { PREFILL_TOKENS_PER_MS } from './EngineLoad.js';
import type { PromptShape } from './PromptShape.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** An engine with the figures that placement ranks it by. */
export interface EngineCandidate {
  /** Prompt tokens that its prefix cache still holds from earlier requests. */
  readonly cachedTokens: number;
  /** Share of recent calls to it that failed, as their callers saw it. */
  readonly failureShare: number;
  readonly server: BackendServer;
  readonly totals: EngineTotals;
}

/** Input of {@link rankEngines}. */
export interface PlacementInput {
  readonly candidates: readonly EngineCandidate[];
  readonly engine: EngineLimits;
  /** Preferred failure domain; engines of others cost more. */
  readonly failureDomain: FailureDomainId;
  /** The run brings its KV cache along, so its prompt is not prefilled again. */
  readonly hasKvCache?: boolean;
  readonly otherDomainCostMs?: number;
  readonly prompt: PromptShape;
  /** Random number in [0, 1) for each candidate, so that daemons don't all pick the same engine. */
  readonly randomUnit: () => number;
}

/** An engine for a generation, with the figures behind its rank. */
export interface Placement {
  readonly costMs: number;
  /** Its slots and KV cache are expected to suffice for this generation and all that run there. */
  readonly fits: boolean;
  readonly server: BackendServer;
  readonly totals: EngineTotals;
  /** Prompt tokens that the engine has to prefill. */
  readonly unreadTokens: number;
}

/** Each run slows down the decoding of all others. */
const COST_PER_RUN_MS = 25;
/** Tokens beyond the KV cache are prefilled again after a preemption, which stalls the engine. */
const COST_PER_OVERRUN_TOKEN_MS = 2;
/** Without a slot or KV cache for its prompt, a run waits for another to end. */
const BLOCKED_COST_MS = 4_000;
const DEFAULT_OTHER_DOMAIN_COST_MS = 40;
/** Cost added for an engine where every call fails. */
const FAILURE_COST_MS = 6_000;
/** Output of one run in two seconds; on a full engine another run usually ends in that time. */
const RESERVED_GROWTH_TOKENS = 200;
/** Largest random part of the cost. */
const JITTER_MS = 10;
/** Output lengths have a long tail: their mean is above the median that callers state. */
const MEAN_TO_MEDIAN_RATIO = 1.3;
/** An output that exceeds its estimate is expected to reach this multiple of its length so far. */
const OUTGROWN_LENGTH_FACTOR = 1.6;

/**
 * Ranks engines for a generation: best is where the first token comes soonest and the KV cache is
 * least likely to run out. Long prompts that arrive together are spread over engines by their
 * unread tokens, and a cached prefix counts only for the prefill that it saves.
 *
 * @param input - engines, their load and the request
 * @returns the placements, best first
 */
export function rankEngines(input: PlacementInput): readonly Placement[] {
  return input.candidates
    .map((candidate) => scoreCandidate(candidate, input))
    .sort((a, b) => a.costMs - b.costMs);
}

/**
 * Round-robin placement, the baseline that tests compare {@link rankEngines} with.
 *
 * @param candidates - the available engines
 * @param placementCount - number of placements so far
 * @returns the engine, or undefined without engines
 */
export function placeRoundRobin(
  candidates: readonly EngineCandidate[],
  placementCount: number,
): ServerId | undefined {
  return candidates[placementCount % Math.max(1, candidates.length)]?.server.serverId;
}

/**
 * Estimates the total output tokens of a generation.
 *
 * @param prompt - the request
 * @param producedTokens - output tokens so far
 * @returns expected length of the whole output
 */
export function plannedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const medianTokens = prompt.expectedOutputTokens ?? prompt.maxOutputTokens / 2;
  const planned = Math.max(
    medianTokens * MEAN_TO_MEDIAN_RATIO,
    producedTokens * OUTGROWN_LENGTH_FACTOR,
  );
  return Math.min(prompt.maxOutputTokens, planned);
}

/**
 * Output tokens for which KV cache is reserved. While one output grows, others end and free more
 * than it takes, so only the growth of a short time is reserved.
 *
 * @param prompt - the request
 * @param producedTokens - output tokens so far
 * @returns tokens so far plus the reserved growth
 */
export function reservedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const remaining = plannedOutputTokens(prompt, producedTokens) - producedTokens;
  return producedTokens + Math.min(RESERVED_GROWTH_TOKENS, Math.max(0, remaining));
}

function scoreCandidate(candidate: EngineCandidate, input: PlacementInput): Placement {
  const { engine, failureDomain, hasKvCache, prompt, randomUnit } = input;
  const { cachedTokens, failureShare, server, totals } = candidate;
  const otherDomainCostMs = input.otherDomainCostMs ?? DEFAULT_OTHER_DOMAIN_COST_MS;
  const unreadTokens = hasKvCache ? 0 : Math.max(0, prompt.promptTokens - cachedTokens);
  const { promptTokens } = prompt;
  const plannedTokens = promptTokens + reservedOutputTokens(prompt, 0);
  const request = { plannedTokens, promptTokens };
  const { fits, isBlocked, overrunTokens } = remainingCapacity(totals, request, engine);
  const costMs =
    (totals.readingTokens + unreadTokens) / PREFILL_TOKENS_PER_MS +
    totals.runs * COST_PER_RUN_MS +
    overrunTokens * COST_PER_OVERRUN_TOKEN_MS +
    (isBlocked ? BLOCKED_COST_MS : 0) +
    (server.failureDomain === failureDomain ? 0 : otherDomainCostMs) +
    failureShare * FAILURE_COST_MS +
    randomUnit() * JITTER_MS;
  return { costMs, fits, server, totals, unreadTokens };
}
