import type { FailureDomainId, Revision, StoreEra } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { EvacuationPosition, EvacuationRecord } from '../../index.js';
import { DomainEvacuations } from '../../index.js';

const A = toId<FailureDomainId>('a');
const B = toId<FailureDomainId>('b');
/** Stated for a domain that is missing from a new era's first listing. */
const HOLD_MS = 2_000;

function at(era: number, revision: number): EvacuationPosition {
  return { era: toNumberId<StoreEra>(era), revision: toNumberId<Revision>(revision) };
}

function record(
  era: number,
  revision: number,
  isEvacuated: boolean,
  failureDomain = A,
): EvacuationRecord {
  return { ...at(era, revision), failureDomain, isEvacuated };
}

test('the later revision wins in every order, also when records are repeated', (t) => {
  const began = record(1, 5, true);
  const ended = record(1, 6, false);
  for (const order of [
    [began, ended],
    [ended, began],
    [ended, began, ended, began],
    [began, ended, began],
  ]) {
    const evacuations = new DomainEvacuations();
    order.forEach((one) => evacuations.merge([one], 0));
    t.false(evacuations.isEvacuated(A));
    t.deepEqual(evacuations.reports(), [ended]);
  }
});

test('changes report once that a domain began or ceased to be evacuated', (t) => {
  const evacuations = new DomainEvacuations();
  const began = record(1, 5, true);
  t.deepEqual(evacuations.apply([began], began.era, 0), [{ kind: 'began', record: began }]);
  t.deepEqual(evacuations.apply([began], began.era, 0), []);
  // The key was written again.
  t.deepEqual(evacuations.merge([record(1, 6, true)], 0), []);
  const ended = record(1, 7, false);
  t.deepEqual(evacuations.merge([ended], 0), [{ kind: 'ended', record: ended }]);
  t.is(evacuations.evacuatedCount(), 0);
});

test('what a listing lacks has ended as of its revision, and an older message does not undo it', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.merge([record(1, 5, true)], 0);
  evacuations.replace([], at(1, 9), 0);
  t.false(evacuations.isEvacuated(A));
  t.deepEqual(evacuations.reports(), [record(1, 9, false)]);
  // This daemon never heard of these domains before the listing.
  evacuations.merge([record(1, 8, true), record(1, 8, true, B)], 0);
  t.false(evacuations.isEvacuated(A));
  t.false(evacuations.isEvacuated(B));
  evacuations.merge([record(1, 10, true, B)], 0);
  t.true(evacuations.isEvacuated(B));
});

test('a listing that began before a change does not undo it', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.merge([record(1, 10, true), record(1, 11, false, B)], 0);
  evacuations.replace([record(1, 4, true, B)], at(1, 9), 0);
  t.true(evacuations.isEvacuated(A));
  t.false(evacuations.isEvacuated(B));
});

test('an older listing that arrives late has no effect', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.replace([record(1, 8, true)], at(1, 9), 0);
  evacuations.replace([record(1, 4, true, B)], at(1, 6), 0);
  t.true(evacuations.isEvacuated(A));
  t.false(evacuations.isEvacuated(B));
});

test('a domain missing from the first listing of a new era stays evacuated for the time stated', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.replace([record(1, 50, true)], at(1, 60), 0);
  t.deepEqual(evacuations.replace([], at(2, 20), 1_000), [
    { kind: 'held', record: record(1, 50, true) },
  ]);
  // Further listings neither end nor extend it.
  t.deepEqual(evacuations.replace([], at(2, 21), 2_500), []);
  t.deepEqual(evacuations.expire(1_000 + HOLD_MS - 1), []);
  t.true(evacuations.isEvacuated(A));
  t.deepEqual(evacuations.expire(1_000 + HOLD_MS), [
    { kind: 'ended', record: record(2, 21, false) },
  ]);
  t.false(evacuations.isEvacuated(A));
});

