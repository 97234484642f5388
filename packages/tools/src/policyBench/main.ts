import type { AdmissionController } from '@laburnumgap/admission';
import { EngineAdmission, FifoAdmission, LengthModel } from '@laburnumgap/admission';
import { measureCost } from './PolicyBenchCost.js';
import { FAKE_STEP_BASE_MS, FAKE_STEP_PER_GENERATION_MS } from './PolicyBenchEngine.js';
import type { BenchMix } from './PolicyBenchMix.js';
import { BENCH_MIXES, generateWorkload, meanTokenSteps } from './PolicyBenchMix.js';
import { createBenchRandom } from './PolicyBenchRandom.js';
import type { BenchRow } from './PolicyBenchReport.js';
import { formatBySeed, formatFigures } from './PolicyBenchReport.js';
import type { BenchResult } from './PolicyBenchRun.js';
import { BenchRun } from './PolicyBenchRun.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const LOADS = [0.6, 0.9, 1.2, 2];
const ENGINES = 2;
const KV_TOKENS_CAPACITY = 32_000;
const MAX_RUNNING = 64;
const DURATION_MS = 480_000;
/** Batch size assumed when a load is converted into a request rate. */
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

/** Request rate at a load; at load 1 the mix needs exactly the memory-time of the engines. */
function requestsPerSecond(mix: BenchMix, load: number): number {
  const stepMs = FAKE_STEP_BASE_MS + FAKE_STEP_PER_GENERATION_MS * TYPICAL_BATCH;
  const tokenStepsPerSecond = (ENGINES * KV_TOKENS_CAPACITY * 1000) / stepMs;
  return (load * tokenStepsPerSecond) / meanTokenSteps(mix);
}

function run(mix: BenchMix, load: number, policy: Policy, seed: number): BenchResult {
  const requests = generateWorkload({
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

function main(): void {
  const rows: BenchRow[] = [];
  for (const mix of BENCH_MIXES) {
    for (const load of LOADS) {
      for (const policy of POLICIES) {
        const runs = SEEDS.map((seed) => run(mix, load, policy, seed));
        const kinds = mix.kinds.map((kind) => kind.name);
        rows.push({ kinds, load, mix: mix.name, policy: policy.name, runs });
      }
    }
  }
  process.stdout.write(
    `Stalls and gaps merged over all seeds, other columns as means; seeds ${SEEDS.join(', ')}\n${formatFigures(rows)}\n\n`,
  );
  process.stdout.write(`Seeds in which the predictive policy is better/equal/worse (lower)\n`);
  process.stdout.write(`${formatBySeed(rows)}\n\n`);
  const { eventUs, heapBytes, slabBytes } = measureCost();
  process.stdout.write(`progress report, 200 running generations: ${eventUs.toFixed(1)} us\n`);
  process.stdout.write(
    `length model at its size limit: counts ${slabBytes} B, heap ${heapBytes} B\n`,
  );
}

main();
