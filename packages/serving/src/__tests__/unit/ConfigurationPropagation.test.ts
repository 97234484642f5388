import type { ExecutionContext } from 'ava';
import { selectWatchers } from '@laburnumgap/dispatch';
import test from 'ava';
import type { SimulatedDaemon } from '../SimulatedFleet.js';
import { SimulatedFleet } from '../SimulatedFleet.js';

interface FleetSize {
  /** Time within which a version is in force, as the users state it for deployments of this size. */
  readonly applyMs: number;
  readonly daemonsPerDomain: number;
  readonly domains: number;
  /** Times between the fault and the next version. */
  readonly waitsMs: readonly number[];
}

const SIZES: readonly FleetSize[] = [
  { applyMs: 2_000, daemonsPerDomain: 2, domains: 3, waitsMs: [0, 300, 600, 900, 1_200, 1_500] },
  { applyMs: 2_000, daemonsPerDomain: 5, domains: 4, waitsMs: [0, 300, 600, 900, 1_200, 1_500] },
  { applyMs: 3_000, daemonsPerDomain: 21, domains: 4, waitsMs: [0, 700] },
];

/** Time in which watchers read a version and send their changes. */
const READ_AND_SENT_MS = 6;

interface Scenario {
  readonly fault: (fleet: SimulatedFleet) => void;
  readonly title: string;
}

const SCENARIOS: readonly Scenario[] = [
  { fault: () => undefined, title: 'nothing fails' },
  {
    fault: (fleet) => {
      fleet.watchers().forEach((daemon) => {
        daemon.setStoreAccess('silent');
      });
    },
    title: 'the store stops responding to both watchers',
  },
  {
    fault: (fleet) => {
      fleet.watchers().forEach((daemon) => {
        daemon.setStoreAccess('refuses');
      });
    },
    title: 'the store refuses both watchers',
  },
  {
    fault: (fleet) => {
      powerOff(fleet.watchers());
    },
    title: 'both watchers lose power',
  },
  {
    fault: (fleet) => {
      powerOff(fleet.daemons.filter(({ address }) => /^d[12]-00[12]$/.test(address.memberId)));
    },
    title: 'the relays of two domains lose power',
  },
  {
    fault: (fleet) => {
      powerOff(fleet.daemons.filter((_, index) => index % 5 < 3));
    },
    title: 'three of five daemons lose power',
  },
];

function powerOff(daemons: readonly SimulatedDaemon[]): void {
  daemons.forEach((daemon) => {
    daemon.powerOff();
  });
}

function assertNoneLate(t: ExecutionContext, { late }: SimulatedFleet): void {
  const first = new Map(late.toReversed().map((entry) => [entry.name, entry]));
  const lines = [...first.values()].map(
    ({ atMs, name, requiredVersion, version }) =>
      `${name} at ${atMs} ms: version ${version} instead of ${requiredVersion}`,
  );
  t.deepEqual(lines, []);
}

for (const size of SIZES) {
  const count = size.daemonsPerDomain * size.domains;
  for (const { fault, title } of SCENARIOS) {
    for (const waitMs of size.waitsMs) {
      test.serial(`${count} daemons follow a version ${waitMs} ms after ${title}`, async (t) => {
        const fleet = await SimulatedFleet.start(size);
        t.teardown(() => {
          fleet.stop();
        });
        fault(fleet);
        await fleet.run(waitMs);
        fleet.publish();
        await fleet.run(6_000);
        assertNoneLate(t, fleet);
      });
    }
  }
}

const SURVIVORS = 2;
/** Losses follow each other before the next daemons in line have taken over, and just after that. */
const LOSS_INTERVALS_MS = [700, 1_050, 1_300];

/** Cuts the power of the daemons that watch, or will once the loss of those before them is noticed. */
function powerOffNext(fleet: SimulatedFleet): void {
  const powered = fleet.daemons.filter(({ isPowered }) => isPowered);
  const next = selectWatchers(
    powered.map(({ address, failureDomain }) => ({
      failureDomain,
      memberId: address.memberId,
      storeIsAway: false,
    })),
  );
  const lost = powered.filter(({ address }) => next.has(address.memberId));
  powerOff(lost.slice(0, Math.max(0, powered.length - SURVIVORS)));
}

