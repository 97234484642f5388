import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { OwnerCandidate } from '../../index.js';
import { selectEngineOwner } from '../../index.js';

const A = toId<FailureDomainId>('a');
const B = toId<FailureDomainId>('b');

function candidates(count: number, failureDomain: FailureDomainId): readonly OwnerCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    failureDomain,
    memberId: toId<MemberId>(`${failureDomain}-${index}`),
  }));
}

function engine(index: number): ServerId {
  return toId<ServerId>(`engine-${index}`);
}

test('without daemons an engine has no owner', (t) => {
  t.is(selectEngineOwner(engine(1), A, []), undefined);
});

test('the owner is in the failure domain of the engine where that has daemons', (t) => {
  const all = [...candidates(20, B), ...candidates(2, A)];
  for (let index = 0; index < 50; index += 1) {
    t.true(selectEngineOwner(engine(index), A, all)?.startsWith('a-'));
  }
  t.true(selectEngineOwner(engine(1), A, candidates(3, B))?.startsWith('b-'));
});

test('the order of the daemons does not change the owner', (t) => {
  const all = candidates(12, A);
  for (let index = 0; index < 50; index += 1) {
    t.is(
      selectEngineOwner(engine(index), A, all),
      selectEngineOwner(engine(index), A, [...all].reverse()),
    );
  }
});

test('when a daemon leaves, only the engines that it owned change their owner', (t) => {
  const all = candidates(12, A);
  const [removed, ...remaining] = all;
  for (let index = 0; index < 200; index += 1) {
    const before = selectEngineOwner(engine(index), A, all);
    const after = selectEngineOwner(engine(index), A, remaining);
    t.true(before === after || before === removed?.memberId);
  }
});

test('engines are spread over all owners', (t) => {
  const all = candidates(10, A);
  const counts = new Map<MemberId | undefined, number>();
  for (let index = 0; index < 1_000; index += 1) {
    const owner = selectEngineOwner(engine(index), A, all);
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  t.is(counts.size, 10);
  t.true([...counts.values()].every((count) => count < 200));
});
