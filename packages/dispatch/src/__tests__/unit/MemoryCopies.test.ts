import test from 'ava';
import type { Placement } from '../../index.js';
import { chooseCopyHolder } from '../../index.js';
import { ENGINE, serverOf } from '../support/DispatchFixtures.js';

function placementOf(name: string, plannedTokens: number): Placement {
  const totals = { plannedTokens, readingTokens: 0, runs: 0, usedTokens: plannedTokens };
  return { costMs: 0, fits: true, server: serverOf(name), totals };
}

function holderOf(...planned: readonly number[]): string | undefined {
  const ranked = planned.map((tokens, index) => placementOf(`e${index}`, tokens));
  return chooseCopyHolder({ engine: ENGINE, plannedTokens: 4_000, ranked })?.serverId;
}

test('the best engine with spare memory keeps the copy', (t) => {
  t.is(holderOf(0, 0), 'e0');
  t.is(holderOf(16_000, 0), 'e1');
});

test('no copy is kept while memory is short', (t) => {
  t.is(holderOf(), undefined);
  t.is(holderOf(16_000, 16_000), undefined);
  t.is(holderOf(30_000, 25_000, 0), undefined);
});

test('no copy is kept where engines can not', (t) => {
  const ranked = [placementOf('a', 0)];
  const engine = { ...ENGINE, canCopy: false };
  t.is(chooseCopyHolder({ engine, plannedTokens: 1, ranked }), undefined);
});
