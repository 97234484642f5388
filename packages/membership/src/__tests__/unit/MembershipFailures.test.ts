import type { RandomSource } from '@laburnumgap/kernel';
import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import type { Membership } from '../../Membership.js';
import { startMembership } from '../../Membership.js';
import { LEASE_TTL_MS } from '../../MembershipConstants.js';
import { FakeClock } from '../support/FakeClock.js';
import { FaultyStore } from '../support/FaultyStore.js';
import { memberOf } from '../support/MembershipFixtures.js';

interface Joined {
  readonly membership: Membership;
  readonly store: FaultyStore;
}

class Deployment {
  readonly clock = new FakeClock();
  readonly storeState = new PlatformStoreState();

  join(id: string, incarnation = '1', random: RandomSource = { nextUnit: () => 0.5 }): Joined {
    const inner = createMemoryStore({ clock: this.clock, state: this.storeState });
    const store = new FaultyStore(inner, this.clock);
    const membership = startMembership({
      clock: this.clock,
      log: NO_LOG,
      member: memberOf(id, incarnation),
      random,
      store,
      timers: this.clock,
    });
    return { membership, store };
  }

  /** Advances the clock in steps of a second and expires leases at the store after each. */
  async advance(ms: number, onStep: () => void = () => undefined): Promise<void> {
    const endMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < endMs) {
      await this.clock.advance(Math.min(1000, endMs - this.clock.nowMs()));
      this.storeState.revokeExpiredLeases(this.clock.nowMs());
      onStep();
    }
  }
}

function idsSeenBy({ membership }: Joined): readonly string[] {
  return membership.directory.members('scheduler').map((member) => member.memberId);
}

test('if keepalive answers are lost, the lease expires at the member before it expires at the store', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.advance(1000);
  a.store.mode = 'losesAnswers';
  await deployment.advance(LEASE_TTL_MS + 5000);
  t.false(a.membership.holdsLease());
  t.is(deployment.storeState.leaseCount, 1);
  a.store.mode = 'up';
  await deployment.advance(15_000);
  t.true(a.membership.holdsLease());
  t.is(deployment.storeState.leaseCount, 1);
});

test('a process that was paused for longer than its lease does not hold it when it resumes', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.advance(1000);
  t.true(a.membership.holdsLease());
  deployment.clock.pause(LEASE_TTL_MS);
  deployment.storeState.revokeExpiredLeases(deployment.clock.nowMs());
  t.false(a.membership.holdsLease());
  await deployment.advance(20_000);
  t.true(a.membership.holdsLease());
  t.deepEqual(idsSeenBy(b), ['a', 'b']);
});

test('the lease counts from before the keepalive was sent', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  a.store.mode = 'slow';
  // Grant sent at 0, answered at 8 s; read and commit take until 24 s.
  await deployment.advance(25_000);
  t.true(a.membership.holdsLease());
  a.store.mode = 'down';
  await deployment.clock.advance(2500);
  t.false(a.membership.holdsLease());
});

test('during a long outage the last view is kept and at most one call is in flight', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.advance(5000);
  a.store.mode = 'down';
  b.store.mode = 'down';
  a.store.calls.length = 0;
  a.store.peakInFlight = 0;
  const outageMs = 600_000;
  await deployment.advance(outageMs);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  t.false(a.membership.holdsLease());
  t.is(a.store.peakInFlight, 1);
  // Two loops, each waiting 5 to 10 s between tries once the first ones have failed.
  t.true(a.store.calls.length < (2 * outageMs) / 5000);
  t.true(deployment.clock.pendingCount <= 6);
});

test('with a slow store the lease is kept and calls do not pile up', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.advance(5000);
  a.store.mode = 'slow';
  await deployment.advance(300_000, () => {
    if (!a.membership.holdsLease()) {
      t.fail('the lease was lost');
    }
  });
  t.is(a.store.peakInFlight, 1);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('after an outage all members register again without a thundering herd or a gap in the view', async (t) => {
  const deployment = new Deployment();
  const members = Array.from({ length: 40 }, (_, index) =>
    deployment.join(`m${index}`, '1', seededRandom(index + 1)),
  );
  await deployment.advance(20_000);
  for (const { store } of members) {
    store.mode = 'down';
  }
  await deployment.advance(180_000);
  t.is(deployment.storeState.leaseCount, 0);
  for (const { store } of members) {
    store.mode = 'up';
    store.calls.length = 0;
  }
  const returnMs = deployment.clock.nowMs();
  let fewestSeen = Infinity;
  await deployment.advance(40_000, () => {
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

test('members that died during an outage are dropped after the grace period', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.advance(5000);
  a.store.mode = 'down';
  b.store.mode = 'down';
  await deployment.advance(60_000);
  a.store.mode = 'up';
  await deployment.advance(10_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
  await deployment.advance(40_000);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('without an outage a dead member is dropped when its lease expires', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const b = deployment.join('b');
  await deployment.advance(5000);
  b.store.mode = 'down';
  await deployment.advance(LEASE_TTL_MS + 1000);
  t.deepEqual(idsSeenBy(a), ['a']);
});

test('a watch that stops delivering events is reopened and misses no change', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  await deployment.advance(1000);
  a.store.mode = 'watchesSilent';
  deployment.join('b');
  await deployment.advance(5000);
  t.deepEqual(idsSeenBy(a), ['a']);
  a.store.mode = 'up';
  await deployment.advance(11_000);
  t.deepEqual(idsSeenBy(a), ['a', 'b']);
});

test('a restarted member replaces its old incarnation, which never registers again', async (t) => {
  const deployment = new Deployment();
  const observer = deployment.join('z');
  const old = deployment.join('a', 'first');
  await deployment.advance(1000);
  old.store.mode = 'down';
  const restarted = deployment.join('a', 'second');
  await deployment.advance(LEASE_TTL_MS + 10_000);
  old.store.mode = 'up';
  await deployment.advance(60_000);
  t.true(restarted.membership.holdsLease());
  t.false(old.membership.holdsLease());
  const [seen] = observer.membership.directory.members('scheduler');
  t.is(seen?.incarnation as string, 'second');
});

test('a member that registers again does not overwrite a registration made after its read', async (t) => {
  const deployment = new Deployment();
  const old = deployment.join('a', 'first');
  await deployment.advance(1000);
  old.store.mode = 'down';
  await deployment.advance(LEASE_TTL_MS);
  old.store.mode = 'slow';
  old.store.calls.length = 0;
  while (!old.store.calls.some((call) => call.name === 'read')) {
    await deployment.advance(1000);
  }
  const restarted = deployment.join('a', 'second');
  await deployment.advance(60_000);
  t.false(old.membership.holdsLease());
  t.true(restarted.membership.holdsLease());
});

test('malformed registrations are ignored', async (t) => {
  const deployment = new Deployment();
  const a = deployment.join('a');
  const keys = ['/laburnum/members/scheduler/x', '/laburnum/members/scheduler/y'];
  const values = ['{"memberId":"x"}', JSON.stringify(memberOf('other'))];
  deployment.storeState.commit({
    guards: [],
    writes: keys.map((key, index) => ({ key, kind: 'put', value: values[index] ?? '' })),
  });
  await deployment.advance(2000);
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
