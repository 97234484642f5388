import test from 'ava';
import { RetryBudget } from '../../index.js';

function takeAll(budget: RetryBudget): number {
  let taken = 0;
  while (budget.takeRetry('desk')) {
    taken += 1;
  }
  return taken;
}

test('later changes never give back what was taken', (t) => {
  const budget = new RetryBudget({ maxSaved: 1, perFirstTry: 0 });
  budget.setMaxSaved(7);
  budget.firstTry('desk');
  t.is(takeAll(budget), 7);
  budget.setMaxSaved(5);
  budget.setMaxSaved(9);
  t.is(takeAll(budget), 0);
});

test('a smaller part takes off at once', (t) => {
  const budget = new RetryBudget({ maxSaved: 9, perFirstTry: 0 });
  budget.firstTry('desk');
  budget.setMaxSaved(3);
  t.is(takeAll(budget), 3);
});
