import type { FingerprintId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { CrashingServers, createRandom } from '../CrashingServers.js';
import type { SimulatedDaemon, SimulatedFleetOptions } from '../SimulatedFleet.js';
import { SimulatedFleet } from '../SimulatedFleet.js';

/** Time within which all daemons know, as the users state it for small deployments. */
const STABLE_WINDOW_MS = 3_000;
const KNOWN_WITHIN_MS = STABLE_WINDOW_MS / 2;
const CRASHES = 5;
const CALL_CRASHES = 3;
const MAX_TRIALS = 3;
const MIN_SERVED_SHARE = 0.5;
const BAD = toId<FingerprintId>('part bad');
const BAD_CALL = toId<FingerprintId>('call bad');
const SHARED = toId<FingerprintId>('part shared');
const REQUEST_INTERVAL_MS = 100;

interface FleetSize {
  readonly daemonsPerDomain: number;
  readonly domains: number;
  readonly servers: number;
}

const SMALL: FleetSize = { daemonsPerDomain: 2, domains: 3, servers: 8 };
const LARGE: FleetSize = { daemonsPerDomain: 65, domains: 3, servers: 100 };

interface Scenario {
  readonly isLargeToo?: boolean;
  readonly isLost?: SimulatedFleetOptions['isLost'];
  /** What the crashing requests have in common; a part by default. */
  readonly bad?: FingerprintId;
  /** Requests a second that crash servers, one after the other. */
  readonly badPerS: number;
  /** Requests that crash servers and are sent at once, every 3.5 s; none by default. */
  readonly badAtOnce?: number;
  readonly name: string;
  /** Called every 100 ms with the time since the first request. */
  readonly onStep?: (fleet: SimulatedFleet, atMs: number) => void;
}

function keepers(fleet: SimulatedFleet): readonly SimulatedDaemon[] {
  return fleet.daemons.filter(({ address }) => fleet.keepersOf(BAD).includes(address.memberId));
}

const BURST_INTERVAL_MS = 3_500;
const lossRandom = createRandom(7);
const burstLossRandom = createRandom(8);
const SCENARIOS: readonly Scenario[] = [
  { badPerS: 10, isLargeToo: true, name: 'ten a second' },
  { badPerS: 1, name: 'one a second' },
  { badAtOnce: 5, badPerS: 0, name: 'five at once' },
  { badAtOnce: 3, badPerS: 0, name: 'three at once' },
  { bad: BAD_CALL, badAtOnce: 3, badPerS: 0, isLargeToo: true, name: 'three equal calls at once' },
  { bad: BAD_CALL, badAtOnce: 2, badPerS: 0, name: 'two equal calls at once' },
  {
    badAtOnce: 5,
    badPerS: 0,
    isLargeToo: true,
    isLost: () => burstLossRandom() < 0.3,
    name: 'five at once, three datagrams in ten lost',
  },
  {
    badPerS: 5,
    isLargeToo: true,
    isLost: () => lossRandom() < 0.3,
    name: 'three datagrams in ten lost',
  },
  {
    badPerS: 2,
    isLargeToo: true,
    name: 'the first keeper without power',
    onStep: (fleet, atMs) => {
      if (atMs === 300) {
        keepers(fleet)[0]?.powerOff();
      }
    },
  },
  {
    badPerS: 2,
    name: 'a keeper cut off until later',
    onStep: (fleet, atMs) => {
      const [keeper] = keepers(fleet);
      if (atMs === 300) {
        keeper?.cutOffFrom(fleet.daemons);
      } else if (atMs === 6_000) {
        keeper?.recover();
      }
    },
  },
  {
    badPerS: 2,
    name: 'daemons restarted one after the other',
    onStep: (fleet, atMs) => {
      const daemon = fleet.daemons[(atMs / 1_000) % fleet.daemons.length];
      if (atMs >= 5_000 && atMs % 1_000 === 0) {
        daemon?.powerOff();
        setTimeout(() => daemon?.recover(), 500);
      }
    },
  },
];

/** Plays requests for a while, one sound one every 100 ms. */
async function play(
  fleet: SimulatedFleet,
  servers: CrashingServers,
  durationMs: number,
  {
    bad = BAD,
    badAtOnce = 0,
    badPerS,
    onStep,
  }: Pick<Scenario, 'bad' | 'badAtOnce' | 'badPerS' | 'onStep'>,
): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += REQUEST_INTERVAL_MS) {
    onStep?.(fleet, atMs);
    if (badPerS > 0 && atMs % (1_000 / badPerS) === 0) {
      servers.request([SHARED, bad]);
    }
    if (atMs % BURST_INTERVAL_MS === 0) {
      Array.from({ length: badAtOnce }).forEach(() => {
        servers.request([SHARED, bad]);
      });
    }
    const sound = toId<FingerprintId>(`part sound ${(atMs / REQUEST_INTERVAL_MS) % 5}`);
    servers.request([SHARED, sound]);
    await fleet.run(REQUEST_INTERVAL_MS);
  }
}

