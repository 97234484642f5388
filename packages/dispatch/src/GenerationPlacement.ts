import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import type { EngineTotals } from './EngineLoad.js';
import { PREFILL_TOKENS_PER_MS } from './EngineLoad.js';
import { remainingCapacity } from './EngineCapacity.js';
import type { PromptShape } from './PromptShape.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** An engine with what decides for or against it. */
export interface EngineCandidate {
  /** Prompt tokens that it still holds from earlier requests. */
  readonly cachedTokens: number;
  readonly server: BackendServer;
  /** Share of recent calls there that failed, as their callers saw it. */
  readonly failureShare: number;
  readonly totals: EngineTotals;
}

/** What is to be placed. */
export interface PlacementInput {
  readonly candidates: readonly EngineCandidate[];
  readonly engine: EngineLimits;
  /** Engines of another domain cost more. */
  readonly failureDomain: FailureDomainId;
  /** The run comes with its memory, so that its prompt is not read again. */
  readonly hasKvCache?: boolean;
  readonly otherDomainCostMs?: number;
  readonly prompt: PromptShape;
  /** A random number in [0, 1) for each candidate, against herds on equal costs. */
  readonly randomUnit: () => number;
}

/** The chosen engine and the figures behind it. */
export interface Placement {
  readonly costMs: number;
  /** Its memory is expected to suffice for all that runs there. */
  readonly fits: boolean;
  readonly server: BackendServer;
  readonly totals: EngineTotals;
  /** Part of the prompt that the engine has to read. */
  readonly unreadTokens: number;
}

/** Each run makes every further token of all others later. */
const COST_PER_RUN_MS = 25;
/** Tokens over the memory are read again after a preemption, and hold up the whole engine. */
const COST_PER_OVERRUN_TOKEN_MS = 2;
/** Without a slot or memory for its prompt a run waits for another to end. */
const NO_ROOM_COST_MS = 4_000;
const DEFAULT_OTHER_DOMAIN_COST_MS = 40;
/** Cost of an engine where every call fails. */
const FAILURE_COST_MS = 6_000;
/** Output of one run in two seconds, in which another of a full engine ends as a rule. */
const GROWTH_TOKENS = 200;
/** Random part of the cost. */
const JITTER_MS = 10;
/** Outputs have a long tail: their mean lies above the median that callers name. */
const MEAN_OVER_MEDIAN = 1.3;
/** An output that outgrew its estimate goes on in proportion to its length so far. */
const LENGTH_GROWTH = 1.6;

/**
 * Ranks engines for a generation: first where its first token comes soonest and memory is least
 * likely to run out. Answers many long prompts at once and outputs of unknown length: prompts are
 * spread over engines by unread tokens, and a kept prefix counts only as the reading that it saves.
 *
 * @param input - engines, their load and the request
 * @returns the placements, best first
 */
export function rankEngines(input: PlacementInput): readonly Placement[] {
  return input.candidates
    .map((candidate) => judge(candidate, input))
    .sort((a, b) => a.costMs - b.costMs);
}

/**
 * The naive twin of {@link rankEngines}: round robin over the engines.
 *
 * @param candidates - the engines
 * @param turn - number of placements so far
 * @returns the engine, or undefined without engines
 */
export function placeRoundRobin(
  candidates: readonly EngineCandidate[],
  turn: number,
): ServerId | undefined {
  return candidates[turn % Math.max(1, candidates.length)]?.server.serverId;
}

/**
 * Output tokens that are planned for.
 *
 * @param prompt - the request
 * @param producedTokens - tokens so far
 * @returns expected length of the whole output
 */
export function plannedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const medianTokens = prompt.expectedOutputTokens ?? prompt.maxOutputTokens / 2;
  const planned = Math.max(medianTokens * MEAN_OVER_MEDIAN, producedTokens * LENGTH_GROWTH);
  return Math.min(prompt.maxOutputTokens, planned);
}

/**
 * Output tokens for which memory is kept. Answers many outputs at once: while one grows, others end
 * and free more memory than it takes, so that only the growth of a short time is planned for.
 *
 * @param prompt - the request
 * @param producedTokens - tokens so far
 * @returns tokens
 */
export function reservedOutputTokens(prompt: PromptShape, producedTokens: number): number {
  const remaining = plannedOutputTokens(prompt, producedTokens) - producedTokens;
  return producedTokens + Math.min(GROWTH_TOKENS, Math.max(0, remaining));
}

function judge(candidate: EngineCandidate, input: PlacementInput): Placement {
  const { engine, failureDomain, hasKvCache: hasMemory, prompt, randomUnit } = input;
  const { failureShare, cachedTokens: keptTokens, server, totals } = candidate;
  const otherDomainCostMs = input.otherDomainCostMs ?? DEFAULT_OTHER_DOMAIN_COST_MS;
  const unread = hasMemory ? 0 : Math.max(0, prompt.promptTokens - keptTokens);
  const { promptTokens } = prompt;
  const plannedTokens = promptTokens + reservedOutputTokens(prompt, 0);
  const wish = { plannedTokens, promptTokens };
  const { fits, isBlocked, overrunTokens } = remainingCapacity(totals, wish, engine);
  const costMs =
    (totals.readingTokens + unread) / PREFILL_TOKENS_PER_MS +
    totals.runs * COST_PER_RUN_MS +
    overrunTokens * COST_PER_OVERRUN_TOKEN_MS +
    (isBlocked ? NO_ROOM_COST_MS : 0) +
    (server.failureDomain === failureDomain ? 0 : otherDomainCostMs) +
    failureShare * FAILURE_COST_MS +
    randomUnit() * JITTER_MS;
  return { costMs, fits, server, totals, unreadTokens: unread };
}
