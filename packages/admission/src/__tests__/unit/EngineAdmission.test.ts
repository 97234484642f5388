import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { EngineAdmission } from '../../index.js';
import { AdmissionHarness, lengthsAround, requestOf } from '../AdmissionFixtures.js';

interface FaultCase {
  readonly name: string;
  readonly run: (harness: AdmissionHarness) => void;
  /** Everything that was done, in order. */
  readonly expected: readonly string[];
}

/** Each case starts with lengths around 50 tokens and an engine of 1000 tokens, not yet reported. */
const FAULT_CASES: readonly FaultCase[] = [
  {
    expected: ['queue a', 'grant a'],
    name: 'nothing is granted before the first report of the engine',
    run: (h) => {
      h.arrive(0, { id: 'a' });
      h.load(10);
    },
  },
  {
    expected: ['grant a', 'queue b', 'grant b'],
    name: 'the end of a stream gives its memory back',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.arrive(2_000, { id: 'b', promptTokens: 700 });
      h.end(2_100, 'a');
    },
  },
  {
    expected: ['queue a'],
    name: 'after a takeover, what the engine holds already counts as used',
    run: (h) => {
      h.load(0, { kvTokensUsed: 800 });
      h.arrive(10, { id: 'a', promptTokens: 300 });
    },
  },
  {
    expected: ['queue b', 'grant b'],
    name: 'a generation of another scheduler counts until nobody reports it for three seconds',
    run: (h) => {
      h.settle(0);
      h.progress(2_000, 'x', 300);
      h.arrive(2_000, { id: 'b', promptTokens: 400 });
      h.send(4_900, { kind: 'woke' });
      h.send(5_000, { kind: 'woke' });
    },
  },
  {
    expected: ['grant a', 'queue b'],
    name: 'what a generation has produced counts as used',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 300 });
      h.progress(2_500, 'a', 500);
      h.arrive(2_600, { id: 'b', promptTokens: 300 });
    },
  },
  {
    expected: ['grant a', 'grant b'],
    name: 'a report that comes after the end of its generation counts for nothing',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.end(2_100, 'a');
      h.progress(2_200, 'a', 40);
      h.arrive(2_300, { id: 'b', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'grant a'],
    name: 'a higher attempt takes the place of a lower one of the same generation',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { attempt: 1, id: 'a', promptTokens: 700 });
      h.arrive(2_100, { attempt: 2, id: 'a', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'grant a', 'refuse a NO_ENGINE'],
    name: 'a leaving engine lets a takeover go on while the generation runs',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { attempt: 1, id: 'a', promptTokens: 700 });
      h.send(2_100, { kind: 'engineStopped', reason: 'leaving' });
      h.arrive(2_200, { attempt: 2, id: 'a', promptTokens: 700 });
      h.end(2_300, 'a', 2);
      h.arrive(2_400, { attempt: 3, id: 'a', promptTokens: 700 });
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DEADLINE_BEFORE_RUN'],
    name: 'a request whose wait bound passes is refused, not run, also if memory came free since',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.arrive(2_000, { id: 'b', promptTokens: 700, waitBoundMs: 500 });
      h.end(2_500, 'a');
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DEADLINE_BEFORE_RUN', 'queue c', 'grant c'],
    name: 'a scheduler that was paused refuses what is late and grants nothing before a report',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.arrive(2_000, { id: 'b', promptTokens: 700, waitBoundMs: 500 });
      h.end(20_000, 'a');
      h.arrive(20_001, { id: 'c', promptTokens: 700 });
      h.load(20_002);
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
    name: 'a lost engine refuses what waits, and needs a report when it is back',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.arrive(2_000, { id: 'b', promptTokens: 700 });
      h.send(2_100, { kind: 'engineStopped', reason: 'lost' });
      h.arrive(2_200, { id: 'c' });
      h.end(2_300, 'a');
      h.send(2_400, { kind: 'engineUsable' });
      h.arrive(2_500, { id: 'd' });
      h.load(2_600);
    },
  },
  {
    expected: ['refuse a NO_ENGINE'],
    name: 'a leaving engine stays closed, also when it answers again',
    run: (h) => {
      h.settle(0);
      h.send(2_000, { kind: 'engineStopped', reason: 'leaving' });
      h.send(2_100, { kind: 'engineStopped', reason: 'lost' });
      h.send(2_200, { kind: 'engineUsable' });
      h.load(2_300);
      h.arrive(2_400, { id: 'a' });
    },
  },
  {
    expected: ['grant a', 'queue b', 'refuse b DRAINING', 'refuse c DRAINING'],
    name: 'a scheduler that shuts down refuses what waits and what comes',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 700 });
      h.arrive(2_000, { id: 'b', promptTokens: 700 });
      h.send(2_100, { kind: 'draining' });
      h.arrive(2_200, { id: 'c' });
      h.end(2_300, 'a');
    },
  },
  {
    expected: ['refuse a NO_ENGINE'],
    name: 'a prompt that never fits is refused at once',
    run: (h) => {
      h.settle(0);
      h.arrive(2_000, { id: 'a', promptTokens: 1_000 });
    },
  },
];

