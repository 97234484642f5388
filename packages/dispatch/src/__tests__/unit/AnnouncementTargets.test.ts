import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { AnnouncementCandidate } from '../../index.js';
import { selectAnnouncementTargets } from '../../index.js';

const DOMAINS = 5;

function fleetOf(size: number): readonly AnnouncementCandidate[] {
  return Array.from({ length: size }, (_, index) => ({
    failureDomain: toId<FailureDomainId>(`d${index % DOMAINS}`),
    memberId: toId<MemberId>(`m${String(index).padStart(4, '0')}`),
  }));
}

interface Spread {
  readonly busiestServes: number;
  /** Daemons that fetched from another failure domain. */
  readonly crossings: number;
  readonly reached: number;
}

/** Follows an announcement through a fleet; each daemon fetches from the first that tells it. */
function spread(
  fleet: readonly AnnouncementCandidate[],
  readers: readonly number[],
  dead: ReadonlySet<MemberId> = new Set(),
): Spread {
  const byId = new Map(fleet.map((member) => [member.memberId, member]));
  const serves = new Map<MemberId, number>();
  const reached = new Set<MemberId>();
  let crossings = 0;
  const queue: { origin: FailureDomainId; sender: AnnouncementCandidate }[] = [];
  for (const index of readers) {
    const sender = fleet[index];
    if (sender) {
      reached.add(sender.memberId);
      queue.push({ origin: sender.failureDomain, sender });
    }
  }
  for (let next = queue.shift(); next; next = queue.shift()) {
    const { origin, sender } = next;
    const candidates = fleet.filter(({ memberId }) => memberId !== sender.memberId);
    const input = { candidates, originDomain: origin, sender };
    const { delayed, immediate } = selectAnnouncementTargets(input);
    for (const memberId of [...immediate, ...delayed]) {
      const receiver = byId.get(memberId);
      if (!receiver || dead.has(memberId) || reached.has(memberId)) {
        continue;
      }
      reached.add(memberId);
      serves.set(sender.memberId, (serves.get(sender.memberId) ?? 0) + 1);
      if (receiver.failureDomain !== sender.failureDomain) {
        crossings += 1;
        queue.push({ origin: sender.failureDomain, sender: receiver });
      }
    }
  }
  return { busiestServes: Math.max(...serves.values()), crossings, reached: reached.size };
}

for (const size of [6, 30, 195, 330, 1_000]) {
  test(`load pattern: a configuration reaches ${size} daemons, and none serves more than its domain`, (t) => {
    const result = spread(fleetOf(size), [0, 1]);
    t.is(result.reached, size);
    t.true(result.crossings <= 2 * DOMAINS);
    t.true(result.busiestServes <= Math.ceil(size / DOMAINS) + 2 * DOMAINS);
  });
}

test('one dead relay of each domain keeps nobody from a configuration', (t) => {
  const fleet = fleetOf(195);
  // The first relays of the domains that the readers are not in, still thought to be alive.
  const dead = new Set([2, 3, 4].map((index) => fleet[index]?.memberId ?? toId<MemberId>('')));
  t.is(spread(fleet, [0, 1], dead).reached, 195 - dead.size);
});

test('two relays of a domain split it, and each covers for the other later', (t) => {
  const fleet = fleetOf(50);
  const origin = toId<FailureDomainId>('d0');
  const [first, second] = [1, 6].map((index) => {
    const sender = fleet[index];
    if (!sender) {
      throw new Error('no such daemon');
    }
    const candidates = fleet.filter(({ memberId }) => memberId !== sender.memberId);
    return selectAnnouncementTargets({ candidates, originDomain: origin, sender });
  });
  const shared = first?.immediate.filter((memberId) => second?.immediate.includes(memberId));
  t.is((first?.immediate.length ?? 0) + (first?.delayed.length ?? 0), 9);
  t.true((shared?.length ?? 9) <= 2, 'both tell at most a few at once');
});
