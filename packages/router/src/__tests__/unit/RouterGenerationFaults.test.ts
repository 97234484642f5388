import { StrictContinuationPolicy } from '@laburnumgap/generation';
import test from 'ava';
import fc from 'fast-check';
import type { PlannedFault, StreamFault } from '../utils/FakeEngines.js';
import { FakeSink, FakeWorld, MAX_TOKENS } from '../utils/FakeWorld.js';
import { violationsOf } from '../utils/TokenOracle.js';

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
    test(`${fault}, ${moment}: the whole answer arrives once`, async (t) => {
      const world = new FakeWorld({ faults: [[{ atIndex, fault }]] });
      const sink = new FakeSink();
      await world.timers.runUntil(world.router('a').serve({ sink }));
      t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
      t.truthy(sink.end, sink.refusal?.detail);
      t.is(world.admission.held.size, 0, 'every reservation is given back');
    });
  }
}

const plannedFault = fc.record({
  atIndex: fc.integer({ max: MAX_TOKENS, min: 0 }),
  fault: fc.constantFrom(...FAULTS),
});

test('pairs of faults on all engines: true ends, each token once, in order', async (t) => {
  const faults = fc.array(plannedFault, { maxLength: 2 });
  await fc.assert(
    fc.asyncProperty(fc.tuple(faults, faults, faults), async (drawn) => {
      const world = new FakeWorld({ faults: drawn });
      const sink = new FakeSink();
      await world.timers.runUntil(world.router('a').serve({ sink }));
      t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
      t.is(world.admission.held.size, 0);
    }),
    { numRuns: 300, seed: SEED },
  );
});

const LOSSES: readonly PlannedFault[] = [
  { atIndex: 6, fault: 'kill' },
  { atIndex: 6, fault: 'freeze' },
];

for (const loss of LOSSES) {
  test(`strict policy, ${loss.fault}: ends early and says what is valid`, async (t) => {
    const world = new FakeWorld({ faults: [[loss]], policy: new StrictContinuationPolicy() });
    const sink = new FakeSink();
    await world.timers.runUntil(world.router('a').serve({ sink }));
    t.is(sink.refusal?.code, 'GENERATION_ENDED_EARLY');
    t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
  });
}

test('strict policy before the first token: another engine runs it', async (t) => {
  const faults = [[{ atIndex: 0, fault: 'kill' as const }]];
  const world = new FakeWorld({ faults, policy: new StrictContinuationPolicy() });
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.truthy(sink.end);
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
});

test('an engine that cannot continue is passed over for one that can', async (t) => {
  const world = new FakeWorld({ faults: [[{ atIndex: 4, fault: 'kill' }]] });
  const [, second] = world.engines;
  t.truthy(second);
  if (second) {
    second.canContinue = false;
  }
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.truthy(sink.end);
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
});

test('no engine can continue: the end says which tokens are valid', async (t) => {
  const world = new FakeWorld({ faults: [[{ atIndex: 4, fault: 'kill' }]] });
  for (const engine of world.engines) {
    engine.canContinue = false;
  }
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.is(sink.refusal?.code, 'GENERATION_ENDED_EARLY');
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
});

test('an engine that is reclaimed and was not known to leave: noted, and another runs it', async (t) => {
  const world = new FakeWorld();
  const [reclaimed] = world.engines;
  if (reclaimed) {
    reclaimed.leaving = true;
  }
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
  t.truthy(sink.end);
  t.deepEqual(world.notedLeaving.map(String), ['engine-0']);
});

test('a silent link with the engine alive is resumed there and moves nothing', async (t) => {
  const world = new FakeWorld({ faults: [[{ atIndex: 6, fault: 'silent' }]] });
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.truthy(sink.end);
  const starts = world.engines.map((engine) => engine.starts.length);
  t.deepEqual(starts, [1, 0, 0]);
  t.is(world.engines[0]?.streamsOpened, 2);
});

test('an order to move: readmitted elsewhere with the produced tokens as prefix', async (t) => {
  const world = new FakeWorld();
  const sink = new FakeSink({ stuckAfter: 5 });
  const served = world.router('a').serve({ sink });
  await world.timers.runUntil(
    waitFor(() => sink.tokens.length === 5),
    50,
  );
  world.admission.preemptAll();
  sink.wake();
  await world.timers.runUntil(served);
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
  t.is(world.admission.admitted[1]?.producedTokens, 5);
  t.is(world.admission.admitted[1]?.preemptions, 1);
  t.is(world.client.cancels.length, 1, 'the old attempt is cancelled');
});

/** Resolves once the condition holds. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
