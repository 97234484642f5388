import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

/** Latency distributions of one run, in milliseconds; mergeable across runs. */
export interface BenchHistograms {
  readonly gaps: Histogram;
  /** Total stall of each generation, by kind. */
  readonly stallsOfKind: ReadonlyMap<string, Histogram>;
}

/** Summary statistics of one run. */
export interface BenchFigures {
  readonly arrived: number;
  readonly finished: number;
  readonly gapP99Ms: number;
  /** Number of generations that were preempted three times or more. */
  readonly oftenPreempted: number;
  readonly preemptionsPer100: number;
  readonly refusedPercent: number;
  readonly smallTeamWaitS: number;
  readonly stallP50S: number;
  readonly stallP95S: number;
  readonly stallP99S: number;
  readonly tokensPerSecond: number;
}

/** Gaps between two tokens up to this length do not count as a stall. */
const STALL_GAP_MS = 200;
const MS_PER_S = 1_000;
const OFTEN_PREEMPTED_COUNT = 3;
const MAX_TRACKABLE_MS = 3_600_000;

/** Collects the statistics of one run. */
export class BenchRecorder {
  private arrived = 0;
  private finished = 0;
  private finishedTokens = 0;
  private readonly gaps: Histogram = newHistogram();
  private preemptions = 0;
  private refused = 0;
  private smallTeamWaitMs = 0;
  private readonly stalls: Histogram = newHistogram();
  private readonly stallsOfKind = new Map<string, Histogram>();
  private oftenPreempted = 0;

  recordArrival(): void {
    this.arrived += 1;
  }

  /** Records the time between two tokens and returns the part of it that counts as a stall. */
  recordGap(gapMs: number): number {
    this.gaps.recordValue(Math.round(gapMs));
    return Math.max(0, gapMs - STALL_GAP_MS);
  }

  /** Records a finished generation with its length, total stall and preemptions. */
  recordFinished(kind: string, tokens: number, stallMs: number, preemptions: number): void {
    this.finished += 1;
    this.finishedTokens += tokens;
    this.stalls.recordValue(Math.round(stallMs));
    const kindHistogram = this.stallsOfKind.get(kind) ?? newHistogram();
    kindHistogram.recordValue(Math.round(stallMs));
    this.stallsOfKind.set(kind, kindHistogram);
    this.oftenPreempted += preemptions >= OFTEN_PREEMPTED_COUNT ? 1 : 0;
  }

  /** Counts a preemption by the engine or the admission controller. */
  recordPreemption(): void {
    this.preemptions += 1;
  }

  recordRefusal(): void {
    this.refused += 1;
  }

  /** Records a small team's wait for the first token; the longest is kept. */
  recordSmallTeamWait(waitMs: number): void {
    this.smallTeamWaitMs = Math.max(this.smallTeamWaitMs, waitMs);
  }

  histograms(): BenchHistograms {
    return { gaps: this.gaps, stallsOfKind: this.stallsOfKind };
  }

  /** Returns the statistics of a run with arrivals over the given duration. */
  figures(durationMs: number): BenchFigures {
    return {
      arrived: this.arrived,
      finished: this.finished,
      gapP99Ms: this.gaps.getValueAtPercentile(99),
      preemptionsPer100: (100 * this.preemptions) / Math.max(1, this.finished),
      refusedPercent: (100 * this.refused) / Math.max(1, this.arrived),
      smallTeamWaitS: this.smallTeamWaitMs / MS_PER_S,
      stallP50S: this.stalls.getValueAtPercentile(50) / MS_PER_S,
      stallP95S: this.stalls.getValueAtPercentile(95) / MS_PER_S,
      stallP99S: this.stalls.getValueAtPercentile(99) / MS_PER_S,
      tokensPerSecond: (MS_PER_S * this.finishedTokens) / durationMs,
      oftenPreempted: this.oftenPreempted,
    };
  }
}

/**
 * Creates a histogram of durations in milliseconds.
 *
 * @returns the empty histogram
 */
export function newHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_TRACKABLE_MS,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 3,
  });
}
