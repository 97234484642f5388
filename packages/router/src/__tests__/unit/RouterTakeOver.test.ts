import { StrictContinuationPolicy } from '@laburnumgap/generation';
import type { TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { PlannedFault, StreamFault } from '../utils/FakeEngines.js';
import { settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeSink, FakeWorld, MAX_TOKENS } from '../utils/FakeWorld.js';
import { violationsOf } from '../utils/TokenOracle.js';

const SEED = 20_261_204;
const GENERATION = { generationId: 'generation-of-request-1', seed: 5 };
const FAULTS: readonly StreamFault[] = ['freeze', 'gap', 'kill', 'preempt', 'reset', 'silent'];

/** Lets a caller receive some tokens from a router that then never goes on by itself. */
async function receiveAndFreeze(world: FakeWorld, tokens: number): Promise<FakeSink> {
  const sink = new FakeSink({ frozen: true, stuckAfter: tokens });
  const arrived = async (): Promise<void> => {
    while (sink.tokens.length < tokens) {
      await settleMicrotasks();
    }
  };
  void world.router('a').serve({ sink });
  await world.timers.runUntil(arrived());
  return sink;
}

for (const tokens of [1, 6, MAX_TOKENS - 1, MAX_TOKENS]) {
  for (const engineLost of [false, true]) {
    const engine = engineLost ? 'engine lost as well' : 'engine alive';
    test(`router dead after ${tokens} tokens, ${engine}: another goes on`, async (t) => {
      const world = new FakeWorld();
      const first = await receiveAndFreeze(world, tokens);
      const [served] = world.engines;
      if (engineLost && served) {
        served.alive = false;
      }
      const second = new FakeSink();
      const back = world.router('b').serve({ lastEventId: tokens - 1, sink: second });
      await world.timers.runUntil(back);
      t.truthy(second.end, second.refusal?.detail);
      t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
    });
  }
}

for (const moveEngine of [false, true]) {
  test(`a frozen router that wakes delivers no more, engine moved: ${moveEngine}`, async (t) => {
    const world = new FakeWorld();
    const frozen = await receiveAndFreeze(world, 4);
    if (moveEngine) {
      const [served] = world.engines;
      if (served) {
        served.alive = false;
      }
    }
    const second = new FakeSink();
    const back = world.router('b').serve({ lastEventId: 3, sink: second });
    await world.timers.runUntil(back);
    const held = frozen.tokens.length;
    frozen.wake();
    await world.timers.runUntil(
      (async () => {
        while (!frozen.refusal) {
          await settleMicrotasks();
        }
      })(),
    );
    t.is(frozen.refusal?.code, 'ATTEMPT_SUPERSEDED');
    t.is(frozen.tokens.length, held);
    t.deepEqual(violationsOf({ ...GENERATION, sinks: [frozen, second] }), []);
  });
}

test('a frozen router that wakes delivers nothing of what was under way', async (t) => {
  const world = new FakeWorld();
  for (const engine of world.engines) {
    engine.readAhead = 3;
  }
  const frozen = await receiveAndFreeze(world, 5);
  const second = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 4, sink: second }));
  t.truthy(second.end);
  world.timers.pass(5_000);
  frozen.wake();
  for (let turn = 0; turn < 20; turn += 1) {
    await settleMicrotasks();
  }
  t.is(frozen.tokens.length, 5);
  t.is(frozen.refusal?.code, 'ATTEMPT_SUPERSEDED');
});

const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  atIndex: fc.integer({ max: MAX_TOKENS, min: 0 }),
  fault: fc.constantFrom(...FAULTS),
});

test('router dead and engine faults drawn together', async (t) => {
  const faults = fc.array(plannedFault, { maxLength: 2 });
  const world = fc.tuple(faults, faults, faults);
  await fc.assert(
    fc.asyncProperty(world, fc.integer({ max: MAX_TOKENS, min: 1 }), async (drawn, tokens) => {
      const fleet = new FakeWorld({ faults: drawn });
      const first = new FakeSink({ goneAfter: tokens });
      void fleet.router('a').serve({ sink: first });
      await fleet.timers.runUntil(
        (async () => {
          while (first.tokens.length < tokens && !first.refusal) {
            await settleMicrotasks();
          }
        })(),
      );
      if (first.refusal) {
        return;
      }
      const second = new FakeSink();
      const back = fleet.router('b').serve({ lastEventId: tokens - 1, sink: second });
      await fleet.timers.runUntil(back);
      t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
    }),
    { numRuns: 300, seed: SEED },
  );
});

test('back at the same router: the held texts serve as prefix when the engine is gone', async (t) => {
  const world = new FakeWorld();
  const router = world.router('a');
  const first = new FakeSink({ goneAfter: 5 });
  void router.serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  const [served] = world.engines;
  if (served) {
    served.alive = false;
  }
  const second = new FakeSink();
  await world.timers.runUntil(router.serve({ lastEventId: 4, sink: second }));
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
  t.is(world.engines[1]?.starts[0]?.prefix.length, 5);
});

