import test from 'ava';
import fc from 'fast-check';
import type { SimulationEvent, SimulationOptions } from '../support/AuthoritySimulation.js';
import { AuthoritySimulation } from '../support/AuthoritySimulation.js';

const eventArbitrary = fc.record<SimulationEvent>({
  answerLost: fc.constantFrom(false, false, false, false, true),
  effectAtFraction: fc.constantFrom(0, 0.25, 0.5, 0.75, 1),
  elapsedMs: fc.oneof(
    { arbitrary: fc.integer({ max: 300, min: 0 }), weight: 8 },
    { arbitrary: fc.integer({ max: 30_000, min: 0 }), weight: 2 },
  ),
  holder: fc.nat({ max: 2 }),
  kind: fc.oneof(
    { arbitrary: fc.constant('step' as const), weight: 14 },
    { arbitrary: fc.constant('setTarget' as const), weight: 2 },
    { arbitrary: fc.constant('clearTarget' as const), weight: 1 },
    { arbitrary: fc.constant('restart' as const), weight: 1 },
  ),
  latencyMs: fc.oneof(
    { arbitrary: fc.integer({ max: 50, min: 0 }), weight: 4 },
    { arbitrary: fc.integer({ max: 60_000, min: 0 }), weight: 1 },
  ),
});
const eventsArbitrary = fc.array(eventArbitrary, { maxLength: 200, minLength: 100, size: 'max' });

const FENCING_SUPPORT = {
  'engines that check fencing numbers': true,
  'engines that ignore fencing numbers': false,
} as const;

function runEvents(events: readonly SimulationEvent[], options: SimulationOptions) {
  const simulation = new AuthoritySimulation(options);
  for (const event of events) {
    simulation.handle(event);
  }
  return simulation;
}

for (const [name, checksFencingNumbers] of Object.entries(FENCING_SUPPORT)) {
  test(`${name}: an order is never applied after a newer one`, (t) => {
    let applied = 0;
    const property = fc.property(eventsArbitrary, (events) => {
      const options = { checksFencingNumbers, holders: 3, usesPlainLock: false };
      const simulation = runEvents(events, options);
      applied += simulation.applied.length;
      return !simulation.hadStaleOrder;
    });
    t.notThrows(() => {
      fc.assert(property, { numRuns: 2000, seed: 71 });
    });
    t.log(`${applied} orders applied`);
    t.true(applied > 1000);
  });

  test(`${name}: the target of the last holder is applied`, (t) => {
    const property = fc.property(eventsArbitrary, (events) => {
      const simulation = runEvents(events, {
        checksFencingNumbers,
        holders: 3,
        usesPlainLock: false,
      });
      const [last, ...others] = simulation.holders;
      if (!last) {
        return false;
      }
      others.forEach((other) => other.authority.setTarget(undefined));
      const targetModel = simulation.setNextTarget(last);
      for (let step = 0; step < 200; step += 1) {
        simulation.handle({
          answerLost: false,
          effectAtFraction: 0.5,
          elapsedMs: 1000,
          holder: 0,
          kind: 'step',
          latencyMs: 10,
        });
      }
      return simulation.models[0] === targetModel && !simulation.hadStaleOrder;
    });
    t.notThrows(() => {
      fc.assert(property, { numRuns: 300, seed: 72 });
    });
  });

  test(`${name}: a plain lock lets a stale order be applied`, (t) => {
    const property = fc.property(eventsArbitrary, (events) => {
      return !runEvents(events, { checksFencingNumbers, holders: 3, usesPlainLock: true })
        .hadStaleOrder;
    });
    const outcome = fc.check(property, { numRuns: 2000, seed: 71 });
    t.true(outcome.failed);
  });
}

const OLD_HOLDER = 0;
const NEW_HOLDER = 1;
const FAST_STEP: SimulationEvent = {
  answerLost: false,
  effectAtFraction: 0,
  elapsedMs: 10,
  holder: OLD_HOLDER,
  kind: 'step',
  latencyMs: 1,
};

