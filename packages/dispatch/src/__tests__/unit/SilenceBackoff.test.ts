import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { SilenceBackoff } from '../../index.js';

const SERVER = toId<ServerId>('s1');

test('a server that stays silent is examined ever more rarely', (t) => {
  const backoff = new SilenceBackoff();
  const takenMs: number[] = [];
  for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
    if (backoff.take([SERVER], nowMs).length > 0) {
      takenMs.push(nowMs);
    }
  }
  t.deepEqual(takenMs, [0, 1_000, 3_000, 7_000, 15_000, 23_000]);
});

test('a server that has sent something is examined at once when it is silent again', (t) => {
  const backoff = new SilenceBackoff();
  backoff.take([SERVER], 0);
  t.deepEqual(backoff.take([SERVER], 100), []);
  backoff.take([], 200);
  t.deepEqual(backoff.take([SERVER], 300), [SERVER]);
});
