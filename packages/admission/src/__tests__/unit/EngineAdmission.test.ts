import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { EngineAdmission } from '../../index.js';
import { AdmissionHarness, lengthModelAround, requestOf } from '../AdmissionFixtures.js';

interface Scenario {
  readonly name: string;
  readonly run: (harness: AdmissionHarness) => void;
  /** All actions of the controller, in order. */
  readonly expected: readonly string[];
}

/**
 * Each scenario starts with a length model around 50 tokens and an engine with a capacity of 1000
 * tokens, which has not sent a load report yet.
 */
const SCENARIOS: readonly Scenario[] = [
  {
    expected: ['queue a', 'grant a'],
    name: 'nothing is granted before the first load report of the engine',
    run: (harness) => {
      harness.arrive(0, { id: 'a' });
      harness.load(10);
    },
  },
  {
    expected: ['grant a', 'queue b', 'grant b'],
    name: 'the end of a stream releases its memory',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.arrive(2_000, { id: 'b', promptTokens: 700 });
      harness.end(2_100, 'a');
    },
  },
  {
    expected: ['queue a'],
    name: 'after a takeover, the memory that the engine reports counts as used',
    run: (harness) => {
      harness.load(0, { kvTokensUsed: 800 });
      harness.arrive(10, { id: 'a', promptTokens: 300 });
    },
  },
  {
    expected: ['queue b', 'grant b'],
    name: 'a generation of another scheduler counts until three seconds after its last report',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.progress(2_000, 'x', 300);
      harness.arrive(2_000, { id: 'b', promptTokens: 400 });
      harness.send(4_900, { kind: 'woke' });
      harness.send(5_000, { kind: 'woke' });
    },
  },
  {
    expected: ['grant a', 'queue b'],
    name: 'produced tokens count as used',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 300 });
      harness.progress(2_500, 'a', 500);
      harness.arrive(2_600, { id: 'b', promptTokens: 300 });
    },
  },
  {
    expected: ['grant a', 'grant b'],
    name: 'a progress report after the end of its generation is ignored',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.end(2_100, 'a');
      harness.progress(2_200, 'a', 40);
      harness.arrive(2_300, { id: 'b', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'grant a'],
    name: 'a higher attempt replaces a lower one of the same generation',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { attempt: 1, id: 'a', promptTokens: 700 });
      harness.arrive(2_100, { attempt: 2, id: 'a', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'grant a', 'refuse a NO_ENGINE'],
    name: 'a leaving engine admits a takeover while the generation runs',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { attempt: 1, id: 'a', promptTokens: 700 });
      harness.send(2_100, { kind: 'engineStopped', reason: 'leaving' });
      harness.arrive(2_200, { attempt: 2, id: 'a', promptTokens: 700 });
      harness.end(2_300, 'a', 2);
      harness.arrive(2_400, { attempt: 3, id: 'a', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DEADLINE_BEFORE_RUN'],
    name: 'a request whose wait bound has passed is refused even if memory is released then',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.arrive(2_000, { id: 'b', promptTokens: 700, waitBoundMs: 500 });
      harness.end(2_500, 'a');
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DEADLINE_BEFORE_RUN', 'queue c', 'grant c'],
    name: 'after a pause, a scheduler refuses expired requests and grants nothing before a load report',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.arrive(2_000, { id: 'b', promptTokens: 700, waitBoundMs: 500 });
      harness.end(20_000, 'a');
      harness.arrive(20_001, { id: 'c', promptTokens: 700 });
      harness.load(20_002);
    },
  },
  {
    expected: [
      'grant a',
      'queue b',
      'refuse b NO_ENGINE',
      'refuse c NO_ENGINE',
      'queue d',
      'grant d',
    ],
    name: 'a lost engine refuses queued requests, and needs a load report once it is usable again',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.arrive(2_000, { id: 'b', promptTokens: 700 });
      harness.send(2_100, { kind: 'engineStopped', reason: 'lost' });
      harness.arrive(2_200, { id: 'c' });
      harness.end(2_300, 'a');
      harness.send(2_400, { kind: 'engineUsable' });
      harness.arrive(2_500, { id: 'd' });
      harness.load(2_600);
    },
  },
  {
    expected: ['refuse a NO_ENGINE'],
    name: 'a leaving engine admits nothing, even if it responds again',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.send(2_000, { kind: 'engineStopped', reason: 'leaving' });
      harness.send(2_100, { kind: 'engineStopped', reason: 'lost' });
      harness.send(2_200, { kind: 'engineUsable' });
      harness.load(2_300);
      harness.arrive(2_400, { id: 'a' });
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DRAINING', 'refuse c DRAINING'],
    name: 'a scheduler that shuts down refuses queued and new requests',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 700 });
      harness.arrive(2_000, { id: 'b', promptTokens: 700 });
      harness.send(2_100, { kind: 'draining' });
      harness.arrive(2_200, { id: 'c' });
      harness.end(2_300, 'a');
    },
  },
  {
    expected: ['refuse a NO_ENGINE'],
    name: 'a prompt that never fits is refused on arrival',
    run: (harness) => {
      harness.completeRebuild(0);
      harness.arrive(2_000, { id: 'a', promptTokens: 1_000 });
    },
  },
];

