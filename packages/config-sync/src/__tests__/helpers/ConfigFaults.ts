import { CONTRACT_PREFIX } from '@laburnumgap/contracts';
import type { ConfigFleet } from './ConfigFleet.js';
import { contractText } from './ConfigFleet.js';

/** Failure domains of the fleets under test. */
export const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];

/** Team whose contract changes. */
export const TEAM = 'reports';

/** A fault and a change of the contract to version 2. */
export interface Fault {
  /** Versions in force at the end; all daemons at version 2 unless told otherwise. */
  readonly expected?: readonly number[];
  readonly name: string;
  readonly run: (fleet: ConfigFleet) => Promise<void> | void;
}

/** Faults under which a change has to be in force within the bound. */
export const FAULTS: readonly Fault[] = [
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