function repeat(count: number, event: Partial<SimulationEvent>): readonly SimulationEvent[] {
  return Array.from({ length: count }, () => ({ ...FAST_STEP, ...event }));
}

/** Sets a target, reads state and record, and swaps; the next steps are a read and the order. */
function acquireAuthority(holder: number): readonly SimulationEvent[] {
  return [...repeat(1, { holder, kind: 'setTarget' }), ...repeat(3, { holder })];
}

/** An order times out at its sender, is repeated and answered; then the target changes. */
const REPEATED_ORDER: readonly SimulationEvent[] = [
  ...acquireAuthority(OLD_HOLDER),
  ...repeat(1, {}),
  ...repeat(1, { answerLost: true, effectAtFraction: 1, latencyMs: 10_000 }),
  ...repeat(1, { elapsedMs: 6000 }),
  ...repeat(2, {}),
  ...repeat(1, { kind: 'setTarget' }),
  ...repeat(300, { elapsedMs: 100 }),
];

for (const [name, checksFencingNumbers] of Object.entries(FENCING_SUPPORT)) {
  test(`${name}: a repeated order does not hide that the first one may still be applied`, (t) => {
    const options = { checksFencingNumbers, holders: 1, usesPlainLock: false };
    const simulation = runEvents(REPEATED_ORDER, options);
    t.deepEqual(
      simulation.applied.map((order) => order.targetNumber),
      [1, 1, 2],
    );
  });
}

/** A new authority of the same process finds its own record while an earlier order is in flight. */
const RETURNED_ENGINE: readonly SimulationEvent[] = [
  ...acquireAuthority(OLD_HOLDER),
  ...repeat(1, {}),
  ...repeat(1, { effectAtFraction: 1, latencyMs: 10_000 }),
  ...repeat(1, { kind: 'restart' }),
  ...repeat(1, { kind: 'setTarget' }),
  ...repeat(1200, { elapsedMs: 100 }),
];

for (const [name, checksFencingNumbers] of Object.entries(FENCING_SUPPORT)) {
  test(`${name}: an engine that returns to its former owner gets no stale order`, (t) => {
    const options = { checksFencingNumbers, holders: 1, usesPlainLock: false };
    const simulation = runEvents(RETURNED_ENGINE, options);
    t.false(simulation.hadStaleOrder);
    t.deepEqual(simulation.models, ['m2']);
  });
}

const TIMING_EDGE_CASES: Readonly<Record<string, readonly SimulationEvent[]>> = {
  'the old holder sends just before its authority expires and the order takes its whole timeout': [
    ...acquireAuthority(OLD_HOLDER),
    ...repeat(1, { holder: OLD_HOLDER }),
    ...acquireAuthority(NEW_HOLDER),
    ...repeat(1, { elapsedMs: 26_800, effectAtFraction: 1, holder: OLD_HOLDER, latencyMs: 30_000 }),
    ...repeat(400, { elapsedMs: 100, holder: NEW_HOLDER }),
  ],
  'the old holder is paused while the answer to its swap is in transit': [
    ...acquireAuthority(OLD_HOLDER).slice(0, 3),
    ...repeat(1, { holder: OLD_HOLDER, latencyMs: 60_000 }),
    ...acquireAuthority(NEW_HOLDER),
    ...repeat(600, { elapsedMs: 100, holder: NEW_HOLDER }),
    ...repeat(3, { holder: OLD_HOLDER }),
  ],
};

for (const [name, events] of Object.entries(TIMING_EDGE_CASES)) {
  test(`engines that ignore fencing numbers: ${name}`, (t) => {
    const options = { checksFencingNumbers: false, holders: 2, usesPlainLock: false };
    const simulation = runEvents(events, options);
    t.false(simulation.hadStaleOrder);
    t.true(simulation.applied.length > 0);
  });
}
