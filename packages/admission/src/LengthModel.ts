import type { ModelId, TeamId } from '@laburnumgap/kernel';
import { LENGTH_BUCKETS, lengthBucketOf } from './LengthBuckets.js';
import { LengthCurve } from './LengthCurve.js';

/** What outputs are told apart by. */
export interface LengthKey {
  /** The caller's bound: it helps to tell kinds apart and is no estimate. */
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly teamId: TeamId;
}

/** Bounds of a length model. */
export interface LengthModelOptions {
  /** Distributions kept; the one unused for longest is dropped first. */
  readonly maxDistributions?: number;
}

interface CachedCurve {
  readonly atObservations: number;
  readonly curve: LengthCurve;
}

const DEFAULT_MAX_DISTRIBUTIONS = 32_768;
/** Observations after which an old one has lost most of its share. */
const MEMORY_OBSERVATIONS = 400;
/** Observations that the coarser level counts for. */
const COARSER_LEVEL_OBSERVATIONS = 12;
/** Observations that the log-uniform start distribution counts for. */
const PRIOR_OBSERVATIONS = 2;
/** A curve is computed anew after this share of further observations, or this many. */
const CURVE_REFRESH_SHARE = 0.05;
const CURVE_REFRESH_OBSERVATIONS = 200;
const KIND_BASE = 4;
const MAX_CURVES = 4_096;
const START_DISTRIBUTIONS = 64;

/**
 * Streaming output lengths per team, model and kind. Callers don't name a kind: it is the band of
 * the caller's bound and the band of the prompt's length. Each level is blended with the coarser
 * one: team, model and kind; model and kind; model and band of the bound; model; all. Memory is one
 * slab of single-precision counts with a bound, whatever is observed.
 */
export class LengthModel {
  private readonly curves = new Map<string, CachedCurve>();
  private readonly freeSlots: number[] = [];
  private readonly maxDistributions: number;
  private observations = 0;
  private slab: Float32Array;
  /** Slots by key, least recently used first. */
  private readonly slots = new Map<string, number>();

  constructor(options: LengthModelOptions = {}) {
    this.maxDistributions = options.maxDistributions ?? DEFAULT_MAX_DISTRIBUTIONS;
    this.slab = new Float32Array(
      Math.min(START_DISTRIBUTIONS, this.maxDistributions) * LENGTH_BUCKETS,
    );
  }

  /** Bytes held by the counts. */
  slabBytes(): number {
    return this.slab.byteLength;
  }

  /** Number of distributions kept. */
  size(): number {
    return this.slots.size;
  }

  /** Length distribution for a request, as far as it is known. */
  curveOf(key: LengthKey): LengthCurve {
    const levels = levelsOf(key);
    const finest = levels.at(-1) ?? '';
    const cached = this.curves.get(finest);
    if (cached && this.observations <= refreshAfter(cached.atObservations)) {
      return cached.curve;
    }
    const curve = new LengthCurve(this.sharesOf(levels));
    this.curves.delete(finest);
    this.curves.set(finest, { atObservations: this.observations, curve });
    this.dropOldestCurve();
    return curve;
  }

  /** Learns the length of an output that ended by itself. */
  observe(key: LengthKey, producedTokens: number): void {
    this.observations += 1;
    const bucket = lengthBucketOf(Math.max(1, producedTokens));
    for (const level of levelsOf(key)) {
      const start = this.slotOf(level) * LENGTH_BUCKETS;
      for (let index = start; index < start + LENGTH_BUCKETS; index += 1) {
        this.slab[index] = (this.slab[index] ?? 0) * (1 - 1 / MEMORY_OBSERVATIONS);
      }
      this.slab[start + bucket] = (this.slab[start + bucket] ?? 0) + 1;
    }
  }

  private dropOldestCurve(): void {
    if (this.curves.size <= Math.min(MAX_CURVES, this.maxDistributions)) {
      return;
    }
    const oldest = this.curves.keys().next();
    this.curves.delete(oldest.value ?? '');
  }

  private grow(): void {
    const doubled = Math.min(this.slab.length * 2, this.maxDistributions * LENGTH_BUCKETS);
    const slab = new Float32Array(doubled);
    slab.set(this.slab);
    this.slab = slab;
  }

  private sharesOf(levels: readonly string[]): Float64Array {
    const shares = new Float64Array(LENGTH_BUCKETS).fill(1 / LENGTH_BUCKETS);
    let coarserObservations = PRIOR_OBSERVATIONS;
    for (const level of levels) {
      const slot = this.slots.get(level);
      if (slot === undefined) {
        return shares;
      }
      this.blend(shares, slot, coarserObservations);
      coarserObservations = COARSER_LEVEL_OBSERVATIONS;
    }
    return shares;
  }

  private blend(shares: Float64Array, slot: number, coarserObservations: number): void {
    const counts = this.slab.subarray(slot * LENGTH_BUCKETS, (slot + 1) * LENGTH_BUCKETS);
    const total = counts.reduce((sum, count) => sum + count, coarserObservations);
    for (let bucket = 0; bucket < LENGTH_BUCKETS; bucket += 1) {
      const coarser = (shares[bucket] ?? 0) * coarserObservations;
      shares[bucket] = (coarser + (counts[bucket] ?? 0)) / total;
    }
  }

  private slotOf(level: string): number {
    const known = this.slots.get(level);
    if (known !== undefined) {
      this.slots.delete(level);
      this.slots.set(level, known);
      return known;
    }
    if (this.slots.size >= this.maxDistributions) {
      this.dropLeastRecentlyUsed();
    }
    const slot = this.freeSlots.pop() ?? this.slots.size;
    if ((slot + 1) * LENGTH_BUCKETS > this.slab.length) {
      this.grow();
    }
    this.slab.fill(0, slot * LENGTH_BUCKETS, (slot + 1) * LENGTH_BUCKETS);
    this.slots.set(level, slot);
    return slot;
  }

  private dropLeastRecentlyUsed(): void {
    const oldest = this.slots.entries().next().value;
    if (oldest) {
      this.slots.delete(oldest[0]);
      this.freeSlots.push(oldest[1]);
    }
  }
}

function refreshAfter(observations: number): number {
  const further = Math.min(observations * CURVE_REFRESH_SHARE, CURVE_REFRESH_OBSERVATIONS);
  return observations + further;
}

function bandOf(tokens: number): number {
  return Math.floor(Math.log(Math.max(1, tokens)) / Math.log(KIND_BASE));
}

function levelsOf(key: LengthKey): readonly string[] {
  const ofBound = `${key.model}|${bandOf(key.maxTokens)}`;
  const ofKind = `${ofBound}|${bandOf(key.promptTokens)}`;
  return ['', key.model, ofBound, ofKind, `${ofKind}|${key.teamId}`];
}
