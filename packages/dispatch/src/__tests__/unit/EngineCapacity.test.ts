import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { EngineCandidate, PromptShape, CapacityRequest } from '../../index.js';
import {
  EngineLoad,
  grantsCapacity,
  plannableTokens,
  plannedOutputTokens,
  rankEngines,
  reservedOutputTokens,
  remainingCapacity,
} from '../../index.js';
import { ENGINE, promptOf, serverOf } from '../support/DispatchFixtures.js';

const IDLE = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };
const SERVER = toId<ServerId>('e0');
const WISH: CapacityRequest = {
  believedReadingTokens: 0,
  plannedTokens: 4_000,
  promptTokens: 3_000,
  requestId: toId<RequestId>('r1'),
  serverId: SERVER,
  unreadTokens: 3_000,
};
const OTHER = toId<MemberId>('m2');

test('room needs a slot, planned memory and memory now', (t) => {
  t.true(remainingCapacity(IDLE, WISH, ENGINE).fits);
  t.false(remainingCapacity({ ...IDLE, runs: ENGINE.slots }, WISH, ENGINE).fits);
  const full = ENGINE.memoryTokens;
  t.false(remainingCapacity({ ...IDLE, plannedTokens: full - 4_000, runs: 5 }, WISH, ENGINE).fits);
  t.false(remainingCapacity({ ...IDLE, runs: 5, usedTokens: full - 3_000 }, WISH, ENGINE).fits);
});

test('a full engine is declined', (t) => {
  t.false(grantsCapacity(WISH, { ...IDLE, plannedTokens: 33_000, runs: 5 }, ENGINE));
});

test('an idle engine takes also what is larger than its planned memory', (t) => {
  const large = { plannedTokens: 40_000, promptTokens: 33_500 };
  t.true(remainingCapacity(IDLE, large, ENGINE).fits);
  t.false(remainingCapacity({ ...IDLE, runs: 1 }, large, ENGINE).fits);
});

test('prompts that the daemon did not know of send it elsewhere', (t) => {
  const reading = { ...IDLE, readingTokens: 3_000, runs: 1 };
  t.false(grantsCapacity(WISH, reading, ENGINE));
  t.true(grantsCapacity({ ...WISH, believedReadingTokens: 3_000 }, reading, ENGINE));
});

test('a grant counts until the word of its daemon names it, and not twice after that', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: SERVER };
  load.recordMemberReport(OTHER, [], 0);
  load.recordGrant({ isAggregated: false, share, reporterId: OTHER }, 100);
  t.is(load.totals(SERVER, 101).runs, 1);
  load.recordMemberReport(OTHER, [], 105);
  t.is(load.totals(SERVER, 106).runs, 1, 'a word that was under way does not name it yet');
  load.recordMemberReport(OTHER, [share], 115);
  t.is(load.totals(SERVER, 116).runs, 1, 'counted once');
});

test('a grant to another domain counts until the sum of that domain can name it', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: SERVER };
  load.recordGrant({ isAggregated: true, share, reporterId: OTHER }, 100);
  load.recordMemberReport(OTHER, [], 130);
  t.is(load.totals(SERVER, 131).runs, 1, 'the sum was made before its daemon told');
  load.recordMemberReport(OTHER, [share], 150);
  t.is(load.totals(SERVER, 151).runs, 1, 'counted once');
});

test('a grant that no word names ends by itself', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: SERVER };
  load.recordGrant({ isAggregated: false, share, reporterId: OTHER }, 0);
  t.is(load.totals(SERVER, 900).runs, 1);
  t.is(load.totals(SERVER, 1_100).runs, 0);
});

test('the word of an owner holds for a while', (t) => {
  const load = new EngineLoad();
  load.recordOwnerReport(SERVER, { ...IDLE, plannedTokens: 30_000, runs: 5 }, 0);
  t.is(load.totals(SERVER, 100).plannedTokens, 30_000);
  t.is(load.totals(SERVER, 300).plannedTokens, 0);
});

