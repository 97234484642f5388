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

function candidate(name: string, changes: Partial<EngineCandidate> = {}): EngineCandidate {
  return { failureShare: 0, cachedTokens: 0, server: serverOf(name), totals: IDLE, ...changes };
}

function bestOf(...candidates: readonly EngineCandidate[]): string | undefined {
  const input = { candidates, engine: ENGINE, failureDomain: DOMAIN, prompt: promptOf() };
  return rankEngines({ ...input, randomUnit: () => 0.5 })[0]?.server.serverId;
}

test('no engine, no placement', (t) => {
  t.is(bestOf(), undefined);
});

test('an engine that reads a long prompt is passed by', (t) => {
  const reading = { ...IDLE, readingTokens: 6_000, runs: 2 };
  t.is(
    bestOf(candidate('a', { totals: reading }), candidate('b', { totals: { ...IDLE, runs: 3 } })),
    'b',
  );
});

test('an engine whose memory would run out is passed by', (t) => {
  const full = { ...IDLE, plannedTokens: 32_000, runs: 1 };
  t.is(
    bestOf(candidate('a', { totals: full }), candidate('b', { totals: { ...IDLE, runs: 8 } })),
    'b',
  );
});

test('an engine without room for the prompt now is passed by', (t) => {
  const used = { ...IDLE, plannedTokens: 20_000, runs: 1, usedTokens: 31_000 };
  const busy = { ...IDLE, plannedTokens: 25_000, runs: 9, usedTokens: 20_000 };
  t.is(bestOf(candidate('a', { totals: used }), candidate('b', { totals: busy })), 'b');
});

test('a kept prefix decides between equal engines', (t) => {
  t.is(bestOf(candidate('a'), candidate('b', { cachedTokens: 400 })), 'b');
});

test('a kept prefix does not outweigh a crowded engine', (t) => {
  const crowded = { ...IDLE, readingTokens: 9_000, runs: 3 };
  t.is(bestOf(candidate('a', { cachedTokens: 400, totals: crowded }), candidate('b')), 'b');
});

test('an engine that failed a moment ago is passed by', (t) => {
  t.is(
    bestOf(candidate('a', { failureShare: 0.5 }), candidate('b', { totals: { ...IDLE, runs: 9 } })),
    'b',
  );
});

test('the plan for an output grows when it outgrows its estimate', (t) => {
  const prompt = promptOf({ expectedOutputTokens: 100, maxOutputTokens: 2_000 });
  t.is(plannedOutputTokens(prompt, 0), 130);
  t.is(plannedOutputTokens(prompt, 400), 640);
  t.is(plannedOutputTokens(prompt, 1_900), 2_000);
});

/** Sends prompts of mixed length every 50 ms; returns the longest wait for a first token. */
function worstFirstTokenMs(
  choose: (candidates: readonly EngineCandidate[], turn: number) => string,
): number {
  const names = ['a', 'b', 'c', 'd'];
  const tokensPerMs = 14;
  const intervalMs = 50;
  const backlog = new Map(names.map((name) => [name, 0]));
  let worstMs = 0;
  for (let turn = 0; turn < 200; turn += 1) {
    const promptTokens = turn % 4 === 0 ? 6_000 : 500;
    const candidates = names.map((name) =>
      candidate(name, { totals: { ...IDLE, readingTokens: backlog.get(name) ?? 0 } }),
    );
    const name = choose(candidates, turn);
    const tokens = (backlog.get(name) ?? 0) + promptTokens;
    backlog.set(name, tokens);
    worstMs = Math.max(worstMs, tokens / tokensPerMs);
    names.forEach((other) => {
      backlog.set(other, Math.max(0, (backlog.get(other) ?? 0) - intervalMs * tokensPerMs));
    });
  }
  return worstMs;
}

test('load pattern: long prompts among short ones wait less than by turns', (t) => {
  const placedMs = worstFirstTokenMs((candidates) => bestOf(...candidates) ?? '');
  const inTurnMs = worstFirstTokenMs((candidates, turn) => placeRoundRobin(candidates, turn) ?? '');
  t.true(placedMs < inTurnMs / 2, `${placedMs} against ${inTurnMs}`);
});

test('load of all daemons is added up and read prompts are taken off', (t) => {
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

test('a prompt counts as partly unread until its first token came', (t) => {
  t.is(unreadPromptTokens(3_000, 0), 3_000);
  t.is(unreadPromptTokens(3_000, 100), 2_300);
  t.is(unreadPromptTokens(3_000, 10_000), 1_500);
});
