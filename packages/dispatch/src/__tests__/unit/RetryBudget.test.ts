import test from 'ava';
import { RetryBudget } from '../../index.js';

function takeAll(budget: RetryBudget): number {
  let taken = 0;
  while (budget.takeRetry('team')) {
    taken += 1;
  }
  return taken;
}

test('raising the largest balance later does not restore spent retries', (t) => {
  const budget = new RetryBudget({ maxBalance: 1, retriesPerFirstAttempt: 0 });
  budget.setMaxBalance(7);
  budget.recordFirstAttempt('team');
  t.is(takeAll(budget), 7);
  budget.setMaxBalance(5);
  budget.setMaxBalance(9);
  t.is(takeAll(budget), 0);
});

test('a smaller largest balance applies at once', (t) => {
  const budget = new RetryBudget({ maxBalance: 9, retriesPerFirstAttempt: 0 });
  budget.recordFirstAttempt('team');
  budget.setMaxBalance(3);
  t.is(takeAll(budget), 3);
});
