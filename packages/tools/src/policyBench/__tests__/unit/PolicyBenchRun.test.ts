import type { AdmissionController } from '@laburnumgap/admission';
import { EngineAdmission, FifoAdmission, LengthModel } from '@laburnumgap/admission';
import test from 'ava';
import type { BenchFigures } from '../../PolicyBenchFigures.js';
import { BENCH_MIXES, generateWorkload } from '../../PolicyBenchMix.js';
import { BenchRun } from '../../PolicyBenchRun.js';

const DURATION_MS = 180_000;
const SEEDS = [11, 12, 13];
const REQUESTS_PER_SECOND: Readonly<Record<string, number>> = { 'harrow-pell': 2.5, 'hoa-sen': 7 };

function predictive(): () => AdmissionController {
  const lengths = new LengthModel();
  const random = { nextUnit: () => 0.5 };
  return () => new EngineAdmission({ lengths, random, startedMs: 0 });
}

function run(mixName: string, seed: number, create: () => AdmissionController): BenchFigures {
  const mix = BENCH_MIXES.find(({ name }) => name === mixName) ?? BENCH_MIXES[0];
  const requestsPerSecond = REQUESTS_PER_SECOND[mixName] ?? 1;
  const requests = mix
    ? generateWorkload({ durationMs: DURATION_MS, mix, requestsPerSecond, seed })
    : [];
  return new BenchRun({
    createController: create,
    durationMs: DURATION_MS,
    engines: 2,
    kvTokensCapacity: 32_000,
    maxRunning: 64,
    requests,
  }).run().figures;
}

for (const mixName of Object.keys(REQUESTS_PER_SECOND)) {
  for (const seed of SEEDS) {
    test(`${mixName} overloaded, seed ${seed}: fewer preemptions than first-come, at least 95% as many finished`, (t) => {
      const baseline = run(mixName, seed, () => new FifoAdmission());
      const candidate = run(mixName, seed, predictive());
      t.true(baseline.preemptionsPer100 > 20, `${baseline.preemptionsPer100}`);
      t.true(
        candidate.preemptionsPer100 < baseline.preemptionsPer100 / 2,
        `${candidate.preemptionsPer100}`,
      );
      t.true(
        candidate.finished >= 0.95 * baseline.finished,
        `${candidate.finished} of ${baseline.finished}`,
      );
      t.true(
        candidate.refusedPercent <= baseline.refusedPercent + 2,
        `${candidate.refusedPercent}`,
      );
    });
  }
}

test('runs with the same seed give the same figures', (t) => {
  t.deepEqual(run('hoa-sen', 11, predictive()), run('hoa-sen', 11, predictive()));
});
