import test from 'ava';
import type { SettleOutcome, SlotReply } from '../../index.js';
import { CLAIM_LAYOUT_KEY, claimHeadKey, claimSegmentKey } from '../../index.js';
import type { StoreFault, TestClock } from '../utils/ClaimTestLedger.js';
import {
  ClaimTestLedger,
  TEST_SLOT,
  testClaim,
  testKey,
  testSettle,
} from '../utils/ClaimTestLedger.js';
import { ClaimTestStore } from '../utils/ClaimTestStore.js';

const NOW_MS = Date.UTC(2026, 11, 3);
const MINUTE_MS = 60_000;
const ANSWERED: SettleOutcome = {
  answer: { body: 'b2s=', contentType: 'text/plain', status: 201 },
  kind: 'answered',
};

function setUp() {
  const clock: TestClock = { epochMs: NOW_MS, monotonicMs: 0 };
  const store = new ClaimTestStore();
  const ledger = (writer = 'ledger-a', settings = {}, skewMs = 0) =>
    new ClaimTestLedger(store, clock, writer, settings, skewMs);
  const advanceClock = (ms: number) => {
    clock.epochMs += ms;
    clock.monotonicMs += ms;
  };
  return { advanceClock, clock, ledger, store };
}

test('a second call with the key follows the state of the first', (t) => {
  const cases: { outcome?: SettleOutcome; passMs?: number; hash?: string; reply: SlotReply }[] = [
    { reply: { kind: 'running', retryAfterMs: 2_000 } },
    { passMs: 9_000, reply: { kind: 'running', retryAfterMs: 1_000 } },
    { passMs: 10_000, reply: { kind: 'unknown' } },
    { outcome: { kind: 'unknown' }, reply: { kind: 'unknown' } },
    { outcome: { kind: 'notRun' }, reply: { kind: 'granted' } },
    {
      outcome: ANSWERED,
      reply: {
        answer: { body: 'b2s=', contentType: 'text/plain', status: 201 },
        kind: 'answered',
      },
    },
    { hash: 'other', reply: { kind: 'reused' } },
    { hash: 'other', outcome: ANSWERED, reply: { kind: 'reused' } },
    { hash: 'other', outcome: { kind: 'notRun' }, reply: { kind: 'reused' } },
  ];
  for (const { hash, outcome, passMs, reply } of cases) {
    const { advanceClock, ledger } = setUp();
    const first = ledger();
    const key = testKey(NOW_MS);
    t.deepEqual(first.run(testClaim(key, 'c1')), { kind: 'granted' });
    if (outcome) {
      t.deepEqual(first.run(testSettle(key, 'c1', outcome)), { kind: 'settled', recorded: true });
    }
    advanceClock(passMs ?? 0);
    t.deepEqual(first.run(testClaim(key, 'c2', hash)), reply);
    // The state is in the store only, so another process replies the same.
    t.deepEqual(ledger('ledger-b').run(testClaim(key, 'c2', hash)), reply);
  }
});

test('a key outside the retention window is refused, whatever the clock allowance', (t) => {
  const cases: { ageMs: number; kind: SlotReply['kind'] }[] = [
    { ageMs: 15 * MINUTE_MS + 1, kind: 'expired' },
    { ageMs: 15 * MINUTE_MS, kind: 'granted' },
    { ageMs: 0, kind: 'granted' },
    { ageMs: -30_000, kind: 'granted' },
    { ageMs: -30_001, kind: 'inFuture' },
  ];
  for (const { ageMs, kind } of cases) {
    const { ledger } = setUp();
    t.is(ledger().run(testClaim(testKey(NOW_MS - ageMs), 'c1'))?.kind, kind);
  }
});

test('nothing is replied before the entry is durable', (t) => {
  const { ledger, store } = setUp();
  const first = ledger();
  const claim = testClaim(testKey(NOW_MS), 'c1');
  t.is(first.submit(claim), undefined);
  first.answerStoreCall();
  t.is(first.replies.size, 0);
  t.is(store.commits, 0);
  first.answerStoreCall();
  t.deepEqual(first.replies.get(claim.operationId), { kind: 'granted' });
  t.is(store.commits, 1);
});

