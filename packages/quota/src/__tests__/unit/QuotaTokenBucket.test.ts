import test from 'ava';
import * as fc from 'fast-check';
import { QuotaTokenBucket } from '../../index.js';

test('it never grants more units than its capacity and rate allow', (t) => {
  const step = fc.record({
    units: fc.integer({ max: 5, min: 1 }),
    waitMs: fc.integer({ max: 900, min: 0 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const bucket = new QuotaTokenBucket({ capacity: 6, nowMs: 0, unitsPerSecond: 3 });
      let nowMs = 0;
      let grantedUnits = 0;
      for (const { units, waitMs } of steps) {
        nowMs += waitMs;
        if (bucket.waitMsFor(units, nowMs) === 0) {
          bucket.charge(units, nowMs);
          grantedUnits += units;
        }
      }
      return grantedUnits <= 6 + (3 * nowMs) / 1000 + 1e-6;
    }),
  );
  t.pass();
});

test('the returned wait is the shortest one that suffices', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ max: 20, min: 0 }),
      fc.integer({ max: 4, min: 1 }),
      (charged, units) => {
        const levelAfter = (waitMs: number): number => {
          const bucket = new QuotaTokenBucket({ capacity: 4, nowMs: 0, unitsPerSecond: 2 });
          bucket.charge(charged, 0);
          return bucket.levelAt(waitMs);
        };
        const bucket = new QuotaTokenBucket({ capacity: 4, nowMs: 0, unitsPerSecond: 2 });
        bucket.charge(charged, 0);
        const waitMs = bucket.waitMsFor(units, 0);
        return levelAfter(waitMs) >= units && (waitMs === 0 || levelAfter(waitMs - 1) < units);
      },
    ),
  );
  t.is(
    new QuotaTokenBucket({ capacity: 1, nowMs: 0, unitsPerSecond: 0, level: 0 }).waitMsFor(1, 0),
    Infinity,
  );
});
