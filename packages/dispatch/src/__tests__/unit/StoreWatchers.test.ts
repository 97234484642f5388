import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { WatchCandidate } from '../../index.js';
import { selectWatchers } from '../../index.js';

function candidateOf(member: string, domain: string, storeIsAway = false): WatchCandidate {
  return {
    failureDomain: toId<FailureDomainId>(domain),
    memberId: toId<MemberId>(member),
    storeIsAway,
  };
}

function watchersOf(...candidates: readonly WatchCandidate[]): readonly string[] {
  return [...selectWatchers(candidates)].sort();
}

test('two daemons of different domains watch', (t) => {
  const fleet = [
    candidateOf('a1', 'a'),
    candidateOf('a2', 'a'),
    candidateOf('b1', 'b'),
    candidateOf('c1', 'c'),
  ];
  t.deepEqual(watchersOf(...fleet), ['a1', 'b1']);
});

test('two daemons of one domain watch where there is no other domain', (t) => {
  t.deepEqual(watchersOf(candidateOf('a1', 'a'), candidateOf('a2', 'a'), candidateOf('a3', 'a')), [
    'a1',
    'a2',
  ]);
});

test('a single daemon watches', (t) => {
  t.deepEqual(watchersOf(candidateOf('a1', 'a')), ['a1']);
});

test('daemons that the store does not answer are not selected', (t) => {
  const fleet = [
    candidateOf('a1', 'a', true),
    candidateOf('a2', 'a'),
    candidateOf('b1', 'b', true),
  ];
  t.deepEqual(watchersOf(...fleet), ['a2']);
});

test('while the store answers no daemon, the same daemons stay selected', (t) => {
  const fleet = [
    candidateOf('a1', 'a', true),
    candidateOf('a2', 'a', true),
    candidateOf('b1', 'b', true),
  ];
  t.deepEqual(watchersOf(...fleet), ['a1', 'b1']);
});

test('load pattern: store calls per change do not grow with the fleet', (t) => {
  const domains = ['a', 'b', 'c', 'd'];
  for (const size of [6, 62, 84, 330]) {
    const fleet = Array.from({ length: size }, (_, index) =>
      candidateOf(`m${index}`, domains[index % domains.length] ?? 'a'),
    );
    t.is(selectWatchers(fleet).size, 2);
  }
});
