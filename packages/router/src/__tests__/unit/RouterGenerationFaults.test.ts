import { StrictContinuationPolicy } from '@laburnumgap/generation';
import test from 'ava';
import fc from 'fast-check';
import type { PlannedFault, StreamFault } from '../utils/FakeEngines.js';
import { FakeCluster, FakeSink, MAX_TOKENS } from '../utils/FakeCluster.js';
import { findViolations } from '../utils/TokenOracle.js';

const SEED = 20_261_203;
const GENERATION = { generationId: 'generation-of-request-1', seed: 5 };

const FAULTS: readonly StreamFault[] = [
  'crossed',
  'duplicate',
  'freeze',
  'gap',
  'kill',
  'preempt',
  'reset',
  'silent',
  'stale',
];
const MOMENTS = { 'before the first token': 0, 'at the last token': MAX_TOKENS - 1, middle: 6 };

for (const fault of FAULTS) {
  for (const [moment, atIndex] of Object.entries(MOMENTS)) {
    test(`after fault ${fault}, ${moment}, every token arrives exactly once`, async (t) => {
      const cluster = new FakeCluster({ faults: [[{ atIndex, fault }]] });
      const sink = new FakeSink();
      await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
      t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
      t.truthy(sink.finished, sink.refusal?.detail);
      t.is(cluster.admission.openReservations.size, 0, 'every reservation is released');
    });
  }
}

const plannedFault = fc.record({
  atIndex: fc.integer({ max: MAX_TOKENS, min: 0 }),
  fault: fc.constantFrom(...FAULTS),
});

test('random faults on all engines: each token arrives once and in order, and the end is correct', async (t) => {
  const faults = fc.array(plannedFault, { maxLength: 2 });
  await fc.assert(
    fc.asyncProperty(fc.tuple(faults, faults, faults), async (drawn) => {
      const cluster = new FakeCluster({ faults: drawn });
      const sink = new FakeSink();
      await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
      t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
      t.is(cluster.admission.openReservations.size, 0);
    }),
    { numRuns: 300, seed: SEED },
  );
});

const LOSSES: readonly PlannedFault[] = [
  { atIndex: 6, fault: 'kill' },
  { atIndex: 6, fault: 'freeze' },
];

for (const loss of LOSSES) {
  test(`strict policy, ${loss.fault}: the answer ends early and names the valid tokens`, async (t) => {
    const cluster = new FakeCluster({ faults: [[loss]], policy: new StrictContinuationPolicy() });
    const sink = new FakeSink();
    await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
    t.is(sink.refusal?.code, 'GENERATION_ENDED_EARLY');
    t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
  });
}

test('strict policy, engine lost before the first token: another engine runs the generation', async (t) => {
  const faults = [[{ atIndex: 0, fault: 'kill' as const }]];
  const cluster = new FakeCluster({ faults, policy: new StrictContinuationPolicy() });
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.truthy(sink.finished);
  t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
});

test('an engine that cannot continue from a prefix is skipped for one that can', async (t) => {
  const cluster = new FakeCluster({ faults: [[{ atIndex: 4, fault: 'kill' }]] });
  const [, second] = cluster.engines;
  t.truthy(second);
  if (second) {
    second.canContinue = false;
  }
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.truthy(sink.finished);
  t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
});

test('no engine can continue from a prefix: the answer ends early and names the valid tokens', async (t) => {
  const cluster = new FakeCluster({ faults: [[{ atIndex: 4, fault: 'kill' }]] });
  for (const engine of cluster.engines) {
    engine.canContinue = false;
  }
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.is(sink.refusal?.code, 'GENERATION_ENDED_EARLY');
  t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
});

test('an engine that rejects work as leaving is marked as leaving, and another runs the generation', async (t) => {
  const cluster = new FakeCluster();
  const [reclaimed] = cluster.engines;
  if (reclaimed) {
    reclaimed.isLeaving = true;
  }
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
  t.truthy(sink.finished);
  t.deepEqual(cluster.enginesNotedLeaving.map(String), ['engine-0']);
});

test('a silent stream of a running engine is resumed at the same engine', async (t) => {
  const cluster = new FakeCluster({ faults: [[{ atIndex: 6, fault: 'silent' }]] });
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.truthy(sink.finished);
  const starts = cluster.engines.map((engine) => engine.starts.length);
  t.deepEqual(starts, [1, 0, 0]);
  t.is(cluster.engines[0]?.streamsOpened, 2);
});

test('a preempted generation is admitted again with the produced tokens as prefix', async (t) => {
  const cluster = new FakeCluster();
  const sink = new FakeSink({ blockAfterTokens: 5 });
  const served = cluster.router('a').serve({ sink });
  await cluster.timers.runUntil(
    waitFor(() => sink.tokens.length === 5),
    50,
  );
  cluster.admission.preemptAll();
  sink.unblock();
  await cluster.timers.runUntil(served);
  t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
  t.is(cluster.admission.admitted[1]?.producedTokens, 5);
  t.is(cluster.admission.admitted[1]?.preemptions, 1);
  t.is(cluster.client.cancels.length, 1, 'the previous attempt is cancelled');
});

/** Resolves once the condition holds. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
