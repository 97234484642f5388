/** Options of {@link OverrunMargin}. */
export interface OverrunMarginOptions {
  /** Acceptable overruns per completed generation. */
  readonly targetOverrunRate?: number;
}

const DEFAULT_TARGET_OVERRUN_RATE = 0.01;
const INITIAL_DEVIATIONS = 1.5;
const MIN_DEVIATIONS = 0.25;
const MAX_DEVIATIONS = 5;
const STEP_DEVIATIONS = 0.2;
/** Overruns within this time of each other result from the same forecast and count once. */
const OVERRUN_WINDOW_MS = 10_000;

/**
 * Adaptive safety margin of memory forecasts, in standard deviations. An overrun is a preemption
 * because memory ran out or was about to. Each overrun raises the margin, and each generation that
 * completes without one lowers it slightly, so that the margin converges to the value at which
 * overruns occur at the target rate.
 */
export class OverrunMargin {
  private currentDeviations = INITIAL_DEVIATIONS;
  private lastOverrunMs = -Infinity;
  private readonly targetOverrunRate: number;

  constructor(options: OverrunMarginOptions = {}) {
    this.targetOverrunRate = options.targetOverrunRate ?? DEFAULT_TARGET_OVERRUN_RATE;
  }

  /** Standard deviations to add to the mean of a forecast. */
  deviations(): number {
    return this.currentDeviations;
  }

  /** Records a generation that completed without an overrun. */
  recordCompletion(): void {
    this.currentDeviations = Math.max(
      MIN_DEVIATIONS,
      this.currentDeviations - STEP_DEVIATIONS * this.targetOverrunRate,
    );
  }

  /** Records that memory ran out, or that a preemption prevented it from running out. */
  recordOverrun(nowMs: number): void {
    if (nowMs - this.lastOverrunMs < OVERRUN_WINDOW_MS) {
      return;
    }
    this.lastOverrunMs = nowMs;
    const raisedDeviations =
      this.currentDeviations + STEP_DEVIATIONS * (1 - this.targetOverrunRate);
    this.currentDeviations = Math.min(MAX_DEVIATIONS, raisedDeviations);
  }
}