test('a commit with an unknown outcome is resolved by reloading the journal', (t) => {
  const cases: { fault: StoreFault; commits: number; late: boolean }[] = [
    { commits: 1, fault: 'loseAnswer', late: false },
    { commits: 1, fault: 'lateApply', late: false },
    { commits: 1, fault: 'lateApply', late: true },
  ];
  for (const { commits, fault, late } of cases) {
    const { ledger, store } = setUp();
    const first = ledger();
    const claim = testClaim(testKey(NOW_MS), 'c1');
    first.submit(claim);
    first.answerStoreCall();
    first.answerStoreCall(fault);
    t.is(first.replies.size, 0, 'no reply before the journal is reloaded');
    first.answerStoreCall();
    if (late) {
      // The lost commit takes effect after the journal was reloaded without it.
      first.lateCommits.forEach((apply) => {
        apply();
      });
    }
    first.answerAllStoreCalls();
    t.deepEqual(first.replies.get(claim.operationId), { kind: 'granted' });
    t.is(store.commits, commits);
  }
});

test('of two ledgers that write to the same slot, only one grants a key', (t) => {
  const { ledger } = setUp();
  const [one, two] = [ledger('one'), ledger('two')];
  const key = testKey(NOW_MS);
  const [first, second] = [testClaim(key, 'c1'), testClaim(key, 'c2')];
  one.submit(first);
  two.submit(second);
  one.answerStoreCall();
  two.answerStoreCall();
  two.answerAllStoreCalls();
  one.answerAllStoreCalls();
  t.is(two.replies.get(second.operationId)?.kind, 'granted');
  t.is(one.replies.get(first.operationId)?.kind, 'running');
});

test('a ledger that was paused decides on what other ledgers committed meanwhile', (t) => {
  const { advanceClock, ledger } = setUp();
  const [paused, other] = [ledger('paused'), ledger('other')];
  const key = testKey(NOW_MS);
  paused.run(testClaim(key, 'c1'));
  other.run(testSettle(key, 'c1', { kind: 'notRun' }));
  other.run(testClaim(key, 'c2'));
  other.run(testSettle(key, 'c2', ANSWERED));
  advanceClock(11_000);
  t.is(paused.run(testClaim(key, 'c3'))?.kind, 'answered');
  t.deepEqual(paused.run(testSettle(key, 'c1', { kind: 'notRun' })), {
    kind: 'settled',
    recorded: true,
  });
  t.is(other.run(testClaim(key, 'c4'))?.kind, 'answered');
});

test('a claim settled as not run is never granted to the same claim id', (t) => {
  const { ledger } = setUp();
  const first = ledger();
  const key = testKey(NOW_MS);
  first.run(testClaim(key, 'c1'));
  first.run(testSettle(key, 'c1', { kind: 'notRun' }));
  t.is(first.run(testClaim(key, 'c1'))?.kind, 'unavailable');
  t.is(first.run(testClaim(key, 'c2'))?.kind, 'granted');
});

test('only the holder settles, and an answered call stays answered', (t) => {
  const { ledger } = setUp();
  const first = ledger();
  const key = testKey(NOW_MS);
  t.false(recorded(first.run(testSettle(key, 'c1', { kind: 'notRun' }))));
  first.run(testClaim(key, 'c1'));
  first.run(testSettle(key, 'c0', { kind: 'notRun' }));
  t.is(first.run(testClaim(key, 'c2'))?.kind, 'running');
  first.run(testSettle(key, 'c1', { kind: 'unknown' }));
  first.run(testSettle(key, 'c1', { kind: 'notRun' }));
  t.is(first.run(testClaim(key, 'c2'))?.kind, 'unknown');
  first.run(testSettle(key, 'c1', ANSWERED));
  first.run(testSettle(key, 'c1', { kind: 'unknown' }));
  t.is(first.run(testClaim(key, 'c2'))?.kind, 'answered');
});

test('while the store fails, claims are refused at once and the queue stays empty', (t) => {
  const { advanceClock, ledger, store } = setUp();
  const first = ledger();
  const known = testKey(NOW_MS, 1);
  first.run(testClaim(known, 'c1'));
  first.run(testSettle(known, 'c1', ANSWERED));
  const refused = first.run(testClaim(testKey(NOW_MS, 2), 'c2'), 'unavailable');
  t.like(refused, { kind: 'unavailable', mayBeRecorded: false, retryAfterMs: 375 });
  for (let count = 0; count < 1_000; count += 1) {
    const reply = first.submit(testClaim(testKey(NOW_MS, 3 + count), 'c3'));
    t.is(reply?.kind, 'unavailable');
  }
  t.is(first.pendingStoreCall, undefined);
  t.is(first.queuedOperations, 0);
  t.is(first.submit(testClaim(known, 'c4'))?.kind, 'answered', 'recorded answers are still served');
  advanceClock(250);
  t.is(first.run(testClaim(testKey(NOW_MS, 2), 'c5'))?.kind, 'granted');
  t.is(store.commits, 3);
});