/** Daemons that hear of each other's placements only after all were made. */
function overrunsOf(engines: number, daemons: number, asksOwners: boolean): number {
  const owned = new EngineLoad();
  const placed = new Map<ServerId, number>();
  const prompt = promptOf();
  const plannedTokens = prompt.promptTokens + plannedOutputTokens(prompt, 0);
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    const believed = new EngineLoad();
    for (let tries = 0; tries <= engines; tries += 1) {
      const candidates: EngineCandidate[] = Array.from({ length: engines }, (_, index) => {
        const server = serverOf(`e${index}`);
        const totals = believed.totals(server.serverId, 0);
        return { failureShare: 0, cachedTokens: 0, server, totals };
      });
      const [best] = rankEngines({
        candidates,
        engine: ENGINE,
        failureDomain: serverOf('e0').failureDomain,
        prompt,
        randomUnit: () => 0.5,
      });
      if (!best) {
        break;
      }
      const { serverId } = best.server;
      const totals = owned.totals(serverId, 0);
      const wish = {
        believedReadingTokens: best.totals.readingTokens,
        plannedTokens,
        promptTokens: prompt.promptTokens,
        requestId: toId<RequestId>(`r${daemon}`),
        serverId,
        unreadTokens: best.unreadTokens,
      };
      if (asksOwners && !grantsCapacity(wish, totals, ENGINE)) {
        believed.recordOwnerReport(serverId, totals, 0);
        continue;
      }
      const share = { plannedTokens, readingTokens: wish.unreadTokens, runs: 1, serverId };
      const sourceId = toId<MemberId>(`m${daemon}`);
      const used = { ...share, usedTokens: wish.promptTokens };
      owned.recordGrant({ isAggregated: false, share: used, reporterId: sourceId }, 0);
      placed.set(serverId, (placed.get(serverId) ?? 0) + 1);
      break;
    }
  }
  const room = Math.floor(plannableTokens(ENGINE) / plannedTokens);
  return [...placed.values()].reduce((sum, count) => sum + Math.max(0, count - room), 0);
}

test('many daemons between two reports: alone they overrun an engine, with owners none', (t) => {
  t.true(overrunsOf(6, 40, false) > 30);
  t.is(overrunsOf(6, 40, true), 0);
});

test('memory is kept for a short growth of a long output, and for all of a short one', (t) => {
  const long = promptOf({ expectedOutputTokens: 600, maxOutputTokens: 2_000 });
  t.is(reservedOutputTokens(long, 0), 200);
  t.is(reservedOutputTokens(long, 500), 700);
  t.is(reservedOutputTokens(long, 2_000), 2_000);
  t.is(reservedOutputTokens(promptOf({ expectedOutputTokens: 10, maxOutputTokens: 2_000 }), 0), 13);
});

interface Served {
  readonly ended: number;
  readonly overrun: number;
}

/** One engine with more long outputs waiting than it can take; lengths repeat in a fixed order. */
function serveAll(plan: (prompt: PromptShape, producedTokens: number) => number): Served {
  const lengths = [90, 1_400, 300, 700, 180, 1_000, 450, 60, 1_700, 520];
  const prompt = promptOf({ expectedOutputTokens: 500, maxOutputTokens: 2_000 });
  const runs: { left: number; made: number }[] = [];
  let begun = 0;
  let ended = 0;
  let overrun = 0;
  for (let step = 0; step < 20_000; step += 1) {
    const planned = runs.reduce(
      (sum, { made }) => sum + prompt.promptTokens + plan(prompt, made),
      0,
    );
    if (planned + prompt.promptTokens + plan(prompt, 0) <= plannableTokens(ENGINE)) {
      runs.push({ left: lengths[begun % lengths.length] ?? 0, made: 0 });
      begun += 1;
    }
    for (const run of runs) {
      run.left -= 1;
      run.made += 1;
    }
    ended += runs.filter(({ left }) => left === 0).length;
    runs.splice(0, runs.length, ...runs.filter(({ left }) => left > 0));
    const used = runs.reduce((sum, { made }) => sum + prompt.promptTokens + made, 0);
    overrun += used > ENGINE.memoryTokens ? 1 : 0;
  }
  return { ended, overrun };
}

test('load pattern: more long outputs than memory; a short plan serves more and overruns nothing', (t) => {
  const whole = serveAll(plannedOutputTokens);
  const short = serveAll(reservedOutputTokens);
  t.true(short.ended > 1.05 * whole.ended, `${short.ended} against ${whole.ended}`);
  t.is(short.overrun, 0);
});