for (const { expected, name, run } of FAULT_CASES) {
  test(name, (t) => {
    const harness = new AdmissionHarness(0, 0.5, lengthsAround(50));
    run(harness);
    t.deepEqual(harness.log, expected);
  });
}

test('memory is kept for growth: a long output leaves less room than a short one', (t) => {
  const grantedWith = (tokens: number): number => {
    const harness = new AdmissionHarness(0, 0.5, lengthsAround(tokens));
    harness.settle(0, { kvTokensCapacity: 4_000 });
    for (let count = 0; count < 40; count += 1) {
      harness.arrive(2_000, { id: `r${count}`, promptTokens: 100 });
    }
    return harness.log.filter((line) => line.startsWith('grant')).length;
  };
  t.true(grantedWith(20) > 2 * grantedWith(1_000));
});

test('lengths are learned from the last report, also when the stream ended before it', (t) => {
  const lengths = lengthsAround(50);
  const harness = new AdmissionHarness(0, 0.5, lengths);
  harness.settle(0, { kvTokensCapacity: 100_000 });
  for (let count = 0; count < 200; count += 1) {
    harness.arrive(2_000, { id: `r${count}` });
    harness.end(2_000, `r${count}`);
    harness.progress(2_000, `r${count}`, 1_000, true);
    harness.progress(2_000, `r${count}`, 1_000, true);
  }
  const remainingTokens = lengths.curveOf(requestOf()).expectedRemainingTokens(0, 4_000);
  t.true(remainingTokens > 300, `${remainingTokens}`);
});

test('overflow that is coming: victims by class, and none is preempted without end', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthsAround(500));
  harness.settle(0, { kvTokensCapacity: 4_000 });
  harness.arrive(2_000, { id: 'interactive', priorityClass: 0, promptTokens: 900 });
  harness.arrive(2_000, { id: 'batch', priorityClass: 2, promptTokens: 900 });
  harness.arrive(2_000, { id: 'protected', preemptions: 2, priorityClass: 2, promptTokens: 900 });
  const full = { kvTokensCapacity: 2_800, kvTokensUsed: 2_700, queuedGenerations: 1 };
  t.deepEqual(harness.load(2_100, full), ['preempt batch']);
  t.deepEqual(harness.load(2_200, { ...full, kvTokensCapacity: 1_000 }), ['preempt interactive']);
  t.deepEqual(harness.load(2_300, { ...full, kvTokensCapacity: 500 }), []);
});

test('a request is refused early when its wait would exceed its bound, with a jittered time', (t) => {
  const refusals = [0, 1].map((jitter) => {
    const harness = new AdmissionHarness(0, jitter, lengthsAround(50));
    harness.settle(0);
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

test('a generation that has begun is never refused early', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthsAround(50));
  harness.settle(0);
  for (let count = 0; count <= 20; count += 1) {
    harness.arrive(2_000, { id: `a${count}`, promptTokens: 700 });
  }
  for (let count = 0; count < 6; count += 1) {
    harness.end(3_000 + 1_000 * count, `a${count}`);
  }
  const begun = { id: 'b', preemptions: 1, producedTokens: 30, promptTokens: 700 };
  t.deepEqual(harness.arrive(8_100, { ...begun, waitBoundMs: 5_000 }), ['queue b']);
  t.deepEqual(harness.end(8_200, 'a6'), ['grant b']);
});

test('property: two schedulers never grant more prompt tokens than fit, once reports are in', (t) => {
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
        const owners = [0, 1].map(() => new AdmissionHarness(0, 0.5, lengthsAround(50)));
        let usedTokens = 0;
        owners.forEach((owner) => {
          owner.settle(0);
        });
        requests.forEach(({ first, prompt }, index) => {
          const nowMs = 3_000 + index * 1_000;
          for (let report = 0; report < 20; report += 1) {
            owners.forEach((owner) => owner.load(nowMs, { kvTokensUsed: usedTokens }));
          }
          const done = owners[first ? 0 : 1]?.arrive(nowMs, {
            id: `r${index}`,
            promptTokens: prompt,
          });
          usedTokens += done?.includes(`grant r${index}`) ? prompt : 0;
        });
        return usedTokens <= 1_000;
      }),
    );
  };
  t.notThrows(check);
});

test('an estimate says less than a millisecond for an engine without a queue', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthsAround(50));
  harness.settle(0);
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

test('an engine preemption that a router reports gives the memory back', (t) => {
  const harness = new AdmissionHarness(0, 0.5, lengthsAround(50));
  harness.settle(0);
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