test('a claim that may be recorded is refused as such when the journal can not be read', (t) => {
  const { ledger } = setUp();
  const first = ledger();
  const claim = testClaim(testKey(NOW_MS), 'c1');
  first.submit(claim);
  first.answerStoreCall();
  first.answerStoreCall('loseAnswer');
  first.answerStoreCall('unavailable');
  t.like(first.replies.get(claim.operationId), { kind: 'unavailable', mayBeRecorded: true });
});

test('the queue is bounded in length and in waiting time', (t) => {
  const { advanceClock, ledger } = setUp();
  const first = ledger('ledger-a', { maxQueuedOperations: 3 });
  const claims = [1, 2, 3].map((salt) => testClaim(testKey(NOW_MS, salt), `c${salt}`));
  for (const claim of claims) {
    t.is(first.submit(claim), undefined);
  }
  t.is(first.submit(testClaim(testKey(NOW_MS, 4), 'c4'))?.kind, 'unavailable');
  t.is(first.wakeAtMs, 1_500);
  advanceClock(1_500);
  first.wake();
  t.deepEqual(
    claims.map((claim) => first.replies.get(claim.operationId)?.kind),
    ['unavailable', 'unavailable', 'unavailable'],
  );
  t.is(first.queuedOperations, 0);
});

test('a malformed or incomplete journal never counts as empty', (t) => {
  const segment = claimSegmentKey(TEST_SLOT, 0);
  const cases: { key: string; value: string | undefined }[] = [
    { key: claimHeadKey(TEST_SLOT), value: undefined },
    { key: claimHeadKey(TEST_SLOT), value: '' },
    { key: claimHeadKey(TEST_SLOT), value: '{}' },
    { key: segment, value: undefined },
    { key: segment, value: '{"entries":[],"format":1}' },
    { key: segment, value: '{"entries":[{"kind":"claim"}],"format":1}' },
    { key: CLAIM_LAYOUT_KEY, value: '{"format":1,"slots":32}' },
    { key: CLAIM_LAYOUT_KEY, value: 'null' },
  ];
  for (const { key, value } of cases) {
    const { ledger, store } = setUp();
    ledger().run(testClaim(testKey(NOW_MS), 'c1'));
    const stored = store.values.get(key);
    t.truthy(stored);
    store.values.delete(key);
    if (stored && value !== undefined) {
      store.values.set(key, { ...stored, value });
    }
    const second = ledger('ledger-b');
    t.is(second.run(testClaim(testKey(NOW_MS), 'c2'))?.kind, 'unavailable', `${key} ${value}`);
    t.is(second.warnings.length, 1);
    t.is(store.commits, 1);
  }
});

test('expired segments are deleted, and their keys are never granted again', (t) => {
  const { advanceClock, ledger, store } = setUp();
  const settings = { segmentFillBytes: 1 };
  const first = ledger('ledger-a', settings);
  const old = testKey(NOW_MS, 1);
  first.run(testClaim(old, 'c1'));
  first.run(testClaim(testKey(NOW_MS + 20_000, 2), 'c2'));
  advanceClock(15 * MINUTE_MS + 10_001);
  first.run(testClaim(testKey(NOW_MS + 15 * MINUTE_MS, 3), 'c3'));
  t.is(store.read(claimSegmentKey(TEST_SLOT, 0)), undefined);
  t.truthy(store.read(claimSegmentKey(TEST_SLOT, 1)));
  // A ledger whose clock is behind by more than the allowance would still accept the key.
  const behind = ledger('behind', settings, -MINUTE_MS);
  t.is(behind.run(testClaim(old, 'c4'))?.kind, 'expired');
  t.is(behind.run(testClaim(testKey(NOW_MS + 20_000, 2), 'c5'))?.kind, 'unknown');
});

test('segments stay below the size limit and a batch takes as many entries as fit', (t) => {
  const { ledger, store } = setUp();
  const settings = { segmentFillBytes: 4_096, segmentMaxBytes: 8_192 };
  const first = ledger('ledger-a', settings);
  const claims = Array.from({ length: 200 }, (_, salt) =>
    testClaim(testKey(NOW_MS, salt), `c${salt}`),
  );
  for (const claim of claims) {
    first.submit(claim);
  }
  first.answerAllStoreCalls();
  t.true(claims.every((claim) => first.replies.get(claim.operationId)?.kind === 'granted'));
  t.true([...store.values.values()].every(({ value }) => value.length <= 8_192));
  t.true(store.commits < 10);
  t.is(ledger('ledger-b').run(testClaim(testKey(NOW_MS, 199), 'other'))?.kind, 'running');
});

function recorded(reply: SlotReply | undefined): boolean {
  return reply?.kind === 'settled' && reply.recorded;
}
