import test from 'ava';
import type { Admission, AdmissionInput, Placement } from '../../index.js';
import { admitGeneration, admitImmediately } from '../../index.js';
import { ENGINE, serverOf } from '../support/DispatchFixtures.js';

function placementOf(usedTokens: number, fits: boolean): Placement {
  const totals = { plannedTokens: usedTokens, readingTokens: 0, runs: 0, usedTokens };
  return { costMs: 0, fits, plannedTokens: 0, server: serverOf('a'), totals, unreadTokens: 0 };
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

test('urgent generations recheck for capacity most often, late ones rarely', (t) => {
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

test('a generation without capacity is refused before the timeout of its caller', (t) => {
  const best = placementOf(0, false);
  t.is(admitGeneration({ ...INPUT, best, waitedMs: 4_319 }).kind, 'wait');
  t.deepEqual(admitGeneration({ ...INPUT, best, waitedMs: 4_320 }), {
    kind: 'refuse',
    reason: 'noRoom',
  });
  t.is(admitGeneration({ ...INPUT, waitedMs: 4_320 }).kind, 'send', 'one that fits is sent');
});

test('after a freeze, a generation whose caller has timed out is not sent', (t) => {
  t.is(admitGeneration({ ...INPUT, waitedMs: 7_199 }).kind, 'send');
  t.deepEqual(admitGeneration({ ...INPUT, waitedMs: 7_200 }), { kind: 'refuse', reason: 'noRoom' });
});

/** Simulates a burst on one engine; returns the largest KV cache usage in tokens. */
function peakTokensUsed(admit: (input: AdmissionInput) => Admission): number {
  const runTokens = 4_000;
  const runMs = 2_000;
  const stepMs = 20;
  const ends: number[] = [];
  const waiting: number[] = [];
  let peakTokens = 0;
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
    peakTokens = Math.max(peakTokens, usedTokens());
  }
  return peakTokens;
}

test('load pattern: a burst stays within the KV cache, which immediate admission exceeds', (t) => {
  t.true(peakTokensUsed(admitGeneration) <= ENGINE.memoryTokens);
  t.true(peakTokensUsed(admitImmediately) > ENGINE.memoryTokens);
});

/** Baseline: waits in order of arrival, and is sent without capacity near the caller's timeout. */
function admitInArrivalOrder({ best, callerTimeoutMs, waitedMs }: AdmissionInput): Admission {
  if (!best) {
    return { kind: 'refuse', reason: 'noEngine' };
  }
  return best.fits || waitedMs >= 0.6 * callerTimeoutMs
    ? { kind: 'send', placement: best }
    : { kind: 'wait', recheckAfterMs: 10 };
}

/** Simulates 16 s of overload and 24 s of full load; returns the on-time share of the latter. */
function onTimeAfterOverload(admit: (input: AdmissionInput) => Admission): number {
  const slots = 100;
  const runMs = 8_000;
  const stepMs = 10;
  const ends: number[] = [];
  const waiting: { arrivedMs: number; checkMs: number }[] = [];
  let started = 0;
  let onTimeCount = 0;
  let arrived = 0;
  for (let nowMs = 0; nowMs < 40_000; nowMs += stepMs) {
    const isOverload = nowMs < 16_000;
    if (nowMs % (isOverload ? 60 : 80) === 0) {
      waiting.push({ arrivedMs: nowMs, checkMs: nowMs });
      arrived += isOverload ? 0 : 1;
    }
    for (const waiter of waiting.splice(0)) {
      const { arrivedMs, checkMs } = waiter;
      const waitedMs = nowMs - arrivedMs;
      const fits = ends.filter((endMs) => endMs > nowMs).length < slots;
      if (checkMs > nowMs) {
        waiting.push(waiter);
        continue;
      }
      const admission = admit({ ...INPUT, best: placementOf(0, fits), waitedMs });
      if (admission.kind === 'wait') {
        waiting.push({ arrivedMs, checkMs: nowMs + admission.recheckAfterMs });
      } else if (admission.kind === 'send') {
        // Without capacity a run waits at the engine and takes up KV cache there.
        ends.push(nowMs + runMs);
        started += 1;
        onTimeCount += arrivedMs >= 16_000 && waitedMs < 1_300 ? 1 : 0;
      }
    }
  }
  return started > 0 ? onTimeCount / arrived : 0;
}

test('load pattern: after an overload most generations are on time, in arrival order few', (t) => {
  t.true(onTimeAfterOverload(admitGeneration) > 0.5);
  t.true(onTimeAfterOverload(admitInArrivalOrder) < 0.1);
});
