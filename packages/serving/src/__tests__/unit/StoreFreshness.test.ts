import test from 'ava';
import { StoreFreshness } from '../../index.js';

function start() {
  const time = { nowMs: 10_000 };
  const clock = { nowMs: () => time.nowMs };
  return { freshness: new StoreFreshness({ clock, configurationApplyMs: 2_000 }), time };
}

test('the store is asked when no other daemon confirms what is known', (t) => {
  const { freshness, time } = start();
  t.is(freshness.ageMs(), undefined);
  t.is(freshness.queryDueInMs(), 0);
  freshness.confirm(200);
  t.is(freshness.ageMs(), 200);
  t.is(freshness.queryDueInMs(), 700);
  time.nowMs += 600;
  freshness.confirm(900);
  t.is(freshness.ageMs(), 800, 'an older confirmation changes nothing');
  freshness.confirm(100);
  t.is(freshness.queryDueInMs(), 800);
});

test('a store that does not answer is asked later and later, until something is confirmed', (t) => {
  const { freshness, time } = start();
  const waitsMs = Array.from({ length: 6 }, () => {
    freshness.recordQuery();
    const waitMs = freshness.queryDueInMs();
    time.nowMs += waitMs;
    return waitMs;
  });
  t.deepEqual(waitsMs, [900, 1_800, 3_600, 7_200, 7_200, 7_200]);
  freshness.confirm(0);
  t.is(freshness.queryDueInMs(), 900);
});

test('ages that another daemon cannot mean are ignored', (t) => {
  const { freshness } = start();
  for (const ageMs of [-1, -Infinity, NaN, 'soon' as unknown as number]) {
    freshness.confirm(ageMs);
  }
  t.is(freshness.ageMs(), undefined);
});
