import type { Member } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import { planTopology } from '../../index.js';

const createMember = (domain: number, index: number): Member => ({
  entryVm: toId(`vm-${domain}-${index}`),
  failureDomain: toId(`zone-${domain}`),
  incarnation: toId('1'),
  memberId: toId(`daemon-${domain}-${index}`),
  region: toId('region'),
  role: 'router',
  rpcAddress: `${domain}-${index}`,
});

const fleetsArbitrary = fc
  .array(fc.integer({ max: 9, min: 1 }), { maxLength: 6, minLength: 1 })
  .map((sizes) =>
    sizes.flatMap((size, domain) =>
      Array.from({ length: size }, (_, index) => createMember(domain, index)),
    ),
  );

test('each failure domain has its watchers, and a change at one watcher reaches every daemon', (t) => {
  fc.assert(
    fc.property(fleetsArbitrary, (members) => {
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
        .every((source) => countReached(source, members, plans) === members.length);
    }),
    { numRuns: 300 },
  );
  t.pass();
});

test('the parents of a daemon are in two failure domains if there are at least three', (t) => {
  fc.assert(
    fc.property(fleetsArbitrary, (members) =>
      members.every((self) => {
        const { parents } = planTopology({ members, self });
        const domains = new Set(members.map(({ failureDomain }) => failureDomain));
        const domainCount = new Set(parents.map(({ failureDomain }) => failureDomain)).size;
        return (
          parents.every(({ memberId }) => memberId !== self.memberId) &&
          (domains.size < 3 || domainCount === 2)
        );
      }),
    ),
  );
  t.pass();
});

test('followers are spread over the watchers', (t) => {
  const members = [0, 1, 2, 3, 4, 5].flatMap((domain) =>
    Array.from({ length: 55 }, (_, index) => createMember(domain, index)),
  );
  const followers = new Map<string, number>();
  for (const self of members) {
    for (const { memberId } of planTopology({ members, self }).parents) {
      followers.set(memberId, (followers.get(memberId) ?? 0) + 1);
    }
  }
  const maxFollowers = Math.max(...followers.values());
  t.log(`330 daemons: ${followers.size} parents, at most ${maxFollowers} followers each`);
  t.is(followers.size, 12);
  t.true(maxFollowers <= 80);
});

/** Number of daemons that receive a change known to one daemon, over links to parents. */
function countReached(
  source: Member,
  members: readonly Member[],
  plans: ReadonlyMap<Member, { readonly parents: readonly Member[] }>,
): number {
  const reached = new Set([source]);
  let previousSize = 0;
  while (reached.size > previousSize) {
    previousSize = reached.size;
    for (const member of members) {
      if (plans.get(member)?.parents.some((parent) => reached.has(parent))) {
        reached.add(member);
      }
    }
  }
  return reached.size;
}
