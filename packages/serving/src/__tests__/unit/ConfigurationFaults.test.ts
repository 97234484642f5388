import test from 'ava';
import fc from 'fast-check';
import type { SimulatedDaemon } from '../SimulatedFleet.js';
import { SimulatedFleet } from '../SimulatedFleet.js';

/** Time within which a version is in force, as the users state it for small deployments. */
const APPLY_MS = 2_000;
/**
 * Time between the starts of two faults. Daemons that take over from failed watchers and fail as well
 * within the time for a version can delay it beyond.
 */
const FAULT_INTERVAL_MS = 3_000;
/** Time in which faults end and the last versions are due. */
const END_MS = 8_000;

type FaultKind = 'cutOff' | 'powerOff' | 'storeRefuses' | 'storeSilent';
type FaultTarget = 'relays' | 'third' | 'watchers';

interface Step {
  readonly durationMs: number;
  readonly kind: FaultKind | 'compactHistory' | 'publish';
  readonly target: FaultTarget;
  readonly waitMs: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  durationMs: fc.integer({ max: 5_000, min: 300 }),
  kind: fc.oneof(
    { arbitrary: fc.constant('publish' as const), weight: 4 },
    { arbitrary: fc.constant('compactHistory' as const), weight: 1 },
    {
      arbitrary: fc.constantFrom<FaultKind>('cutOff', 'powerOff', 'storeRefuses', 'storeSilent'),
      weight: 4,
    },
  ),
  target: fc.constantFrom<FaultTarget>('relays', 'third', 'watchers'),
  waitMs: fc.oneof(fc.integer({ max: 20, min: 0 }), fc.integer({ max: 1_500, min: 0 })),
});

function selectTargets(fleet: SimulatedFleet, target: FaultTarget): readonly SimulatedDaemon[] {
  switch (target) {
    case 'relays':
      return fleet.daemons.filter(({ address }) => /^d[12]-00[12]$/.test(address.memberId));
    case 'third':
      return fleet.daemons.filter((_, index) => index % 3 === 0);
    case 'watchers':
      return fleet.watchers();
  }
}

/** Starts a fault at daemons that have none, and ends it after its duration. */
function injectFault(fleet: SimulatedFleet, kind: FaultKind, { durationMs, target }: Step): void {
  const daemons = selectTargets(fleet, target).filter((daemon) => !daemon.isDisturbed());
  for (const daemon of daemons) {
    switch (kind) {
      case 'cutOff':
        daemon.cutOffFrom(fleet.daemons);
        break;
      case 'powerOff':
        daemon.powerOff();
        break;
      case 'storeRefuses':
        daemon.setStoreAccess('refuses');
        break;
      case 'storeSilent':
        daemon.setStoreAccess('silent');
    }
    setTimeout(() => {
      daemon.recover();
    }, durationMs);
  }
}

for (const { daemonsPerDomain, domains } of [
  { daemonsPerDomain: 2, domains: 3 },
  { daemonsPerDomain: 5, domains: 4 },
]) {
  const count = daemonsPerDomain * domains;
  test.serial(
    `${count} daemons follow every version in time under single faults in any order`,
    async (t) => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 30, minLength: 20 }), async (steps) => {
          const fleet = await SimulatedFleet.start({
            applyMs: APPLY_MS,
            daemonsPerDomain,
            domains,
          });
          let nextFaultMs = 0;
          for (const one of steps) {
            const nowMs = fleet.clock.nowMs();
            if (one.kind === 'publish') {
              fleet.publish();
            } else if (one.kind === 'compactHistory') {
              fleet.store.compactHistory();
            } else if (nowMs >= nextFaultMs) {
              nextFaultMs = nowMs + FAULT_INTERVAL_MS;
              injectFault(fleet, one.kind, one);
            }
            await fleet.run(one.waitMs);
          }
          await fleet.run(END_MS);
          fleet.stop();
          const [first] = fleet.late;
          if (first) {
            throw new Error(`late: ${JSON.stringify(first)}`);
          }
          const reverted = fleet.daemons.filter((daemon) => !daemon.hasOnlyAdvanced());
          if (reverted.length > 0) {
            throw new Error(
              `reverted: ${reverted.map(({ address }) => address.memberId).join(' ')}`,
            );
          }
        }),
        { endOnFailure: true, includeErrorInReport: true, numRuns: 40, seed: 28 },
      );
      t.pass();
    },
  );
}
