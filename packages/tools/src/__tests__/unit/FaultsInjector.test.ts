import test from 'ava';
import type { Deployment } from '../../deployment/Deployment.js';
import { FAULT_CASES } from '../../faults/FaultsInjector.js';
import { FaultsOracle } from '../../faults/FaultsOracle.js';
import type { FaultsRandom } from '../../faults/FaultsRandom.js';

/** Always draws the smallest number and the first value. */
const SMALLEST: FaultsRandom = {
  chance: () => false,
  int: (min) => min,
  pick: <T>(values: readonly T[]) => values[0] as T,
};

const ARMED_UNTIL_USED = [
  'engine preempts',
  'platform loses answers',
  'platform refuses',
  'service loses answers',
  'service refuses',
];

for (const name of ARMED_UNTIL_USED) {
  test(`nothing stays armed in the stand-in after the fault case: ${name}`, async (t) => {
    const faultKinds: unknown[] = [];
    const deployment = {
      fault: (_name: string, fault: { readonly kind: string }) => {
        faultKinds.push(fault.kind);
        return Promise.resolve();
      },
      options: { engines: [{ name: 'engine-1' }], services: [{ name: 'service-1' }] },
    } as unknown as Deployment;
    const context = {
      busy: new Set<string>(),
      deployment,
      oracle: new FaultsOracle(),
      random: SMALLEST,
    };
    await FAULT_CASES[name]?.(context);
    t.is(faultKinds.length, 2);
    t.is(faultKinds.at(-1), 'clear');
    t.is(context.busy.size, 0);
  });
}
