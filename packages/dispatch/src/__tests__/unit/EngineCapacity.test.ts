import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { CapacityRequest, EngineCandidate, PromptShape } from '../../index.js';
import {
  EngineLoad,
  grantsCapacity,
  plannableTokens,
  plannedOutputTokens,
  rankEngines,
  remainingCapacity,
  reservedOutputTokens,
} from '../../index.js';
import { ENGINE, promptOf, serverOf } from '../support/DispatchFixtures.js';

const IDLE = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };
const ENGINE_ID = toId<ServerId>('e0');
const REQUEST: CapacityRequest = {
  believedReadingTokens: 0,
  plannedTokens: 4_000,
  promptTokens: 3_000,
  requestId: toId<RequestId>('r1'),
  serverId: ENGINE_ID,
  unreadTokens: 3_000,
};
const OTHER_DAEMON = toId<MemberId>('m2');

test('a generation fits with a free slot, plannable KV cache and KV cache for its prompt', (t) => {
  t.true(remainingCapacity(IDLE, REQUEST, ENGINE).fits);
  t.false(remainingCapacity({ ...IDLE, runs: ENGINE.slots }, REQUEST, ENGINE).fits);
  const full = ENGINE.memoryTokens;
  t.false(
    remainingCapacity({ ...IDLE, plannedTokens: full - 4_000, runs: 5 }, REQUEST, ENGINE).fits,
  );
  t.false(remainingCapacity({ ...IDLE, runs: 5, usedTokens: full - 3_000 }, REQUEST, ENGINE).fits);
});

test('a full engine grants no capacity', (t) => {
  t.false(grantsCapacity(REQUEST, { ...IDLE, plannedTokens: 33_000, runs: 5 }, ENGINE));
});

test('an idle engine also takes a generation that exceeds its plannable KV cache', (t) => {
  const large = { plannedTokens: 40_000, promptTokens: 33_500 };
  t.true(remainingCapacity(IDLE, large, ENGINE).fits);
  t.false(remainingCapacity({ ...IDLE, runs: 1 }, large, ENGINE).fits);
});

test('unread prompts that the requesting daemon did not count lead to a refusal', (t) => {
  const reading = { ...IDLE, readingTokens: 3_000, runs: 1 };
  t.false(grantsCapacity(REQUEST, reading, ENGINE));
  t.true(grantsCapacity({ ...REQUEST, believedReadingTokens: 3_000 }, reading, ENGINE));
});

test('a grant counts until a report of its daemon includes it, and not twice after that', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: ENGINE_ID };
  load.recordMemberReport(OTHER_DAEMON, [], 0);
  load.recordGrant({ isAggregated: false, reporterId: OTHER_DAEMON, share }, 100);
  t.is(load.totals(ENGINE_ID, 101).runs, 1);
  load.recordMemberReport(OTHER_DAEMON, [], 105);
  t.is(load.totals(ENGINE_ID, 106).runs, 1, 'a report that was in flight does not include it yet');
  load.recordMemberReport(OTHER_DAEMON, [share], 115);
  t.is(load.totals(ENGINE_ID, 116).runs, 1, 'counted once');
});

test('a grant to another domain counts until the aggregate of that domain can include it', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: ENGINE_ID };
  load.recordGrant({ isAggregated: true, reporterId: OTHER_DAEMON, share }, 100);
  load.recordMemberReport(OTHER_DAEMON, [], 130);
  t.is(
    load.totals(ENGINE_ID, 131).runs,
    1,
    'the aggregate was built before the daemon reported it',
  );
  load.recordMemberReport(OTHER_DAEMON, [share], 150);
  t.is(load.totals(ENGINE_ID, 151).runs, 1, 'counted once');
});

test('a grant that no report includes expires', (t) => {
  const load = new EngineLoad();
  const share = { ...IDLE, plannedTokens: 4_000, runs: 1, serverId: ENGINE_ID };
  load.recordGrant({ isAggregated: false, reporterId: OTHER_DAEMON, share }, 0);
  t.is(load.totals(ENGINE_ID, 900).runs, 1);
  t.is(load.totals(ENGINE_ID, 1_100).runs, 0);
});

test('the report of an owner is valid for a limited time', (t) => {
  const load = new EngineLoad();
  load.recordOwnerReport(ENGINE_ID, { ...IDLE, plannedTokens: 30_000, runs: 5 }, 0);
  t.is(load.totals(ENGINE_ID, 100).plannedTokens, 30_000);
  t.is(load.totals(ENGINE_ID, 300).plannedTokens, 0);
});

