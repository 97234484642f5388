import { CONTRACT_PREFIX } from '@laburnumgap/contracts';
import type { ConfigFleet } from './ConfigFleet.js';
import { contractText } from './ConfigFleet.js';

/** Failure domains of the test fleets. */
export const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];

/** Team whose contract changes. */
export const TEAM = 'reports';

/** A fault and a change of the contract to version 2. */
export interface FaultScenario {
  /** Versions in force at the end, over all daemons; only version 2 by default. */
  readonly expected?: readonly number[];
  readonly name: string;
  readonly run: (fleet: ConfigFleet) => Promise<void> | void;
}

/** Faults under which a change has to be in force within the time limit. */
export const FAULT_SCENARIOS: readonly FaultScenario[] = [
  {
    name: 'nothing fails',
    run: (fleet) => {
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'every watch of the store stalls without ending',
    run: (fleet) => {
      fleet.store.stallWatches();
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'every watch ends',
    run: (fleet) => {
      fleet.store.endWatches();
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'a failure domain loses its connection to the store',
    run: (fleet) => {
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-a'))
        .forEach((id) => fleet.store.disconnectedClients.add(id));
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'only one failure domain reaches the store',
    run: (fleet) => {
      fleet.daemons.forEach((_daemon, id) => fleet.store.disconnectedClients.add(id));
      fleet.store.disconnectedClients.delete('zone-b-0');
      fleet.store.disconnectedClients.delete('zone-b-1');
      fleet.store.disconnectedClients.delete('zone-b-2');
      fleet.store.disconnectedClients.delete('zone-b-3');
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'the links between failure domains are cut',
    run: (fleet) => {
      fleet.cutLinks((from, to) => from.slice(0, 6) !== to.slice(0, 6));
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'every link between daemons is cut, so that they read the store',
    run: (fleet) => {
      fleet.cutLinks(() => true);
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'every link between daemons stays open but delivers nothing',
    run: (fleet) => {
      fleet.cutLinks(() => true, true);
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'a failure domain loses the store, and the links to it stay open but deliver nothing',
    run: (fleet) => {
      fleet.cutLinks((_from, to) => to.startsWith('zone-b'), true);
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-b'))
        .forEach((id) => fleet.store.disconnectedClients.add(id));
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'open streams deliver nothing, new streams work, and a failure domain loses the store',
    run: async (fleet) => {
      fleet.cutLinks(() => true, true);
      await fleet.advance(2_000);
      fleet.restoreLinks();
      [...fleet.daemons.keys()]
        .filter((id) => id.startsWith('zone-a'))
        .forEach((id) => fleet.store.disconnectedClients.add(id));
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'two daemons of each failure domain crash and stay listed',
    run: (fleet) => {
      DOMAINS.forEach((domain) => {
        fleet.kill(`${domain}-0`);
        fleet.kill(`${domain}-1`);
      });
      fleet.acceptVersion(TEAM, 2);
    },
  },
  {
    name: 'reads lag behind, watches end, and a daemon starts',
    run: async (fleet) => {
      fleet.acceptVersion(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.lagChanges = 1;
      fleet.store.endWatches();
      fleet.start('zone-a-9', 'zone-a');
    },
  },
  {
    name: 'the store is down when a change is accepted and recovers later',
    run: async (fleet) => {
      fleet.store.isDown = true;
      fleet.acceptVersion(TEAM, 2);
      await fleet.advance(60_000);
      fleet.store.isDown = false;
    },
  },
  {
    name: 'a daemon starts while the store is down and follows peers from the directory',
    run: async (fleet) => {
      fleet.acceptVersion(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.isDown = true;
      fleet.start('zone-a-9', 'zone-a');
    },
  },
  {
    name: 'a daemon starts while the store is down and follows the seed peers of its settings',
    run: async (fleet) => {
      fleet.acceptVersion(TEAM, 2);
      await fleet.advance(1_000);
      fleet.store.isDown = true;
      fleet.start('zone-a-9', 'zone-a', { seeds: ['gone', 'zone-b-2'], unlisted: true });
    },
  },
  {
    name: 'a daemon that reaches neither store nor peers keeps the last version',
    run: (fleet) => {
      fleet.store.disconnectedClients.add('zone-a-0');
      fleet.cutLinks((from, to) => from === 'zone-a-0' || to === 'zone-a-0');
      fleet.acceptVersion(TEAM, 2);
    },
    expected: [1, 2],
  },
  {
    name: 'invalid content is written without laburnumctl',
    run: (fleet) => {
      fleet.acceptVersion(TEAM, 2);
      fleet.store.put(`${CONTRACT_PREFIX}${TEAM}`, 'team: [', false);
    },
  },
  {
    name: 'valid content is written without laburnumctl while the watches work',
    run: (fleet) => {
      fleet.store.put(`${CONTRACT_PREFIX}${TEAM}`, contractText(TEAM, 2), false);
    },
  },
];
