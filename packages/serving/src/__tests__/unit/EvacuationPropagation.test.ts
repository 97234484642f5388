import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { SimulatedDaemon } from '../SimulatedFleet.js';
import { SimulatedFleet } from '../SimulatedFleet.js';

const SIZES = [
  { daemonsPerDomain: 2, domains: 3 },
  { daemonsPerDomain: 20, domains: 4 },
  { daemonsPerDomain: 39, domains: 5 },
];
const DOMAIN = toId<FailureDomainId>('d0');
/** Stated: no request may reach the domain later than this after the write. */
const BOUND_MS = 5_000;
/** Stated for the steady state: the evacuation should take effect within a second. */
const STEADY_BOUND_MS = 1_000;
/** Stated: daemons that had no fault for this long are bound. */
const STABLE_MS = 4_000;
/** Stated for a domain that is missing from a new era's first listing. */
const HOLD_MS = 2_000;
/** Stated delays of datagrams in a domain, and between domains. */
const MIN_DELAY_MS = 10;
const MAX_DELAY_MS = 50;
const MAX_OTHER_DOMAIN_DELAY_MS = 500;
const LOST_SHARE = 0.3;
/** Time in which watchers read a change and send it. */
const READ_AND_SENT_MS = 6;
const STEP_MS = 10;

/** Numbers from 0 to 1 that are the same in every run. */
function createRandom(): () => number {
  let state = 7;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

interface TestFleetOptions {
  readonly canFetch?: () => boolean;
  readonly isLost?: (text: string, random: () => number) => boolean;
  readonly size: (typeof SIZES)[number];
}

async function startFleet(
  t: ExecutionContext,
  { canFetch, isLost = () => false, size }: TestFleetOptions,
): Promise<SimulatedFleet> {
  const random = createRandom();
  const fleet = await SimulatedFleet.start({
    ...size,
    applyMs: BOUND_MS,
    canFetch,
    delayMs: (from, to) => {
      const isNear = from.failureDomain === to.failureDomain;
      const maxMs = isNear ? MAX_DELAY_MS : MAX_OTHER_DOMAIN_DELAY_MS;
      return Math.round(MIN_DELAY_MS + random() * (maxMs - MIN_DELAY_MS));
    },
    isLost: (_from, _to, text) => isLost(text, random),
  });
  t.teardown(() => {
    fleet.stop();
  });
  const serverId = toId<ServerId>('s1');
  fleet.store.writeServer({
    server: {
      failureDomain: DOMAIN,
      host: '10.9.0.1',
      leaving: false,
      port: 80,
      serverId,
      service: toId<ServiceId>('desk'),
      slots: 1,
      startedEpochMs: 1,
    },
    serverId,
  });
  await fleet.run(1_000);
  return fleet;
}

function isEvacuatedAt({ evacuations }: SimulatedDaemon): boolean {
  return evacuations?.isEvacuated(DOMAIN) ?? false;
}

/** Daemons that run and believe otherwise. */
function wrongOnes({ daemons }: SimulatedFleet, isEvacuated: boolean): readonly string[] {
  return daemons
    .filter((daemon) => daemon.isPowered && isEvacuatedAt(daemon) !== isEvacuated)
    .map(({ address }) => address.memberId);
}

/** Lets time pass and checks a condition of some daemons all along. */
async function runWhile(
  t: ExecutionContext,
  fleet: SimulatedFleet,
  durationMs: number,
  findWrong: () => readonly string[],
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    await fleet.run(STEP_MS);
    const wrong = findWrong();
    if (wrong.length > 0) {
      t.deepEqual(wrong, [], `after ${passedMs} ms`);
      return;
    }
  }
  t.pass();
}

const isChangesMessage = (text: string): boolean => text.includes('"kind":"changes"');

for (const size of SIZES) {
  const count = size.daemonsPerDomain * size.domains;

  test.serial(`${count} daemons know of an evacuation and its end within a second`, async (t) => {
    const fleet = await startFleet(t, { size });
    for (const isEvacuated of [true, false]) {
      const writtenMs = fleet.clock.nowMs();
      fleet.store.writeEvacuation(DOMAIN, isEvacuated);
      let knownMs = 0;
      while (knownMs < STEADY_BOUND_MS && wrongOnes(fleet, isEvacuated).length > 0) {
        await fleet.run(STEP_MS);
        knownMs = fleet.clock.nowMs() - writtenMs;
      }
      t.log(`known everywhere after ${knownMs} ms`);
      t.deepEqual(wrongOnes(fleet, isEvacuated), []);
    }
  });

  for (const writes of [
    [true, false],
    [true, false, true],
  ]) {
    const title = writes.map((isWritten) => (isWritten ? 'written' : 'removed')).join(', ');
    test.serial(
      `${count} daemons agree on a key ${title} within milliseconds, with lost and reordered messages`,
      async (t) => {
        const fleet = await startFleet(t, {
          isLost: (_text, random) => random() < LOST_SHARE,
          size,
        });
        for (const isWritten of writes) {
          fleet.store.writeEvacuation(DOMAIN, isWritten);
          await fleet.run(2);
        }
        await fleet.run(BOUND_MS);
        t.deepEqual(wrongOnes(fleet, writes.at(-1) ?? false), []);
        await fleet.run(BOUND_MS);
        t.deepEqual(wrongOnes(fleet, writes.at(-1) ?? false), []);
      },
    );
  }
}

