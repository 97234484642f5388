import type { BenchRandom } from './PolicyBenchRandom.js';
import { createBenchRandom } from './PolicyBenchRandom.js';

/** A kind of generation in a customer's workload. */
export interface BenchKind {
  readonly lengthMedianTokens: number;
  readonly lengthSigma: number;
  readonly maxTokens: number;
  readonly name: string;
  readonly priorityClass: number;
  readonly promptMedianTokens: number;
  readonly share: number;
  readonly waitBoundMs: number;
}

/** A team of a customer. */
export interface BenchTeam {
  readonly isSmall: boolean;
  readonly name: string;
  readonly share: number;
}

/** A customer's workload: kinds of generations and teams, weighted by share. */
export interface BenchMix {
  readonly kinds: readonly [BenchKind, ...BenchKind[]];
  readonly name: string;
  readonly teams: readonly [BenchTeam, ...BenchTeam[]];
}

/** A request of the benchmark. The admission policy does not see its output length. */
export interface BenchRequest {
  readonly arrivalMs: number;
  readonly id: string;
  readonly kind: BenchKind;
  readonly lengthTokens: number;
  readonly promptTokens: number;
  readonly team: BenchTeam;
}

const PROMPT_SIGMA = 0.4;
/** Share of outputs that are {@link RUNAWAY_FACTOR} times as long as drawn. */
const RUNAWAY_SHARE = 0.03;
const RUNAWAY_FACTOR = 6;
const MEAN_SAMPLE_COUNT = 20_000;
const MEAN_SAMPLE_SEED = 77;

const TEAMS: readonly [BenchTeam, ...BenchTeam[]] = [
  { isSmall: false, name: 'large-1', share: 50 },
  { isSmall: false, name: 'large-2', share: 20 },
  ...Array.from({ length: 8 }, (_, index) => ({
    isSmall: true,
    name: `small-${index + 1}`,
    share: 30 / 8,
  })),
];

/** Reconciliation reports and recount flags. */
const HOA_SEN: BenchMix = {
  kinds: [
    {
      lengthMedianTokens: 700,
      lengthSigma: 0.8,
      maxTokens: 8_000,
      name: 'report',
      priorityClass: 2,
      promptMedianTokens: 900,
      share: 30,
      waitBoundMs: 60_000,
    },
    {
      lengthMedianTokens: 30,
      lengthSigma: 0.5,
      maxTokens: 8_000,
      name: 'flag',
      priorityClass: 1,
      promptMedianTokens: 250,
      share: 70,
      waitBoundMs: 15_000,
    },
  ],
  name: 'hoa-sen',
  teams: TEAMS,
};

/** Long gallery layout drafts and hook-spacing notes. */
const HARROW_PELL: BenchMix = {
  kinds: [
    {
      lengthMedianTokens: 1_400,
      lengthSigma: 0.7,
      maxTokens: 12_000,
      name: 'draft',
      priorityClass: 1,
      promptMedianTokens: 600,
      share: 40,
      waitBoundMs: 90_000,
    },
    {
      lengthMedianTokens: 80,
      lengthSigma: 0.6,
      maxTokens: 2_000,
      name: 'note',
      priorityClass: 0,
      promptMedianTokens: 200,
      share: 60,
      waitBoundMs: 15_000,
    },
  ],
  name: 'harrow-pell',
  teams: TEAMS,
};

/** Workload mixes of the two example customers. */
export const BENCH_MIXES: readonly BenchMix[] = [HOA_SEN, HARROW_PELL];

/** Options of {@link generateWorkload}. */
export interface WorkloadOptions {
  readonly durationMs: number;
  readonly mix: BenchMix;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

/**
 * Generates the requests of a run from a seeded random generator.
 *
 * @param options - mix, request rate, duration and seed
 * @returns the requests in order of arrival
 */
export function generateWorkload(options: WorkloadOptions): readonly BenchRequest[] {
  const random = createBenchRandom(options.seed);
  const requests: BenchRequest[] = [];
  let arrivalMs = random.exponential(1000 / options.requestsPerSecond);
  while (arrivalMs < options.durationMs) {
    requests.push(generateRequest(options.mix, random, arrivalMs, `request-${requests.length}`));
    arrivalMs += random.exponential(1000 / options.requestsPerSecond);
  }
  return requests;
}

/**
 * Estimates the mean memory-time of a request: tokens held in KV memory times the steps for which
 * they are held.
 *
 * @param mix - the mix
 * @returns the mean in token-steps
 */
export function meanTokenSteps(mix: BenchMix): number {
  const random = createBenchRandom(MEAN_SAMPLE_SEED);
  let sum = 0;
  for (let draw = 0; draw < MEAN_SAMPLE_COUNT; draw += 1) {
    const { lengthTokens, promptTokens } = generateRequest(mix, random, 0, '');
    sum += (promptTokens + lengthTokens / 2) * lengthTokens;
  }
  return sum / MEAN_SAMPLE_COUNT;
}

function generateRequest(
  mix: BenchMix,
  random: BenchRandom,
  arrivalMs: number,
  id: string,
): BenchRequest {
  const kind = random.pick(...mix.kinds);
  const team = random.pick(...mix.teams);
  const factor = random.nextUnit() < RUNAWAY_SHARE ? RUNAWAY_FACTOR : 1;
  const drawnTokens = Math.round(random.logNormal(kind.lengthMedianTokens, kind.lengthSigma));
  const lengthTokens = Math.min(kind.maxTokens, Math.max(1, drawnTokens * factor));
  const promptTokens = Math.max(
    16,
    Math.round(random.logNormal(kind.promptMedianTokens, PROMPT_SIGMA)),
  );
  return { arrivalMs, id, kind, lengthTokens, promptTokens, team };
}
