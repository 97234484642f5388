import test from 'ava';
import fc from 'fast-check';
import { GapEstimator } from '../../GapEstimator.js';

const SEED = 20_261_206;

test('regular gaps give the lowest timeout, irregular gaps a longer one', (t) => {
  const regular = new GapEstimator();
  const irregular = new GapEstimator();
  for (let gap = 0; gap < 200; gap += 1) {
    regular.recordGap(20);
    irregular.recordGap(gap % 10 === 0 ? 900 : 20);
  }
  t.is(regular.suspicionTimeoutMs(), 250);
  t.true(irregular.suspicionTimeoutMs() > 900);
});

test('before the first gap the initial timeout is used', (t) => {
  t.is(new GapEstimator({ initialMs: 1234 }).suspicionTimeoutMs(), 1234);
});

test('the timeout stays within its limits and above the shortest gap', (t) => {
  const gaps = fc.array(fc.double({ max: 5_000, min: 0, noNaN: true }), { minLength: 1 });
  fc.assert(
    fc.property(gaps, (generatedGaps) => {
      const estimator = new GapEstimator();
      for (const gap of generatedGaps) {
        estimator.recordGap(gap);
      }
      const timeoutMs = estimator.suspicionTimeoutMs();
      t.true(timeoutMs >= 250 && timeoutMs <= 10_000);
      t.true(timeoutMs >= Math.min(...generatedGaps));
    }),
    { seed: SEED },
  );
});

test('fewer false suspicions than a fixed timeout, and a shorter one for steady gaps', (t) => {
  const fixedTimeoutMs = 500;
  const varyingGapsMs = [30, 700, 40, 800, 30, 650, 20, 900, 35, 720];
  const estimator = new GapEstimator();
  let falseSuspicions = 0;
  for (let round = 0; round < 20; round += 1) {
    for (const gap of varyingGapsMs) {
      falseSuspicions += gap > estimator.suspicionTimeoutMs() ? 1 : 0;
      estimator.recordGap(gap);
    }
  }
  const falseWithFixedTimeout = 20 * varyingGapsMs.filter((gap) => gap > fixedTimeoutMs).length;
  t.is(falseWithFixedTimeout, 100);
  t.is(falseSuspicions, 1, 'only the first long gap, which nothing announced');
  const steady = new GapEstimator();
  for (let gap = 0; gap < 50; gap += 1) {
    steady.recordGap(15);
  }
  t.true(steady.suspicionTimeoutMs() < fixedTimeoutMs);
});
