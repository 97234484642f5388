import type { EngineLoad } from '@laburnumgap/kernel';

interface HeldSample {
  readonly atMs: number;
  readonly heldTokens: number;
}

const MAX_SAMPLES = 64;
const SAMPLE_INTERVAL_MS = 100;
const SMOOTHING = 0.3;
/** The engine may hold less than the model says, by this share of its memory at most. */
const MAX_DOWNWARD_SHARE = 0.1;

/**
 * Difference between an engine's lagging report and what this scheduler thought the engine held
 * at the time of the report. Covers reservations of another scheduler, orphaned generations and
 * cached prefixes.
 */
export class LoadCorrection {
  private currentTokens = 0;
  private samples: HeldSample[] = [];

  /** Tokens to add to this scheduler's own count. */
  tokens(): number {
    return this.currentTokens;
  }

  /** Keeps what this scheduler thinks is held, for comparison with a later report. */
  sample(heldTokens: number, nowMs: number): void {
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
   * Takes a report.
   *
   * @param load - the report
   * @param nowMs - when it was received
   * @param immediate - take the whole difference at once, as after a restart
   */
  report(load: EngineLoad, nowMs: number, immediate: boolean): void {
    const measuredMs = nowMs - load.ageMs;
    const heldTokens = this.heldAt(measuredMs);
    const difference = load.kvTokensUsed - heldTokens;
    const lowest = lowestCorrection(load);
    const smoothing = immediate ? 1 : SMOOTHING;
    const moved = this.currentTokens + smoothing * (difference - this.currentTokens);
    this.currentTokens = Math.max(lowest, moved);
  }

  private heldAt(timeMs: number): number {
    const before = this.samples.findLast((sample) => sample.atMs <= timeMs);
    return before?.heldTokens ?? this.samples[0]?.heldTokens ?? 0;
  }
}

/** What the engine itself holds back is in its queue, not in its memory, and will come back. */
function lowestCorrection(load: EngineLoad): number {
  return load.queuedGenerations > 0 ? 0 : -MAX_DOWNWARD_SHARE * load.kvTokensCapacity;
}
