import type { ModelId, TeamId } from '@laburnumgap/kernel';
import { LENGTH_BUCKET_COUNT, lengthBucketOf } from './LengthBuckets.js';
import { LengthSurvivalCurve } from './LengthSurvivalCurve.js';

/** Attributes of a request that predict its output length. */
export interface LengthKey {
  /** The caller's limit. It distinguishes kinds of requests but does not estimate the length. */
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly teamId: TeamId;
}

/** Options of {@link LengthModel}. */
export interface LengthModelOptions {
  /** Maximum number of distributions. The least recently used one is evicted. */
  readonly maxDistributions?: number;
}

interface CachedCurve {
  readonly computedAtObservations: number;
  readonly curve: LengthSurvivalCurve;
}

const DEFAULT_MAX_DISTRIBUTIONS = 32_768;
/** Number of observations after which the weight of an observation has decayed to 1/e. */
const DECAY_OBSERVATIONS = 400;
/** Weight of the distribution of the coarser level in a blend, in observations. */
const COARSER_LEVEL_PSEUDO_COUNT = 12;
/** Weight of the log-uniform prior distribution in a blend, in observations. */
const PRIOR_PSEUDO_COUNT = 2;
/** A cached curve is recomputed after this fraction of new observations, or this number. */
const CURVE_REFRESH_SHARE = 0.05;
const CURVE_REFRESH_OBSERVATIONS = 200;
/** Ratio between the bounds of adjacent bands of token numbers. */
const BAND_BASE = 4;
/** Maximum number of cached curves. */
const MAX_CURVES = 4_096;
/** Number of distributions for which memory is allocated at first. */
const INITIAL_DISTRIBUTIONS = 64;

/**
 * Learns distributions of output lengths online, per team, model and kind of request. Callers do
 * not declare the kind: it consists of the caller's limit and the prompt length, each rounded down
 * to a power of four (its band). Each level is blended with the next coarser one: team, model and
 * kind; model and kind; model and band of the limit; model; all requests. The counts are
 * single-precision numbers in one slab of bounded size, whatever is observed.
 */
export class LengthModel {
  private readonly curves = new Map<string, CachedCurve>();
  private readonly freeSlots: number[] = [];
  private readonly maxDistributions: number;
  private observations = 0;
  /** Decayed bucket counts of all distributions, one after the other. */
  private slab: Float32Array;
  /** Index of each distribution in the slab by level key, least recently used first. */
  private readonly slots = new Map<string, number>();

  constructor(options: LengthModelOptions = {}) {
    this.maxDistributions = options.maxDistributions ?? DEFAULT_MAX_DISTRIBUTIONS;
    this.slab = new Float32Array(
      Math.min(INITIAL_DISTRIBUTIONS, this.maxDistributions) * LENGTH_BUCKET_COUNT,
    );
  }

  /** Bytes of memory that the counts occupy. */
  slabBytes(): number {
    return this.slab.byteLength;
  }

  /** Number of stored distributions. */
  size(): number {
    return this.slots.size;
  }

  /** Returns the survival curve for a request, blended from all levels with observations. */
  curveOf(key: LengthKey): LengthSurvivalCurve {
    const levels = levelKeysOf(key);
    const finest = levels.at(-1) ?? '';
    const cached = this.curves.get(finest);
    if (cached && this.observations <= refreshAtObservations(cached.computedAtObservations)) {
      return cached.curve;
    }
    const curve = new LengthSurvivalCurve(this.blendedProbabilities(levels));
    this.curves.delete(finest);
    this.curves.set(finest, { computedAtObservations: this.observations, curve });
    this.evictOldestCurve();
    return curve;
  }

