import type { Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ServerChange } from '../../index.js';
import { ServerRegistry } from '../../index.js';
import { changeOf } from '../support/DispatchFixtures.js';

const ENGINES = toId<ServiceId>('engines');
const B = { serverId: toId<ServerId>('b'), startedEpochMs: 1 };

function removalOf(name: string, revision: number): ServerChange {
  return { revision: toNumberId<Revision>(revision), serverId: toId<ServerId>(name) };
}

function usableIds(registry: ServerRegistry): readonly string[] {
  return registry.usableServers(ENGINES, 0).map(({ serverId }) => serverId);
}

function registryOf(...names: readonly string[]): ServerRegistry {
  const registry = new ServerRegistry();
  registry.apply(
    names.map((name, index) => changeOf(name, index + 1, {})),
    0,
  );
  return registry;
}

test('a server that announced to leave takes no new work', (t) => {
  const registry = registryOf('a', 'b', 'c');
  const leaving = registry.apply([changeOf('b', 10, { leaving: true })], 0);
  t.deepEqual(leaving, [toId<ServerId>('b')]);
  t.deepEqual(usableIds(registry), ['a', 'c']);
});

// The store carried out an earlier heartbeat after `draining`, and the server got requests again.
test('an earlier entry that is written late does not bring back a server that leaves', (t) => {
  const registry = registryOf('a', 'b');
  registry.apply([changeOf('b', 10, { leaving: true })], 0);
  for (const revision of [11, 12]) {
    t.deepEqual(registry.apply([changeOf('b', revision, {})], 0), []);
    t.deepEqual(usableIds(registry), ['a']);
    t.deepEqual(registry.serversMarkedLeaving(), [B]);
  }
  registry.apply([changeOf('b', 13, { leaving: true })], 0);
  t.deepEqual(usableIds(registry), ['a']);
  registry.apply([changeOf('b', 14, { startedEpochMs: 2 })], 0);
  t.deepEqual(usableIds(registry), ['a', 'b']);
});

// A server got requests again when the store carried out a heartbeat after its entry was removed.
for (const [title, leave] of [
  [
    'said so in its answers and was removed',
    (registry: ServerRegistry) => {
      registry.markLeaving(B, 0);
      registry.apply([removalOf('b', 11)], 0);
    },
  ],
  [
    'was removed and then said so in its answers',
    (registry: ServerRegistry) => {
      registry.apply([removalOf('b', 11)], 0);
      registry.markLeaving(B, 0);
    },
  ],
  [
    'was written as leaving and removed',
    (registry: ServerRegistry) => {
      registry.apply([changeOf('b', 10, { leaving: true })], 0);
      registry.apply([removalOf('b', 11)], 0);
    },
  ],
] as const) {
  test(`a server that ${title} is not brought back by an earlier entry`, (t) => {
    const registry = registryOf('a', 'b', 'c', 'd');
    leave(registry);
    registry.expire(30_000);
    registry.apply([changeOf('b', 12, {})], 30_000);
    t.deepEqual(usableIds(registry), ['a', 'c', 'd']);
    t.deepEqual(registry.serversMarkedLeaving(), [B], 'other daemons hear of it');
    registry.expire(300_000);
    registry.apply([changeOf('b', 13, {})], 300_000);
    t.deepEqual(usableIds(registry), ['a', 'c', 'd'], 'as long as it is registered');
    const listed = ['a', 'b', 'c', 'd'].map((name) => changeOf(name, 14, {}));
    registry.replace(listed, toNumberId<Revision>(14), 300_000);
    t.deepEqual(usableIds(registry), ['a', 'c', 'd'], 'after a full read');
    registry.apply([changeOf('b', 15, { startedEpochMs: 2 })], 300_000);
    t.deepEqual(usableIds(registry), ['a', 'b', 'c', 'd'], 'a new start');
  });
}

