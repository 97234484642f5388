import type { Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { SyncPosition } from '../../index.js';
import { LagDetector } from '../../index.js';

function at(revision: number, configurationVersion = 1): SyncPosition {
  return { configurationVersion, revision: toNumberId<Revision>(revision) };
}

test('load pattern: all others are of other domains and tell rarely; one is asked soon', (t) => {
  const watch = new LagDetector();
  // Sixty daemons, each of which tells every two seconds.
  let askedMs: number | undefined;
  for (let nowMs = 0; nowMs < 4_000 && askedMs === undefined; nowMs += 33) {
    if (watch.shouldSync(at(1, 2), at(1, 1), false, nowMs)) {
      askedMs = nowMs;
    }
  }
  t.true(askedMs !== undefined && askedMs < 500);
});

test('a daemon that the store does not answer asks at once', (t) => {
  t.true(new LagDetector().shouldSync(at(2), at(1), true, 0));
});

test('while the daemon moves on it gives the store time', (t) => {
  const watch = new LagDetector();
  t.false(watch.shouldSync(at(2), at(1), false, 0));
  t.false(watch.shouldSync(at(3), at(2), false, 300), 'it knows more than before');
  t.true(watch.shouldSync(at(3), at(2), false, 600));
  t.false(watch.shouldSync(at(3), at(2), false, 700), 'asked a moment ago');
  t.false(watch.shouldSync(at(2), at(2), false, 1_000), 'not behind');
});

test('one that knows as little does not hide that others know more', (t) => {
  const watch = new LagDetector();
  t.false(watch.shouldSync(at(2), at(1), false, 0));
  t.false(watch.shouldSync(at(1), at(1), false, 200));
  t.true(watch.shouldSync(at(2), at(1), false, 260));
});
