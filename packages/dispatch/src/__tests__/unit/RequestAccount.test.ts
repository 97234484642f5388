import test from 'ava';
import fc from 'fast-check';
import { RequestAccount } from '../../index.js';

test('an account starts without saved requests and says when the first one is due', (t) => {
  const account = new RequestAccount(1_000);
  t.deepEqual(account.take(4, 0, 1_000), { kind: 'declined', retryAfterMs: 250 });
  t.deepEqual(account.take(4, 0, 1_250), { kind: 'granted', waitMs: 0 });
  t.is(account.take(4, 0, 1_250).kind, 'declined');
});

test('at most a second of requests is saved up', (t) => {
  const account = new RequestAccount(0);
  const decisions = Array.from({ length: 10 }, () => account.take(3, 0, 60_000).kind);
  t.is(decisions.filter((kind) => kind === 'granted').length, 3);
});

test('a request that can wait reserves the next one, and new ones queue behind it', (t) => {
  const account = new RequestAccount(0);
  t.deepEqual(account.take(2, 1_000, 0), { kind: 'granted', waitMs: 500 });
  t.deepEqual(account.take(2, 1_000, 0), { kind: 'granted', waitMs: 1_000 });
  t.deepEqual(account.take(2, 1_000, 0), { kind: 'declined', retryAfterMs: 1_500 });
  t.deepEqual(account.take(2, 0, 1_400), { kind: 'declined', retryAfterMs: 100 });
});

test('a server that takes nothing still gets a request every ten seconds', (t) => {
  const account = new RequestAccount(0);
  t.deepEqual(account.take(0, 0, 0), { kind: 'declined', retryAfterMs: 10_000 });
  t.is(account.take(0, 0, 10_000).kind, 'granted');
  t.is(account.take(0, 0, 10_001).kind, 'declined');
});

test('a lower limit counts at once, also for what was saved up', (t) => {
  const account = new RequestAccount(0);
  t.is(account.take(100, 0, 1_000).kind, 'granted');
  const decisions = Array.from({ length: 10 }, () => account.take(2, 0, 1_000).kind);
  t.is(decisions.filter((kind) => kind === 'granted').length, 2);
});

test('in no span of time are more requests sent than a server allows', (t) => {
  const request = fc.record({
    // Bursts, steady load and quiet times.
    afterMs: fc.oneof(
      { arbitrary: fc.constant(0), weight: 20 },
      { arbitrary: fc.integer({ max: 400, min: 0 }), weight: 10 },
      { arbitrary: fc.constant(8_000), weight: 1 },
    ),
    maxWaitMs: fc.constantFrom(0, 0, 0, 1_000),
  });
  fc.assert(
    fc.property(
      fc.integer({ max: 300, min: 0 }).map((tenths) => tenths / 10),
      fc.array(request, { maxLength: 300, minLength: 50, size: 'max' }),
      (requestsPerS, requests) => {
        const account = new RequestAccount(0);
        const sentMs: number[] = [];
        let nowMs = 0;
        for (const { afterMs, maxWaitMs } of requests) {
          nowMs += afterMs;
          const decision = account.take(requestsPerS, maxWaitMs, nowMs);
          if (decision.kind === 'granted') {
            sentMs.push(nowMs + decision.waitMs);
          }
        }
        return sentMs.every((startMs) => {
          const sent = sentMs.filter((ms) => ms >= startMs && ms < startMs + 4_000).length;
          return sent <= 1.5 * 4 * requestsPerS + 5;
        });
      },
    ),
    { numRuns: 300, seed: 25 },
  );
  t.pass();
});