test('servers that left are forgotten when no earlier entry can arrive any more', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  registry.markLeaving(B, 0);
  registry.apply([removalOf('b', 11)], 0);
  registry.expire(200_000);
  registry.apply([changeOf('b', 12, {})], 200_000);
  t.deepEqual(usableIds(registry), ['a', 'b', 'c', 'd']);
});

test('a server without a start time can have started again when it is ready after it left', (t) => {
  const registry = registryOf('a');
  registry.apply([changeOf('b', 10, { leaving: true, startedEpochMs: 0 })], 0);
  registry.apply([changeOf('b', 11, { startedEpochMs: 0 })], 0);
  t.deepEqual(usableIds(registry), ['a', 'b']);
});

test('an older entry is ignored', (t) => {
  const registry = registryOf('a', 'b');
  registry.apply([changeOf('b', 10, { leaving: true })], 0);
  registry.apply([changeOf('b', 9, {})], 0);
  t.deepEqual(usableIds(registry), ['a']);
});

test('a server whose entry is removed is leaving, and is reported once', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  t.deepEqual(registry.apply([changeOf('b', 10)], 0), [toId<ServerId>('b')]);
  t.deepEqual(registry.apply([changeOf('b', 11)], 0), []);
  t.deepEqual(usableIds(registry), ['a', 'c', 'd']);
});

test('an old entry does not restore a removed server', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  registry.apply([changeOf('b', 10)], 0);
  registry.expire(30_000);
  registry.apply([changeOf('e', 8, {}), changeOf('b', 12, {})], 30_000);
  t.deepEqual(usableIds(registry), ['a', 'b', 'c', 'd', 'e']);
});

test('entries that go all at once are waited for', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  const removals = ['a', 'b', 'c', 'd'].map((name) => changeOf(name, 20));
  t.deepEqual(registry.apply(removals, 1_000), []);
  t.is(usableIds(registry).length, 4);
  registry.apply([changeOf('a', 21, {})], 1_500);
  t.deepEqual(registry.expire(2_000), []);
  t.is(registry.expire(2_701).length, 3);
  t.deepEqual(usableIds(registry), ['a']);
});

test('one leaving server after an outage is no lapse', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd', 'e');
  t.deepEqual(registry.apply([changeOf('e', 20)], 1_000), [toId<ServerId>('e')]);
});

test('a full listing removes the servers that it lacks, except newer ones', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd', 'e');
  registry.apply([changeOf('new', 30, {})], 0);
  const listed = ['a', 'b', 'c', 'd'].map((name, index) => changeOf(name, index + 1, {}));
  t.deepEqual(registry.replace(listed, toNumberId<Revision>(25), 0), [toId<ServerId>('e')]);
  t.deepEqual(usableIds(registry), ['a', 'b', 'c', 'd', 'new']);
});

test('a server marked as leaving stays excluded while the store repeats its entry', (t) => {
  const registry = registryOf('a', 'b');
  t.true(registry.markLeaving(B, 0));
  t.false(registry.markLeaving(B, 0));
  registry.apply([changeOf('b', 2, {}), changeOf('b', 40, {})], 0);
  t.deepEqual(usableIds(registry), ['a']);
  t.deepEqual(registry.serversMarkedLeaving(), [B]);
});

test('a restart under the same id takes work again', (t) => {
  const registry = registryOf('a', 'b');
  registry.markLeaving(B, 0);
  registry.apply([changeOf('b', 41, { startedEpochMs: 2 })], 0);
  t.deepEqual(usableIds(registry), ['a', 'b']);
  t.deepEqual(registry.serversMarkedLeaving(), []);
});

test('an unreadable entry names no server', (t) => {
  const registry = registryOf('a');
  registry.apply([changeOf('junk', 50)], 0);
  t.deepEqual(usableIds(registry), ['a']);
  t.is(registry.get(toId<ServerId>('junk')), undefined);
});

