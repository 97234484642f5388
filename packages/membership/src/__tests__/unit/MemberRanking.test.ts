import { rankMembers } from '@laburnumgap/dispatch';
import type { Revision } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import { MembershipView } from '../../MembershipView.js';
import { memberOf } from '../support/MembershipFixtures.js';

const KEYS = Array.from({ length: 400 }, (_, index) => `engine/e${index}`);
const membersOf = (count: number) =>
  Array.from({ length: count }, (_, index) => memberOf(`m${index}`));

/** Baseline: picks the owner by the key's hash modulo the number of members. */
function moduloOwner(count: number, key: string): string {
  let hash = 0;
  for (const character of key) {
    hash = (Math.imul(hash, 31) + character.charCodeAt(0)) >>> 0;
  }
  return `m${hash % count}`;
}

test('a key changes its owner only if the owner leaves; with hashing by modulo most keys change theirs', (t) => {
  let moduloMoves = 0;
  const run = fc.property(fc.integer({ max: 20, min: 2 }), fc.nat(), (count, removedIndex) => {
    const before = membersOf(count);
    const removedId = before[removedIndex % count]?.memberId;
    const after = before.filter((member) => member.memberId !== removedId);
    for (const key of KEYS) {
      const owner = rankMembers(before, key)[0];
      const newOwner = rankMembers(after, key)[0];
      if (owner?.memberId !== removedId && owner?.memberId !== newOwner?.memberId) {
        return false;
      }
      if (
        owner?.memberId === removedId &&
        newOwner?.memberId !== rankMembers(before, key)[1]?.memberId
      ) {
        return false;
      }
      moduloMoves += moduloOwner(count, key) === moduloOwner(count - 1, key) ? 0 : 1;
    }
    return true;
  });
  fc.assert(run, { numRuns: 20, seed: 11 });
  t.true(moduloMoves > 20 * KEYS.length * 0.5);
});

test('the ranking does not depend on the order of the members', (t) => {
  const members = membersOf(7);
  const run = fc.property(fc.shuffledSubarray(members, { minLength: 7 }), (shuffled) => {
    const ids = (list: typeof members) => list.map((member) => member.memberId);
    const key = KEYS[0] ?? '';
    return (
      ids([...rankMembers(shuffled, key)]).join() === ids([...rankMembers(members, key)]).join()
    );
  });
  t.notThrows(() => {
    fc.assert(run, { seed: 12 });
  });
});

test('no member owns more than twice an equal share of the keys', (t) => {
  const members = membersOf(10);
  const owned = new Map<string, number>();
  for (const key of KEYS) {
    const owner = rankMembers(members, key)[0]?.memberId ?? '';
    owned.set(owner, (owned.get(owner) ?? 0) + 1);
  }
  t.is(owned.size, members.length);
  t.true(Math.max(...owned.values()) <= (2 * KEYS.length) / members.length);
});

test('a suspected member is ranked last until the suspicion expires', (t) => {
  const view = new MembershipView(0);
  const registered = membersOf(3).map((member) => ({ key: member.memberId, member }));
  view.applySnapshot(registered, toNumberId<Revision>(1), 0);
  const [first, second] = view.rank('scheduler', 'k', 0);
  view.suspect(first?.memberId ?? toId('none'), 0);
  t.is(view.rank('scheduler', 'k', 9999)[0], second);
  t.is(view.rank('scheduler', 'k', 9999).length, 3);
  t.is(view.rank('scheduler', 'k', 10_000)[0], first);
});

test('after any sequence of changes the view ranks members like a new ranking', (t) => {
  const changes = fc.array(
    fc.record({ isPresent: fc.boolean(), index: fc.nat({ max: 5 }), key: fc.nat({ max: 3 }) }),
  );
  const property = fc.property(changes, (list) => {
    const view = new MembershipView(0);
    const present = new Map<string, ReturnType<typeof memberOf>>();
    return list.every(({ isPresent, index, key }, step) => {
      const member = memberOf(`m${index}`);
      const revision = toNumberId<Revision>(step + 1);
      view.applyChange(member.memberId, isPresent ? member : undefined, revision, 0);
      if (isPresent) {
        present.set(member.memberId, member);
      } else {
        present.delete(member.memberId);
      }
      const expected = rankMembers([...present.values()], `k${key}`);
      const actual = view.rank('scheduler', `k${key}`, 0);
      const idsOf = (members: typeof expected) => members.map((entry) => entry.memberId).join();
      return idsOf(actual) === idsOf(expected);
    });
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 13 });
  });
});