for (const { expected, name, run } of SCENARIOS) {
  test(name, (t) => {
    const harness = new AdmissionHarness(0, 0.5, lengthModelAround(50));
    run(harness);
    t.deepEqual(harness.actions, expected);
  });
}

test('memory is reserved for growth: fewer long outputs are admitted than short ones', (t) => {
  const grantCountFor = (tokens: number): number => {
    const harness = new AdmissionHarness(0, 0.5, lengthModelAround(tokens));
    harness.completeRebuild(0, { kvTokensCapacity: 4_000 });
    for (let count = 0; count < 40; count += 1) {
      harness.arrive(2_000, { id: `r${count}`, promptTokens: 100 });
    }
    return harness.actions.filter((line) => line.startsWith('grant')).length;
  };
  t.true(grantCountFor(20) > 2 * grantCountFor(1_000));
});

test('lengths are learned from the final report, even if the stream ended before it', (t) => {
  const lengths = lengthModelAround(50);
  const harness = new AdmissionHarness(0, 0.5, lengths);
  harness.completeRebuild(0, { kvTokensCapacity: 100_000 });
  for (let count = 0; count < 200; count += 1) {
    harness.arrive(2_000, { id: `r${count}` });
    harness.end(2_000, `r${count}`);
    harness.progress(2_000, `r${count}`, 1_000, true);
    harness.progress(2_000, `r${count}`, 1_000, true);
  }
  const remainingTokens = lengths.curveOf(requestOf()).expectedRemainingTokens(0, 4_000);
  t.true(remainingTokens > 300, `${remainingTokens}`);
});

test('before an overflow, victims are chosen by class and spared after two preemptions', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthModelAround(500));
  harness.completeRebuild(0, { kvTokensCapacity: 4_000 });
  harness.arrive(2_000, { id: 'interactive', priorityClass: 0, promptTokens: 900 });
  harness.arrive(2_000, { id: 'batch', priorityClass: 2, promptTokens: 900 });
  harness.arrive(2_000, { id: 'protected', preemptions: 2, priorityClass: 2, promptTokens: 900 });
  const fullLoad = { kvTokensCapacity: 2_800, kvTokensUsed: 2_700, queuedGenerations: 1 };
  t.deepEqual(harness.load(2_100, fullLoad), ['preempt batch']);
  t.deepEqual(harness.load(2_200, { ...fullLoad, kvTokensCapacity: 1_000 }), [
    'preempt interactive',
  ]);
  t.deepEqual(harness.load(2_300, { ...fullLoad, kvTokensCapacity: 500 }), []);
});

