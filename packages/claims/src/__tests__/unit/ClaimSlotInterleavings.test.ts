import test from 'ava';
import fc from 'fast-check';
import type { StoreFault, TestClock } from '../utils/ClaimTestLedger.js';
import { ClaimTestLedger } from '../utils/ClaimTestLedger.js';
import { ClaimBaselineLedger } from '../utils/ClaimBaselineLedger.js';
import { ClaimTestStore } from '../utils/ClaimTestStore.js';
import type { Violation, SimulationEvent, SimulatedLedger } from '../utils/ClaimSimulation.js';
import { ClaimSimulation, SIMULATION_START_MS } from '../utils/ClaimSimulation.js';

const SEED = 20261203;
const RUNS = 2_000;
const LEDGERS = 3;
const SETTINGS = {
  backoffMinMs: 10,
  clockAllowanceMs: 50,
  futureLimitMs: 1_000,
  retentionMs: 1_000,
  segmentFillBytes: 300,
};

const OTHER_KINDS: SimulationEvent['kind'][] = [
  'proceed',
  'claim',
  'resubmitClaim',
  'applyLateCommit',
  'advanceClock',
  'restart',
  'wake',
];
const FAULTS: StoreFault[] = ['lateApply', 'loseAnswer', 'none', 'unavailable'];

const eventArbitrary: fc.Arbitrary<SimulationEvent> = fc.record({
  callIndex: fc.nat(8),
  fault: fc.oneof(
    { arbitrary: fc.constant<StoreFault>('none'), weight: 2 },
    { arbitrary: fc.constantFrom(...FAULTS), weight: 1 },
  ),
  keyIndex: fc.nat(2),
  kind: fc.oneof(
    { arbitrary: fc.constant<SimulationEvent['kind']>('answerStoreCall'), weight: 7 },
    { arbitrary: fc.constantFrom(...OTHER_KINDS), weight: 7 },
    {
      arbitrary: fc.constantFrom<SimulationEvent['kind']>('proceed', 'proceed', 'claim'),
      weight: 9,
    },
  ),
  ledgerIndex: fc.nat(LEDGERS - 1),
  passedMs: fc.constantFrom(1, 20, 20, 20, 300, 1_200),
  succeeds: fc.nat(3).map((draw) => draw > 0),
});

function runSimulation(
  events: readonly SimulationEvent[],
  createLedger: (
    clock: TestClock,
    store: ClaimTestStore,
    index: number,
    writer: string,
  ) => SimulatedLedger,
): { sentKeys: number; violation: Violation } {
  const clock = { epochMs: SIMULATION_START_MS, monotonicMs: 0 };
  const store = new ClaimTestStore();
  const simulation = new ClaimSimulation(clock, LEDGERS, (index, writer) =>
    createLedger(clock, store, index, writer),
  );
  const violation = simulation.run(events);
  return { sentKeys: simulation.sentCalls.size, violation };
}

function atMostOnceProperty(skewsMs: readonly number[], onSentKeys: (sentKeys: number) => void) {
  return fc.property(fc.array(eventArbitrary, { maxLength: 120, minLength: 40 }), (events) => {
    const { sentKeys, violation } = runSimulation(events, (clock, store, index, writer) => {
      return new ClaimTestLedger(store, clock, writer, SETTINGS, skewsMs[index]);
    });
    onSentKeys(sentKeys);
    if (violation !== undefined) {
      throw new Error(violation);
    }
  });
}

test('no order of events runs a key twice, with synchronized clocks', (t) => {
  let sentKeys = 0;
  fc.assert(
    atMostOnceProperty([0, 0, 0], (count) => (sentKeys += count)),
    { numRuns: RUNS, seed: SEED },
  );
  t.true(sentKeys > RUNS / 4, `calls were sent: ${sentKeys}`);
});

test('no order of events runs a key twice, however far clocks differ', (t) => {
  let sentKeys = 0;
  fc.assert(
    atMostOnceProperty([0, -700, 900], (count) => (sentKeys += count)),
    { numRuns: RUNS, seed: SEED },
  );
  t.true(sentKeys > RUNS / 4, `calls were sent: ${sentKeys}`);
});

test('a claim table in the memory of each ledger runs a key twice', (t) => {
  const baselineProperty = fc.property(fc.array(eventArbitrary, { maxLength: 120 }), (events) => {
    const { violation } = runSimulation(events, () => new ClaimBaselineLedger());
    return violation === undefined;
  });
  const result = fc.check(baselineProperty, { numRuns: RUNS, seed: SEED });
  t.true(result.failed);
  t.snapshot(
    result.counterexample?.[0].map(({ kind, ledgerIndex }) => `${kind} at ledger ${ledgerIndex}`),
    'shortest order found',
  );
});
