import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import { startMembership } from '../../Membership.js';
import { FakeTime } from '../support/FakeTime.js';
import { memberOf } from '../support/MembershipFixtures.js';

const RANDOM = { nextUnit: () => 0.5 };

test('members see one another come, stay and leave', async (t) => {
  const time = new FakeTime();
  const state = new PlatformStoreState();
  const join = (id: string) =>
    startMembership({
      clock: time,
      log: NO_LOG,
      member: memberOf(id),
      random: RANDOM,
      store: createMemoryStore({ clock: time, state }),
      timers: time,
    });
  const idsSeenBy = (membership: ReturnType<typeof join>) =>
    membership.directory.members('scheduler').map((member) => member.memberId as string);

  const a = join('a');
  const b = join('b');
  await time.advance(1000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.deepEqual(idsSeenBy(b), ['a', 'b']);
  t.true(a.holdsLease());

  await time.advance(120_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.true(a.holdsLease());

  await b.leave();
  await time.advance(0);
  t.deepEqual(idsSeenBy(a), ['a']);
  t.false(b.holdsLease());
  await a.leave();
});