test('a request whose expected wait exceeds its bound is refused on arrival, with a jittered retry delay', (t) => {
  const refusals = [0, 1].map((jitter) => {
    const harness = new AdmissionHarness(0, jitter, lengthModelAround(50));
    harness.completeRebuild(0);
    harness.arrive(2_000, { id: 'a0', promptTokens: 700 });
    for (let count = 1; count <= 20; count += 1) {
      harness.arrive(2_000, { id: `a${count}`, promptTokens: 700 });
    }
    for (let count = 0; count < 6; count += 1) {
      harness.end(3_000 + 1_000 * count, `a${count}`);
    }
    const request = requestOf({ id: 'late', promptTokens: 700, waitBoundMs: 5_000 });
    const [action] = harness.admission.handle({ kind: 'arrived', request }, 8_100);
    return action?.kind === 'refuse' ? action.refusal : undefined;
  });
  t.is(refusals[0]?.code, 'QUEUE_WAIT_TOO_LONG');
  const [low = 0, high = 0] = refusals.map((refused) => refused?.retryAfterMs);
  t.true(low > 5_000 && low < 15_000, `${low}`);
  t.true(Math.abs(high / low - 5 / 3) < 0.01);
});

test('a generation that has started is not refused on arrival', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthModelAround(50));
  harness.completeRebuild(0);
  for (let count = 0; count <= 20; count += 1) {
    harness.arrive(2_000, { id: `a${count}`, promptTokens: 700 });
  }
  for (let count = 0; count < 6; count += 1) {
    harness.end(3_000 + 1_000 * count, `a${count}`);
  }
  const started = { id: 'b', preemptions: 1, producedTokens: 30, promptTokens: 700 };
  t.deepEqual(harness.arrive(8_100, { ...started, waitBoundMs: 5_000 }), ['queue b']);
  t.deepEqual(harness.end(8_200, 'a6'), ['grant b']);
});

test('property: two schedulers do not grant more prompt tokens than fit once load reports have arrived', (t) => {
  t.plan(1);
  const arrivals = fc.array(
    fc.record({ first: fc.boolean(), prompt: fc.integer({ max: 400, min: 50 }) }),
    {
      maxLength: 20,
      minLength: 1,
    },
  );
  const check = () => {
    fc.assert(
      fc.property(arrivals, (requests) => {
        const schedulers = [0, 1].map(() => new AdmissionHarness(0, 0.5, lengthModelAround(50)));
        let usedTokens = 0;
        schedulers.forEach((scheduler) => {
          scheduler.completeRebuild(0);
        });
        requests.forEach(({ first, prompt }, index) => {
          const nowMs = 3_000 + index * 1_000;
          for (let report = 0; report < 20; report += 1) {
            schedulers.forEach((scheduler) => scheduler.load(nowMs, { kvTokensUsed: usedTokens }));
          }
          const actions = schedulers[first ? 0 : 1]?.arrive(nowMs, {
            id: `r${index}`,
            promptTokens: prompt,
          });
          usedTokens += actions?.includes(`grant r${index}`) ? prompt : 0;
        });
        return usedTokens <= 1_000;
      }),
    );
  };
  t.notThrows(check);
});

test('an estimate is below one millisecond for an engine without a queue', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthModelAround(50));
  harness.completeRebuild(0);
  const query = {
    maxTokens: 100,
    model: toId<Parameters<EngineAdmission['estimate']>[0]['model']>('model-1'),
    promptTokens: 100,
    teamId: toId<Parameters<EngineAdmission['estimate']>[0]['teamId']>('team-1'),
  };
  t.deepEqual(harness.admission.estimate(query), { acceptsWork: true, waitMs: 0 });
  harness.arrive(2_000, { id: 'a', promptTokens: 500 });
  t.is(harness.admission.estimate(query).waitMs, 0.5);
  harness.arrive(2_000, { id: 'b', promptTokens: 500 });
  t.true(harness.admission.estimate(query).waitMs >= 1);
  harness.send(2_100, { kind: 'draining' });
  t.false(harness.admission.estimate(query).acceptsWork);
});

test('an engine preemption that a router reports releases the memory', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthModelAround(50));
  harness.completeRebuild(0);
  harness.arrive(2_000, { id: 'a', promptTokens: 700 });
  const progress = {
    attempt: toNumberId<ReturnType<typeof requestOf>['attempt']>(1),
    enginePreempted: true,
    finished: false,
    generationId: requestOf({ id: 'a' }).generationId,
    producedTokens: 10,
  };
  harness.send(2_100, { kind: 'progressed', progress });
  t.deepEqual(harness.arrive(2_200, { id: 'b', promptTokens: 700 }), ['grant b']);
});
