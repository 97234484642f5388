import type { EngineId, FailureDomainId, RandomSource } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import { PrefixEngineCache } from '../../PrefixEngineCache.js';
import type { RouteCandidate, RouteEstimate, RouteRequest } from '../../RouteChooser.js';
import { RouteChooser } from '../../RouteChooser.js';
import { prefixHashesOf, promptTokensOf } from '../../RoutePrefixes.js';

const SEED = 20_261_207;
const REQUEST: RouteRequest = { prefixHashes: ['a', 'ab', 'abc'], promptTokens: 1_000 };

/** Linear congruential generator, good enough to pick candidates. */
function seededRandom(seed: number): RandomSource {
  let state = seed;
  return {
    nextUnit: () => {
      state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
      return state / 2 ** 31;
    },
  };
}

function candidate(number: number, overrides: Partial<RouteCandidate> = {}): RouteCandidate {
  return {
    engineId: toId<EngineId>(`engine-${number}`),
    failureDomain: toId<FailureDomainId>(`domain-${number % 3}`),
    leaving: false,
    suspected: false,
    url: `http://engine-${number}`,
    ...overrides,
  };
}

function estimate(number: number, overrides: Partial<RouteEstimate> = {}): RouteEstimate {
  return {
    acceptsWork: true,
    cachedPrefixTokens: 0,
    engineId: toId<EngineId>(`engine-${number}`),
    waitMs: 0,
    ...overrides,
  };
}

const CHOICES: readonly {
  readonly chosen: string;
  readonly estimates: readonly RouteEstimate[];
  readonly title: string;
}[] = [
  {
    chosen: 'engine-0',
    estimates: [estimate(0, { cachedPrefixTokens: 900, waitMs: 300 }), estimate(1)],
    title: 'the cached prefix saves more time than the wait costs',
  },
  {
    chosen: 'engine-1',
    estimates: [estimate(0, { cachedPrefixTokens: 900, waitMs: 600 }), estimate(1)],
    title: 'the wait costs more than computing the prompt again',
  },
  {
    chosen: 'engine-2',
    estimates: [estimate(0, { waitMs: 40 }), estimate(1, { waitMs: 90 }), estimate(2)],
    title: 'the shortest wait of the asked engines wins',
  },
  {
    chosen: 'engine-1',
    estimates: [estimate(0, { acceptsWork: false }), estimate(1, { waitMs: 5_000 })],
    title: 'an engine that accepts no work is skipped',
  },
  { chosen: 'engine-0', estimates: [], title: 'without estimates the asked order is kept' },
];

for (const { chosen, estimates, title } of CHOICES) {
  test(title, (t) => {
    const chooser = new RouteChooser({ random: seededRandom(1) });
    const asked = [candidate(0), candidate(1), candidate(2)];
    t.is(
      chooser.rankByCost(asked, estimates, REQUEST)[0]?.candidate.engineId,
      toId<EngineId>(chosen),
    );
  });
}

test('asks the engine that last computed the prefix, and two others', (t) => {
  const chooser = new RouteChooser({ random: seededRandom(7) });
  chooser.recordPlacement({ prefixHashes: ['a', 'ab'], promptTokens: 10 }, toId('engine-7'));
  const fleet = Array.from({ length: 10 }, (_, number) => candidate(number));
  const asked = chooser.shortlist(fleet, REQUEST);
  t.is(asked[0]?.engineId, toId<EngineId>('engine-7'));
  t.is(new Set(asked.map((engine) => engine.engineId)).size, 3);
  t.is(new Set(asked.map((engine) => engine.failureDomain)).size, 3);
});

