import test from 'ava';
import fc from 'fast-check';
import { toNumberId } from '@laburnumgap/kernel';
import type { BufferHolder, BufferHolderId, BufferHolderKind } from '../../index.js';
import { BufferBudget } from '../../index.js';

const MB = 1_048_576;
/** Memory limit of the smallest daemon. */
const MEMORY_BYTES = 178 * MB;
const CHUNK_BYTES = 65_536;
/** Time without reading after which servers cut off. */
const CUT_OFF_MS = 3_000;
/** Resident memory of a loaded daemon without buffered bytes. */
const OTHER_BYTES = 65 * MB;

function holderOf(number: number, kind: BufferHolderKind = 'caller'): BufferHolder {
  return { holderId: toNumberId<BufferHolderId>(number), kind };
}

function budgetOf(): BufferBudget {
  const budget = new BufferBudget({ memoryBytes: MEMORY_BYTES });
  budget.recordOtherMemory(OTHER_BYTES);
  return budget;
}

/**
 * Reads responses that nobody takes into the budget, in turns and for 3 s, after which servers cut off;
 * returns what was read.
 */
function readInTurns(
  budget: BufferBudget,
  holders: readonly BufferHolder[],
  responseBytes: number,
): readonly number[] {
  const readBytes = new Map(holders.map(({ holderId }) => [holderId, 0]));
  const open = new Map(holders.map((holder) => [holder.holderId, holder]));
  for (let nowMs = -CUT_OFF_MS; nowMs < 0; nowMs += 100) {
    budget.takeResumable(nowMs).forEach((holderId) => {
      const holder = holders.find((other) => other.holderId === holderId);
      open.set(holderId, holder ?? holderOf(holderId));
    });
    while (open.size > 0) {
      for (const [holderId, holder] of [...open]) {
        const bytes = readBytes.get(holderId) ?? 0;
        if (bytes >= responseBytes) {
          open.delete(holderId);
          continue;
        }
        readBytes.set(holderId, bytes + CHUNK_BYTES);
        if (budget.reserve(holder, CHUNK_BYTES, nowMs) === 'paused') {
          open.delete(holderId);
        }
      }
    }
  }
  return [...readBytes.values()];
}

function holdersOf(count: number): readonly BufferHolder[] {
  return Array.from({ length: count }, (_, index) => holderOf(index));
}

/** Fills the budget with readers that hold the same and have taken something at time 0. */
function fill(budget: BufferBudget, count: number): readonly BufferHolder[] {
  const holders = holdersOf(count);
  readInTurns(budget, holders, MEMORY_BYTES);
  holders.forEach(({ holderId }) => {
    budget.progress(holderId, CHUNK_BYTES, 0);
  });
  return holders;
}

function overdueIds(budget: BufferBudget, nowMs: number): readonly number[] {
  return budget.overdue(nowMs).map(({ holderId }) => holderId);
}

test('three responses of 24 MB to callers that read nothing fit', (t) => {
  const budget = budgetOf();
  const readBytes = readInTurns(budget, holdersOf(3), 24 * MB);
  t.deepEqual(readBytes, [24 * MB, 24 * MB, 24 * MB]);
  t.deepEqual(budget.overdue(5_500), []);
});

test('80 responses of 8 MB to callers that read nothing share the room equally', (t) => {
  const budget = budgetOf();
  const readBytes = readInTurns(budget, holdersOf(80), 8 * MB);
  const { heldBytes, limitBytes, usedBytes } = budget.summary();
  t.true(usedBytes <= limitBytes);
  t.true(heldBytes + OTHER_BYTES < MEMORY_BYTES);
  t.true(Math.max(...readBytes) - Math.min(...readBytes) <= CHUNK_BYTES);
  t.deepEqual(overdueIds(budget, 5_500), [], 'pausing was enough');
});

