import test from 'ava';
import fc from 'fast-check';
import type { StoreFault, TestClock } from '../utils/ClaimTestLedger.js';
import { ClaimTestLedger } from '../utils/ClaimTestLedger.js';
import { ClaimNaiveLedger } from '../utils/ClaimNaiveLedger.js';
import { ClaimTestStore } from '../utils/ClaimTestStore.js';
import type { Violation, WorldEvent, WorldLedger } from '../utils/ClaimTestWorld.js';
import { ClaimTestWorld, WORLD_START_MS } from '../utils/ClaimTestWorld.js';

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

const KINDS: WorldEvent['kind'][] = ['act', 'ask', 'askAgain', 'late', 'pass', 'restart', 'wake'];
const FAULTS: StoreFault[] = ['lateApply', 'loseAnswer', 'none', 'unavailable'];

const eventArbitrary: fc.Arbitrary<WorldEvent> = fc.record({
  call: fc.nat(8),
  fault: fc.oneof(
    { arbitrary: fc.constant<StoreFault>('none'), weight: 2 },
    { arbitrary: fc.constantFrom(...FAULTS), weight: 1 },
  ),
  key: fc.nat(2),
  kind: fc.oneof(
    { arbitrary: fc.constant<WorldEvent['kind']>('step'), weight: 7 },
    { arbitrary: fc.constantFrom(...KINDS), weight: 7 },
    { arbitrary: fc.constantFrom<WorldEvent['kind']>('act', 'act', 'ask'), weight: 9 },
  ),
  ledger: fc.nat(LEDGERS - 1),
  passMs: fc.constantFrom(1, 20, 20, 20, 300, 1_200),
  sends: fc.nat(3).map((draw) => draw > 0),
});

function runWorld(
  events: readonly WorldEvent[],
  start: (clock: TestClock, store: ClaimTestStore, index: number, writer: string) => WorldLedger,
): { effects: number; violation: Violation } {
  const clock = { epochMs: WORLD_START_MS, monotonicMs: 0 };
  const store = new ClaimTestStore();
  const world = new ClaimTestWorld(clock, LEDGERS, (index, writer) =>
    start(clock, store, index, writer),
  );
  const violation = world.run(events);
  return { effects: world.effects.size, violation };
}

function property(skewsMs: readonly number[], onEffects: (effects: number) => void) {
  return fc.property(fc.array(eventArbitrary, { maxLength: 120, minLength: 40 }), (events) => {
    const { effects, violation } = runWorld(events, (clock, store, index, writer) => {
      return new ClaimTestLedger(store, clock, writer, SETTINGS, skewsMs[index]);
    });
    onEffects(effects);
    if (violation !== undefined) {
      throw new Error(violation);
    }
  });
}

test('no order of events runs a key twice, with clocks in step', (t) => {
  let effects = 0;
  fc.assert(
    property([0, 0, 0], (count) => (effects += count)),
    { numRuns: RUNS, seed: SEED },
  );
  t.true(effects > RUNS / 4, `calls did run: ${effects}`);
});

test('no order of events runs a key twice, however far clocks differ', (t) => {
  let effects = 0;
  fc.assert(
    property([0, -700, 900], (count) => (effects += count)),
    { numRuns: RUNS, seed: SEED },
  );
  t.true(effects > RUNS / 4, `calls did run: ${effects}`);
});

test('a claim table in the memory of each ledger runs a key twice', (t) => {
  const naive = fc.property(fc.array(eventArbitrary, { maxLength: 120 }), (events) => {
    const { violation } = runWorld(events, () => new ClaimNaiveLedger());
    return violation === undefined;
  });
  const result = fc.check(naive, { numRuns: RUNS, seed: SEED });
  t.true(result.failed);
  t.snapshot(
    result.counterexample?.[0].map(({ kind, ledger }) => `${kind} at ledger ${ledger}`),
    'shortest order found',
  );
});