async function startFleet(
  t: ExecutionContext,
  size: FleetSize,
  isLost?: SimulatedFleetOptions['isLost'],
): Promise<{ readonly fleet: SimulatedFleet; readonly servers: CrashingServers }> {
  const fleet = await SimulatedFleet.start({ ...size, applyMs: 5_000, isLost });
  t.teardown(() => {
    fleet.stop();
  });
  const harmful = new Set([BAD, BAD_CALL]);
  const randomUnit = createRandom(31);
  const servers = new CrashingServers(fleet, { count: size.servers, harmful, randomUnit });
  return { fleet, servers };
}

async function checkScenario(
  t: ExecutionContext,
  size: FleetSize,
  durationMs: number,
  scenario: Scenario,
): Promise<void> {
  const { fleet, servers } = await startFleet(t, size, scenario.isLost);
  await play(fleet, servers, durationMs, scenario);
  const crashes = scenario.bad === BAD_CALL ? CALL_CRASHES : CRASHES;
  const late = servers.lateArrivals(crashes, KNOWN_WITHIN_MS);
  const total = servers.badArrivalsMs.length;
  t.true(late <= MAX_TRIALS, `${late} of ${total} arrived late, ${MAX_TRIALS} are allowed`);
  const knownMs = servers.crashesMs()[crashes - 1] ?? servers.crashesMs().at(-1) ?? Infinity;
  const share = servers.servedShare(knownMs + 2 * STABLE_WINDOW_MS);
  t.true(share >= MIN_SERVED_SHARE, `${share} of the others were served`);
}

for (const scenario of SCENARIOS) {
  test.serial(`6 daemons know what crashes servers: ${scenario.name}`, (t) =>
    checkScenario(t, SMALL, 15_000, scenario),
  );
}

for (const scenario of SCENARIOS.filter(({ isLargeToo }) => isLargeToo)) {
  test.serial(`195 daemons know what crashes servers: ${scenario.name}`, (t) =>
    checkScenario(t, LARGE, 12_000, scenario),
  );
}

test.serial('when all daemons restart at once, servers crash at most as often again', async (t) => {
  const { fleet, servers } = await startFleet(t, SMALL);
  await play(fleet, servers, 5_000, { badPerS: 5 });
  const crashesBefore = servers.badCrashes.length;
  for (const daemon of fleet.daemons) {
    daemon.powerOff();
  }
  await fleet.run(500);
  for (const daemon of fleet.daemons) {
    daemon.recover();
  }
  await fleet.run(STABLE_WINDOW_MS);
  await play(fleet, servers, 10_000, { badPerS: 5 });
  const crashes = servers.badCrashes.length - crashesBefore;
  t.true(crashes <= CRASHES + MAX_TRIALS, `${crashes} servers crashed after the restart`);
});