const SIZE = { daemonsPerDomain: 2, domains: 3 };
const LARGE_SIZE = { daemonsPerDomain: 20, domains: 4 };

for (const size of [SIZE, LARGE_SIZE]) {
  const count = size.daemonsPerDomain * size.domains;

  test.serial(`${count} daemons know of an evacuation when the store refuses most`, async (t) => {
    const fleet = await startFleet(t, { size });
    fleet.daemons.slice(1).forEach((daemon) => {
      daemon.setStoreAccess('refuses');
    });
    fleet.store.writeEvacuation(DOMAIN, true);
    await fleet.run(BOUND_MS);
    t.deepEqual(wrongOnes(fleet, true), []);
  });

  test.serial(
    `${count} daemons know of an evacuation by heartbeats alone when nothing else reaches them`,
    async (t) => {
      let canFetch = true;
      const fleet = await startFleet(t, {
        canFetch: () => canFetch,
        isLost: isChangesMessage,
        size,
      });
      canFetch = false;
      fleet.store.writeEvacuation(DOMAIN, true);
      await fleet.run(BOUND_MS);
      t.deepEqual(wrongOnes(fleet, true), []);
    },
  );

  test.serial(
    `${count} daemons know of an evacuation whose watchers end before their broadcast`,
    async (t) => {
      const fleet = await startFleet(t, { isLost: isChangesMessage, size });
      fleet.store.writeEvacuation(DOMAIN, true);
      await fleet.run(READ_AND_SENT_MS);
      fleet.watchers().forEach((daemon) => {
        daemon.powerOff();
      });
      await fleet.run(BOUND_MS);
      t.deepEqual(wrongOnes(fleet, true), []);
    },
  );

  test.serial(
    `of ${count} daemons, those without any link during an evacuation know of it when they are stable`,
    async (t) => {
      const fleet = await startFleet(t, { size });
      const cutOff = fleet.daemons.filter((_, index) => index % size.daemonsPerDomain === 0);
      cutOff.forEach((daemon) => {
        daemon.cutOffFrom(fleet.daemons);
      });
      fleet.store.writeEvacuation(DOMAIN, true);
      await fleet.run(BOUND_MS);
      const others = wrongOnes(fleet, true).filter(
        (name) => !cutOff.some(({ address }) => address.memberId === name),
      );
      t.deepEqual(others, []);
      cutOff.forEach((daemon) => {
        daemon.recover();
      });
      await fleet.run(STABLE_MS);
      t.deepEqual(wrongOnes(fleet, true), []);
    },
  );
}

for (const access of ['answers', 'refuses'] as const) {
  test.serial(
    `a daemon that starts during an evacuation knows of it before it is ready when its store ${access}`,
    async (t) => {
      const fleet = await startFleet(t, { size: SIZE });
      const late = fleet.daemon(2, 2);
      late.powerOff();
      fleet.store.writeEvacuation(DOMAIN, true);
      await fleet.run(BOUND_MS);
      late.recover();
      late.setStoreAccess(access);
      await runWhile(t, fleet, BOUND_MS, () =>
        late.knowsServers() && !isEvacuatedAt(late) ? [late.address.memberId] : [],
      );
      t.true(late.knowsServers());
      t.true(isEvacuatedAt(late));
    },
  );
}

test.serial('a key that is written again in a new era leaves no gap at any daemon', async (t) => {
  const fleet = await startFleet(t, { size: LARGE_SIZE });
  const copy = fleet.store.copy();
  fleet.store.writeEvacuation(DOMAIN, true);
  await fleet.run(BOUND_MS);
  fleet.store.restore(copy);
  const findWrong = (): readonly string[] => wrongOnes(fleet, true);
  await runWhile(t, fleet, HOLD_MS - 100, findWrong);
  fleet.store.writeEvacuation(DOMAIN, true);
  await runWhile(t, fleet, BOUND_MS, findWrong);
});

test.serial(
  'a key that is not written again in a new era ends after the time stated',
  async (t) => {
    const fleet = await startFleet(t, { size: SIZE });
    const copy = fleet.store.copy();
    fleet.store.writeEvacuation(DOMAIN, true);
    await fleet.run(BOUND_MS);
    fleet.store.restore(copy);
    await runWhile(t, fleet, HOLD_MS, () => wrongOnes(fleet, true));
    await fleet.run(BOUND_MS);
    t.deepEqual(wrongOnes(fleet, false), []);
  },
);

test.serial('a key that only the copy still has counts until it is removed again', async (t) => {
  const fleet = await startFleet(t, { size: SIZE });
  fleet.store.writeEvacuation(DOMAIN, true);
  await fleet.run(BOUND_MS);
  const copy = fleet.store.copy();
  fleet.store.writeEvacuation(DOMAIN, false);
  await fleet.run(BOUND_MS);
  fleet.store.restore(copy);
  await fleet.run(BOUND_MS);
  t.deepEqual(wrongOnes(fleet, true), []);
  fleet.store.writeEvacuation(DOMAIN, false);
  await fleet.run(BOUND_MS);
  t.deepEqual(wrongOnes(fleet, false), []);
});