test('many streams with a few events each leave room for a large response', (t) => {
  const budget = budgetOf();
  for (let number = 100; number < 400; number += 1) {
    t.is(budget.reserve(holderOf(number), 16_384, 0), 'accepted');
  }
  t.deepEqual(readInTurns(budget, [holderOf(0)], 24 * MB), [24 * MB]);
});

test('readers above their fair share are paused first when room gets scarce', (t) => {
  const budget = budgetOf();
  const [large = holderOf(0), small = holderOf(1)] = holdersOf(2);
  for (let nowMs = 0; !budget.isScarce(); nowMs += 100) {
    budget.reserve(large, 16 * CHUNK_BYTES, nowMs);
  }
  t.is(budget.reserve(small, CHUNK_BYTES, CUT_OFF_MS), 'accepted');
  t.is(budget.reserve(large, 0, CUT_OFF_MS), 'paused');
});

test('a reader that takes everything goes on while the others fill the budget', (t) => {
  const budget = budgetOf();
  fill(budget, 80);
  const reader = holderOf(100);
  t.is(budget.reserve(reader, CHUNK_BYTES, 0), 'paused');
  t.deepEqual(budget.takeResumable(0), []);
  budget.release(reader.holderId, CHUNK_BYTES);
  t.deepEqual(budget.takeResumable(0), [reader.holderId]);
});

test('a reader that disconnects frees its bytes at once, and others go on', (t) => {
  const budget = budgetOf();
  const [first = holderOf(0), ...others] = fill(budget, 4);
  const { heldBytes } = budget.summary();
  budget.remove(first.holderId);
  t.true(budget.summary().heldBytes <= heldBytes * (3 / 4) + CHUNK_BYTES);
  t.is(budget.takeResumable(0).length, others.length);
  budget.release(first.holderId, CHUNK_BYTES);
  t.is(budget.summary().readers, 3, 'a late release counts nothing');
});

test('a reader that takes a byte now and then yields to a starved one, a steady one does not', (t) => {
  const budget = budgetOf();
  const [dripping = holderOf(0), steady = holderOf(1)] = fill(budget, 2);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    budget.progress(dripping.holderId, 1, nowMs);
    budget.progress(steady.holderId, 2_000, nowMs);
    t.deepEqual(overdueIds(budget, nowMs), []);
  }
  t.like(budget.overdue(10_000), [
    { holderId: dripping.holderId, kind: 'caller', reason: 'starvation', stalledMs: 10_000 },
  ]);
});

test('one stalled reader at a time yields, once the server of a starved one may cut off', (t) => {
  const budget = budgetOf();
  fill(budget, 2);
  budget.reserve(holderOf(2), CHUNK_BYTES, 9_000);
  t.deepEqual(overdueIds(budget, 10_499), []);
  t.is(overdueIds(budget, 10_500).length, 1);
});

test('stalled streams with a few events are not aborted for readers that lack room', (t) => {
  const budget = budgetOf();
  budget.reserve(holderOf(50), 16_384, 0);
  fill(budget, 2);
  [0, 1].forEach((number) => {
    budget.progress(holderOf(number).holderId, CHUNK_BYTES, 19_000);
  });
  t.is(budget.pausedHolders().length, 2);
  t.deepEqual(overdueIds(budget, 20_000), []);
});

test('a response that is complete starves nobody, though its reader was paused', (t) => {
  const budget = budgetOf();
  const [, complete = holderOf(1)] = fill(budget, 2);
  t.is(budget.pausedHolders().length, 2);
  budget.endSource(complete.holderId);
  budget.progress(complete.holderId, CHUNK_BYTES, 9_000);
  t.deepEqual(overdueIds(budget, 10_500), []);
  t.deepEqual(budget.pausedHolders(), [holderOf(0).holderId]);
});

test('nobody is aborted while all stall alike, or while there is room', (t) => {
  const full = budgetOf();
  fill(full, 80);
  t.deepEqual(overdueIds(full, 600_000), []);
  const roomy = budgetOf();
  roomy.reserve(holderOf(1), 8 * MB, 0);
  t.deepEqual(overdueIds(roomy, 600_000), []);
});

