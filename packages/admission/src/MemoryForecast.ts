import type { LengthSurvivalCurve } from './LengthSurvivalCurve.js';

/** Points at which memory use is forecast, in further tokens produced by each generation. */
export const FORECAST_STEPS_TOKENS: readonly number[] = [
  0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16_384,
];

/** Below this probability, a conditional probability is taken as 0 instead of dividing by it. */
const MIN_SURVIVAL_PROBABILITY = 1e-9;
/** Share of the memory below which a generation's expected use is ignored. */
const NEGLIGIBLE_SHARE = 0.001;

/** KV cache use of one generation. */
export interface GenerationMemory {
  /** Survival curve of the output length. */
  readonly curve: LengthSurvivalCurve;
  /** Prompt and produced tokens in the KV cache now. */
  readonly heldTokens: number;
  /** The caller's limit on the length of the whole output. */
  readonly maxTokens: number;
  readonly producedTokens: number;
}

/** Mean and variance of the tokens that one generation holds, by forecast step. */
interface GenerationForecast {
  readonly meanTokens: Float64Array;
  readonly varianceTokens: Float64Array;
}

/**
 * Forecasts the use of an engine's KV cache at fixed steps. At each step, a generation either still
 * runs and holds its current tokens plus the tokens produced until then, or has ended and released
 * all of them. The variance of the forecast comes from the uncertainty about which is the case.
 */
export class MemoryForecast<Id> {
  private readonly forecasts = new Map<Id, GenerationForecast>();
  private readonly meanTokens = new Float64Array(FORECAST_STEPS_TOKENS.length);
  private readonly varianceTokens = new Float64Array(FORECAST_STEPS_TOKENS.length);

  /** Tokens held in the KV cache now. */
  heldTokens(): number {
    return this.meanTokens[0] ?? 0;
  }

  /** Expected tokens held at a step of {@link FORECAST_STEPS_TOKENS}. */
  expectedTokens(stepIndex: number): number {
    return this.meanTokens[stepIndex] ?? 0;
  }

  /** Contribution of one generation to {@link expectedTokens}. */
  expectedTokensOf(id: Id, stepIndex: number): number {
    return this.forecasts.get(id)?.meanTokens[stepIndex] ?? 0;
  }

  /** Adds a generation, or replaces its forecast. */
  put(id: Id, memory: GenerationMemory): void {
    this.remove(id);
    const forecast = forecastOf(memory);
    this.forecasts.set(id, forecast);
    this.accumulate(forecast, 1);
  }

  remove(id: Id): void {
    const forecast = this.forecasts.get(id);
    if (forecast) {
      this.forecasts.delete(id);
      this.accumulate(forecast, -1);
    }
  }

  /**
   * Peak memory use over all steps if a candidate generation were admitted.
   *
   * @param candidate - the candidate generation, if any
   * @param deviations - safety margin above the mean, in standard deviations
   * @returns the peak in tokens
   */
  peakTokens(candidate: GenerationMemory | undefined, deviations: number): number {
    const candidateForecast = candidate && forecastOf(candidate);
    let peakTokens = 0;
    for (let index = 0; index < this.meanTokens.length; index += 1) {
      const mean = (this.meanTokens[index] ?? 0) + (candidateForecast?.meanTokens[index] ?? 0);
      const variance =
        (this.varianceTokens[index] ?? 0) + (candidateForecast?.varianceTokens[index] ?? 0);
      peakTokens = Math.max(peakTokens, mean + deviations * Math.sqrt(Math.max(0, variance)));
    }
    return peakTokens;
  }

  /**
   * Whether a candidate generation may be admitted. At each step, either the memory suffices, or the
   * candidate has most likely ended by then and does not make a shortage worse.
   *
   * @param candidate - the candidate generation
   * @param deviations - safety margin above the mean, in standard deviations
   * @param limitTokens - the available memory in tokens
   * @returns whether the candidate fits
   */
  fits(candidate: GenerationMemory, deviations: number, limitTokens: number): boolean {
    const candidateForecast = forecastOf(candidate);
    const negligibleTokens = NEGLIGIBLE_SHARE * limitTokens;
    return candidateForecast.meanTokens.every((candidateTokens, index) => {
      if (index > 0 && candidateTokens <= negligibleTokens) {
        return true;
      }
      const mean = (this.meanTokens[index] ?? 0) + candidateTokens;
      const variance =
        (this.varianceTokens[index] ?? 0) + (candidateForecast.varianceTokens[index] ?? 0);
      return mean + deviations * Math.sqrt(Math.max(0, variance)) <= limitTokens;
    });
  }

  private accumulate(forecast: GenerationForecast, sign: number): void {
    for (let index = 0; index < this.meanTokens.length; index += 1) {
      this.meanTokens[index] =
        (this.meanTokens[index] ?? 0) + sign * (forecast.meanTokens[index] ?? 0);
      this.varianceTokens[index] =
        (this.varianceTokens[index] ?? 0) + sign * (forecast.varianceTokens[index] ?? 0);
    }
  }
}

function forecastOf(memory: GenerationMemory): GenerationForecast {
  const stepCount = FORECAST_STEPS_TOKENS.length;
  const meanTokens = new Float64Array(stepCount);
  const varianceTokens = new Float64Array(stepCount);
  const survivalNow = memory.curve.survivalProbability(memory.producedTokens);
  FORECAST_STEPS_TOKENS.forEach((stepTokens, index) => {
    const tokens = memory.heldTokens + stepTokens;
    const probability = runningProbability(memory, stepTokens, survivalNow);
    meanTokens[index] = probability * tokens;
    varianceTokens[index] = probability * (1 - probability) * tokens * tokens;
  });
  return { meanTokens, varianceTokens };
}

/** Probability that a generation still runs at a step, given that it runs now. */
function runningProbability(
  memory: GenerationMemory,
  stepTokens: number,
  survivalNow: number,
): number {
  if (stepTokens === 0) {
    return 1;
  }
  const tokens = memory.producedTokens + stepTokens;
  if (tokens >= memory.maxTokens || survivalNow < MIN_SURVIVAL_PROBABILITY) {
    return 0;
  }
  return memory.curve.survivalProbability(tokens) / survivalNow;
}