// Daemons that were all restarted once let servers crash as often again as before.
for (const { afterMs, badAtOnce, badPerS, isStoreAway, name } of [
  { afterMs: 5_000, badAtOnce: 0, badPerS: 5, isStoreAway: false, name: 'confirmed' },
  { afterMs: 1_000, badAtOnce: 5, badPerS: 0, isStoreAway: false, name: 'suspected' },
  { afterMs: 9_000, badAtOnce: 5, badPerS: 0, isStoreAway: false, name: 'tried' },
  {
    afterMs: 3_000,
    badAtOnce: 5,
    badPerS: 0,
    isStoreAway: true,
    name: 'known while the store is away',
  },
]) {
  test.serial(`daemons that lose power at once still know what was ${name}`, async (t) => {
    const { fleet, servers } = await startFleet(t, SMALL);
    if (isStoreAway) {
      fleet.daemons.forEach((daemon) => {
        daemon.directory.access = 'refuses';
      });
    }
    await play(fleet, servers, afterMs, { badAtOnce, badPerS });
    if (isStoreAway) {
      fleet.daemons.forEach((daemon) => {
        daemon.directory.access = 'answers';
      });
      await play(fleet, servers, STABLE_WINDOW_MS, { badPerS: 0 });
    }
    fleet.daemons.forEach((daemon) => {
      daemon.powerOff();
    });
    await fleet.run(500);
    fleet.daemons.forEach((daemon) => {
      daemon.recover();
    });
    await fleet.run(STABLE_WINDOW_MS);
    await play(fleet, servers, 30_000, { badAtOnce, badPerS });
    const late = servers.lateArrivals(CRASHES, KNOWN_WITHIN_MS);
    t.true(late <= MAX_TRIALS, `${late} arrived late, ${MAX_TRIALS} are allowed`);
  });
}

test.serial(
  'what was cleared before all daemons lose power is not held back after it',
  async (t) => {
    const { fleet, servers } = await startFleet(t, SMALL);
    await play(fleet, servers, 2_000, { badPerS: 0 });
    await play(fleet, servers, 500, { badAtOnce: 5, badPerS: 0 });
    t.deepEqual([...fleet.store.quarantines.keys()], [BAD]);
    fleet.daemon(1, 1).quarantine?.onProgress([BAD]);
    await fleet.run(1_000);
    t.deepEqual([...fleet.store.quarantines.keys()], []);
    fleet.daemons.forEach((daemon) => {
      daemon.powerOff();
    });
    await fleet.run(500);
    fleet.daemons.forEach((daemon) => {
      daemon.recover();
    });
    await fleet.run(STABLE_WINDOW_MS);
    t.true(fleet.daemons.every(({ quarantine }) => quarantine?.refusalOf([BAD], []) === undefined));
  },
);

for (const { faultName, fault } of [
  {
    fault: (daemon: SimulatedDaemon) => {
      daemon.powerOff();
    },
    faultName: 'has started again',
  },
  {
    fault: (daemon: SimulatedDaemon, fleet: SimulatedFleet) => {
      daemon.cutOffFrom(fleet.daemons);
    },
    faultName: 'was cut off',
  },
]) {
  test.serial(`a daemon that ${faultName} knows what crashes servers soon after`, async (t) => {
    const { fleet, servers } = await startFleet(t, SMALL);
    const daemon = fleet.daemon(1, 1);
    fault(daemon, fleet);
    await play(fleet, servers, 3_000, { badPerS: 10 });
    const others = fleet.daemons.filter((other) => other !== daemon);
    t.true(others.every((other) => other.quarantine?.refusalOf([BAD], []) !== undefined));
    daemon.recover();
    await fleet.run(KNOWN_WITHIN_MS);
    t.truthy(daemon.quarantine?.refusalOf([BAD], []));
  });
}