/** Counts generations beyond capacity when daemons place before any of their reports arrive. */
function overrunsOf(engines: number, daemons: number, asksOwner: boolean): number {
  const ownersLoad = new EngineLoad();
  const placedCounts = new Map<ServerId, number>();
  const prompt = promptOf();
  const plannedTokens = prompt.promptTokens + plannedOutputTokens(prompt, 0);
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    const knownLoad = new EngineLoad();
    for (let attempt = 0; attempt <= engines; attempt += 1) {
      const candidates: EngineCandidate[] = Array.from({ length: engines }, (_, index) => {
        const server = serverOf(`e${index}`);
        const totals = knownLoad.totals(server.serverId, 0);
        return { cachedTokens: 0, failureShare: 0, server, totals };
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
      const totals = ownersLoad.totals(serverId, 0);
      const request = {
        believedReadingTokens: best.totals.readingTokens,
        plannedTokens,
        promptTokens: prompt.promptTokens,
        requestId: toId<RequestId>(`r${daemon}`),
        serverId,
        unreadTokens: best.unreadTokens,
      };
      if (asksOwner && !grantsCapacity(request, totals, ENGINE)) {
        knownLoad.recordOwnerReport(serverId, totals, 0);
        continue;
      }
      const share = { plannedTokens, readingTokens: request.unreadTokens, runs: 1, serverId };
      const reporterId = toId<MemberId>(`m${daemon}`);
      const used = { ...share, usedTokens: request.promptTokens };
      ownersLoad.recordGrant({ isAggregated: false, reporterId, share: used }, 0);
      placedCounts.set(serverId, (placedCounts.get(serverId) ?? 0) + 1);
      break;
    }
  }
  const fittingCount = Math.floor(plannableTokens(ENGINE) / plannedTokens);
  return [...placedCounts.values()].reduce(
    (sum, count) => sum + Math.max(0, count - fittingCount),
    0,
  );
}

test('daemons that place between reports overload engines, unless owners grant capacity', (t) => {
  t.true(overrunsOf(6, 40, false) > 30);
  t.is(overrunsOf(6, 40, true), 0);
});

test('KV cache is reserved for near growth of long outputs and for all of short ones', (t) => {
  const long = promptOf({ expectedOutputTokens: 600, maxOutputTokens: 2_000 });
  t.is(reservedOutputTokens(long, 0), 200);
  t.is(reservedOutputTokens(long, 500), 700);
  t.is(reservedOutputTokens(long, 2_000), 2_000);
  t.is(reservedOutputTokens(promptOf({ expectedOutputTokens: 10, maxOutputTokens: 2_000 }), 0), 13);
});

interface SimulationResult {
  readonly ended: number;
  readonly overrun: number;
}

/** Simulates an engine with more waiting outputs than fit; lengths repeat in a fixed order. */
function simulateEngine(
  planOutput: (prompt: PromptShape, producedTokens: number) => number,
): SimulationResult {
  const lengths = [90, 1_400, 300, 700, 180, 1_000, 450, 60, 1_700, 520];
  const prompt = promptOf({ expectedOutputTokens: 500, maxOutputTokens: 2_000 });
  const runs: { producedTokens: number; remainingTokens: number }[] = [];
  let started = 0;
  let ended = 0;
  let overrun = 0;
  for (let step = 0; step < 20_000; step += 1) {
    const planned = runs.reduce(
      (sum, { producedTokens }) => sum + prompt.promptTokens + planOutput(prompt, producedTokens),
      0,
    );
    if (planned + prompt.promptTokens + planOutput(prompt, 0) <= plannableTokens(ENGINE)) {
      runs.push({ producedTokens: 0, remainingTokens: lengths[started % lengths.length] ?? 0 });
      started += 1;
    }
    for (const run of runs) {
      run.remainingTokens -= 1;
      run.producedTokens += 1;
    }
    ended += runs.filter(({ remainingTokens }) => remainingTokens === 0).length;
    runs.splice(0, runs.length, ...runs.filter(({ remainingTokens }) => remainingTokens > 0));
    const used = runs.reduce(
      (sum, { producedTokens }) => sum + prompt.promptTokens + producedTokens,
      0,
    );
    overrun += used > ENGINE.memoryTokens ? 1 : 0;
  }
  return { ended, overrun };
}

test('load pattern: reserving only near growth serves more long outputs, without overrun', (t) => {
  const planned = simulateEngine(plannedOutputTokens);
  const reserved = simulateEngine(reservedOutputTokens);
  t.true(reserved.ended > 1.05 * planned.ended, `${reserved.ended} against ${planned.ended}`);
  t.is(reserved.overrun, 0);
});