test('a mark of an earlier start does not make a restarted server leave', (t) => {
  const registry = registryOf('a', 'b');
  registry.apply([changeOf('b', 41, { startedEpochMs: 2 })], 0);
  t.false(registry.markLeaving(B, 0));
  t.deepEqual(usableIds(registry), ['a', 'b']);
});

function usableIdsAt(registry: ServerRegistry, nowMs: number): readonly string[] {
  return registry.usableServers(ENGINES, nowMs).map(({ serverId }) => serverId);
}

test('a server that asked to be left alone takes no work until its time is over', (t) => {
  const registry = registryOf('a', 'b');
  registry.backOff(B, 2_000);
  registry.backOff(B, 1_000);
  t.deepEqual(usableIdsAt(registry, 1_999), ['a']);
  t.false(registry.isUsable(B.serverId, 1_999));
  registry.expire(1_999);
  t.true(registry.isBackingOff(B.serverId, 1_999));
  t.deepEqual(usableIdsAt(registry, 2_000), ['a', 'b']);
});

test('a restart ends the backoff, and a backoff outlives a repeated entry', (t) => {
  const registry = registryOf('a', 'b');
  registry.backOff(B, 2_000);
  registry.apply([changeOf('b', 40, {})], 100);
  t.deepEqual(usableIdsAt(registry, 200), ['a']);
  registry.apply([changeOf('b', 41, { startedEpochMs: 2 })], 300);
  t.deepEqual(usableIdsAt(registry, 400), ['a', 'b']);
});

test('load pattern: when all servers ask to be left alone, the first to take work again is named', (t) => {
  const registry = registryOf('a', 'b');
  t.is(registry.usableAgainAfterMs(ENGINES, 0), undefined);
  registry.backOff(B, 2_000);
  t.is(registry.usableAgainAfterMs(ENGINES, 500), undefined, 'the other one takes work');
  registry.backOff({ ...B, serverId: toId<ServerId>('a') }, 3_000);
  t.is(registry.usableAgainAfterMs(ENGINES, 500), 1_500);
  registry.markLeaving(B, 0);
  t.is(registry.usableAgainAfterMs(ENGINES, 500), 2_500, 'a leaving server takes no work again');
  t.is(registry.usableAgainAfterMs(toId<ServiceId>('other'), 500), undefined);
});

const NEW_ERA_REVISION = toNumberId<Revision>(9);

function enterNewEra(registry: ServerRegistry, listed: readonly string[], nowMs = 0) {
  const changes = listed.map((name, index) => changeOf(name, index + 1, {}));
  return registry.replaceInNewEra(changes, NEW_ERA_REVISION, nowMs);
}

test('in a new era entries with lower revisions replace those of the earlier era', (t) => {
  const registry = registryOf('a', 'b');
  registry.apply([changeOf('a', 900, { slots: 7 })], 0);
  t.deepEqual(enterNewEra(registry, ['a', 'b']), []);
  t.is(registry.get(toId<ServerId>('a'))?.revision, toNumberId<Revision>(1));
  registry.apply([changeOf('a', 10, { leaving: true })], 0);
  t.deepEqual(usableIds(registry), ['b']);
});

test('a server that the copy lacks stays until it has had time to write itself again', (t) => {
  const registry = registryOf('a', 'b', 'c');
  t.deepEqual(enterNewEra(registry, ['a'], 1_000), []);
  t.deepEqual(usableIds(registry), ['a', 'b', 'c']);
  registry.apply([changeOf('b', 10, {})], 2_000);
  t.deepEqual(registry.expire(2_701), [toId<ServerId>('c')]);
  t.deepEqual(usableIds(registry), ['a', 'b']);
});

test('a server that announced to leave is not brought back, also when it is written again', (t) => {
  const registry = registryOf('a', 'b');
  registry.apply([changeOf('b', 40, { leaving: true })], 0);
  enterNewEra(registry, ['a', 'b']);
  t.deepEqual(usableIds(registry), ['a']);
  registry.apply([changeOf('b', 20, {})], 0);
  t.deepEqual(usableIds(registry), ['a']);
  registry.apply([changeOf('b', 21, { startedEpochMs: 2 })], 0);
  t.deepEqual(usableIds(registry), ['a', 'b'], 'a restarted server is another one');
});

