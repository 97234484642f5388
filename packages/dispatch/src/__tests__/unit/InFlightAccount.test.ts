import test from 'ava';
import { decideHold, HeldCalls, InFlightAccount } from '../../index.js';

const SLOTS = 4;

function leaseOf(requestNumber: number, holder = 'm1') {
  return { holder, requestNumber };
}

/** An account past the time of its predecessor's requests. */
function settledAccount(): InFlightAccount {
  return new InFlightAccount(-10_000);
}

/** Requests that are granted at a time, one after the other. */
function grantedAt(account: InFlightAccount, nowMs: number, first = 1, wanted = 10): number {
  let granted = 0;
  for (let count = 0; count < wanted; count += 1) {
    granted += account.take(leaseOf(first + count), SLOTS, nowMs).kind === 'granted' ? 1 : 0;
  }
  return granted;
}

test('no more requests are in flight than the server has slots', (t) => {
  const account = settledAccount();
  t.is(grantedAt(account, 0), SLOTS);
  account.release(leaseOf(2));
  account.release(leaseOf(2));
  t.is(grantedAt(account, 1, 20), 1);
});

test('a new account waits for the requests of its predecessor', (t) => {
  const account = new InFlightAccount(0);
  t.deepEqual(account.take(leaseOf(1), SLOTS, 100), { kind: 'declined', retryAfterMs: 400 });
  t.is(grantedAt(account, 500), SLOTS);
});

test('after a rejection nothing is sent for a second, and less at once then', (t) => {
  const account = settledAccount();
  t.is(grantedAt(account, 0), SLOTS);
  account.recordRejection(10);
  for (let number = 1; number <= SLOTS; number += 1) {
    account.release(leaseOf(number));
  }
  t.is(grantedAt(account, 1_009), 0);
  t.is(grantedAt(account, 1_010), SLOTS - 1);
});

test('rejections in the same second reduce it once, and room comes back one by one', (t) => {
  const account = settledAccount();
  grantedAt(account, 0);
  [10, 11, 12].forEach((nowMs) => {
    account.recordRejection(nowMs);
  });
  for (let number = 1; number <= SLOTS; number += 1) {
    account.release(leaseOf(number));
  }
  t.is(grantedAt(account, 1_100), SLOTS - 1);
  t.is(grantedAt(account, 4_100, 30), 1);
});

test('leases of daemons that do not live end, and any lease ends in a minute', (t) => {
  const account = settledAccount();
  account.take(leaseOf(1, 'dead'), SLOTS, 0);
  account.take(leaseOf(2, 'living'), SLOTS, 0);
  account.retainHolders((holder) => holder === 'living');
  t.is(account.count(), 1);
  account.take(leaseOf(3), SLOTS, 60_000);
  t.is(account.count(), 1);
});

test('the expected wait follows the calls that wait and the rate at which they start', (t) => {
  const held = new HeldCalls();
  t.is(held.expectedWaitMs(), 0);
  held.add();
  held.add();
  for (let nowMs = 0; nowMs <= 1_000; nowMs += 50) {
    held.recordStarted(nowMs);
  }
  t.is(held.expectedWaitMs(), 100);
  held.remove();
  t.is(held.expectedWaitMs(), 50);
});

test('a call is held as long as it can be answered in time, and urgent ones look more often', (t) => {
  const call = {
    expectedWaitMs: 0,
    targetLatencyMs: 300,
    timeoutMs: 1_000,
    urgency: 0,
    waitedMs: 0,
  };
  t.is(decideHold(call), 10);
  t.is(decideHold({ ...call, urgency: 2 }), 30);
  t.is(decideHold({ ...call, waitedMs: 300 }), 200);
  t.is(decideHold({ ...call, waitedMs: 600 }), undefined);
  t.is(decideHold({ ...call, expectedWaitMs: 500, waitedMs: 100 }), undefined, 'refused at once');
});
