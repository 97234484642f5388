import type { EngineLoad } from '@laburnumgap/kernel';

interface HeldSample {
  readonly atMs: number;
  readonly heldTokens: number;
}

const MAX_SAMPLES = 64;
const SAMPLE_INTERVAL_MS = 100;
const SMOOTHING = 0.3;
/** Largest downward correction, as a share of the engine's memory. */
const MAX_DOWNWARD_SHARE = 0.1;

/**
 * Smoothed difference between an engine's delayed load reports and this scheduler's own count of
 * held tokens at the time of measurement. Covers reservations of another scheduler, orphaned
 * generations and cached prefixes.
 */
export class LoadCorrection {
  private currentTokens = 0;
  /** Recent values of the own count, oldest first. */
  private samples: HeldSample[] = [];

  /** Tokens to add to this scheduler's own count; negative if the engine holds fewer. */
  tokens(): number {
    return this.currentTokens;
  }

  /** Records this scheduler's own count of held tokens, for comparison with a later report. */
  recordSample(heldTokens: number, nowMs: number): void {
    const last = this.samples.at(-1);
    if (last && nowMs - last.atMs < SAMPLE_INTERVAL_MS) {
      return;
    }
    this.samples.push({ atMs: nowMs, heldTokens });
    if (this.samples.length > MAX_SAMPLES) {
      this.samples.shift();
    }
  }

  /**
   * Updates the correction from a load report.
   *
   * @param load - the report
   * @param nowMs - when it was received
   * @param immediate - whether to apply the full difference without smoothing, as after a restart
   */
  recordReport(load: EngineLoad, nowMs: number, immediate: boolean): void {
    const measuredMs = nowMs - load.ageMs;
    const heldTokens = this.heldTokensAt(measuredMs);
    const differenceTokens = load.kvTokensUsed - heldTokens;
    const minTokens = minCorrectionTokens(load);
    const smoothing = immediate ? 1 : SMOOTHING;
    const smoothedTokens = this.currentTokens + smoothing * (differenceTokens - this.currentTokens);
    this.currentTokens = Math.max(minTokens, smoothedTokens);
  }

  private heldTokensAt(timeMs: number): number {
    const before = this.samples.findLast((sample) => sample.atMs <= timeMs);
    return before?.heldTokens ?? this.samples[0]?.heldTokens ?? 0;
  }
}

/**
 * Lower bound of the correction. While the engine queues generations, their tokens are missing from
 * its memory only temporarily, so the correction must not go below 0.
 */
function minCorrectionTokens(load: EngineLoad): number {
  return load.queuedGenerations > 0 ? 0 : -MAX_DOWNWARD_SHARE * load.kvTokensCapacity;
}
