import type { FailureDomainId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type {
  EngineCandidate,
  EngineSpeed,
  EngineTotals,
  PlacementInput,
  UnevenEngines,
} from '../../index.js';
import { rankEngines, remainingCapacity, reservedOutputTokens } from '../../index.js';
import { ENGINE, promptOf, serverOf } from '../support/DispatchFixtures.js';

const IDLE: EngineTotals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };
const DOMAIN = toId<FailureDomainId>('a');
const FAST: EngineSpeed = {
  ageMs: 0,
  confidence: 1,
  eventMs: 16,
  prefillTokensPerMs: 12,
  prefillingEventMs: 30,
};
const SLOW: EngineSpeed = { ...FAST, eventMs: 34, prefillTokensPerMs: 6, prefillingEventMs: 70 };
const SHORT = promptOf({ expectedOutputTokens: 8, maxOutputTokens: 12, promptTokens: 2_200 });
const UNEVEN: UnevenEngines = {
  longStreamGapMs: 180,
  maxEventGapMs: 180,
  prefillShareOf: () => 0,
  slowPeriods: { factor: 2.5, share: 0.15 },
  untilTargetMs: 1_806,
};

function candidate(name: string, totals: Partial<EngineTotals> = {}): EngineCandidate {
  const all = { ...IDLE, ...totals };
  return { cachedTokens: 0, failureShare: 0, server: serverOf(name), totals: all };
}

/** Engines whose names begin with `f` are fast. */
function bestOf(
  candidates: readonly EngineCandidate[],
  overrides: Partial<PlacementInput> = {},
): string | undefined {
  return rankEngines({
    candidates,
    engine: ENGINE,
    failureDomain: DOMAIN,
    prompt: promptOf(),
    randomUnit: () => 0.5,
    speedOf: (serverId) => (serverId.startsWith('f') ? FAST : SLOW),
    uneven: UNEVEN,
    ...overrides,
  })[0]?.server.serverId;
}

test('a long stream goes to a fast engine with more runs', (t) => {
  const fast = candidate('f', { longRuns: 5, plannedTokens: 17_000, runs: 5, usedTokens: 16_000 });
  t.is(bestOf([fast, candidate('s')], { uneven: { ...UNEVEN, prefillShareOf: () => 0.4 } }), 'f');
});

test('a long stream goes to a slow engine when the fast ones are full', (t) => {
  const fast = candidate('f', { longRuns: 9, plannedTokens: 33_000, runs: 9, usedTokens: 30_000 });
  t.is(bestOf([fast, candidate('s')]), 's');
});

test('a fast engine in another domain takes a long stream in spite of the cost between domains', (t) => {
  const fast = candidate('f');
  const remote = {
    ...fast,
    server: serverOf('f', { failureDomain: toId<FailureDomainId>('b') }),
  };
  const uneven = { ...UNEVEN, prefillShareOf: () => 0.4 };
  t.is(bestOf([remote, candidate('s')], { otherDomainCostMs: 40, uneven }), 'f');
});

test('a short output goes to a slow engine that runs no long stream', (t) => {
  const withStreams = candidate('s-1', { longRuns: 3, plannedTokens: 10_000, runs: 3 });
  const withPrefill = candidate('s-2', { plannedTokens: 2_200, readingTokens: 1_500, runs: 1 });
  const fast = candidate('f', { longRuns: 6, plannedTokens: 21_000, runs: 6, usedTokens: 19_000 });
  t.is(bestOf([withStreams, withPrefill, fast], { prompt: SHORT }), 's-2');
});

test('a long stream avoids slow engines that prefill much', (t) => {
  const uneven = {
    ...UNEVEN,
    prefillShareOf: (id: string) => (id === 's-1' ? 0.8 : 0),
  };
  t.is(bestOf([candidate('s-1'), candidate('s-2')], { uneven }), 's-2');
});

