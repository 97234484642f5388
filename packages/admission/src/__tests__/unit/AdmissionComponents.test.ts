import type { EngineCacheEvent } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { CacheEventPage, VictimCandidate } from '../../index.js';
import {
  DrainRate,
  FORECAST_STEPS_TOKENS,
  LoadCorrection,
  MemoryForecast,
  OverrunMargin,
  PrefixCacheView,
  chooseVictim,
} from '../../index.js';
import { lengthModelAround, loadOf, requestOf } from '../AdmissionFixtures.js';

const CURVE = lengthModelAround(100).curveOf(requestOf());

test('property: a forecast is the sum over its generations after any additions and removals', (t) => {
  const tokens = fc.integer({ max: 2_000, min: 0 });
  const generationMemory = fc.record({
    heldTokens: tokens,
    maxTokens: tokens,
    producedTokens: tokens,
  });
  const property = fc.property(
    fc.array(generationMemory),
    fc.array(generationMemory),
    (kept, removed) => {
      const forecast = new MemoryForecast<string>();
      removed.forEach((part, index) => {
        forecast.put(`gone-${index}`, { ...part, curve: CURVE });
      });
      kept.forEach((part, index) => {
        forecast.put(`kept-${index}`, { ...part, curve: CURVE });
      });
      removed.forEach((_, index) => {
        forecast.remove(`gone-${index}`);
      });
      return FORECAST_STEPS_TOKENS.every((step, index) => {
        const expected = kept.reduce((sum, part) => {
          const grows = part.producedTokens + step < part.maxTokens;
          const probability =
            step === 0 ? 1 : grows ? CURVE.growthProbability(part.producedTokens, step) : 0;
          return sum + probability * (part.heldTokens + step);
        }, 0);
        return Math.abs(forecast.expectedTokens(index) - expected) < 1e-3;
      });
    },
  );
  t.notThrows(() => {
    fc.assert(property);
  });
});

test('a forecast peak exceeds the memory in use now', (t) => {
  const forecast = new MemoryForecast<string>();
  for (let count = 0; count < 10; count += 1) {
    forecast.put(`r${count}`, {
      curve: CURVE,
      heldTokens: 50,
      maxTokens: 4_000,
      producedTokens: 0,
    });
  }
  t.is(forecast.heldTokens(), 500);
  t.true(forecast.peakTokens(undefined, 0) > 900);
  t.true(forecast.peakTokens(undefined, 2) > forecast.peakTokens(undefined, 1));
});

test('a short output fits if it ends before an expected shortage', (t) => {
  const forecast = new MemoryForecast<string>();
  const long = lengthModelAround(2_000).curveOf(requestOf());
  for (let count = 0; count < 8; count += 1) {
    forecast.put(`r${count}`, { curve: long, heldTokens: 50, maxTokens: 4_000, producedTokens: 0 });
  }
  const candidate = { heldTokens: 50, maxTokens: 4_000, producedTokens: 0 };
  t.true(forecast.peakTokens(undefined, 0) > 8_000);
  t.true(
    forecast.fits({ ...candidate, curve: lengthModelAround(20).curveOf(requestOf()) }, 1, 8_000),
  );
  t.false(forecast.fits({ ...candidate, curve: long }, 1, 8_000));
});

test('the margin converges to the target overrun rate', (t) => {
  const margin = new OverrunMargin({ targetOverrunRate: 0.05 });
  let state = 1;
  let overruns = 0;
  for (let end = 0; end < 20_000; end += 1) {
    state = (state * 48_271) % 2_147_483_647;
    const isOverrun = state / 2_147_483_647 < Math.exp(-2 * margin.deviations());
    if (isOverrun) {
      margin.recordOverrun(end * 20_000);
    }
    margin.recordCompletion();
    overruns += isOverrun && end >= 10_000 ? 1 : 0;
  }
  t.true(Math.abs(overruns / 10_000 - 0.05) < 0.01, `${overruns}`);
});

test('overruns within the window count once', (t) => {
  const margin = new OverrunMargin();
  margin.recordOverrun(0);
  const raised = margin.deviations();
  margin.recordOverrun(9_999);
  t.is(margin.deviations(), raised);
  margin.recordOverrun(10_000);
  t.true(margin.deviations() > raised);
});

