import type { EngineId, FailureDomainId, RandomSource } from '@laburnumgap/kernel';
import { invariant } from '@laburnumgap/kernel';
import { PrefixEngineCache } from './PrefixEngineCache.js';
import {
  DEFAULT_PREFILL_MS_PER_TOKEN,
  RANDOM_CANDIDATES,
  NO_CANDIDATE_INVARIANT,
} from './RouteConstants.js';

/** An engine that could run a generation. */
export interface RouteCandidate {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** It did not answer a moment ago. */
  readonly suspected: boolean;
  readonly url: string;
}

/** What is to be placed. */
export interface RouteRequest {
  /** Avoided while there are others. */
  readonly excludedEngines?: readonly EngineId[];
  readonly prefixHashes: readonly string[];
  readonly promptTokens: number;
}

/** What the scheduler in charge says of an engine. */
export interface RouteEstimate {
  readonly acceptsWork: boolean;
  readonly cachedPrefixTokens: number;
  readonly engineId: EngineId;
  readonly waitMs: number;
}

/** Why an engine was chosen. */
export type RouteReason = 'cachedPrefix' | 'estimate' | 'unestimated';

/** A choice with the figures behind it. */
export interface RouteChoice {
  readonly candidate: RouteCandidate;
  /** Expected time until the prompt is computed. */
  readonly costMs?: number;
  readonly reason: RouteReason;
}

/** Options of a chooser. */
export interface RouteChooserOptions {
  readonly prefillMsPerToken?: number;
  readonly prefixes?: PrefixEngineCache;
  readonly random: RandomSource;
}

/**
 * Chooses engines in two steps: which few to ask, and in which order to try them once the
 * estimates are in. Pure but for the random source that it is given.
 */
export class RouteChooser {
  private readonly prefillMsPerToken: number;
  private readonly prefixes: PrefixEngineCache;
  private readonly random: RandomSource;

  constructor(options: RouteChooserOptions) {
    this.prefillMsPerToken = options.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN;
    this.prefixes = options.prefixes ?? new PrefixEngineCache();
    this.random = options.random;
  }

  /** Engines to ask: the one expected to hold the prefix, and two drawn from different domains. */
  shortlist(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    const usable = usableCandidates(candidates, request.excludedEngines ?? []);
    const cachedEngine = this.prefixes.findEngine(request.prefixHashes);
    const chosen = usable.filter((candidate) => candidate.engineId === cachedEngine);
    const wanted = Math.min(usable.length, chosen.length + RANDOM_CANDIDATES);
    while (chosen.length < wanted) {
      chosen.push(this.draw(usable, chosen));
    }
    return chosen;
  }

  /** Orders the asked engines by cost; those without an estimate come last. */
  rankByCost(
    asked: readonly RouteCandidate[],
    estimates: readonly RouteEstimate[],
    request: RouteRequest,
  ): readonly RouteChoice[] {
    const byEngine = new Map(estimates.map((estimate) => [estimate.engineId, estimate]));
    const estimated: RouteChoice[] = [];
    const unestimated: RouteChoice[] = [];
    for (const candidate of asked) {
      const estimate = byEngine.get(candidate.engineId);
      if (!estimate) {
        unestimated.push({ candidate, reason: 'unestimated' });
      } else if (estimate.acceptsWork) {
        estimated.push(this.judge(candidate, estimate, request));
      }
    }
    estimated.sort((a, b) => (a.costMs ?? 0) - (b.costMs ?? 0));
    return [...estimated, ...unestimated];
  }

  /** Notes where a prompt is computed. */
  recordPlacement(request: RouteRequest, engineId: EngineId): void {
    this.prefixes.recordPrompt(request.prefixHashes, engineId);
  }

  private draw(
    usable: readonly RouteCandidate[],
    chosen: readonly RouteCandidate[],
  ): RouteCandidate {
    const rest = usable.filter((candidate) => !chosen.includes(candidate));
    const domains = new Set(chosen.map((candidate) => candidate.failureDomain));
    const elsewhere = rest.filter((candidate) => !domains.has(candidate.failureDomain));
    const pool = elsewhere.length > 0 ? elsewhere : rest;
    const index = Math.floor(this.random.nextUnit() * pool.length);
    const drawn = pool[Math.min(index, pool.length - 1)];
    invariant(drawn, NO_CANDIDATE_INVARIANT, 'a candidate is left to draw');
    return drawn;
  }

  private judge(
    candidate: RouteCandidate,
    estimate: RouteEstimate,
    request: RouteRequest,
  ): RouteChoice {
    const cachedTokens = Math.min(estimate.cachedPrefixTokens, request.promptTokens);
    const computedTokens = request.promptTokens - cachedTokens;
    return {
      candidate,
      costMs: estimate.waitMs + computedTokens * this.prefillMsPerToken,
      reason: cachedTokens > 0 ? 'cachedPrefix' : 'estimate',
    };
  }
}

function usableCandidates(
  candidates: readonly RouteCandidate[],
  excluded: readonly EngineId[],
): readonly RouteCandidate[] {
  const staying = candidates.filter((candidate) => !candidate.leaving);
  const wanted = staying.filter(
    (candidate) => !candidate.suspected && !excluded.includes(candidate.engineId),
  );
  return wanted.length > 0 ? wanted : staying;
}
