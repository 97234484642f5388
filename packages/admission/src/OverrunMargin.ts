/** Options of an overrun margin. */
export interface OverrunMarginOptions {
  /** Overruns that are acceptable for each generation that ends. */
  readonly targetChance?: number;
}

const DEFAULT_TARGET_CHANCE = 0.01;
const START_DEVIATIONS = 1.5;
const MIN_DEVIATIONS = 0.25;
const MAX_DEVIATIONS = 5;
const STEP_DEVIATIONS = 0.2;
/** Overruns this close together come from one forecast. */
const OVERRUN_WINDOW_MS = 10_000;

/**
 * The margin of memory forecasts, in standard deviations. Each overrun raises it and each
 * generation that ends without one lowers it a little, so that it settles where overruns are as
 * frequent as the target.
 */
export class OverrunMargin {
  private current = START_DEVIATIONS;
  private lastOverrunMs = -Infinity;
  private readonly targetChance: number;

  constructor(options: OverrunMarginOptions = {}) {
    this.targetChance = options.targetChance ?? DEFAULT_TARGET_CHANCE;
  }

  /** Standard deviations to add to a forecast. */
  deviations(): number {
    return this.current;
  }

  /** Notes a generation that ended without an overrun. */
  noteEnd(): void {
    this.current = Math.max(MIN_DEVIATIONS, this.current - STEP_DEVIATIONS * this.targetChance);
  }

  /** Notes that memory ran out, or would have. */
  noteOverrun(nowMs: number): void {
    if (nowMs - this.lastOverrunMs < OVERRUN_WINDOW_MS) {
      return;
    }
    this.lastOverrunMs = nowMs;
    const raised = this.current + STEP_DEVIATIONS * (1 - this.targetChance);
    this.current = Math.min(MAX_DEVIATIONS, raised);
  }
}
