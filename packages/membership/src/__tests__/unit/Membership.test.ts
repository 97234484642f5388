import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import { startMembership } from '../../Membership.js';
import { FakeClock } from '../support/FakeClock.js';
import { memberOf } from '../support/MembershipFixtures.js';

const RANDOM = { nextUnit: () => 0.5 };

test('members see each other join, stay and leave', async (t) => {
  const clock = new FakeClock();
  const state = new PlatformStoreState();
  const join = (id: string) =>
    startMembership({
      clock,
      log: NO_LOG,
      member: memberOf(id),
      random: RANDOM,
      store: createMemoryStore({ clock, state }),
      timers: clock,
    });
  const idsSeenBy = (membership: ReturnType<typeof join>) =>
    membership.directory.members('scheduler').map((member) => member.memberId as string);

  const a = join('a');
  const b = join('b');
  await clock.advance(1000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.deepEqual(idsSeenBy(b), ['a', 'b']);
  t.true(a.holdsLease());

  await clock.advance(120_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.true(a.holdsLease());

  await b.leave();
  await clock.advance(0);
  t.deepEqual(idsSeenBy(a), ['a']);
  t.false(b.holdsLease());
  await a.leave();
});
