import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { EngineCandidate, EngineTotals } from '../../index.js';
import {
  EngineLoad,
  placeRoundRobin,
  plannedOutputTokens,
  rankEngines,
  unreadPromptTokens,
} from '../../index.js';
import { ENGINE, promptOf, serverOf } from '../support/DispatchFixtures.js';

const IDLE: EngineTotals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };
const DOMAIN = toId<FailureDomainId>('a');

function candidate(name: string, overrides: Partial<EngineCandidate> = {}): EngineCandidate {
  return { cachedTokens: 0, failureShare: 0, server: serverOf(name), totals: IDLE, ...overrides };
}

function bestEngineOf(...candidates: readonly EngineCandidate[]): string | undefined {
  const input = { candidates, engine: ENGINE, failureDomain: DOMAIN, prompt: promptOf() };
  return rankEngines({ ...input, randomUnit: () => 0.5 })[0]?.server.serverId;
}

test('without engines there is no placement', (t) => {
  t.is(bestEngineOf(), undefined);
});

test('an engine that prefills a long prompt is avoided', (t) => {
  const reading = { ...IDLE, readingTokens: 6_000, runs: 2 };
  t.is(
    bestEngineOf(
      candidate('a', { totals: reading }),
      candidate('b', { totals: { ...IDLE, runs: 3 } }),
    ),
    'b',
  );
});

test('an engine whose KV cache would run out is avoided', (t) => {
  const full = { ...IDLE, plannedTokens: 32_000, runs: 1 };
  t.is(
    bestEngineOf(
      candidate('a', { totals: full }),
      candidate('b', { totals: { ...IDLE, runs: 8 } }),
    ),
    'b',
  );
});

test('an engine without KV cache for the prompt now is avoided', (t) => {
  const used = { ...IDLE, plannedTokens: 20_000, runs: 1, usedTokens: 31_000 };
  const busy = { ...IDLE, plannedTokens: 25_000, runs: 9, usedTokens: 20_000 };
  t.is(bestEngineOf(candidate('a', { totals: used }), candidate('b', { totals: busy })), 'b');
});

test('a cached prefix decides between equal engines', (t) => {
  t.is(bestEngineOf(candidate('a'), candidate('b', { cachedTokens: 400 })), 'b');
});

test('a cached prefix does not outweigh high load', (t) => {
  const loaded = { ...IDLE, readingTokens: 9_000, runs: 3 };
  t.is(bestEngineOf(candidate('a', { cachedTokens: 400, totals: loaded }), candidate('b')), 'b');
});

test('an engine with recent failures is avoided', (t) => {
  t.is(
    bestEngineOf(
      candidate('a', { failureShare: 0.5 }),
      candidate('b', { totals: { ...IDLE, runs: 9 } }),
    ),
    'b',
  );
});

test('the planned output grows when the output exceeds its estimate', (t) => {
  const prompt = promptOf({ expectedOutputTokens: 100, maxOutputTokens: 2_000 });
  t.is(plannedOutputTokens(prompt, 0), 130);
  t.is(plannedOutputTokens(prompt, 400), 640);
  t.is(plannedOutputTokens(prompt, 1_900), 2_000);
});

/** Sends a long or short prompt every 50 ms; returns the longest time to a first token. */
function worstFirstTokenMs(
  choose: (candidates: readonly EngineCandidate[], placementCount: number) => string,
): number {
  const names = ['a', 'b', 'c', 'd'];
  const tokensPerMs = 14;
  const intervalMs = 50;
  const backlog = new Map(names.map((name) => [name, 0]));
  let worstMs = 0;
  for (let placementCount = 0; placementCount < 200; placementCount += 1) {
    const promptTokens = placementCount % 4 === 0 ? 6_000 : 500;
    const candidates = names.map((name) =>
      candidate(name, { totals: { ...IDLE, readingTokens: backlog.get(name) ?? 0 } }),
    );
    const name = choose(candidates, placementCount);
    const tokens = (backlog.get(name) ?? 0) + promptTokens;
    backlog.set(name, tokens);
    worstMs = Math.max(worstMs, tokens / tokensPerMs);
    names.forEach((other) => {
      backlog.set(other, Math.max(0, (backlog.get(other) ?? 0) - intervalMs * tokensPerMs));
    });
  }
  return worstMs;
}

test('load pattern: long prompts among short ones wait less than with round robin', (t) => {
  const placedMs = worstFirstTokenMs((candidates) => bestEngineOf(...candidates) ?? '');
  const roundRobinMs = worstFirstTokenMs(
    (candidates, placementCount) => placeRoundRobin(candidates, placementCount) ?? '',
  );
  t.true(placedMs < roundRobinMs / 2, `${placedMs} against ${roundRobinMs}`);
});

test('the load of all daemons is added up, without the prompt tokens prefilled since', (t) => {
  const load = new EngineLoad();
  const serverId = toId<ServerId>('a');
  const share = {
    plannedTokens: 4_000,
    readingTokens: 3_000,
    runs: 1,
    serverId,
    usedTokens: 3_000,
  };
  load.setOwnShares([share]);
  load.recordMemberReport(toId<MemberId>('other'), [share], 0);
  t.deepEqual(load.totals(serverId, 100), {
    plannedTokens: 8_000,
    readingTokens: 3_000 + 2_300,
    runs: 2,
    usedTokens: 6_000,
  });
  t.is(load.totals(serverId, 3_500).runs, 1);
  load.removeMember(toId<MemberId>('other'));
  load.setOwnShares([]);
  t.is(load.totals(serverId, 100).runs, 0);
});

test('a prompt counts as partly unread until its first token arrives', (t) => {
  t.is(unreadPromptTokens(3_000, 0), 3_000);
  t.is(unreadPromptTokens(3_000, 100), 2_300);
  t.is(unreadPromptTokens(3_000, 10_000), 1_500);
});
