import { StrictContinuationPolicy } from '@laburnumgap/generation';
import type { TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { PlannedFault, StreamFault } from '../utils/FakeEngines.js';
import { settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeCluster, FakeSink, MAX_TOKENS } from '../utils/FakeCluster.js';
import { findViolations } from '../utils/TokenOracle.js';

const SEED = 20_261_204;
const GENERATION = { generationId: 'generation-of-request-1', seed: 5 };
const FAULTS: readonly StreamFault[] = ['freeze', 'gap', 'kill', 'preempt', 'reset', 'silent'];

/** Lets a caller receive some tokens from a router whose process then freezes. */
async function receiveThenFreeze(cluster: FakeCluster, tokens: number): Promise<FakeSink> {
  const sink = new FakeSink({ isProcessFrozen: true, blockAfterTokens: tokens });
  const arrived = async (): Promise<void> => {
    while (sink.tokens.length < tokens) {
      await settleMicrotasks();
    }
  };
  void cluster.router('a').serve({ sink });
  await cluster.timers.runUntil(arrived());
  return sink;
}

for (const tokens of [1, 6, MAX_TOKENS - 1, MAX_TOKENS]) {
  for (const engineLost of [false, true]) {
    const engine = engineLost ? 'engine lost as well' : 'engine alive';
    test(`router dead after ${tokens} tokens, ${engine}: another router continues`, async (t) => {
      const cluster = new FakeCluster();
      const first = await receiveThenFreeze(cluster, tokens);
      const [served] = cluster.engines;
      if (engineLost && served) {
        served.isAlive = false;
      }
      const second = new FakeSink();
      const reconnected = cluster.router('b').serve({ lastEventId: tokens - 1, sink: second });
      await cluster.timers.runUntil(reconnected);
      t.truthy(second.finished, second.refusal?.detail);
      t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
    });
  }
}

for (const engineLost of [false, true]) {
  test(`a router that wakes after a takeover delivers nothing more, engine lost: ${engineLost}`, async (t) => {
    const cluster = new FakeCluster();
    const frozen = await receiveThenFreeze(cluster, 4);
    if (engineLost) {
      const [served] = cluster.engines;
      if (served) {
        served.isAlive = false;
      }
    }
    const second = new FakeSink();
    const reconnected = cluster.router('b').serve({ lastEventId: 3, sink: second });
    await cluster.timers.runUntil(reconnected);
    const held = frozen.tokens.length;
    frozen.unblock();
    await cluster.timers.runUntil(
      (async () => {
        while (!frozen.refusal) {
          await settleMicrotasks();
        }
      })(),
    );
    t.is(frozen.refusal?.code, 'ATTEMPT_SUPERSEDED');
    t.is(frozen.tokens.length, held);
    t.deepEqual(findViolations({ ...GENERATION, sinks: [frozen, second] }), []);
  });
}

test('a router that wakes after a takeover delivers none of its buffered tokens', async (t) => {
  const cluster = new FakeCluster();
  for (const engine of cluster.engines) {
    engine.readAhead = 3;
  }
  const frozen = await receiveThenFreeze(cluster, 5);
  const second = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 4, sink: second }));
  t.truthy(second.finished);
  cluster.timers.passTime(5_000);
  frozen.unblock();
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

test('a dead router together with random engine faults: each token arrives once', async (t) => {
  const faults = fc.array(plannedFault, { maxLength: 2 });
  const engineFaults = fc.tuple(faults, faults, faults);
  await fc.assert(
    fc.asyncProperty(
      engineFaults,
      fc.integer({ max: MAX_TOKENS, min: 1 }),
      async (faultsByEngine, tokens) => {
        const cluster = new FakeCluster({ faults: faultsByEngine });
        const first = new FakeSink({ disconnectAfterTokens: tokens });
        void cluster.router('a').serve({ sink: first });
        await cluster.timers.runUntil(
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
        const reconnected = cluster.router('b').serve({ lastEventId: tokens - 1, sink: second });
        await cluster.timers.runUntil(reconnected);
        t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
      },
    ),
    { numRuns: 300, seed: SEED },
  );
});

test('reconnect at the same router: its token texts are the prefix when the engine is lost', async (t) => {
  const cluster = new FakeCluster();
  const router = cluster.router('a');
  const first = new FakeSink({ disconnectAfterTokens: 5 });
  void router.serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  const [served] = cluster.engines;
  if (served) {
    served.isAlive = false;
  }
  const second = new FakeSink();
  await cluster.timers.runUntil(router.serve({ lastEventId: 4, sink: second }));
  t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
  t.is(cluster.engines[1]?.starts[0]?.prefix.length, 5);
});

test('without a reconnect within the grace period the generation is cancelled and released', async (t) => {
  const cluster = new FakeCluster();
  const sink = new FakeSink({ disconnectAfterTokens: 3 });
  await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
  t.is(cluster.timers.nowMs() >= 10_000, true);
  t.deepEqual(cluster.client.cancels, [{ attempt: 1, url: 'engine-0' }]);
  t.is(cluster.admission.openReservations.size, 0);
  t.is(cluster.requestHomes.records.size, 0);
  const late = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 2, sink: late }));
  t.is(late.refusal?.code, 'GENERATION_UNKNOWN');
});