test('never asks leaving engines, and suspected or excluded ones only without others', (t) => {
  const fleet = fc.array(fc.record({ leaving: fc.boolean(), suspected: fc.boolean() }), {
    maxLength: 12,
  });
  fc.assert(
    fc.property(fleet, fc.integer(), (generatedFlags, seed) => {
      const engines = generatedFlags.map((flags, number) => candidate(number, flags));
      const excludedEngines = engines.slice(0, 2).map((engine) => engine.engineId);
      const chooser = new RouteChooser({ random: seededRandom(Math.abs(seed)) });
      const asked = chooser.shortlist(engines, { ...REQUEST, excludedEngines });
      const isPreferred = (engine: RouteCandidate): boolean =>
        !engine.leaving && !engine.suspected && !excludedEngines.includes(engine.engineId);
      const notLeaving = engines.filter((engine) => !engine.leaving);
      const preferred = engines.filter(isPreferred);
      const pool = preferred.length > 0 ? preferred : notLeaving;
      t.is(asked.length, Math.min(2, pool.length));
      t.true(asked.every((engine) => pool.includes(engine)));
    }),
    { seed: SEED },
  );
});

interface Load {
  readonly queuedMs: number[];
}

/** Sends jobs of random lengths to engines; returns the longest wait of a job. */
function longestWait(choose: (load: Load) => number): number {
  const load: Load = { queuedMs: Array.from({ length: 12 }, () => 0) };
  const lengths = seededRandom(99);
  let longestMs = 0;
  for (let job = 0; job < 4_000; job += 1) {
    const engine = choose(load);
    longestMs = Math.max(longestMs, load.queuedMs[engine] ?? 0);
    const workMs = 20 * lengths.nextUnit() ** -0.5;
    load.queuedMs[engine] = (load.queuedMs[engine] ?? 0) + workMs;
    load.queuedMs.forEach((queuedMs, number) => {
      load.queuedMs[number] = Math.max(0, queuedMs - 40 / 12 / 0.9);
    });
  }
  return longestMs;
}

test('the longest wait is shorter than with random or round-robin choice', (t) => {
  const fleet = Array.from({ length: 12 }, (_, number) => candidate(number));
  const chooser = new RouteChooser({ random: seededRandom(5) });
  const rankedChoice = longestWait((load) => {
    const request = { prefixHashes: [], promptTokens: 0 };
    const asked = chooser.shortlist(fleet, request);
    const estimates = asked.map((engine) => {
      const number = fleet.indexOf(engine);
      return estimate(number, { waitMs: load.queuedMs[number] ?? 0 });
    });
    const [choice] = chooser.rankByCost(asked, estimates, request);
    return choice ? fleet.indexOf(choice.candidate) : 0;
  });
  const random = seededRandom(5);
  const randomChoice = longestWait(() => Math.floor(random.nextUnit() * fleet.length));
  let turn = 0;
  const roundRobin = longestWait(() => {
    turn += 1;
    return turn % fleet.length;
  });
  t.log({ randomChoice, rankedChoice, roundRobin });
  t.true(rankedChoice < randomChoice);
  t.true(rankedChoice < roundRobin);
});

test('the prefix cache is bounded and drops the least recently used prefix', (t) => {
  const cache = new PrefixEngineCache(2);
  cache.recordPrompt(['a'], toId('engine-1'));
  cache.recordPrompt(['b'], toId('engine-2'));
  cache.recordPrompt(['a'], toId('engine-1'));
  cache.recordPrompt(['c'], toId('engine-3'));
  t.deepEqual(
    ['a', 'b', 'c'].map((hash) => cache.findEngine([hash])),
    [toId('engine-1'), undefined, toId('engine-3')],
  );
});

test('prompts with a shared prefix have the same leading hashes', (t) => {
  const shared = 'x'.repeat(130);
  const one = prefixHashesOf(`${shared}one`.padEnd(200, '1'));
  const other = prefixHashesOf(`${shared}two`.padEnd(200, '2'));
  t.is(one.length, 3);
  t.deepEqual(one.slice(0, 2), other.slice(0, 2));
  t.not(one[2], other[2]);
  t.is(promptTokensOf('12345'), 2);
});