test('a caller that stays away: cancelled after the grace period, memory given back', async (t) => {
  const world = new FakeWorld();
  const sink = new FakeSink({ goneAfter: 3 });
  await world.timers.runUntil(world.router('a').serve({ sink }));
  t.is(world.timers.nowMs() >= 10_000, true);
  t.deepEqual(world.client.cancels, [{ attempt: 1, url: 'engine-0' }]);
  t.is(world.admission.held.size, 0);
  t.is(world.homes.records.size, 0);
  const late = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 2, sink: late }));
  t.is(late.refusal?.code, 'GENERATION_UNKNOWN');
});

test('a connection that broke after the last token: the rest is still there', async (t) => {
  const world = new FakeWorld();
  const first = new FakeSink();
  const router = world.router('a');
  await world.timers.runUntil(router.serve({ sink: first }));
  const second = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 8, sink: second }));
  t.truthy(second.end, second.refusal?.detail);
  t.deepEqual(
    second.tokens.map((token) => token.index),
    [9, 10, 11],
  );
});

test('the old router gives up after the move: the new attempt is not cancelled', async (t) => {
  const world = new FakeWorld();
  const first = new FakeSink({ goneAfter: 3 });
  const parked = world.router('a').serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  const second = new FakeSink({ stuckAfter: 2 });
  const back = world.router('b').serve({ lastEventId: 2, sink: second });
  await world.timers.runUntil(parked);
  t.deepEqual(world.client.cancels, []);
  second.wake();
  await world.timers.runUntil(back);
  t.truthy(second.end);
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
});

test('an answer that is not streamed comes back whole by its request id', async (t) => {
  const world = new FakeWorld();
  const first = new FakeSink({ goneAfter: 6 });
  void world.router('a').serve({ sink: first, stream: false });
  await settleMicrotasks();
  await settleMicrotasks();
  const second = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ sink: second, stream: false }));
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [second] }), []);
  const starts = world.engines.flatMap((engine) => engine.starts);
  t.is(starts.length, 1, 'it was generated once');
});

for (const second of ['a', 'b']) {
  test(`the same request twice at once, at router a and ${second}: one answer`, async (t) => {
    const world = new FakeWorld();
    const routers = { a: world.router('a'), b: world.router('b') };
    const sinks = [new FakeSink(), new FakeSink()] as const;
    const served = [
      routers.a.serve({ sink: sinks[0] }),
      routers[second === 'a' ? 'a' : 'b'].serve({ sink: sinks[1] }),
    ];
    await world.timers.runUntil(Promise.all(served));
    const whole = sinks.filter((sink) => sink.end);
    t.is(whole.length, 1);
    t.deepEqual(violationsOf({ ...GENERATION, sinks: whole }), []);
    const other = sinks.find((sink) => !sink.end);
    t.is(other?.refusal?.code, 'ATTEMPT_SUPERSEDED');
    t.is(world.admission.held.size, 0);
  });
}

const REFUSED = [
  { code: 'MALFORMED_REQUEST', request: { bodyHash: 'other' }, title: 'another body' },
  { code: 'NOT_YOURS', request: { teamId: toId<TeamId>('other') }, title: 'another team' },
  { code: 'GENERATION_UNKNOWN', request: { requestId: 'never-seen' }, title: 'an unknown id' },
] as const;

for (const { code, request, title } of REFUSED) {
  test(`coming back with ${title}: ${code}`, async (t) => {
    const world = new FakeWorld();
    await receiveAndFreeze(world, 4);
    const sink = new FakeSink();
    await world.timers.runUntil(world.router('b').serve({ ...request, lastEventId: 3, sink }));
    t.is(sink.refusal?.code, code);
    t.is(sink.tokens.length, 0);
  });
}

test('strict policy, router and engine lost: ends early, nothing of another engine', async (t) => {
  const world = new FakeWorld({ policy: new StrictContinuationPolicy() });
  const first = await receiveAndFreeze(world, 4);
  for (const engine of world.engines) {
    engine.alive = engine.url !== 'engine-0';
  }
  const second = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 3, sink: second }));
  t.is(second.refusal?.code, 'GENERATION_ENDED_EARLY');
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
});

test('homes unreachable: Last-Event-ID never gets a fresh generation', async (t) => {
  const world = new FakeWorld();
  await receiveAndFreeze(world, 4);
  world.homes.reachable = false;
  const sink = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 3, sink }));
  t.is(sink.refusal?.code, 'GENERATION_UNKNOWN');
  t.truthy(sink.refusal?.retryAfterMs);
});

test('a router that shuts down leaves the generation to the next one', async (t) => {
  const world = new FakeWorld();
  const router = world.router('a');
  const first = new FakeSink({ stuckAfter: 5 });
  const served = router.serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  router.registry.detachAll();
  await world.timers.runUntil(served);
  t.true(first.abandoned);
  t.deepEqual(world.client.cancels, []);
  const second = new FakeSink();
  await world.timers.runUntil(world.router('b').serve({ lastEventId: 4, sink: second }));
  t.deepEqual(violationsOf({ ...GENERATION, sinks: [first, second] }), []);
});