test('bytes that cannot be refused abort the longest stalled, and no more than needed', (t) => {
  const budget = budgetOf();
  fill(budget, 4);
  budget.progress(holderOf(0).holderId, CHUNK_BYTES, 200);
  budget.progress(holderOf(1).holderId, CHUNK_BYTES, 100);
  budget.progress(holderOf(3).holderId, CHUNK_BYTES, 300);
  budget.reserve(holderOf(9, 'request'), 26 * MB, 400);
  t.deepEqual(overdueIds(budget, 400), [2]);
  budget.remove(holderOf(2).holderId);
  t.deepEqual(overdueIds(budget, 400), []);
  t.true(budget.summary().heldBytes <= budget.summary().boundBytes);
});

test('readers with little are spared while those with much are left', (t) => {
  const budget = budgetOf();
  budget.reserve(holderOf(50), 1_000, 0);
  readInTurns(budget, [holderOf(1), holderOf(2)], MEMORY_BYTES);
  budget.progress(holderOf(1).holderId, CHUNK_BYTES, 500);
  budget.progress(holderOf(2).holderId, CHUNK_BYTES, 400);
  budget.reserve(holderOf(9, 'request'), 26 * MB, 600);
  t.deepEqual(overdueIds(budget, 600), [2]);
});

test('what the daemon collects itself is counted and never aborted', (t) => {
  const budget = budgetOf();
  t.is(budget.reserve(holderOf(1, 'collected'), MEMORY_BYTES, 0), 'accepted');
  t.true(budget.isScarce());
  t.deepEqual(overdueIds(budget, 600_000), []);
});

test('the bound follows the memory that the process needs otherwise', (t) => {
  const budget = new BufferBudget({ memoryBytes: MEMORY_BYTES });
  const limitAt = (otherMb: number) => {
    budget.recordOtherMemory(otherMb * MB);
    return Math.round(budget.summary().limitBytes / MB);
  };
  t.deepEqual([10, 65, 100, 140, 300].map(limitAt), [78, 78, 56, 16, 11]);
});

test('counts stay exact, and what is left after aborts fits, whatever happens', (t) => {
  const operation = fc.record({
    bytes: fc.integer({ max: 20 * MB, min: 0 }),
    kind: fc.constantFrom<BufferHolderKind>('caller', 'request', 'tunnel'),
    number: fc.integer({ max: 8, min: 0 }),
    what: fc.constantFrom('progress', 'release', 'remove', 'reserve', 'reserve'),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
      const budget = budgetOf();
      const held = new Map<number, number>();
      operations.forEach(({ bytes, kind, number, what }, nowMs) => {
        const { holderId } = holderOf(number);
        const before = held.get(number) ?? 0;
        if (what === 'reserve') {
          budget.reserve({ holderId, kind }, bytes, nowMs);
          held.set(number, before + bytes);
        } else if (what === 'release') {
          budget.release(holderId, bytes);
          held.set(number, Math.max(0, before - bytes));
        } else if (what === 'remove') {
          budget.remove(holderId);
          held.set(number, 0);
        } else {
          budget.progress(holderId, bytes, nowMs);
        }
        for (const overdue of budget.overdue(nowMs)) {
          budget.remove(overdue.holderId);
          held.set(overdue.holderId, 0);
        }
        budget.takeResumable(0);
        const { boundBytes, heldBytes, pausedReaders } = budget.summary();
        const sum = [...held.values()].reduce((total, part) => total + part, 0);
        const mayPause = [...held.values()].filter((part) => part > 0).length;
        if (heldBytes !== sum || heldBytes > boundBytes || pausedReaders > mayPause) {
          throw new Error(`held ${heldBytes} of ${sum}, bound ${boundBytes}`);
        }
      });
    }),
    { numRuns: 200, seed: 1 },
  );
  t.pass();
});
