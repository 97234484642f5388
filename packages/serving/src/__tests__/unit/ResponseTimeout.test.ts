import test from 'ava';
import { startResponseTimeout } from '../../index.js';

const TIMEOUT_MS = 1_000;

/** Clock that a test sets; the timers run in real time. */
function createClock() {
  const time = { nowMs: 0 };
  return { clock: { nowMs: () => time.nowMs }, time };
}

function afterMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

test('a timer that fires in time ends the wait', async (t) => {
  const { clock, time } = createClock();
  const timeout = new Promise<string>((resolve) => {
    startResponseTimeout(clock, 20, () => {
      resolve('timeout');
    });
  });
  time.nowMs = 20;
  t.is(await timeout, 'timeout');
});

test('load pattern: after a stall the wait goes on for what has arrived, not for another timeout', async (t) => {
  const { clock, time } = createClock();
  const timeout = new Promise<string>((resolve) => {
    startResponseTimeout(clock, TIMEOUT_MS, () => {
      resolve('timeout');
    });
  });
  time.nowMs = 2 * TIMEOUT_MS;
  const reference = afterMs(1.9 * TIMEOUT_MS).then(() => 'reference');
  t.is(await Promise.race([timeout, reference]), 'timeout');
});

test('a cancelled timeout does not call back, also not in the wait after a stall', async (t) => {
  const { clock, time } = createClock();
  let count = 0;
  const cancel = startResponseTimeout(clock, 20, () => {
    count += 1;
  });
  time.nowMs = 1_000;
  // Timers fire in the order of their due times: this one between the late timer and its wait.
  await afterMs(21);
  cancel();
  await afterMs(100);
  t.is(count, 0);
});