test('a server that was gone is not brought back by the copy, only by a later write', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  registry.apply([changeOf('b', 40)], 0);
  enterNewEra(registry, ['a', 'b', 'c', 'd']);
  t.deepEqual(usableIds(registry), ['a', 'c', 'd']);
  registry.replace([changeOf('a', 1, {}), changeOf('b', 2, {})], toNumberId<Revision>(12), 0);
  t.false(usableIds(registry).includes('b'), 'a second listing has the same entry');
  registry.apply([changeOf('b', 13, {})], 0);
  t.true(usableIds(registry).includes('b'), 'the server lives after all');
});

test('two eras in a row keep what was known to be leaving before the first', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  registry.markLeaving(B, 0);
  registry.apply([changeOf('c', 40)], 0);
  enterNewEra(registry, ['a', 'b', 'c']);
  enterNewEra(registry, ['a', 'b', 'c', 'd']);
  t.deepEqual(usableIds(registry), ['a', 'd']);
});

test('a lapsed entry of another daemon is waited for, not kept', (t) => {
  const registry = registryOf('a');
  registry.apply([{ ...changeOf('b', 5, {}), isLapsed: true }], 1_000);
  t.deepEqual(usableIds(registry), ['a', 'b']);
  t.deepEqual(registry.expire(2_701), [toId<ServerId>('b')]);
});

test('a second listing without a lapsed server neither removes it at once nor extends its time', (t) => {
  const registry = registryOf('a', 'b', 'c', 'd');
  enterNewEra(registry, ['a', 'b', 'c'], 1_000);
  const listed = ['a', 'b', 'c'].map((name, index) => changeOf(name, index + 1, {}));
  t.deepEqual(registry.replace(listed, toNumberId<Revision>(12), 2_000), []);
  t.deepEqual(usableIds(registry), ['a', 'b', 'c', 'd']);
  t.deepEqual(registry.expire(2_701), [toId<ServerId>('d')]);
});

test('a leaving server takes continued runs only while it is certain to accept requests', (t) => {
  const registry = new ServerRegistry({ serverDrainMs: 2_000 });
  registry.apply([changeOf('b', 1, {})], 0);
  t.true(registry.acceptsContinuation(B.serverId, 100_000), 'not leaving');
  registry.markLeaving(B, 100_000);
  t.true(registry.acceptsContinuation(B.serverId, 100_999));
  t.false(registry.acceptsContinuation(B.serverId, 101_000));
  registry.apply([changeOf('b', 2, { leaving: true })], 101_000);
  t.false(registry.acceptsContinuation(B.serverId, 101_000), 'the entry starts no new time');
  registry.apply([changeOf('b', 3, { startedEpochMs: 2 })], 102_000);
  t.true(registry.acceptsContinuation(B.serverId, 200_000), 'a restarted server');
});

test('a leaving server takes back its own runs for longer, but not until it stops serving', (t) => {
  const registry = new ServerRegistry({ serverDrainMs: 2_000 });
  registry.apply([changeOf('b', 1, {})], 0);
  t.is(registry.servesForMs(B.serverId, 100_000), Infinity);
  registry.markLeaving(B, 100_000);
  t.is(registry.servesForMs(B.serverId, 100_500), 1_500);
  t.is(registry.servesForMs(B.serverId, 103_000), 0);
  t.true(registry.acceptsReturn(B.serverId, 101_499));
  t.false(registry.acceptsReturn(B.serverId, 101_500));
  registry.backOff(B, 101_000);
  t.false(registry.acceptsReturn(B.serverId, 100_999), 'it wants to be sent nothing');
  t.false(registry.acceptsReturn(toId<ServerId>('unknown'), 0));
});