test('a caller whose connection broke can still fetch the last tokens of an ended generation', async (t) => {
  const cluster = new FakeCluster();
  const first = new FakeSink();
  const router = cluster.router('a');
  await cluster.timers.runUntil(router.serve({ sink: first }));
  const second = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 8, sink: second }));
  t.truthy(second.finished, second.refusal?.detail);
  t.deepEqual(
    second.tokens.map((token) => token.index),
    [9, 10, 11],
  );
});

test('the grace period of the previous router does not cancel the attempt of the next one', async (t) => {
  const cluster = new FakeCluster();
  const first = new FakeSink({ disconnectAfterTokens: 3 });
  const parked = cluster.router('a').serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  const second = new FakeSink({ blockAfterTokens: 2 });
  const reconnected = cluster.router('b').serve({ lastEventId: 2, sink: second });
  await cluster.timers.runUntil(parked);
  t.deepEqual(cluster.client.cancels, []);
  second.unblock();
  await cluster.timers.runUntil(reconnected);
  t.truthy(second.finished);
  t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
});

test('an answer that is not streamed is complete after a reconnect with its request id', async (t) => {
  const cluster = new FakeCluster();
  const first = new FakeSink({ disconnectAfterTokens: 6 });
  void cluster.router('a').serve({ sink: first, stream: false });
  await settleMicrotasks();
  await settleMicrotasks();
  const second = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ sink: second, stream: false }));
  t.deepEqual(findViolations({ ...GENERATION, sinks: [second] }), []);
  const starts = cluster.engines.flatMap((engine) => engine.starts);
  t.is(starts.length, 1, 'one generation was started');
});

for (const second of ['a', 'b']) {
  test(`two concurrent connections of one request, at router a and ${second}, get one answer`, async (t) => {
    const cluster = new FakeCluster();
    const routers = { a: cluster.router('a'), b: cluster.router('b') };
    const sinks = [new FakeSink(), new FakeSink()] as const;
    const served = [
      routers.a.serve({ sink: sinks[0] }),
      routers[second === 'a' ? 'a' : 'b'].serve({ sink: sinks[1] }),
    ];
    await cluster.timers.runUntil(Promise.all(served));
    const whole = sinks.filter((sink) => sink.finished);
    t.is(whole.length, 1);
    t.deepEqual(findViolations({ ...GENERATION, sinks: whole }), []);
    const other = sinks.find((sink) => !sink.finished);
    t.is(other?.refusal?.code, 'ATTEMPT_SUPERSEDED');
    t.is(cluster.admission.openReservations.size, 0);
  });
}

const REFUSED = [
  { code: 'MALFORMED_REQUEST', request: { bodyHash: 'other' }, title: 'another body' },
  { code: 'NOT_YOURS', request: { teamId: toId<TeamId>('other') }, title: 'another team' },
  { code: 'GENERATION_UNKNOWN', request: { requestId: 'never-seen' }, title: 'an unknown id' },
] as const;

for (const { code, request, title } of REFUSED) {
  test(`a reconnect with ${title} is refused as ${code}`, async (t) => {
    const cluster = new FakeCluster();
    await receiveThenFreeze(cluster, 4);
    const sink = new FakeSink();
    await cluster.timers.runUntil(cluster.router('b').serve({ ...request, lastEventId: 3, sink }));
    t.is(sink.refusal?.code, code);
    t.is(sink.tokens.length, 0);
  });
}

test('strict policy, router and engine lost: the answer ends early without tokens of another engine', async (t) => {
  const cluster = new FakeCluster({ policy: new StrictContinuationPolicy() });
  const first = await receiveThenFreeze(cluster, 4);
  for (const engine of cluster.engines) {
    engine.isAlive = engine.url !== 'engine-0';
  }
  const second = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 3, sink: second }));
  t.is(second.refusal?.code, 'GENERATION_ENDED_EARLY');
  t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
});

test('while the homes are unreachable, Last-Event-ID does not start a new generation', async (t) => {
  const cluster = new FakeCluster();
  await receiveThenFreeze(cluster, 4);
  cluster.requestHomes.isReachable = false;
  const sink = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 3, sink }));
  t.is(sink.refusal?.code, 'GENERATION_UNKNOWN');
  t.truthy(sink.refusal?.retryAfterMs);
});

test('a generation continues at another router after its router has shut down', async (t) => {
  const cluster = new FakeCluster();
  const router = cluster.router('a');
  const first = new FakeSink({ blockAfterTokens: 5 });
  const served = router.serve({ sink: first });
  await settleMicrotasks();
  await settleMicrotasks();
  router.registry.detachAll();
  await cluster.timers.runUntil(served);
  t.true(first.closedByRouter);
  t.deepEqual(cluster.client.cancels, []);
  const second = new FakeSink();
  await cluster.timers.runUntil(cluster.router('b').serve({ lastEventId: 4, sink: second }));
  t.deepEqual(findViolations({ ...GENERATION, sinks: [first, second] }), []);
});
