import type { LengthCurve } from './LengthCurve.js';

/** Steps ahead, in tokens of each generation, at which the use of memory is forecast. */
export const FORECAST_STEPS_TOKENS: readonly number[] = [
  0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16_384,
];

/** Smallest chance used as a divisor. */
const SMALLEST_CHANCE = 1e-9;
/** Part of the memory below which a generation's expected use does not matter. */
const NEGLIGIBLE_SHARE = 0.001;

/** A generation's hold on an engine's memory. */
export interface MemoryHold {
  readonly curve: LengthCurve;
  /** Prompt and produced tokens in memory now. */
  readonly heldTokens: number;
  /** The caller's bound on the whole output. */
  readonly maxTokens: number;
  readonly producedTokens: number;
}

interface HoldForecast {
  readonly meanTokens: Float64Array;
  readonly varianceTokens: Float64Array;
}

/**
 * Expected use of an engine's memory, step by step: each generation holds what it holds now plus
 * its growth, with the chance that it has not ended by then. A generation's end gives everything
 * back, which is where the variance comes from.
 */
export class MemoryForecast<Id> {
  private readonly forecasts = new Map<Id, HoldForecast>();
  private readonly meanTokens = new Float64Array(FORECAST_STEPS_TOKENS.length);
  private readonly varianceTokens = new Float64Array(FORECAST_STEPS_TOKENS.length);

  /** Tokens held now. */
  heldTokens(): number {
    return this.meanTokens[0] ?? 0;
  }

  /** Expected tokens held at a step of {@link FORECAST_STEPS_TOKENS}. */
  expectedTokens(stepIndex: number): number {
    return this.meanTokens[stepIndex] ?? 0;
  }

  /** One generation's part of {@link expectedTokens}. */
  expectedTokensOf(id: Id, stepIndex: number): number {
    return this.forecasts.get(id)?.meanTokens[stepIndex] ?? 0;
  }

  /** Adds a generation, or replaces what is known of it. */
  put(id: Id, hold: MemoryHold): void {
    this.remove(id);
    const forecast = forecastOf(hold);
    this.forecasts.set(id, forecast);
    this.add(forecast, 1);
  }

  remove(id: Id): void {
    const forecast = this.forecasts.get(id);
    if (forecast) {
      this.forecasts.delete(id);
      this.add(forecast, -1);
    }
  }

  /**
   * Highest use of memory over all steps, if a further generation came in.
   *
   * @param candidate - the further generation, if any
   * @param deviations - standard deviations added to the mean
   * @returns the peak in tokens
   */
  peakTokens(candidate: MemoryHold | undefined, deviations: number): number {
    const added = candidate && forecastOf(candidate);
    let peakTokens = 0;
    for (let index = 0; index < this.meanTokens.length; index += 1) {
      const mean = (this.meanTokens[index] ?? 0) + (added?.meanTokens[index] ?? 0);
      const variance = (this.varianceTokens[index] ?? 0) + (added?.varianceTokens[index] ?? 0);
      peakTokens = Math.max(peakTokens, mean + deviations * Math.sqrt(Math.max(0, variance)));
    }
    return peakTokens;
  }

  /**
   * Whether a further generation may come in: at each step, memory suffices or the generation has
   * most likely ended by then, so that it does not make a shortage worse.
   *
   * @param candidate - the further generation
   * @param deviations - standard deviations added to the mean
   * @param limitTokens - the memory
   * @returns whether it may
   */
  fits(candidate: MemoryHold, deviations: number, limitTokens: number): boolean {
    const added = forecastOf(candidate);
    const negligibleTokens = NEGLIGIBLE_SHARE * limitTokens;
    return added.meanTokens.every((addedTokens, index) => {
      if (index > 0 && addedTokens <= negligibleTokens) {
        return true;
      }
      const mean = (this.meanTokens[index] ?? 0) + addedTokens;
      const variance = (this.varianceTokens[index] ?? 0) + (added.varianceTokens[index] ?? 0);
      return mean + deviations * Math.sqrt(Math.max(0, variance)) <= limitTokens;
    });
  }

  private add(forecast: HoldForecast, sign: number): void {
    for (let index = 0; index < this.meanTokens.length; index += 1) {
      this.meanTokens[index] =
        (this.meanTokens[index] ?? 0) + sign * (forecast.meanTokens[index] ?? 0);
      this.varianceTokens[index] =
        (this.varianceTokens[index] ?? 0) + sign * (forecast.varianceTokens[index] ?? 0);
    }
  }
}

function forecastOf(hold: MemoryHold): HoldForecast {
  const steps = FORECAST_STEPS_TOKENS.length;
  const meanTokens = new Float64Array(steps);
  const varianceTokens = new Float64Array(steps);
  const reached = hold.curve.chanceBeyond(hold.producedTokens);
  FORECAST_STEPS_TOKENS.forEach((stepTokens, index) => {
    const tokens = hold.heldTokens + stepTokens;
    const chance = chanceOfHolding(hold, stepTokens, reached);
    meanTokens[index] = chance * tokens;
    varianceTokens[index] = chance * (1 - chance) * tokens * tokens;
  });
  return { meanTokens, varianceTokens };
}

function chanceOfHolding(hold: MemoryHold, stepTokens: number, reached: number): number {
  if (stepTokens === 0) {
    return 1;
  }
  const tokens = hold.producedTokens + stepTokens;
  if (tokens >= hold.maxTokens || reached < SMALLEST_CHANCE) {
    return 0;
  }
  return hold.curve.chanceBeyond(tokens) / reached;
}
