import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { EventGaps } from '../../callers/EventGaps.js';

const ENGINE_A = toId<ServerId>('engine-a');
const ENGINE_B = toId<ServerId>('engine-b');

function gapsFrom(arrivedMs: number): EventGaps {
  return new EventGaps({
    arrivedMs,
    totalsOf: (_serverId, nowMs) => ({
      plannedTokens: 0,
      readingTokens: nowMs,
      runs: 3,
      usedTokens: 0,
    }),
  });
}

test('the wait for the first event is no gap between events', (t) => {
  const gaps = gapsFrom(0);
  gaps.recordEvents(ENGINE_A, 1_700);
  t.is(gaps.longest(), undefined);
});

test('the longest gap keeps the engine and its load at the end of the gap', (t) => {
  const gaps = gapsFrom(1_000);
  t.is(gaps.recordEvents(ENGINE_A, 1_500), undefined);
  t.is(gaps.recordEvents(ENGINE_A, 1_540), 40);
  t.is(gaps.recordEvents(ENGINE_B, 1_740), 200);
  t.is(gaps.recordEvents(ENGINE_A, 1_800), 60);
  t.deepEqual(gaps.longest(), {
    endedAfterMs: 740,
    gapMs: 200,
    serverId: ENGINE_B,
    totals: { plannedTokens: 0, readingTokens: 1_740, runs: 3, usedTokens: 0 },
  });
});
