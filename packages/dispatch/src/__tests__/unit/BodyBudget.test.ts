import test from 'ava';
import { BodyBudget } from '../../index.js';

const MIB = 1_048_576;

test('load pattern: 25 callers upload 4 MiB each at a daemon of 200 MB', (t) => {
  const budget = new BodyBudget({ memoryBytes: 200 * MIB });
  const accepted = Array.from({ length: 25 }, () => budget.tryReserve(4 * MIB));
  t.is(accepted.filter(Boolean).length, 12);
  budget.release(4 * MIB);
  t.true(budget.tryReserve(4 * MIB));
  t.false(budget.tryReserve(4 * MIB));
});

test('small bodies are accepted beside large ones, and a body that is alone always is', (t) => {
  const budget = new BodyBudget({ memoryBytes: 8 * MIB });
  t.true(budget.tryReserve(4 * MIB));
  t.false(budget.tryReserve(MIB));
  t.true(budget.tryReserve(2_000));
  budget.release(2_000);
  budget.release(4 * MIB);
  t.true(budget.tryReserve(MIB));
});

test('nothing is bounded where the memory is not known', (t) => {
  const budget = new BodyBudget();
  t.true(Array.from({ length: 1_000 }, () => budget.tryReserve(4 * MIB)).every(Boolean));
});