test('a domain whose key is written again in the new era stays evacuated without a gap', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.replace([record(1, 50, true)], at(1, 60), 0);
  evacuations.replace([], at(2, 20), 1_000);
  t.deepEqual(evacuations.merge([record(2, 22, true)], 2_000), []);
  t.deepEqual(evacuations.expire(1_000 + 2 * HOLD_MS), []);
  t.true(evacuations.isEvacuated(A));
});

test('an evacuation that ended after the copy counts again when the new era lists it', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.merge([record(1, 50, true), record(1, 55, false)], 0);
  evacuations.replace([record(2, 50, true)], at(2, 52), 0);
  t.true(evacuations.isEvacuated(A));
  evacuations.merge([record(1, 55, false)], 0);
  t.true(evacuations.isEvacuated(A), 'the later era wins over a higher revision');
});

test('a daemon that starts in a new era learns what the others hold, but not after the time', (t) => {
  const fresh = new DomainEvacuations();
  fresh.replace([], at(2, 20), 0);
  fresh.merge([record(1, 50, true)], HOLD_MS - 1);
  t.true(fresh.isEvacuated(A));
  fresh.expire(HOLD_MS);
  t.false(fresh.isEvacuated(A));
  fresh.merge([record(1, 50, true)], HOLD_MS);
  t.false(fresh.isEvacuated(A), 'a daemon that still holds it does not bring it back');
});

test('records of another daemon replace what is known up to its position', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.merge([record(1, 5, true), record(1, 30, true, B)], 0);
  evacuations.replace([], at(1, 20), 0);
  t.false(evacuations.isEvacuated(A));
  t.true(evacuations.isEvacuated(B));
});

test('reports name evacuated domains first, and nothing before there was an evacuation', (t) => {
  const evacuations = new DomainEvacuations();
  evacuations.replace([], at(1, 9), 0);
  t.deepEqual(evacuations.reports(), []);
  const records = [record(1, 10, true), record(1, 12, false, B)];
  evacuations.merge(records, 0);
  t.deepEqual(evacuations.reports(), records);
});

interface StoreWrite {
  readonly domain: 0 | 1;
  readonly isEvacuated: boolean;
}

const writes = fc.array(
  fc.record({
    domain: fc.constantFrom<0 | 1>(0, 1),
    isEvacuated: fc.boolean(),
  }),
  { maxLength: 12, minLength: 1 },
);

test('all orders, losses and repetitions of messages, with listings between, end in the truth', (t) => {
  fc.assert(
    fc.property(writes, fc.infiniteStream(fc.nat({ max: 999 })), (history, random) => {
      const next = (max: number): number => (random.next().value ?? 0) % max;
      const records = history.map((write, index) =>
        record(1, index + 1, write.isEvacuated, domainOf(write)),
      );
      const truthAt = (revision: number): readonly EvacuationRecord[] =>
        [A, B].flatMap((domain) => {
          const last = records
            .slice(0, revision)
            .findLast(({ failureDomain }) => failureDomain === domain);
          return last?.isEvacuated === true ? [last] : [];
        });
      const evacuations = new DomainEvacuations();
      for (let step = 0; step < 30; step += 1) {
        const revision = 1 + next(records.length);
        if (next(4) === 0) {
          evacuations.replace(truthAt(revision), at(1, revision), 0);
        } else {
          evacuations.merge(records.slice(revision - 1, revision), 0);
        }
        // Each record is true as of its revision.
        for (const known of evacuations.reports()) {
          const isListed = truthAt(known.revision).some(
            ({ failureDomain }) => failureDomain === known.failureDomain,
          );
          if (isListed !== known.isEvacuated) {
            return false;
          }
        }
      }
      evacuations.replace(truthAt(records.length), at(1, records.length), 0);
      records.forEach((one) => evacuations.merge([one], 0));
      const truth = new Set(truthAt(records.length).map(({ failureDomain }) => failureDomain));
      return [A, B].every((domain) => evacuations.isEvacuated(domain) === truth.has(domain));
    }),
    { numRuns: 2_000, seed: 11 },
  );
  t.pass();
});

function domainOf({ domain }: StoreWrite): FailureDomainId {
  return domain === 0 ? A : B;
}
