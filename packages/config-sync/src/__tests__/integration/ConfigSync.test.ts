import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import test from 'ava';
import * as fc from 'fast-check';
import { appendVersion } from '../../index.js';
import { DOMAINS, FAULTS, TEAM } from '../helpers/ConfigFaults.js';
import { ConfigFleet, contractText } from '../helpers/ConfigFleet.js';

/** The promise: in force everywhere within this time of the fake clock. */
const IN_FORCE_BOUND_MS = 8_000;

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
