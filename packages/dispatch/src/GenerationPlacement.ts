import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import { plannableTokens, remainingCapacity } from './EngineCapacity.js';
import type { EngineTotals } from './EngineLoad.js';
import { PREFILL_TOKENS_PER_MS } from './EngineLoad.js';
import type { EngineSpeed } from './EngineSpeeds.js';
import { reservedOutputTokens } from './PlannedOutput.js';
import { prefixSavingMs } from './PrefixValue.js';
import { overdueCostMs } from './OverdueRuns.js';
import type { PromptShape } from './PromptShape.js';
import type { EngineLimits } from './ServingConfiguration.js';
import type { ExpectedLoss, UnevenEngines } from './UnevenScorer.js';
import { UnevenScorer } from './UnevenScorer.js';

/** An engine with the figures that placement ranks it by. */
export interface EngineCandidate {
  /** Prompt tokens that its prefix cache still holds from earlier requests. */
  readonly cachedTokens: number;
  /** Share of recent calls to it that failed, as their callers saw it. */
  readonly failureShare: number;
  /** The engine started recently and holds no prefixes of value; false by default. */
  readonly isCold?: boolean;
  readonly server: BackendServer;
  readonly totals: EngineTotals;
}

/** Input of {@link rankEngines}. */
export interface PlacementInput {
  /** Avoids engines where the first event of a run is overdue. */
  readonly avoidsOverdue?: boolean;
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
  /** Learned speed of an engine, where its confidence suffices. */
  readonly speedOf?: (serverId: ServerId) => EngineSpeed | undefined;
  /** Present where the engines differ in speed; needs `speedOf`. */
  readonly uneven?: UnevenEngines;
  /** Weighs cached prefixes against memory and wait; otherwise they count in full. */
  readonly weighsPrefixes?: boolean;
}

/** What a placement is based on where the engines differ in speed. */
export interface PlacementSpeed {
  readonly loss: ExpectedLoss;
  readonly speed: EngineSpeed;
}

/** An engine for a generation, with the figures behind its rank. */
export interface Placement {
  /** Absent where the engines are ranked as equal in speed. */
  readonly bySpeed?: PlacementSpeed;
  readonly costMs: number;
  /** Its slots and KV cache are expected to suffice for this generation and all that run there. */
  readonly fits: boolean;
  /** Tokens of the KV cache that are planned for the generation there. */
  readonly plannedTokens: number;
  /** Weighed prefill time that the cached prefix saves; absent where prefixes are not weighed. */
  readonly prefixSavedMs?: number;
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
/** Largest random part of the cost. */
const JITTER_MS = 10;

/**
 * Ranks engines for a generation: best is where the first token comes soonest and the KV cache is
 * least likely to run out. Long prompts that arrive together are spread over engines by their
 * unread tokens, and a cached prefix counts only for the prefill that it saves. Where engines differ
 * in speed, their learned speeds and the expected loss from late events count, see {@link UnevenScorer};
 * the best engine with capacity then goes before any without.
 *
 * @param input - engines, their load and the request
 * @returns the placements, best first
 */
export function rankEngines(input: PlacementInput): readonly Placement[] {
  const { candidates, engine, prompt, speedOf, uneven } = input;
  if (!uneven || !speedOf) {
    return candidates
      .map((candidate) => scoreCandidate(candidate, input, undefined))
      .sort((a, b) => a.costMs - b.costMs);
  }
  const serverIds = candidates.map(({ server }) => server.serverId);
  const scorer = new UnevenScorer({ engine, prompt, serverIds, speedOf, uneven });
  return candidates
    .map((candidate) => scoreCandidate(candidate, input, scorer))
    .sort((a, b) => Number(b.fits) - Number(a.fits) || a.costMs - b.costMs);
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

function scoreCandidate(
  candidate: EngineCandidate,
  input: PlacementInput,
  scorer: UnevenScorer | undefined,
): Placement {
  const { engine, failureDomain, hasKvCache, prompt, randomUnit } = input;
  const { cachedTokens, failureShare, server, totals } = candidate;
  const { serverId } = server;
  const otherDomainCostMs = input.otherDomainCostMs ?? DEFAULT_OTHER_DOMAIN_COST_MS;
  const unreadTokens = hasKvCache ? 0 : Math.max(0, prompt.promptTokens - cachedTokens);
  const { promptTokens } = prompt;
  const extraTokens = scorer?.extraGrowthTokens(serverId, totals.runs) ?? 0;
  const plannedTokens = promptTokens + reservedOutputTokens(prompt, 0) + extraTokens;
  const request = { plannedTokens, promptTokens };
  const { fits, isBlocked, overrunTokens } = remainingCapacity(totals, request, engine);
  const speed = scorer?.speedOf(serverId) ?? input.speedOf?.(serverId);
  const learnedTokensPerMs = speed?.prefillTokensPerMs ?? PREFILL_TOKENS_PER_MS;
  const prefixSavedMs = input.weighsPrefixes
    ? weighPrefix(candidate, input, {
        confidence: speed?.confidence ?? 1,
        fits,
        tokensPerMs: learnedTokensPerMs,
      })
    : undefined;
  // The queue of even engines counts as without learned speeds.
  const tokensPerMs = scorer ? learnedTokensPerMs : PREFILL_TOKENS_PER_MS;
  const prefillMs =
    prefixSavedMs === undefined
      ? (totals.readingTokens + unreadTokens) / tokensPerMs
      : (totals.readingTokens + (hasKvCache ? 0 : promptTokens)) / tokensPerMs - prefixSavedMs;
  const score = scorer?.score({ prefillMs, serverId, totals, unreadTokens });
  const costMs =
    prefillMs +
    (score?.runsMs ?? totals.runs * COST_PER_RUN_MS) +
    overrunTokens * COST_PER_OVERRUN_TOKEN_MS +
    (isBlocked ? BLOCKED_COST_MS : 0) +
    (server.failureDomain === failureDomain ? 0 : otherDomainCostMs) +
    failureShare * FAILURE_COST_MS +
    (input.avoidsOverdue ? overdueCostMs(totals.overdueRuns ?? 0) : 0) +
    randomUnit() * JITTER_MS +
    (score?.lossMs ?? 0);
  const byLearnedSpeed = score && speed && { bySpeed: { loss: score.loss, speed } };
  const byPrefix = prefixSavedMs !== undefined && { prefixSavedMs };
  return {
    ...byLearnedSpeed,
    ...byPrefix,
    costMs,
    fits,
    plannedTokens,
    server,
    totals,
    unreadTokens,
  };
}

/** Prefill time that the cached prefix of a prompt saves at an engine. */
function weighPrefix(
  { cachedTokens, isCold, totals }: EngineCandidate,
  { engine, hasKvCache, prompt }: PlacementInput,
  { confidence, fits, tokensPerMs }: { confidence: number; fits: boolean; tokensPerMs: number },
): number {
  const { promptTokens } = prompt;
  return prefixSavingMs({
    cachedTokens: hasKvCache ? 0 : Math.min(cachedTokens, promptTokens),
    confidence,
    expectedWaitMs: totals.readingTokens / tokensPerMs,
    isUsable: fits && isCold !== true,
    memory: {
      plannableTokens: plannableTokens(engine),
      plannedTokens: totals.plannedTokens + promptTokens + reservedOutputTokens(prompt, 0),
    },
    prefillTokensPerMs: tokensPerMs,
  });
}
