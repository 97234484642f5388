import type { FailureDomainId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { EngineCandidate, PrefixValueInput } from '../../index.js';
import { prefixSavingMs, rankEngines } from '../../index.js';
import { ENGINE, promptOf, serverOf } from '../support/DispatchFixtures.js';

const INPUT: PrefixValueInput = {
  cachedTokens: 700,
  confidence: 1,
  expectedWaitMs: 0,
  isUsable: true,
  memory: { plannableTokens: 30_000, plannedTokens: 3_000 },
  prefillTokensPerMs: 7,
};
const CASES: readonly [string, Partial<PrefixValueInput>, number][] = [
  ['an engine with memory saves the whole prefill', {}, 100],
  ['a fast engine saves less time', { prefillTokensPerMs: 14 }, 50],
  ['an uncertain speed counts in part', { confidence: 0.5 }, 50],
  ['an unusable engine saves nothing', { isUsable: false }, 0],
  [
    'in a full memory the prefix has no value',
    { memory: { plannableTokens: 30_000, plannedTokens: 30_000 } },
    0,
  ],
  [
    'the wait does not matter while nothing is evicted',
    { expectedWaitMs: 4_000, memory: { plannableTokens: 30_000, plannedTokens: 24_000 } },
    100,
  ],
];

for (const [name, overrides, savedMs] of CASES) {
  test(name, (t) => {
    t.is(Math.round(prefixSavingMs({ ...INPUT, ...overrides })), savedMs);
  });
}

test('under pressure a longer wait lowers the value', (t) => {
  const memory = { plannableTokens: 30_000, plannedTokens: 26_000 };
  const soon = prefixSavingMs({ ...INPUT, memory });
  const late = prefixSavingMs({ ...INPUT, expectedWaitMs: 3_000, memory });
  t.true(late < soon && soon < 100);
});

/** Two engines that hold 2,000 tokens of the prompt, the first nearly full or cold. */
function bestOf(first: Partial<EngineCandidate>, weighsPrefixes: boolean): string | undefined {
  const totals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };
  const engine = (name: string, overrides: Partial<EngineCandidate>): EngineCandidate => ({
    cachedTokens: 0,
    failureShare: 0,
    server: serverOf(name),
    totals,
    ...overrides,
  });
  return rankEngines({
    candidates: [engine('a', { cachedTokens: 2_000, ...first }), engine('b', {})],
    engine: ENGINE,
    failureDomain: toId<FailureDomainId>('a'),
    prompt: promptOf(),
    randomUnit: () => 0.5,
    weighsPrefixes,
  })[0]?.server.serverId;
}

test('an engine with the prefix is preferred while its value exceeds the load there', (t) => {
  const loaded = { plannedTokens: 7_000, readingTokens: 0, runs: 2, usedTokens: 6_000 };
  t.is(bestOf({ totals: loaded }, true), 'a');
});

test('a nearly full engine is preferred for its prefix only without the weighing', (t) => {
  const nearlyFull = { plannedTokens: 28_500, readingTokens: 0, runs: 8, usedTokens: 26_000 };
  t.is(bestOf({ totals: nearlyFull }, false), 'a');
  t.is(bestOf({ totals: nearlyFull }, true), 'b');
});

test('a cold engine is not preferred for a prefix', (t) => {
  const totals = { plannedTokens: 3_000, readingTokens: 0, runs: 1, usedTokens: 3_000 };
  t.is(bestOf({ isCold: true, totals }, true), 'b');
});
