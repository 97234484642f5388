import type { Member } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import { planTopology } from '../../index.js';

const memberOf = (domain: number, place: number): Member => ({
  entryVm: toId(`vm-${domain}-${place}`),
  failureDomain: toId(`zone-${domain}`),
  incarnation: toId('1'),
  memberId: toId(`daemon-${domain}-${place}`),
  region: toId('region'),
  role: 'router',
  rpcAddress: `${domain}-${place}`,
});

const fleets = fc
  .array(fc.integer({ max: 9, min: 1 }), { maxLength: 6, minLength: 1 })
  .map((sizes) =>
    sizes.flatMap((size, domain) =>
      Array.from({ length: size }, (_, place) => memberOf(domain, place)),
    ),
  );

test('each failure domain has its watchers, and what one learns reaches every daemon', (t) => {
  fc.assert(
    fc.property(fleets, (members) => {
      const plans = new Map(members.map((self) => [self, planTopology({ members, self })]));
      const domains = new Set(members.map(({ failureDomain }) => failureDomain));
      for (const domain of domains) {
        const own = members.filter(({ failureDomain }) => failureDomain === domain);
        const watchers = own.filter((member) => plans.get(member)?.isWatcher);
        if (watchers.length !== Math.min(2, own.length)) {
          return false;
        }
      }
      return members
        .filter((member) => plans.get(member)?.isWatcher)
        .every((source) => reach(source, members, plans) === members.length);
    }),
    { numRuns: 300 },
  );
  t.pass();
});

test('the parents of a daemon are in different failure domains where there are two', (t) => {
  fc.assert(
    fc.property(fleets, (members) =>
      members.every((self) => {
        const { parents } = planTopology({ members, self });
        const domains = new Set(members.map(({ failureDomain }) => failureDomain));
        const distinct = new Set(parents.map(({ failureDomain }) => failureDomain)).size;
        return (
          parents.every(({ memberId }) => memberId !== self.memberId) &&
          (domains.size < 3 || distinct === 2)
        );
      }),
    ),
  );
  t.pass();
});

test('followers are spread over the watchers', (t) => {
  const members = [0, 1, 2, 3, 4, 5].flatMap((domain) =>
    Array.from({ length: 55 }, (_, place) => memberOf(domain, place)),
  );
  const followers = new Map<string, number>();
  for (const self of members) {
    for (const { memberId } of planTopology({ members, self }).parents) {
      followers.set(memberId, (followers.get(memberId) ?? 0) + 1);
    }
  }
  const most = Math.max(...followers.values());
  t.log(`330 daemons: ${followers.size} parents, at most ${most} followers each`);
  t.is(followers.size, 12);
  t.true(most <= 80);
});

/** Number of daemons that hear what a daemon knows, by way of parents. */
function reach(
  source: Member,
  members: readonly Member[],
  plans: ReadonlyMap<Member, { readonly parents: readonly Member[] }>,
): number {
  const reached = new Set([source]);
  let before = 0;
  while (reached.size > before) {
    before = reached.size;
    for (const member of members) {
      if (plans.get(member)?.parents.some((parent) => reached.has(parent))) {
        reached.add(member);
      }
    }
  }
  return reached.size;
}
