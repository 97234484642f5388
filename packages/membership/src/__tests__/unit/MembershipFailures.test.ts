import type { RandomSource } from '@laburnumgap/kernel';
import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import type { Membership } from '../../Membership.js';
import { startMembership } from '../../Membership.js';
import { LEASE_TTL_MS } from '../../MembershipConstants.js';
import { FakeTime } from '../support/FakeTime.js';
import { FaultyStore } from '../support/FaultyStore.js';
import { memberOf } from '../support/MembershipFixtures.js';

interface Joined {
  readonly membership: Membership;
  readonly store: FaultyStore;
}

class Deployment {
  readonly state = new PlatformStoreState();
  readonly time = new FakeTime();

  join(id: string, incarnation = '1', random: RandomSource = { nextUnit: () => 0.5 }): Joined {
    const inner = createMemoryStore({ clock: this.time, state: this.state });
    const store = new FaultyStore(inner, this.time);
    const membership = startMembership({
      clock: this.time,
      log: NO_LOG,
      member: memberOf(id, incarnation),
      random,
      store,
      timers: this.time,
    });
    return { membership, store };
  }

  /** Lets time pass in small steps, ending leases at the store as it goes. */
  async pass(ms: number, each: () => void = () => undefined): Promise<void> {
    const endMs = this.time.nowMs() + ms;
    while (this.time.nowMs() < endMs) {
      await this.time.advance(Math.min(1000, endMs - this.time.nowMs()));
      this.state.revokeExpiredLeases(this.time.nowMs());
      each();
    }
  }
}

function idsSeenBy({ membership }: Joined): readonly string[] {
  return membership.directory.members('scheduler').map((member) => member.memberId);
}

test('lost keepalive answers end the lease here before it ends at the store', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.pass(1000);
  a.store.mode = 'losesAnswers';
  await deployment.pass(LEASE_TTL_MS + 5000);
  t.false(a.membership.holdsLease());
  t.is(deployment.state.leaseCount, 1);
  a.store.mode = 'up';
  await deployment.pass(15_000);
  t.true(a.membership.holdsLease());
  t.is(deployment.state.leaseCount, 1);
});

test('a process that was paused past its lease does not hold it when it wakes', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.pass(1000);
  t.true(a.membership.holdsLease());
  deployment.time.pause(LEASE_TTL_MS);
  deployment.state.revokeExpiredLeases(deployment.time.nowMs());
  t.false(a.membership.holdsLease());
  await deployment.pass(20_000);
  t.true(a.membership.holdsLease());
  t.deepEqual(idsSeenBy(b), ['a', 'b']);
});

test('the lease counts from before the keepalive was sent', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  a.store.mode = 'slow';
  // Grant sent at 0, answered at 8 s; read and commit take until 24 s.
  await deployment.pass(25_000);
  t.true(a.membership.holdsLease());
  a.store.mode = 'down';
  await deployment.time.advance(2500);
  t.false(a.membership.holdsLease());
});

test('during a long outage the last view stays and one call runs at a time', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.pass(5000);
  a.store.mode = 'down';
  b.store.mode = 'down';
  a.store.calls.length = 0;
  a.store.mostRunning = 0;
  const outageMs = 600_000;
  await deployment.pass(outageMs);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.false(a.membership.holdsLease());
  t.is(a.store.mostRunning, 1);
  // Two loops, each waiting 5 to 10 s between tries once the first ones have failed.
  t.true(a.store.calls.length < (2 * outageMs) / 5000);
  t.true(deployment.time.pendingCount <= 6);
});

