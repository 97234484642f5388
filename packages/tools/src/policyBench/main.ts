import type { AdmissionController } from '@laburnumgap/admission';
import { EngineAdmission, FifoAdmission, LengthModel } from '@laburnumgap/admission';
import Table from 'cli-table3';
import type { BenchFigures } from './PolicyBenchFigures.js';
import type { BenchMix } from './PolicyBenchMix.js';
import { BENCH_MIXES, drawWorkload, meanTokenSteps } from './PolicyBenchMix.js';
import { FAKE_STEP_BASE_MS, FAKE_STEP_PER_GENERATION_MS } from './PolicyBenchEngine.js';
import { createBenchRandom } from './PolicyBenchRandom.js';
import { BenchRun } from './PolicyBenchRun.js';

const SEEDS = [1, 2, 3, 4, 5];
const LOADS = [0.6, 0.9, 1.2, 2];
const ENGINES = 2;
const KV_TOKENS_CAPACITY = 32_000;
const MAX_RUNNING = 64;
const DURATION_MS = 480_000;
const TYPICAL_BATCH = 24;

interface Policy {
  readonly create: (seed: number) => () => AdmissionController;
  readonly name: string;
}

const POLICIES: readonly Policy[] = [
  { create: () => () => new FifoAdmission(), name: 'first-come' },
  {
    create: (seed) => {
      const lengths = new LengthModel();
      const random = createBenchRandom(seed);
      return () => new EngineAdmission({ lengths, random, startedMs: 0 });
    },
    name: 'predictive',
  },
];

const COLUMNS: readonly (keyof BenchFigures)[] = [
  'stallP50Ms',
  'stallP95Ms',
  'stallP99Ms',
  'preemptionsPer100',
  'worstPreempted',
  'gapP99Ms',
  'tokensPerSecond',
  'finished',
  'refusedPercent',
  'smallTeamWaitMs',
];

function requestsPerSecond(mix: BenchMix, load: number): number {
  const stepMs = FAKE_STEP_BASE_MS + FAKE_STEP_PER_GENERATION_MS * TYPICAL_BATCH;
  const tokenStepsPerSecond = (ENGINES * KV_TOKENS_CAPACITY * 1000) / stepMs;
  return (load * tokenStepsPerSecond) / meanTokenSteps(mix);
}

function run(mix: BenchMix, load: number, policy: Policy, seed: number): BenchFigures {
  const requests = drawWorkload({
    durationMs: DURATION_MS,
    mix,
    requestsPerSecond: requestsPerSecond(mix, load),
    seed,
  });
  return new BenchRun({
    createController: policy.create(seed),
    durationMs: DURATION_MS,
    engines: ENGINES,
    kvTokensCapacity: KV_TOKENS_CAPACITY,
    maxRunning: MAX_RUNNING,
    requests,
  }).run();
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function main(): void {
  const table = new Table({ head: ['mix', 'load', 'policy', ...COLUMNS] });
  for (const mix of BENCH_MIXES) {
    for (const load of LOADS) {
      for (const policy of POLICIES) {
        const figures = SEEDS.map((seed) => run(mix, load, policy, seed));
        const cells = COLUMNS.map((column) =>
          mean(figures.map((figure) => figure[column])).toFixed(1),
        );
        table.push([mix.name, load, policy.name, ...cells]);
      }
    }
  }
  process.stdout.write(`${table.toString()}\n`);
}

main();
