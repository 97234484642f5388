import type { Revision, StoreEra } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { SyncPosition } from '../../index.js';
import { LagDetector } from '../../index.js';

function position(revision: number, configurationVersion = 1, era = 0): SyncPosition {
  return {
    configurationVersion,
    era: toNumberId<StoreEra>(era),
    revision: toNumberId<Revision>(revision),
  };
}

test('load pattern: lag is detected soon when all peers are in other domains and send heartbeats rarely', (t) => {
  const detector = new LagDetector();
  // Sixty daemons that each send a heartbeat every two seconds.
  let syncMs: number | undefined;
  for (let nowMs = 0; nowMs < 4_000 && syncMs === undefined; nowMs += 33) {
    if (detector.shouldSync(position(1, 2), position(1, 1), false, nowMs)) {
      syncMs = nowMs;
    }
  }
  t.true(syncMs !== undefined && syncMs < 500);
});

test('a daemon that cannot reach the store syncs immediately', (t) => {
  t.true(new LagDetector().shouldSync(position(2), position(1), true, 0));
});

test('a daemon that still advances waits for the store', (t) => {
  const detector = new LagDetector();
  t.false(detector.shouldSync(position(2), position(1), false, 0));
  t.false(detector.shouldSync(position(3), position(2), false, 300), 'has advanced since');
  t.true(detector.shouldSync(position(3), position(2), false, 600));
  t.false(detector.shouldSync(position(3), position(2), false, 700), 'synced a moment ago');
  t.false(detector.shouldSync(position(2), position(2), false, 1_000), 'not behind');
});

test('a heartbeat of a peer that is not ahead does not reset the lag', (t) => {
  const detector = new LagDetector();
  t.false(detector.shouldSync(position(2), position(1), false, 0));
  t.false(detector.shouldSync(position(1), position(1), false, 200));
  t.true(detector.shouldSync(position(2), position(1), false, 260));
});

test('a daemon of an earlier store era is never ahead', (t) => {
  const detector = new LagDetector();
  for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
    t.false(detector.shouldSync(position(900, 1, 1), position(3, 1, 2), false, nowMs));
  }
});

test('a daemon of a later store era is ahead at any revision', (t) => {
  t.true(new LagDetector().shouldSync(position(3, 1, 2), position(900, 1, 1), true, 0));
});

test('load pattern: versions in quick succession do not hide that a change of the servers was missed', (t) => {
  const detector = new LagDetector();
  let syncMs: number | undefined;
  // A new version every 200 ms reaches this daemon, whose position stands still.
  for (let nowMs = 0; nowMs < 4_000 && syncMs === undefined; nowMs += 50) {
    const version = Math.floor(nowMs / 200);
    if (detector.shouldSync(position(2, version), position(1, version), false, nowMs)) {
      syncMs = nowMs;
    }
  }
  t.true(syncMs !== undefined && syncMs < 500);
});

test('load pattern: changes of the servers do not hide that a configuration was missed', (t) => {
  const detector = new LagDetector();
  let syncMs: number | undefined;
  for (let nowMs = 0; nowMs < 4_000 && syncMs === undefined; nowMs += 50) {
    const revision = Math.floor(nowMs / 200);
    if (detector.shouldSync(position(revision, 2), position(revision, 1), false, nowMs)) {
      syncMs = nowMs;
    }
  }
  t.true(syncMs !== undefined && syncMs < 500);
});