  /** Records the length of a completed output. */
  observe(key: LengthKey, producedTokens: number): void {
    this.observations += 1;
    const bucket = lengthBucketOf(Math.max(1, producedTokens));
    for (const level of levelKeysOf(key)) {
      const start = this.slotOf(level) * LENGTH_BUCKET_COUNT;
      for (let index = start; index < start + LENGTH_BUCKET_COUNT; index += 1) {
        this.slab[index] = (this.slab[index] ?? 0) * (1 - 1 / DECAY_OBSERVATIONS);
      }
      this.slab[start + bucket] = (this.slab[start + bucket] ?? 0) + 1;
    }
  }

  private evictOldestCurve(): void {
    if (this.curves.size <= Math.min(MAX_CURVES, this.maxDistributions)) {
      return;
    }
    const oldest = this.curves.keys().next();
    this.curves.delete(oldest.value ?? '');
  }

  private grow(): void {
    const newLength = Math.min(this.slab.length * 2, this.maxDistributions * LENGTH_BUCKET_COUNT);
    const slab = new Float32Array(newLength);
    slab.set(this.slab);
    this.slab = slab;
  }

  private blendedProbabilities(levels: readonly string[]): Float64Array {
    const probabilities = new Float64Array(LENGTH_BUCKET_COUNT).fill(1 / LENGTH_BUCKET_COUNT);
    let pseudoCount = PRIOR_PSEUDO_COUNT;
    for (const level of levels) {
      const slot = this.slots.get(level);
      if (slot === undefined) {
        return probabilities;
      }
      this.blend(probabilities, slot, pseudoCount);
      pseudoCount = COARSER_LEVEL_PSEUDO_COUNT;
    }
    return probabilities;
  }

  private blend(probabilities: Float64Array, slot: number, pseudoCount: number): void {
    const counts = this.slab.subarray(slot * LENGTH_BUCKET_COUNT, (slot + 1) * LENGTH_BUCKET_COUNT);
    const total = counts.reduce((sum, count) => sum + count, pseudoCount);
    for (let bucket = 0; bucket < LENGTH_BUCKET_COUNT; bucket += 1) {
      const coarserCount = (probabilities[bucket] ?? 0) * pseudoCount;
      probabilities[bucket] = (coarserCount + (counts[bucket] ?? 0)) / total;
    }
  }

  /** Finds the slot of a level or allocates one, and marks it as the most recently used. */
  private slotOf(level: string): number {
    const known = this.slots.get(level);
    if (known !== undefined) {
      this.slots.delete(level);
      this.slots.set(level, known);
      return known;
    }
    if (this.slots.size >= this.maxDistributions) {
      this.evictLeastRecentlyUsed();
    }
    const slot = this.freeSlots.pop() ?? this.slots.size;
    if ((slot + 1) * LENGTH_BUCKET_COUNT > this.slab.length) {
      this.grow();
    }
    this.slab.fill(0, slot * LENGTH_BUCKET_COUNT, (slot + 1) * LENGTH_BUCKET_COUNT);
    this.slots.set(level, slot);
    return slot;
  }

  private evictLeastRecentlyUsed(): void {
    const oldest = this.slots.entries().next().value;
    if (oldest) {
      this.slots.delete(oldest[0]);
      this.freeSlots.push(oldest[1]);
    }
  }
}

/** Total number of observations above which a curve computed at `observations` is recomputed. */
function refreshAtObservations(observations: number): number {
  const further = Math.min(observations * CURVE_REFRESH_SHARE, CURVE_REFRESH_OBSERVATIONS);
  return observations + further;
}

/** Band of a number of tokens: the exponent of the power of {@link BAND_BASE} at or below it. */
function bandOf(tokens: number): number {
  return Math.floor(Math.log(Math.max(1, tokens)) / Math.log(BAND_BASE));
}

/** Keys of the levels that are blended for a request, coarsest first. */
function levelKeysOf(key: LengthKey): readonly string[] {
  const boundKey = `${key.model}|${bandOf(key.maxTokens)}`;
  const kindKey = `${boundKey}|${bandOf(key.promptTokens)}`;
  return ['', key.model, boundKey, kindKey, `${kindKey}|${key.teamId}`];
}