test('growth between the measurement and the arrival of a load report does not change the correction', (t) => {
  const correction = new LoadCorrection();
  for (let nowMs = 0; nowMs <= 5_000; nowMs += 10) {
    correction.recordSample(nowMs, nowMs);
  }
  const load = loadOf({ ageMs: 2_000, kvTokensCapacity: 10_000, kvTokensUsed: 3_000 });
  correction.recordReport(load, 5_000, true);
  t.is(correction.tokens(), 0);
});

test('the correction does not go below zero while the engine queues generations', (t) => {
  const correction = new LoadCorrection();
  correction.recordSample(800, 0);
  correction.recordReport(loadOf({ kvTokensUsed: 600, queuedGenerations: 1 }), 0, true);
  t.is(correction.tokens(), 0);
  correction.recordReport(loadOf({ kvTokensUsed: 600 }), 0, true);
  t.is(correction.tokens(), -100);
});

test('a drain rate is measured only while requests wait', (t) => {
  const rate = new DrainRate();
  rate.recordWaiting(true, 0);
  rate.recordServed(100);
  rate.recordWaiting(true, 1_000);
  t.is(rate.waitMs(50), undefined);
  rate.recordServed(100);
  rate.recordWaiting(true, 2_000);
  rate.recordServed(100);
  rate.recordWaiting(false, 3_000);
  const measuredMs = rate.waitMs(100) ?? 0;
  t.true(measuredMs > 900 && measuredMs < 1_100, `${measuredMs}`);
  rate.recordWaiting(false, 500_000);
  t.is(rate.waitMs(100), measuredMs);
});

const CANDIDATE: VictimCandidate = {
  costTokens: 500,
  expectedRemainingTokens: 500,
  preemptions: 0,
  priorityClass: 1,
};

const VICTIM_CASES: readonly (readonly [
  string,
  Partial<VictimCandidate>,
  Partial<VictimCandidate>,
])[] = [
  ['from the lower class', { priorityClass: 2 }, { costTokens: 1 }],
  ['the one preempted least often', {}, { costTokens: 1, preemptions: 1 }],
  ['the one that costs less to recompute', { costTokens: 499 }, {}],
  ['never one that was preempted twice', {}, { preemptions: 2, priorityClass: 2 }],
  ['never one that is about to end', {}, { expectedRemainingTokens: 5, priorityClass: 2 }],
];

for (const [name, expected, other] of VICTIM_CASES) {
  test(`victim: ${name}`, (t) => {
    const victim = { ...CANDIDATE, ...expected };
    const otherCandidate = { ...CANDIDATE, ...other };
    t.is(chooseVictim([victim, otherCandidate]), victim);
    t.is(chooseVictim([otherCandidate, victim]), victim);
  });
}

test('victim: none if all candidates are protected', (t) => {
  t.is(chooseVictim([{ ...CANDIDATE, preemptions: 2 }]), undefined);
});

function storedEvent(sequence: number, prefixHash: string, tokens: number): EngineCacheEvent {
  return { kind: 'stored', prefixHash, sequence, tokens };
}

function pageOf(events: readonly EngineCacheEvent[]): CacheEventPage {
  return { events, latestSequence: events.at(-1)?.sequence ?? 0 };
}

test('confidence in cached prefixes falls with gaps and age, and evicted prefixes are removed', (t) => {
  const view = new PrefixCacheView({ maxPrefixes: 3 });
  view.apply(pageOf([storedEvent(1, 'a', 16), storedEvent(2, 'ab', 32)]), 0);
  t.is(view.expectedTokens(['a', 'ab', 'abc'], 0), 32);
  t.is(view.expectedTokens(['a', 'ab'], 60_000), 16);
  view.apply(pageOf([storedEvent(9, 'x', 64)]), 0);
  t.is(view.expectedTokens(['a', 'ab'], 0), 16);
  t.is(view.expectedTokens(['x'], 0), 64);
  view.apply(pageOf([{ kind: 'evicted', prefixHash: 'x', sequence: 10, tokens: 64 }]), 0);
  t.is(view.expectedTokens(['x'], 0), 0);
  view.apply(pageOf([storedEvent(11, 'y', 8), storedEvent(12, 'z', 8)]), 0);
  t.is(view.size(), 3);
  view.apply(pageOf([storedEvent(1, 'q', 8)]), 0);
  t.is(view.size(), 1);
});