// A withdrawn key was served beyond the time for a configuration when those that took over were lost too.
for (const size of SIZES) {
  const count = size.daemonsPerDomain * size.domains;
  for (const intervalMs of LOSS_INTERVALS_MS) {
    test.serial(
      `${count} daemons follow a version while two lose power every ${intervalMs} ms`,
      async (t) => {
        const fleet = await SimulatedFleet.start(size);
        t.teardown(() => {
          fleet.stop();
        });
        powerOffNext(fleet);
        fleet.publish();
        for (let elapsedMs = 0; elapsedMs < 3 * size.applyMs; elapsedMs += intervalMs) {
          await fleet.run(intervalMs);
          powerOffNext(fleet);
        }
        assertNoneLate(t, fleet);
        const powered = fleet.daemons.filter(({ isPowered }) => isPowered);
        t.true(powered.length >= SURVIVORS);
        t.true(powered.every((daemon) => daemon.version() === 2));
      },
    );
  }
}

/** Many times the age at which a daemon asks the store itself. */
const CALM_MS = 20_000;

for (const size of SIZES) {
  const count = size.daemonsPerDomain * size.domains;
  test.serial(`of ${count} daemons only those that watch ask the store in calm`, async (t) => {
    const fleet = await SimulatedFleet.start(size);
    t.teardown(() => {
      fleet.stop();
    });
    const before = fleet.daemons.map(({ directory }) => directory.watchCount);
    await fleet.run(CALM_MS);
    const asking = fleet.daemons.filter(
      ({ directory }, index) => directory.watchCount > (before[index] ?? 0),
    );
    t.deepEqual(asking, fleet.watchers());
  });
}

test.serial(
  'in calm, 6 daemons of which each hears the former build do not ask the store',
  async (t) => {
    const fleet = await SimulatedFleet.start({
      applyMs: 2_000,
      daemonsPerDomain: 2,
      domains: 3,
      rewrite: (text) => text.replace(/"storeAgeMs":\d+,/g, ''),
    });
    t.teardown(() => {
      fleet.stop();
    });
    const before = fleet.daemons.map(({ directory }) => directory.watchCount);
    await fleet.run(CALM_MS);
    const asking = fleet.daemons.filter(
      ({ directory }, index) => directory.watchCount > (before[index] ?? 0),
    );
    t.deepEqual(asking, fleet.watchers());
  },
);

for (const size of SIZES) {
  const count = size.daemonsPerDomain * size.domains;
  test.serial(
    `${count} daemons find a version whose readers failed before it was fetched`,
    async (t) => {
      const fleet = await SimulatedFleet.start({
        ...size,
        isLost: (_from, _to, text) => text.includes('"kind":"configuration"'),
      });
      t.teardown(() => {
        fleet.stop();
      });
      const readers = fleet.watchers();
      fleet.publish();
      await fleet.run(READ_AND_SENT_MS);
      powerOff(readers);
      const others = fleet.daemons.filter((daemon) => !readers.includes(daemon));
      others.forEach((daemon) => {
        daemon.setStoreAccess('silent');
      });
      await fleet.run(20_000);
      others.forEach((daemon) => {
        daemon.setStoreAccess('answers');
      });
      await fleet.run(10_000);
      assertNoneLate(t, fleet);
      t.true(others.every((daemon) => daemon.version() === 2));
    },
  );
}

/** Covers the interval of the pings, which are the only calls besides a watch that has just begun. */
const LEAD_TIMES_MS = [0, 200, 400, 600, 800, 1_000, 1_200, 1_400, 1_600];

for (const leadMs of LEAD_TIMES_MS) {
  test.serial(`24 daemons follow a version that watchers miss ${leadMs} ms later`, async (t) => {
    const fleet = await SimulatedFleet.start({ applyMs: 2_000, daemonsPerDomain: 6, domains: 4 });
    t.teardown(() => {
      fleet.stop();
    });
    await fleet.run(leadMs);
    fleet.publish();
    await fleet.run(READ_AND_SENT_MS);
    fleet.watchers().forEach((daemon) => {
      daemon.setStoreAccess('silent');
    });
    fleet.publish();
    await fleet.run(6_000);
    assertNoneLate(t, fleet);
  });
}