test('the first event goes first: a queue that misses the target is not taken to spare streams', (t) => {
  const queue = candidate('s-1', { plannedTokens: 9_000, readingTokens: 9_000, runs: 4 });
  const streams = candidate('s-2', { longRuns: 3, plannedTokens: 10_000, runs: 3 });
  t.is(bestOf([queue, streams], { prompt: SHORT }), 's-2');
});

test('an engine of unknown speed is taken for a usual one', (t) => {
  const speedOf = (id: string): EngineSpeed | undefined =>
    id === 'new' ? undefined : id.startsWith('f') ? FAST : SLOW;
  const uneven = { ...UNEVEN, prefillShareOf: () => 0.4 };
  const engines = [candidate('new'), candidate('f'), candidate('s-1'), candidate('s-2')];
  t.is(bestOf(engines, { speedOf, uneven }), 'f');
});

/** The cost of an engine before speeds were learned. */
function costOfEvenEngine(input: PlacementInput, index: number, random: number): number {
  const { engine, failureDomain, hasKvCache, prompt } = input;
  const found = input.candidates[index];
  if (!found) {
    return 0;
  }
  const { cachedTokens, failureShare, server, totals } = found;
  const { promptTokens } = prompt;
  const unreadTokens = hasKvCache ? 0 : Math.max(0, promptTokens - cachedTokens);
  const plannedTokens = promptTokens + reservedOutputTokens(prompt, 0);
  const request = { plannedTokens, promptTokens };
  const { isBlocked, overrunTokens } = remainingCapacity(totals, request, engine);
  return (
    (totals.readingTokens + unreadTokens) / 7 +
    totals.runs * 25 +
    overrunTokens * 2 +
    (isBlocked ? 4_000 : 0) +
    (server.failureDomain === failureDomain ? 0 : (input.otherDomainCostMs ?? 40)) +
    failureShare * 6_000 +
    random * 10
  );
}

test('where engines are even, the ranking is as before on random inputs', (t) => {
  const engine = fc.record({
    cachedTokens: fc.nat(4_000),
    domain: fc.constantFrom('a', 'b'),
    failureShare: fc.double({ max: 1, min: 0, noNaN: true }),
    longRuns: fc.nat(10),
    plannedTokens: fc.nat(40_000),
    random: fc.double({ max: 0.999, min: 0, noNaN: true }),
    readingTokens: fc.nat(12_000),
    runs: fc.nat(30),
    usedTokens: fc.nat(36_000),
  });
  const inputs = fc.tuple(fc.array(engine, { maxLength: 20 }), fc.nat(6_000), fc.boolean());
  fc.assert(
    fc.property(inputs, ([engines, promptTokens, hasKvCache]) => {
      const input: PlacementInput = {
        candidates: engines.map(({ cachedTokens, domain, failureShare, ...totals }, index) => ({
          cachedTokens,
          failureShare,
          server: serverOf(`e-${index}`, { failureDomain: toId<FailureDomainId>(domain) }),
          totals,
        })),
        engine: ENGINE,
        failureDomain: DOMAIN,
        hasKvCache,
        prompt: promptOf({ promptTokens }),
        randomUnit: nextOf(engines.map(({ random }) => random)),
        speedOf: (serverId) => (serverId.endsWith('1') ? FAST : SLOW),
      };
      const expected = engines
        .map(({ random }, index) => ({
          costMs: costOfEvenEngine(input, index, random),
          serverId: `e-${index}`,
        }))
        .sort((a, b) => a.costMs - b.costMs);
      const ranked = rankEngines(input).map(({ costMs, server }) => ({
        costMs,
        serverId: String(server.serverId),
      }));
      t.deepEqual(ranked, expected);
    }),
    { seed: 5 },
  );
});

function nextOf(values: readonly number[]): () => number {
  let index = -1;
  return () => {
    index += 1;
    return values[index] ?? 0;
  };
}
