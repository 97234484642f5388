import test from 'ava';
import fc from 'fast-check';
import { GapEstimator } from '../../GapEstimator.js';

const SEED = 20_261_206;

test('a regular engine is suspected after the floor, an irregular one later', (t) => {
  const regular = new GapEstimator();
  const irregular = new GapEstimator();
  for (let gap = 0; gap < 200; gap += 1) {
    regular.recordGap(20);
    irregular.recordGap(gap % 10 === 0 ? 900 : 20);
  }
  t.is(regular.suspicionTimeoutMs(), 250);
  t.true(irregular.suspicionTimeoutMs() > 900);
});

test('before the first gap the initial value counts', (t) => {
  t.is(new GapEstimator({ initialMs: 1234 }).suspicionTimeoutMs(), 1234);
});

test('suspicion stays between its bounds and above the mean', (t) => {
  const gaps = fc.array(fc.double({ max: 5_000, min: 0, noNaN: true }), { minLength: 1 });
  fc.assert(
    fc.property(gaps, (drawn) => {
      const estimator = new GapEstimator();
      for (const gap of drawn) {
        estimator.recordGap(gap);
      }
      const suspectMs = estimator.suspicionTimeoutMs();
      t.true(suspectMs >= 250 && suspectMs <= 10_000);
      t.true(suspectMs >= Math.min(...drawn));
    }),
    { seed: SEED },
  );
});

test('against a fixed bound: fewer false suspicions where gaps swing, sooner ones where not', (t) => {
  const fixedMs = 500;
  const swinging = [30, 700, 40, 800, 30, 650, 20, 900, 35, 720];
  const estimator = new GapEstimator();
  let falseSuspicions = 0;
  for (let round = 0; round < 20; round += 1) {
    for (const gap of swinging) {
      falseSuspicions += gap > estimator.suspicionTimeoutMs() ? 1 : 0;
      estimator.recordGap(gap);
    }
  }
  const falseWhenFixed = 20 * swinging.filter((gap) => gap > fixedMs).length;
  t.is(falseWhenFixed, 100);
  t.is(falseSuspicions, 1, 'only the first long gap, of which nothing was known');
  const steady = new GapEstimator();
  for (let gap = 0; gap < 50; gap += 1) {
    steady.recordGap(15);
  }
  t.true(steady.suspicionTimeoutMs() < fixedMs);
});