test.serial('a suspicion is tried also while most daemons are dead', async (t) => {
  const { fleet } = await startFleet(t, SMALL);
  fleet.daemons.slice(2).forEach((daemon) => {
    daemon.powerOff();
  });
  await fleet.run(STABLE_WINDOW_MS);
  const quarantine = fleet.daemons[0]?.quarantine;
  for (let number = 0; number < CRASHES - 1; number += 1) {
    const server = { serverId: toId<ServerId>(`s${number}`), startedEpochMs: 1 };
    const requests = [{ fingerprints: [SHARED], requestId: 'r', sentMs: 0, trialOf: [] }];
    quarantine?.onCrash({ crashedMs: fleet.clock.nowMs(), requests, server });
    await fleet.run(100);
  }
  const kinds: string[] = [];
  for (const daemon of fleet.daemons.slice(0, 2)) {
    daemon.quarantine?.admit([SHARED], ({ kind }) => {
      kinds.push(kind);
    });
    await fleet.run(200);
  }
  t.deepEqual(kinds, ['admitted', 'refused']);
});

const STORMS: readonly {
  /** Share of the requests that are not held back during the storm. */
  readonly minShareMeanwhile: number;
  readonly name: string;
  /** Time after the storm from which everything is served. */
  readonly recoveryMs: number;
  readonly step: (servers: CrashingServers, atMs: number) => void;
}[] = [
  {
    minShareMeanwhile: MIN_SERVED_SHARE,
    name: 'half of the servers at once, again and again',
    recoveryMs: STABLE_WINDOW_MS,
    step: (servers, atMs) => {
      if (atMs % 2_500 === 0) {
        servers.crashShare(0.5);
      }
    },
  },
  {
    minShareMeanwhile: MIN_SERVED_SHARE,
    name: 'all servers at once, again and again',
    recoveryMs: STABLE_WINDOW_MS,
    step: (servers, atMs) => {
      if (atMs % 5_000 === 0) {
        servers.crashShare(1);
      }
    },
  },
  {
    minShareMeanwhile: MIN_SERVED_SHARE,
    name: 'one server after the other',
    recoveryMs: STABLE_WINDOW_MS,
    step: (servers, atMs) => {
      if (atMs % 300 === 0) {
        servers.crashShare(0.01);
      }
    },
  },
  {
    minShareMeanwhile: MIN_SERVED_SHARE,
    name: 'half of the servers at once, while five requests with one part were sent at once',
    recoveryMs: STABLE_WINDOW_MS,
    step: (servers, atMs) => {
      if (atMs % 2_500 === 2_200) {
        const own = toId<FingerprintId>(`part document ${Math.floor(atMs / 2_500)}`);
        Array.from({ length: 5 }).forEach(() => {
          servers.request([SHARED, own]);
        });
      } else if (atMs % 2_500 === 2_400) {
        servers.crashShare(0.5);
      }
    },
  },
  {
    minShareMeanwhile: 0,
    name: 'all servers, always before an answer is complete',
    // The second trial of a confirmed fingerprint comes 20 s after the first.
    recoveryMs: 25_000,
    step: (servers, atMs) => {
      if (atMs % 2_500 === 2_300) {
        servers.crashShare(1);
      }
    },
  },
];

for (const { minShareMeanwhile, name, recoveryMs, step } of STORMS) {
  test.serial(
    `servers that end for other reasons do not hold back what ran there: ${name}`,
    async (t) => {
      const { fleet, servers } = await startFleet(t, SMALL);
      await play(fleet, servers, 3_000, { badPerS: 0 });
      const startedMs = fleet.clock.nowMs();
      await play(fleet, servers, 20_000, {
        badPerS: 0,
        onStep: (_fleet, atMs) => {
          step(servers, atMs);
        },
      });
      const overMs = fleet.clock.nowMs();
      const share = servers.servedShare(startedMs);
      t.true(share >= minShareMeanwhile, `${share} were not refused during the storm`);
      await play(fleet, servers, recoveryMs + 5_000, { badPerS: 0 });
      t.is(servers.servedShare(overMs + recoveryMs), 1);
    },
  );
}
