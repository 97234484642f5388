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
import { lengthsAround, loadOf, requestOf } from '../AdmissionFixtures.js';

const CURVE = lengthsAround(100).curveOf(requestOf());

test('property: a forecast is the sum of its parts, whatever came and went', (t) => {
  const tokens = fc.integer({ max: 2_000, min: 0 });
  const hold = fc.record({ heldTokens: tokens, maxTokens: tokens, producedTokens: tokens });
  const property = fc.property(fc.array(hold), fc.array(hold), (kept, gone) => {
    const forecast = new MemoryForecast<string>();
    gone.forEach((part, index) => {
      forecast.put(`gone-${index}`, { ...part, curve: CURVE });
    });
    kept.forEach((part, index) => {
      forecast.put(`kept-${index}`, { ...part, curve: CURVE });
    });
    gone.forEach((_, index) => {
      forecast.remove(`gone-${index}`);
    });
    return FORECAST_STEPS_TOKENS.every((step, index) => {
      const naive = kept.reduce((sum, part) => {
        const grows = part.producedTokens + step < part.maxTokens;
        const chance =
          step === 0 ? 1 : grows ? CURVE.growthProbability(part.producedTokens, step) : 0;
        return sum + chance * (part.heldTokens + step);
      }, 0);
      return Math.abs(forecast.expectedTokens(index) - naive) < 1e-3;
    });
  });
  t.notThrows(() => {
    fc.assert(property);
  });
});

test('a forecast sees the peak that naive current use does not', (t) => {
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

test('a short output may come in before a shortage that lies further ahead', (t) => {
  const forecast = new MemoryForecast<string>();
  const long = lengthsAround(2_000).curveOf(requestOf());
  for (let count = 0; count < 8; count += 1) {
    forecast.put(`r${count}`, { curve: long, heldTokens: 50, maxTokens: 4_000, producedTokens: 0 });
  }
  const candidate = { heldTokens: 50, maxTokens: 4_000, producedTokens: 0 };
  t.true(forecast.peakTokens(undefined, 0) > 8_000);
  t.true(forecast.fits({ ...candidate, curve: lengthsAround(20).curveOf(requestOf()) }, 1, 8_000));
  t.false(forecast.fits({ ...candidate, curve: long }, 1, 8_000));
});

test('the margin settles where overruns are as frequent as the target', (t) => {
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

test('overruns that come from one forecast count once', (t) => {
  const margin = new OverrunMargin();
  margin.recordOverrun(0);
  const raised = margin.deviations();
  margin.recordOverrun(9_999);
  t.is(margin.deviations(), raised);
  margin.recordOverrun(10_000);
  t.true(margin.deviations() > raised);
});

test('growth between the measurement and the arrival of a report is no correction', (t) => {
  const correction = new LoadCorrection();
  for (let nowMs = 0; nowMs <= 5_000; nowMs += 10) {
    correction.recordSample(nowMs, nowMs);
  }
  const load = loadOf({ ageMs: 2_000, kvTokensCapacity: 10_000, kvTokensUsed: 3_000 });
  correction.recordReport(load, 5_000, true);
  t.is(correction.tokens(), 0);
});

test('what the engine holds back in its own queue does not count as free', (t) => {
  const correction = new LoadCorrection();
  correction.recordSample(800, 0);
  correction.recordReport(loadOf({ kvTokensUsed: 600, queuedGenerations: 1 }), 0, true);
  t.is(correction.tokens(), 0);
  correction.recordReport(loadOf({ kvTokensUsed: 600 }), 0, true);
  t.is(correction.tokens(), -100);
});

test('a drain rate is measured only while something waits', (t) => {
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

const VICTIM: VictimCandidate = {
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
  ['the lower class', { priorityClass: 2 }, { costTokens: 1 }],
  ['the one preempted least often', {}, { costTokens: 1, preemptions: 1 }],
  ['the cheaper one', { costTokens: 499 }, {}],
  ['never one that was preempted twice', {}, { preemptions: 2, priorityClass: 2 }],
  ['never one that is almost done', {}, { expectedRemainingTokens: 5, priorityClass: 2 }],
];

for (const [name, expected, other] of VICTIM_CASES) {
  test(`victim: ${name}`, (t) => {
    const victim = { ...VICTIM, ...expected };
    const spared = { ...VICTIM, ...other };
    t.is(chooseVictim([victim, spared]), victim);
    t.is(chooseVictim([spared, victim]), victim);
  });
}

test('victim: none when all are protected', (t) => {
  t.is(chooseVictim([{ ...VICTIM, preemptions: 2 }]), undefined);
});

function stored(sequence: number, prefixHash: string, tokens: number): EngineCacheEvent {
  return { kind: 'stored', prefixHash, sequence, tokens };
}

function pageOf(events: readonly EngineCacheEvent[]): CacheEventPage {
  return { events, latestSequence: events.at(-1)?.sequence ?? 0 };
}

test('a cache view loses confidence by gaps and age, and never names what was evicted', (t) => {
  const view = new PrefixCacheView({ maxPrefixes: 3 });
  view.apply(pageOf([stored(1, 'a', 16), stored(2, 'ab', 32)]), 0);
  t.is(view.expectedTokens(['a', 'ab', 'abc'], 0), 32);
  t.is(view.expectedTokens(['a', 'ab'], 60_000), 16);
  view.apply(pageOf([stored(9, 'x', 64)]), 0);
  t.is(view.expectedTokens(['a', 'ab'], 0), 16);
  t.is(view.expectedTokens(['x'], 0), 64);
  view.apply(pageOf([{ kind: 'evicted', prefixHash: 'x', sequence: 10, tokens: 64 }]), 0);
  t.is(view.expectedTokens(['x'], 0), 0);
  view.apply(pageOf([stored(11, 'y', 8), stored(12, 'z', 8)]), 0);
  t.is(view.size(), 3);
  view.apply(pageOf([stored(1, 'q', 8)]), 0);
  t.is(view.size(), 1);
});
