import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import test from 'ava';
import * as fc from 'fast-check';
import { appendVersion } from '../../index.js';
import { DOMAINS, FAULT_SCENARIOS, TEAM } from '../helpers/ConfigFaults.js';
import { ConfigFleet, contractText } from '../helpers/ConfigFleet.js';

/** Time on the fake clock within which a change has to be in force at every daemon. */
const MAX_PROPAGATION_MS = 8_000;

const startFleet = async (perDomain: number, domains = DOMAINS): Promise<ConfigFleet> => {
  const fleet = new ConfigFleet(() => 0.5);
  fleet.acceptVersion(TEAM, 1);
  for (const domain of domains) {
    for (let index = 0; index < perDomain; index += 1) {
      fleet.start(`${domain}-${index}`, domain);
    }
  }
  await fleet.advance(3_000);
  return fleet;
};

const versions = (fleet: ConfigFleet): number[] => [
  ...new Set([...fleet.daemons.keys()].map((id) => fleet.versionAt(id, TEAM))),
];

for (const { expected = [2], name, run } of FAULT_SCENARIOS) {
  test(`in force within the time limit: ${name}`, async (t) => {
    const fleet = await startFleet(4);
    t.deepEqual(versions(fleet), [1]);
    const before = new Map([...fleet.daemons.keys()].map((id) => [id, fleet.revisionAt(id) ?? 0]));
    await run(fleet);
    await fleet.advance(MAX_PROPAGATION_MS, () => {
      for (const id of fleet.daemons.keys()) {
        const now = fleet.revisionAt(id) ?? 0;
        t.true(now >= (before.get(id) ?? 0), `revision of ${id} decreased`);
        before.set(id, now);
      }
    });
    t.deepEqual(versions(fleet).sort(), expected);
  });
}

test('few daemons of a large fleet call the store, even after an outage', async (t) => {
  const domains = ['a', 'b', 'c', 'd', 'e', 'f'];
  const fleet = await startFleet(55, domains);
  fleet.acceptVersion(TEAM, 2);
  await fleet.advance(15_000);
  t.deepEqual(versions(fleet), [2]);
  t.is(fleet.store.watchCount, 12);

  const callsBefore = fleet.store.callCount;
  await fleet.advance(60_000);
  const callsPerMinute = fleet.store.callCount - callsBefore;
  t.log(`calls of 330 daemons in a quiet minute: ${callsPerMinute}`);
  t.true(callsPerMinute <= 12 * 31);

  fleet.store.isDown = true;
  await fleet.advance(120_000);
  const callsBeforeRecovery = fleet.store.callCount;
  fleet.store.isDown = false;
  await fleet.advance(10_000);
  t.log(
    `calls in the 10 s after an outage of 120 s: ${fleet.store.callCount - callsBeforeRecovery}`,
  );
  t.true(fleet.store.callCount - callsBeforeRecovery <= 330 * 3);
  t.is(fleet.store.watchCount, 12);
});

test('a restarted failure domain gets the configuration from peers, not from the store', async (t) => {
  const fleet = await startFleet(55, ['a', 'b', 'c']);
  const restarted = [...fleet.daemons.keys()].filter((id) => id.startsWith('a-'));
  restarted.forEach((id) => {
    fleet.kill(id, false);
  });
  await fleet.advance(1_000);
  const before = fleet.store.fullReadCount;
  restarted.forEach((id) => {
    fleet.start(id, 'a', { withoutMembers: true });
  });
  await fleet.advance(500);
  fleet.showMembers();
  await fleet.advance(MAX_PROPAGATION_MS);
  t.deepEqual(versions(fleet), [1]);
  t.log(
    `full reads of the store by ${restarted.length} daemons: ${fleet.store.fullReadCount - before}`,
  );
  t.true(fleet.store.fullReadCount - before <= 4);
});

test('a new fleet recovers the last accepted version of a contract that was corrupted in the store', async (t) => {
  const fleet = new ConfigFleet(() => 0.5);
  fleet.acceptVersion(TEAM, 1);
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
  await fleet.advance(MAX_PROPAGATION_MS);
  t.deepEqual(versions(fleet), [2]);
  t.true(fleet.logLines.some((line) => line.includes('configKeptOut')));
});

test('messages after a malformed one on the same stream are ignored', async (t) => {
  const fleet = await startFleet(3);
  fleet.store.isDown = true;
  let malformedCount = 0;
  fleet.transformBatch = (batch, link) => {
    const isTarget = link.startsWith('zone-a-9>') && (batch.entries?.length ?? 0) > 0;
    malformedCount += isTarget ? 1 : 0;
    return isTarget && malformedCount <= 2
      ? { ...batch, entries: [{ deleted: false, key: 'k', modRevision: -1, value: '' }] }
      : batch;
  };
  fleet.start('zone-a-9', 'zone-a');
  await fleet.advance(5_000);
  t.true(malformedCount >= 2);
  t.true(fleet.logLines.some((line) => line.includes('configBatchRefused')));
  await fleet.advance(15_000);
  t.is(fleet.versionAt('zone-a-9', TEAM), 1);
});

test('under random faults no version decreases, and all daemons converge after the faults', async (t) => {
  const stepKind = fc.constantFrom(
    'accept',
    'cutDomain',
    'cutStore',
    'heal',
    'kill',
    'lag',
    'restart',
    'stall',
    'storeDown',
    'wait',
  );
  await fc.assert(
    fc.asyncProperty(fc.array(stepKind, { maxLength: 14 }), fc.nat(2), async (steps, zone) => {
      const fleet = await startFleet(3);
      let version = 1;
      const domain = DOMAINS[zone] ?? '';
      const actions: Record<string, () => void> = {
        accept: () => {
          version += 1;
          fleet.acceptVersion(TEAM, version);
        },
        cutDomain: () => {
          fleet.cutLinks((from, to) => from.startsWith(domain) !== to.startsWith(domain));
        },
        cutStore: () => {
          fleet.daemons.forEach(
            (_daemon, id) => id.startsWith(domain) && fleet.store.disconnectedClients.add(id),
          );
        },
        heal: () => {
          fleet.restoreLinks();
          fleet.store.disconnectedClients.clear();
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
        stall: () => {
          fleet.store.stallWatches();
          fleet.cutLinks((from) => from.startsWith(domain), true);
        },
        storeDown: () => {
          fleet.store.isDown = true;
        },
        wait: () => undefined,
      };
      const lastVersions = new Map<string, number>();
      const check = (): void => {
        fleet.daemons.forEach(({ member }, id) => {
          const now = fleet.versionAt(id, TEAM);
          if (now < (lastVersions.get(member.incarnation) ?? 0)) {
            throw new Error(`${id} returned to version ${now}`);
          }
          lastVersions.set(member.incarnation, now);
        });
      };
      for (const name of steps) {
        actions[name]?.();
        await fleet.advance(2_000, check);
      }
      actions.heal?.();
      await fleet.advance(MAX_PROPAGATION_MS + 10_000, check);
      return versions(fleet).length === 1 && versions(fleet)[0] === version;
    }),
    { numRuns: 25 },
  );
  t.pass();
});
