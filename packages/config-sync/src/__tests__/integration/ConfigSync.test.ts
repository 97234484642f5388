import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import test from 'ava';
import * as fc from 'fast-check';
import { appendVersion } from '../../index.js';
import { ConfigFleet, contractText } from '../helpers/ConfigFleet.js';

/** The promise: in force everywhere within this time of the fake clock. */
const IN_FORCE_BOUND_MS = 8_000;
const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];
const TEAM = 'reports';

const fleetOf = async (perDomain: number, domains = DOMAINS): Promise<ConfigFleet> => {
  const fleet = new ConfigFleet(() => 0.5);
  fleet.accept(TEAM, 1);
  for (const domain of domains) {
    for (let place = 0; place < perDomain; place += 1) {
      fleet.start(`${domain}-${place}`, domain);
    }
  }
  await fleet.advance(3_000);
  return fleet;
};

const versions = (fleet: ConfigFleet): number[] => [
  ...new Set([...fleet.daemons.keys()].map((id) => fleet.versionAt(id, TEAM))),
];

interface Fault {
  /** Versions in force at the end; all daemons at version 2 unless told otherwise. */
  readonly expected?: readonly number[];
  readonly name: string;
  readonly run: (fleet: ConfigFleet) => Promise<void> | void;
}

const FAULTS: readonly Fault[] = [
  {
    name: 'nothing fails',
    run: (fleet) => {
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'every watch of the store has gone silent',
    run: (fleet) => {
      fleet.store.silenceWatches();
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'every watch ends',
    run: (fleet) => {
      fleet.store.endWatches();
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'a failure domain is cut off from the store',
    run: (fleet) => {
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-a'))
        .forEach((id) => fleet.store.cutOff.add(id));
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'only one failure domain reaches the store',
    run: (fleet) => {
      fleet.daemons.forEach((_daemon, id) => fleet.store.cutOff.add(id));
      fleet.store.cutOff.delete('zone-b-0');
      fleet.store.cutOff.delete('zone-b-1');
      fleet.store.cutOff.delete('zone-b-2');
      fleet.store.cutOff.delete('zone-b-3');
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'the links between failure domains are cut',
    run: (fleet) => {
      fleet.cut((from, to) => from.slice(0, 6) !== to.slice(0, 6));
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'every link between daemons is cut: the store is asked instead',
    run: (fleet) => {
      fleet.cut(() => true);
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'every link between daemons is open and silent',
    run: (fleet) => {
      fleet.cut(() => true, true);
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'the links into one failure domain are silent and it is cut off from the store',
    run: (fleet) => {
      fleet.cut((_from, to) => to.startsWith('zone-b'), true);
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-b'))
        .forEach((id) => fleet.store.cutOff.add(id));
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'streams have gone silent for good, new ones work, a failure domain is cut off the store',
    run: async (fleet) => {
      fleet.cut(() => true, true);
      await fleet.advance(2_000);
      fleet.heal();
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-a'))
        .forEach((id) => fleet.store.cutOff.add(id));
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'two daemons of each failure domain die and stay listed',
    run: (fleet) => {
      DOMAINS.forEach((domain) => {
        fleet.kill(`${domain}-0`);
        fleet.kill(`${domain}-1`);
      });
      fleet.accept(TEAM, 2);
    },
  },
  {
    name: 'reads lag behind, watches end, and a daemon starts',
    run: async (fleet) => {
      fleet.accept(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.lagChanges = 1;
      fleet.store.endWatches();
      fleet.start('zone-a-9', 'zone-a');
    },
  },
  {
    name: 'the store is down during the change and back after it',
    run: async (fleet) => {
      fleet.store.isDown = true;
      fleet.accept(TEAM, 2);
      await fleet.advance(60_000);
      fleet.store.isDown = false;
    },
  },
  {
    name: 'a daemon starts while the store is down and asks peers from the directory',
    run: async (fleet) => {
      fleet.accept(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.isDown = true;
      fleet.start('zone-a-9', 'zone-a');
    },
  },
  {
    name: 'a daemon starts while the store is down and asks the peers of its settings',
    run: async (fleet) => {
      fleet.accept(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.isDown = true;
      fleet.start('zone-a-9', 'zone-a', { seeds: ['gone', 'zone-b-2'], unlisted: true });
    },
  },
  {
    name: 'a daemon that reaches neither store nor peers keeps the last',
    run: (fleet) => {
      fleet.store.cutOff.add('zone-a-0');
      fleet.cut((from, to) => from === 'zone-a-0' || to === 'zone-a-0');
      fleet.accept(TEAM, 2);
    },
    expected: [1, 2],
  },
  {
    name: 'invalid content is written past the tool',
    run: (fleet) => {
      fleet.accept(TEAM, 2);
      fleet.store.put(`${CONTRACT_PREFIX}${TEAM}`, 'team: [', false);
    },
  },
  {
    name: 'valid content is written past the tool while the watches work',
    run: (fleet) => {
      fleet.store.put(`${CONTRACT_PREFIX}${TEAM}`, contractText(TEAM, 2), false);
    },
  },
];

for (const { expected = [2], name, run } of FAULTS) {
  test(`in force within the bound: ${name}`, async (t) => {
    const fleet = await fleetOf(4);
    t.deepEqual(versions(fleet), [1]);
    const before = new Map([...fleet.daemons.keys()].map((id) => [id, fleet.revisionAt(id) ?? 0]));
    await run(fleet);
    await fleet.advance(IN_FORCE_BOUND_MS, () => {
      for (const id of fleet.daemons.keys()) {
        const now = fleet.revisionAt(id) ?? 0;
        t.true(now >= (before.get(id) ?? 0), `${id} went back`);
        before.set(id, now);
      }
    });
    t.deepEqual(versions(fleet).sort(), expected);
  });
}

test('the store hears of few daemons of a large fleet, also after it was away', async (t) => {
  const domains = ['a', 'b', 'c', 'd', 'e', 'f'];
  const fleet = await fleetOf(55, domains);
  fleet.accept(TEAM, 2);
  await fleet.advance(15_000);
  t.deepEqual(versions(fleet), [2]);
  t.is(fleet.store.watchCount, 12);

  const quiet = fleet.store.calls;
  await fleet.advance(60_000);
  const callsPerMinute = fleet.store.calls - quiet;
  t.log(`calls of 330 daemons in a quiet minute: ${callsPerMinute}`);
  t.true(callsPerMinute <= 12 * 31);

  fleet.store.isDown = true;
  await fleet.advance(120_000);
  const down = fleet.store.calls;
  fleet.store.isDown = false;
  await fleet.advance(10_000);
  t.log(`calls in the 10 s after an outage of 120 s: ${fleet.store.calls - down}`);
  t.true(fleet.store.calls - down <= 330 * 3);
  t.is(fleet.store.watchCount, 12);
});

test('a failure domain that starts anew takes the configuration from peers, not from the store', async (t) => {
  const fleet = await fleetOf(55, ['a', 'b', 'c']);
  const restarted = [...fleet.daemons.keys()].filter((id) => id.startsWith('a-'));
  restarted.forEach((id) => {
    fleet.kill(id, false);
  });
  await fleet.advance(1_000);
  const before = fleet.store.fullReads;
  restarted.forEach((id) => {
    fleet.start(id, 'a', { blind: true });
  });
  await fleet.advance(500);
  fleet.showMembers();
  await fleet.advance(IN_FORCE_BOUND_MS);
  t.deepEqual(versions(fleet), [1]);
  t.log(
    `full reads of the store by ${restarted.length} daemons: ${fleet.store.fullReads - before}`,
  );
  t.true(fleet.store.fullReads - before <= 4);
});

test('a fresh fleet recovers the last accepted version of a contract spoilt past the tool', async (t) => {
  const fleet = new ConfigFleet(() => 0.5);
  fleet.accept(TEAM, 1);
  const accepted = {
    acceptedAtEpochMs: 1,
    changeId: 'c',
    operator: 'op',
    replacedRevision: 2,
    text: contractText(TEAM, 2),
  };
  fleet.store.put(`${HISTORY_PREFIX}${TEAM}`, appendVersion({ versions: [] }, accepted));
  fleet.store.put(`${CONTRACT_PREFIX}${TEAM}`, 'team: [', false);
  DOMAINS.forEach((domain) => {
    fleet.start(domain, domain);
  });
  await fleet.advance(IN_FORCE_BOUND_MS);
  t.deepEqual(versions(fleet), [2]);
  t.true(fleet.lines.some((line) => line.includes('configKeptOut')));
});

test('nothing that follows a malformed message on its stream is taken', async (t) => {
  const fleet = await fleetOf(3);
  fleet.store.isDown = true;
  let malformed = 0;
  fleet.corrupt = (batch, link) => {
    const isFirst = link.startsWith('zone-a-9>') && (batch.entries?.length ?? 0) > 0;
    malformed += isFirst ? 1 : 0;
    return isFirst && malformed <= 2
      ? { ...batch, entries: [{ deleted: false, key: 'k', modRevision: -1, value: '' }] }
      : batch;
  };
  fleet.start('zone-a-9', 'zone-a');
  await fleet.advance(5_000);
  t.true(malformed >= 2);
  t.true(fleet.lines.some((line) => line.includes('configBatchRefused')));
  await fleet.advance(15_000);
  t.is(fleet.versionAt('zone-a-9', TEAM), 1);
});

test('under random faults nothing goes back, and all agree once the faults are over', async (t) => {
  const step = fc.constantFrom(
    'accept',
    'cutDomain',
    'cutStore',
    'heal',
    'kill',
    'lag',
    'restart',
    'silence',
    'storeDown',
    'wait',
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 14 }), fc.nat(2), async (steps, zone) => {
      const fleet = await fleetOf(3);
      let version = 1;
      const domain = DOMAINS[zone] ?? '';
      const actions: Record<string, () => void> = {
        accept: () => {
          version += 1;
          fleet.accept(TEAM, version);
        },
        cutDomain: () => {
          fleet.cut((from, to) => from.startsWith(domain) !== to.startsWith(domain));
        },
        cutStore: () => {
          fleet.daemons.forEach(
            (_daemon, id) => id.startsWith(domain) && fleet.store.cutOff.add(id),
          );
        },
        heal: () => {
          fleet.heal();
          fleet.store.cutOff.clear();
          fleet.store.isDown = false;
          fleet.store.lagChanges = 0;
        },
        kill: () => {
          fleet.kill(`${domain}-1`);
        },
        lag: () => {
          fleet.store.lagChanges = 1;
        },
        restart: () => {
          fleet.kill(`${domain}-0`, false);
          fleet.start(`${domain}-0`, domain);
        },
        silence: () => {
          fleet.store.silenceWatches();
          fleet.cut((from) => from.startsWith(domain), true);
        },
        storeDown: () => {
          fleet.store.isDown = true;
        },
        wait: () => undefined,
      };
      const seen = new Map<string, number>();
      const check = (): void => {
        fleet.daemons.forEach(({ member }, id) => {
          const now = fleet.versionAt(id, TEAM);
          if (now < (seen.get(member.incarnation) ?? 0)) {
            throw new Error(`${id} went back to version ${now}`);
          }
          seen.set(member.incarnation, now);
        });
      };
      for (const name of steps) {
        actions[name]?.();
        await fleet.advance(2_000, check);
      }
      actions.heal?.();
      await fleet.advance(IN_FORCE_BOUND_MS + 10_000, check);
      return versions(fleet).length === 1 && versions(fleet)[0] === version;
    }),
    { numRuns: 25 },
  );
  t.pass();
});
