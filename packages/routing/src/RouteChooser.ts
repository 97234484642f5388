import type { EngineId, FailureDomainId, RandomSource } from '@laburnumgap/kernel';
import { invariant } from '@laburnumgap/kernel';
import { PrefixEngineCache } from './PrefixEngineCache.js';
import {
  DEFAULT_PREFILL_MS_PER_TOKEN,
  NO_CANDIDATE_INVARIANT,
  RANDOM_CANDIDATES,
} from './RouteConstants.js';

/** An engine that could run a generation. */
export interface RouteCandidate {
  readonly engineId: EngineId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
  /** It recently did not answer. */
  readonly suspected: boolean;
  readonly url: string;
}

/** A generation to place. */
export interface RouteRequest {
  /** Engines to avoid while there are others. */
  readonly excludedEngines?: readonly EngineId[];
  readonly prefixHashes: readonly string[];
  readonly promptTokens: number;
}

/** Estimate of an engine by its scheduler. */
export interface RouteEstimate {
  readonly acceptsWork: boolean;
  readonly cachedPrefixTokens: number;
  readonly engineId: EngineId;
  readonly waitMs: number;
}

/** Why an engine was chosen. */
export type RouteReason = 'cachedPrefix' | 'estimate' | 'unestimated';

/** A chosen engine and the reason for it. */
export interface RouteChoice {
  readonly candidate: RouteCandidate;
  /** Expected time until the prompt is prefilled; absent without an estimate. */
  readonly costMs?: number;
  readonly reason: RouteReason;
}

/** Options of a route chooser. */
export interface RouteChooserOptions {
  readonly prefillMsPerToken?: number;
  readonly prefixCache?: PrefixEngineCache;
  readonly random: RandomSource;
}

/**
 * Chooses engines in two steps: a shortlist of engines whose schedulers are asked for estimates,
 * and the order in which to try them by those estimates. Its results depend only on its inputs, the
 * recorded placements and the given random source.
 */
export class RouteChooser {
  private readonly prefillMsPerToken: number;
  private readonly prefixCache: PrefixEngineCache;
  private readonly random: RandomSource;

  constructor(options: RouteChooserOptions) {
    this.prefillMsPerToken = options.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN;
    this.prefixCache = options.prefixCache ?? new PrefixEngineCache();
    this.random = options.random;
  }

  /** Engines to ask: the one expected to cache the prefix, and two random ones of other domains. */
  shortlist(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    const usable = usableCandidates(candidates, request.excludedEngines ?? []);
    const cachedEngine = this.prefixCache.findEngine(request.prefixHashes);
    const chosen = usable.filter((candidate) => candidate.engineId === cachedEngine);
    const targetCount = Math.min(usable.length, chosen.length + RANDOM_CANDIDATES);
    while (chosen.length < targetCount) {
      chosen.push(this.pickRandom(usable, chosen));
    }
    return chosen;
  }

  /** Ranks the asked engines by cost; those without an estimate come last. */
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
        estimated.push(this.scoreCandidate(candidate, estimate, request));
      }
    }
    estimated.sort((a, b) => (a.costMs ?? 0) - (b.costMs ?? 0));
    return [...estimated, ...unestimated];
  }

  /** Records which engine computes the prompt of a request. */
  recordPlacement(request: RouteRequest, engineId: EngineId): void {
    this.prefixCache.recordPrompt(request.prefixHashes, engineId);
  }

  private pickRandom(
    usable: readonly RouteCandidate[],
    chosen: readonly RouteCandidate[],
  ): RouteCandidate {
    const remaining = usable.filter((candidate) => !chosen.includes(candidate));
    const domains = new Set(chosen.map((candidate) => candidate.failureDomain));
    const otherDomains = remaining.filter((candidate) => !domains.has(candidate.failureDomain));
    const pool = otherDomains.length > 0 ? otherDomains : remaining;
    const index = Math.floor(this.random.nextUnit() * pool.length);
    const picked = pool[Math.min(index, pool.length - 1)];
    invariant(picked, NO_CANDIDATE_INVARIANT, 'a candidate remains to pick from');
    return picked;
  }

  private scoreCandidate(
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
  const preferred = staying.filter(
    (candidate) => !candidate.suspected && !excluded.includes(candidate.engineId),
  );
  return preferred.length > 0 ? preferred : staying;
}
