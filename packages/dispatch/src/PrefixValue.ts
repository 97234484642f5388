/** Input of {@link prefixSavingMs}. */
export interface PrefixValueInput {
  /** Prompt tokens that the prefix cache of the engine is expected to hold. */
  readonly cachedTokens: number;
  /** Confidence in the prefill speed, from 0 to 1. */
  readonly confidence: number;
  /** Expected time until the engine reads the prompt. */
  readonly expectedWaitMs: number;
  /** Whether the engine takes the request and keeps its cache: not full, cold, leaving or evacuated. */
  readonly isUsable: boolean;
  readonly memory: PrefixMemory;
  readonly prefillTokensPerMs: number;
}

/** KV cache of an engine with the request placed there. */
export interface PrefixMemory {
  /** Tokens that are planned for requests. */
  readonly plannedTokens: number;
  /** Tokens that may be planned for requests. */
  readonly plannableTokens: number;
}

/** Engines evict prefixes when memory runs out: below this share of it there is no pressure. */
const PRESSURE_FROM_SHARE = 0.8;
/** Prefixes are worth most when they are read again within this time; later ones are evicted first. */
const REUSE_WINDOW_MS = 4_400;
/**
 * Part of the saved prefill that the prefix costs others in a full memory: the tokens that it takes from
 * them have to be prefilled again after an eviction, about every other time.
 */
const MEMORY_COST_SHARE = 0.5;

/**
 * Prefill time that a cached prefix is expected to save, less what keeping it costs others. The wait at
 * the engine itself is part of its rank; here it lowers the probability that the prefix is still there.
 * Load pattern: prompts share their first parts, and memory is full at times, so that an engine that
 * held a prefix a moment ago has evicted it or has no room for the request.
 *
 * @param input - the prefix and its engine
 * @returns milliseconds, at least 0
 */
export function prefixSavingMs(input: PrefixValueInput): number {
  const { cachedTokens, confidence, expectedWaitMs, isUsable, memory, prefillTokensPerMs } = input;
  if (!isUsable || cachedTokens <= 0 || prefillTokensPerMs <= 0) {
    return 0;
  }
  const pressure = memoryPressure(memory);
  const waitShare = Math.min(1, expectedWaitMs / REUSE_WINDOW_MS);
  const keptProbability = (1 - pressure) * (1 - pressure * waitShare);
  const savedMs = (cachedTokens / prefillTokensPerMs) * confidence;
  return Math.max(0, savedMs * (keptProbability - pressure * MEMORY_COST_SHARE));
}

/** From 0 without pressure to 1 for a full memory. */
function memoryPressure({ plannableTokens, plannedTokens }: PrefixMemory): number {
  const share = plannedTokens / Math.max(1, plannableTokens);
  return Math.min(1, Math.max(0, (share - PRESSURE_FROM_SHARE) / (1 - PRESSURE_FROM_SHARE)));
}