test('with a slow store the lease is kept and calls do not pile up', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.pass(5000);
  a.store.mode = 'slow';
  await deployment.pass(300_000, () => {
    if (!a.membership.holdsLease()) {
      t.fail('the lease was given up');
    }
  });
  t.is(a.store.mostRunning, 1);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('after an outage every member returns without a stampede or a gap in the view', async (t) => {
  const deployment = new Deployment();
  const members = Array.from({ length: 40 }, (_, index) =>
    deployment.join(`m${index}`, '1', seededRandom(index + 1)),
  );
  await deployment.pass(20_000);
  for (const { store } of members) {
    store.mode = 'down';
  }
  await deployment.pass(180_000);
  t.is(deployment.state.leaseCount, 0);
  for (const { store } of members) {
    store.mode = 'up';
    store.calls.length = 0;
  }
  const returnMs = deployment.time.nowMs();
  let fewestSeen = Infinity;
  await deployment.pass(40_000, () => {
    fewestSeen = Math.min(fewestSeen, ...members.map((member) => idsSeenBy(member).length));
  });
  t.is(fewestSeen, members.length);
  t.true(members.every(({ membership }) => membership.holdsLease()));
  const bySecond = new Map<number, number>();
  for (const { atMs } of members.flatMap(({ store }) => store.calls)) {
    const second = Math.floor((atMs - returnMs) / 1000);
    bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
  }
  const busiest = Math.max(...bySecond.values());
  t.log(`busiest second after the return: ${busiest} calls of ${members.length} members`);
  // A keepalive, a grant, a read, a commit and a watch each, over ten seconds.
  t.true(busiest <= members.length * 1.25);
});

test('members that died during an outage are dropped after the grace', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.pass(5000);
  a.store.mode = 'down';
  b.store.mode = 'down';
  await deployment.pass(60_000);
  a.store.mode = 'up';
  await deployment.pass(10_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  await deployment.pass(40_000);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('without an outage a dead member is dropped when its lease ends', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.pass(5000);
  b.store.mode = 'down';
  await deployment.pass(LEASE_TTL_MS + 1000);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('a watch that goes silent is opened again and misses nothing', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.pass(1000);
  a.store.mode = 'watchesSilent';
  deployment.join('b');
  await deployment.pass(5000);
  t.deepEqual(idsSeenBy(a), ['a']);
  a.store.mode = 'up';
  await deployment.pass(11_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
});

test('a restarted member replaces its old incarnation, which never comes back', async (t) => {
  const deployment = new Deployment();
  const observer = deployment.join('z');
  const old = deployment.join('a', 'first');
  await deployment.pass(1000);
  old.store.mode = 'down';
  const restarted = deployment.join('a', 'second');
  await deployment.pass(LEASE_TTL_MS + 10_000);
  old.store.mode = 'up';
  await deployment.pass(60_000);
  t.true(restarted.membership.holdsLease());
  t.false(old.membership.holdsLease());
  const [seen] = observer.membership.directory.members('scheduler');
  t.is(seen?.incarnation as string, 'second');
});

test('a member that registers again does not overwrite one that came after its read', async (t) => {
  const deployment = new Deployment();
  const old = deployment.join('a', 'first');
  await deployment.pass(1000);
  old.store.mode = 'down';
  await deployment.pass(LEASE_TTL_MS);
  old.store.mode = 'slow';
  old.store.calls.length = 0;
  while (!old.store.calls.some((call) => call.name === 'read')) {
    await deployment.pass(1000);
  }
  const restarted = deployment.join('a', 'second');
  await deployment.pass(60_000);
  t.false(old.membership.holdsLease());
  t.true(restarted.membership.holdsLease());
});

test('malformed registrations are left out', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const keys = ['/laburnum/members/scheduler/x', '/laburnum/members/scheduler/y'];
  const values = ['{"memberId":"x"}', JSON.stringify(memberOf('other'))];
  deployment.state.commit({
    guards: [],
    writes: keys.map((key, index) => ({ key, kind: 'put', value: values[index] ?? '' })),
  });
  await deployment.pass(2000);
  t.deepEqual(idsSeenBy(a), ['a']);
});

function seededRandom(seed: number): RandomSource {
  let state = seed;
  return {
    nextUnit: () => {
      state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
      return state / 2 ** 32;
    },
  };
}
