import test from 'ava';
import fc from 'fast-check';
import type { SimulationEvent, SimulationOptions } from '../support/AuthoritySimulation.js';
import { AuthoritySimulation } from '../support/AuthoritySimulation.js';

const eventArbitrary = fc.record<SimulationEvent>({
  answerLost: fc.constantFrom(false, false, false, false, true),
  effectShare: fc.constantFrom(0, 0.25, 0.5, 0.75, 1),
  elapsedMs: fc.oneof(
    { arbitrary: fc.integer({ max: 300, min: 0 }), weight: 8 },
    { arbitrary: fc.integer({ max: 30_000, min: 0 }), weight: 2 },
  ),
  holder: fc.nat({ max: 2 }),
  kind: fc.oneof(
    { arbitrary: fc.constant('step' as const), weight: 14 },
    { arbitrary: fc.constant('want' as const), weight: 2 },
    { arbitrary: fc.constant('unwant' as const), weight: 1 },
    { arbitrary: fc.constant('restart' as const), weight: 1 },
  ),
  latencyMs: fc.oneof(
    { arbitrary: fc.integer({ max: 50, min: 0 }), weight: 4 },
    { arbitrary: fc.integer({ max: 60_000, min: 0 }), weight: 1 },
  ),
});
const eventsArbitrary = fc.array(eventArbitrary, { maxLength: 200, minLength: 100, size: 'max' });

const POOLS = {
  'engines that check numbers': true,
  'engines that ignore numbers': false,
} as const;

function runEvents(events: readonly SimulationEvent[], options: SimulationOptions) {
  const simulation = new AuthoritySimulation(options);
  for (const event of events) {
    simulation.handle(event);
  }
  return simulation;
}

for (const [name, checksFencingNumbers] of Object.entries(POOLS)) {
  test(`${name}: an order is never in force after a newer one`, (t) => {
    let applied = 0;
    const property = fc.property(eventsArbitrary, (events) => {
      const options = { checksFencingNumbers, holders: 3, naive: false };
      const simulation = runEvents(events, options);
      applied += simulation.applied.length;
      return !simulation.hadStaleOrder;
    });
    t.notThrows(() => {
      fc.assert(property, { numRuns: 2000, seed: 71 });
    });
    t.log(`${applied} orders in force`);
    t.true(applied > 1000);
  });

  test(`${name}: what the last holder wants comes into force`, (t) => {
    const property = fc.property(eventsArbitrary, (events) => {
      const simulation = runEvents(events, { checksFencingNumbers, holders: 3, naive: false });
      const [last, ...others] = simulation.holders;
      if (!last) {
        return false;
      }
      others.forEach((other) => other.authority.setTarget(undefined));
      const wanted = simulation.want(last);
      for (let step = 0; step < 200; step += 1) {
        simulation.handle({
          answerLost: false,
          effectShare: 0.5,
          elapsedMs: 1000,
          holder: 0,
          kind: 'step',
          latencyMs: 10,
        });
      }
      return simulation.models[0] === wanted && !simulation.hadStaleOrder;
    });
    t.notThrows(() => {
      fc.assert(property, { numRuns: 300, seed: 72 });
    });
  });

  test(`${name}: a naive authority lets a stale order come into force`, (t) => {
    const property = fc.property(eventsArbitrary, (events) => {
      return !runEvents(events, { checksFencingNumbers, holders: 3, naive: true }).hadStaleOrder;
    });
    const outcome = fc.check(property, { numRuns: 2000, seed: 71 });
    t.true(outcome.failed);
  });
}

const OLD = 0;
const NEW = 1;
const PROMPT: SimulationEvent = {
  answerLost: false,
  effectShare: 0,
  elapsedMs: 10,
  holder: OLD,
  kind: 'step',
  latencyMs: 1,
};

function repeat(count: number, event: Partial<SimulationEvent>): readonly SimulationEvent[] {
  return Array.from({ length: count }, () => ({ ...PROMPT, ...event }));
}

/** Wants, reads the state and the record, and swaps: the next steps are a read and the order. */
function acquire(holder: number): readonly SimulationEvent[] {
  return [...repeat(1, { holder, kind: 'want' }), ...repeat(3, { holder })];
}

/** An order is given up, repeated and answered; then something else is wanted. */
const REPEATED_ORDER: readonly SimulationEvent[] = [
  ...acquire(OLD),
  ...repeat(1, {}),
  ...repeat(1, { answerLost: true, effectShare: 1, latencyMs: 10_000 }),
  ...repeat(1, { elapsedMs: 6000 }),
  ...repeat(2, {}),
  ...repeat(1, { kind: 'want' }),
  ...repeat(300, { elapsedMs: 100 }),
];

for (const [name, checksFencingNumbers] of Object.entries(POOLS)) {
  test(`${name}: a repeated order does not hide that the first may come into force`, (t) => {
    const options = { checksFencingNumbers, holders: 1, naive: false };
    const simulation = runEvents(REPEATED_ORDER, options);
    t.deepEqual(
      simulation.applied.map((order) => order.intent),
      [1, 1, 2],
    );
  });
}

/** A new authority of the same process finds its own record, and an order may be under way. */
const RETURNED_ENGINE: readonly SimulationEvent[] = [
  ...acquire(OLD),
  ...repeat(1, {}),
  ...repeat(1, { effectShare: 1, latencyMs: 10_000 }),
  ...repeat(1, { kind: 'restart' }),
  ...repeat(1, { kind: 'want' }),
  ...repeat(1200, { elapsedMs: 100 }),
];

for (const [name, checksFencingNumbers] of Object.entries(POOLS)) {
  test(`${name}: an engine that comes back to its owner gets no stale order`, (t) => {
    const options = { checksFencingNumbers, holders: 1, naive: false };
    const simulation = runEvents(RETURNED_ENGINE, options);
    t.false(simulation.hadStaleOrder);
    t.deepEqual(simulation.models, ['m2']);
  });
}

const LAST_MOMENTS: Readonly<Record<string, readonly SimulationEvent[]>> = {
  'the old holder sends at the end of its hold and its order takes its whole timeout': [
    ...acquire(OLD),
    ...repeat(1, { holder: OLD }),
    ...acquire(NEW),
    ...repeat(1, { elapsedMs: 26_800, effectShare: 1, holder: OLD, latencyMs: 30_000 }),
    ...repeat(400, { elapsedMs: 100, holder: NEW }),
  ],
  'the old holder was paused while the answer of its swap was on the way': [
    ...acquire(OLD).slice(0, 3),
    ...repeat(1, { holder: OLD, latencyMs: 60_000 }),
    ...acquire(NEW),
    ...repeat(600, { elapsedMs: 100, holder: NEW }),
    ...repeat(3, { holder: OLD }),
  ],
};

for (const [name, events] of Object.entries(LAST_MOMENTS)) {
  test(`engines that ignore numbers: ${name}`, (t) => {
    const options = { checksFencingNumbers: false, holders: 2, naive: false };
    const simulation = runEvents(events, options);
    t.false(simulation.hadStaleOrder);
    t.true(simulation.applied.length > 0);
  });
}
