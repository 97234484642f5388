import test from 'ava';
import type { Admission, AdmissionInput, Placement } from '../../index.js';
import { admitImmediately, admitGeneration } from '../../index.js';
import { ENGINE, serverOf } from '../support/DispatchFixtures.js';

function placementOf(usedTokens: number, fits: boolean): Placement {
  const totals = { plannedTokens: usedTokens, readingTokens: 0, runs: 0, usedTokens };
  return { costMs: 0, fits, server: serverOf('a'), totals, unreadTokens: 0 };
}

const INPUT: AdmissionInput = {
  best: placementOf(0, true),
  callerTimeoutMs: 7_200,
  targetLatencyMs: 1_800,
  urgency: 1,
  waitedMs: 0,
};

test('without an engine a generation is refused at once', (t) => {
  t.is(admitGeneration({ ...INPUT, best: undefined }).kind, 'refuse');
});

test('a generation that fits is sent', (t) => {
  t.is(admitGeneration(INPUT).kind, 'send');
});

test('urgent ones look for room most often, late ones rarely', (t) => {
  const best = placementOf(0, false);
  const recheckOf = (changes: Partial<AdmissionInput>): number => {
    const admission = admitGeneration({ ...INPUT, best, ...changes });
    return admission.kind === 'wait' ? admission.recheckAfterMs : 0;
  };
  t.is(recheckOf({ urgency: 0 }), 10);
  t.is(recheckOf({ urgency: 1 }), 20);
  t.is(recheckOf({ urgency: 9 }), 100);
  t.is(recheckOf({ urgency: 0, waitedMs: 1_400 }), 300);
});

test('one without room is refused before the patience of its caller ends', (t) => {
  const best = placementOf(0, false);
  t.is(admitGeneration({ ...INPUT, best, waitedMs: 4_319 }).kind, 'wait');
  t.deepEqual(admitGeneration({ ...INPUT, best, waitedMs: 4_320 }), {
    kind: 'refuse',
    reason: 'noRoom',
  });
  t.is(admitGeneration({ ...INPUT, waitedMs: 4_320 }).kind, 'send', 'one that fits is not');
});

test('after a freeze a generation whose caller has given up is not sent', (t) => {
  t.is(admitGeneration({ ...INPUT, waitedMs: 7_199 }).kind, 'send');
  t.deepEqual(admitGeneration({ ...INPUT, waitedMs: 7_200 }), { kind: 'refuse', reason: 'noRoom' });
});

/** Replays a burst on one engine; returns the most memory that runs held at once. */
function mostTokensUsed(admit: (input: AdmissionInput) => Admission): number {
  const runTokens = 4_000;
  const runMs = 2_000;
  const stepMs = 20;
  const ends: number[] = [];
  const waiting: number[] = [];
  let mostTokens = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += stepMs) {
    const usedTokens = () => ends.filter((endMs) => endMs > nowMs).length * runTokens;
    if (nowMs < 1_200 && nowMs % 100 === 0) {
      waiting.push(nowMs);
    }
    for (const arrivedMs of waiting.splice(0)) {
      const fits = usedTokens() + runTokens <= ENGINE.memoryTokens;
      const best = placementOf(usedTokens(), fits);
      if (admit({ ...INPUT, best, waitedMs: nowMs - arrivedMs }).kind === 'send') {
        ends.push(nowMs + runMs);
      } else {
        waiting.push(arrivedMs);
      }
    }
    mostTokens = Math.max(mostTokens, usedTokens());
  }
  return mostTokens;
}

test('load pattern: a burst stays within the memory, where all at once would not', (t) => {
  t.true(mostTokensUsed(admitGeneration) <= ENGINE.memoryTokens);
  t.true(mostTokensUsed(admitImmediately) > ENGINE.memoryTokens);
});

/** The twin that waits in order of arrival and goes on without room once patience ends. */
function admitInOrder({ best, callerTimeoutMs: patienceMs, waitedMs }: AdmissionInput): Admission {
  if (!best) {
    return { kind: 'refuse', reason: 'noEngine' };
  }
  return best.fits || waitedMs >= 0.6 * patienceMs
    ? { kind: 'send', placement: best }
    : { kind: 'wait', recheckAfterMs: 10 };
}

/** Replays an overload of 16 s and 24 s of full load; returns how many of the latter were on time. */
function onTimeAfterOverload(admit: (input: AdmissionInput) => Admission): number {
  const places = 100;
  const runMs = 8_000;
  const stepMs = 10;
  const ends: number[] = [];
  const waiting: { arrivedMs: number; checkMs: number }[] = [];
  let begun = 0;
  let onTime = 0;
  let asked = 0;
  for (let nowMs = 0; nowMs < 40_000; nowMs += stepMs) {
    const isOverload = nowMs < 16_000;
    if (nowMs % (isOverload ? 60 : 80) === 0) {
      waiting.push({ arrivedMs: nowMs, checkMs: nowMs });
      asked += isOverload ? 0 : 1;
    }
    for (const waiter of waiting.splice(0)) {
      const { arrivedMs, checkMs } = waiter;
      const waitedMs = nowMs - arrivedMs;
      const fits = ends.filter((endMs) => endMs > nowMs).length < places;
      if (checkMs > nowMs) {
        waiting.push(waiter);
        continue;
      }
      const admission = admit({ ...INPUT, best: placementOf(0, fits), waitedMs });
      if (admission.kind === 'wait') {
        waiting.push({ arrivedMs, checkMs: nowMs + admission.recheckAfterMs });
      } else if (admission.kind === 'send') {
        // Without room a run waits at the engine, and its memory with it.
        ends.push(nowMs + runMs);
        begun += 1;
        onTime += arrivedMs >= 16_000 && waitedMs < 1_300 ? 1 : 0;
      }
    }
  }
  return begun > 0 ? onTime / asked : 0;
}

test('load pattern: after an overload most new generations are on time again, in order of arrival few', (t) => {
  t.true(onTimeAfterOverload(admitGeneration) > 0.5);
  t.true(onTimeAfterOverload(admitInOrder) < 0.1);
});
