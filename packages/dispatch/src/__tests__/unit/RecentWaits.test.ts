import test from 'ava';
import { RecentWaits } from '../../index.js';

test('without recent waits the mean is 0', (t) => {
  t.is(new RecentWaits().meanMs(0), 0);
});

test('recent waits are averaged and old ones dropped', (t) => {
  const waits = new RecentWaits();
  waits.recordWait(100, 0);
  waits.recordWait(300, 1_000);
  t.is(waits.meanMs(1_000), 200);
  t.is(waits.meanMs(8_500), 300);
  t.is(waits.meanMs(20_000), 0);
});
