import type { Result, Revision, StoreEra } from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { REGISTRATION } from '../SimulatedStore.js';
import type {
  DirectoryChanges,
  DirectoryError,
  FollowedChanges,
  PlatformDirectory,
  StoreRead,
} from '../../index.js';
import { DirectoryFollower, StoreFreshness } from '../../index.js';

type Answer = Result<DirectoryChanges, DirectoryError>;

interface ReceivedChanges {
  readonly changes: FollowedChanges;
  readonly read: StoreRead;
}

/** A store whose calls stay pending until the test answers them. */
class ScriptedStore implements PlatformDirectory {
  cancelCount = 0;
  isReachable = true;
  pingEra: StoreEra | undefined;
  readonly calls: string[] = [];
  private answer: ((answer: Answer) => void) | undefined;
  private onCall: (() => void) | undefined;

  cancelPendingCalls(): void {
    this.cancelCount += 1;
    this.answer?.(failure({ kind: 'unreachable', reason: 'cancelled' }));
  }

  ping() {
    return Promise.resolve({ era: this.pingEra, isReachable: this.isReachable });
  }

  readAll(): Promise<Answer> {
    return this.call('readAll');
  }

  readConfiguration(): Promise<Result<never, DirectoryError>> {
    return Promise.resolve(failure({ kind: 'unreachable', reason: 'test' }));
  }

  register() {
    return Promise.resolve(success(REGISTRATION));
  }

  renewLease(): Promise<Result<'renewed', never>> {
    return Promise.resolve(success('renewed'));
  }

  watch(after: Revision): Promise<Answer> {
    return this.call(`watch ${after}`);
  }

  /** Answers the pending call, and waits for the next one. */
  async respond(answer: Answer): Promise<string> {
    const next = new Promise<void>((resolve) => {
      this.onCall = resolve;
    });
    this.answer?.(answer);
    await next;
    return this.calls.at(-1) ?? '';
  }

  private call(name: string): Promise<Answer> {
    this.calls.push(name);
    return new Promise((resolve) => {
      this.answer = resolve;
      this.onCall?.();
    });
  }
}

function changesAt(era: number | undefined, revision: number): Answer {
  return success({
    era: era === undefined ? undefined : toNumberId<StoreEra>(era),
    members: [],
    membersGone: [],
    revision: toNumberId<Revision>(revision),
    servers: [],
    unreadable: [],
  });
}

function startFollower(t: ExecutionContext, isWatcher = true) {
  const received: ReceivedChanges[] = [];
  const time = { nowMs: 0 };
  const store = new ScriptedStore();
  const clock = { nowMs: () => time.nowMs };
  const follower = new DirectoryFollower({
    clock,
    directory: store,
    freshness: new StoreFreshness({ clock }),
    isWatcher: () => isWatcher,
    log: { info: () => undefined, warn: () => undefined },
    onChanges: (changes, read) => received.push({ changes, read }),
    onReachabilityChanged: () => undefined,
    onStoreDown: () => undefined,
    randomUnit: () => 0,
  });
  follower.start();
  t.teardown(() => {
    follower.stop();
  });
  return { follower, received, store, time };
}

test('a watch answered in a new era leads to a full read, and its changes are not used', async (t) => {
  const { received, store } = startFollower(t);
  t.is(await store.respond(changesAt(1, 50)), 'watch 50');
  t.is(await store.respond(changesAt(2, 60)), 'readAll', 'revision 60 is of another history');
  t.is(await store.respond(changesAt(2, 12)), 'watch 12');
  t.deepEqual(
    received.map(({ changes, read }) => [changes.era, changes.revision, read]),
    [
      [1, 50, 'full'],
      [2, 12, 'full'],
    ] as unknown[],
  );
});

test('a lost history in a new era leads to a full read', async (t) => {
  const { store } = startFollower(t);
  await store.respond(changesAt(1, 50));
  t.is(await store.respond(failure({ kind: 'historyLost' })), 'readAll');
  t.is(await store.respond(changesAt(2, 12)), 'watch 12');
});

test('the era rises again during the full read', async (t) => {
  const { received, store } = startFollower(t);
  await store.respond(changesAt(1, 50));
  await store.respond(changesAt(2, 60));
  t.is(await store.respond(failure({ kind: 'historyLost' })), 'readAll');
  t.is(await store.respond(changesAt(3, 7)), 'watch 7');
  t.is(await store.respond(changesAt(4, 8)), 'readAll');
  t.is(received.length, 2);
});

test('answers of an earlier era are ignored', async (t) => {
  const { follower, received, store } = startFollower(t);
  await store.respond(changesAt(2, 50));
  t.is(await store.respond(changesAt(1, 90)), 'watch 50');
  follower.advance({ era: toNumberId<StoreEra>(3), revision: toNumberId<Revision>(4) });
  t.is(await store.respond(changesAt(2, 51)), 'watch 4');
  follower.advance({ era: toNumberId<StoreEra>(2), revision: toNumberId<Revision>(99) });
  t.is(await store.respond(changesAt(3, 5)), 'watch 5');
  t.is(received.length, 2);
});

test('a store without eras is followed as before', async (t) => {
  const { store } = startFollower(t);
  await store.respond(changesAt(undefined, 50));
  t.is(await store.respond(changesAt(undefined, 51)), 'watch 51');
});

test('a ping in a new era ends the pending watch of a watcher', async (t) => {
  const { follower, store } = startFollower(t);
  await store.respond(changesAt(1, 50));
  store.pingEra = toNumberId<StoreEra>(1);
  await follower.ping();
  t.is(store.cancelCount, 0);
  store.pingEra = toNumberId<StoreEra>(2);
  await follower.ping();
  t.is(store.cancelCount, 1);
});

test('load pattern: all daemons start while the store is silent, and read it as soon as it answers a ping', async (t) => {
  const { follower, received, store, time } = startFollower(t);
  store.isReachable = false;
  time.nowMs = 100;
  await follower.ping();
  t.is(store.cancelCount, 0, 'a silent store is waited for');
  store.isReachable = true;
  time.nowMs = 200;
  await follower.ping();
  t.is(store.cancelCount, 1, 'the first read hangs on a connection from before');
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(store.calls, ['readAll', 'readAll']);
  await store.respond(changesAt(1, 50));
  t.is(received.length, 1);
});

test('a read that was just sent is not repeated', async (t) => {
  const { follower, store, time } = startFollower(t);
  time.nowMs = 20;
  await follower.ping();
  t.is(store.cancelCount, 0);
});

test('the wait after a failed read ends when the store answers a ping', async (t) => {
  const { follower, store, time } = startFollower(t);
  // The fourth failure is followed by a wait of 400 ms.
  for (let failures = 0; failures < 3; failures += 1) {
    await store.respond(failure({ kind: 'refused', status: 503 }));
  }
  void store.respond(failure({ kind: 'refused', status: 503 }));
  await new Promise((resolve) => setImmediate(resolve));
  t.is(store.calls.length, 4, 'waits');
  time.nowMs = 1_000;
  await follower.ping();
  await new Promise((resolve) => setImmediate(resolve));
  t.is(store.calls.length, 5);
});

test('a daemon that does not watch asks for changes, and a failure does not count as an outage', async (t) => {
  const { follower, received, store, time } = startFollower(t, false);
  const asked = store.respond(changesAt(1, 50));
  await new Promise((resolve) => setImmediate(resolve));
  time.nowMs += 900;
  t.is(await asked, 'watch 50');
  const askedAgain = store.respond(failure({ kind: 'unreachable', reason: 'test' }));
  await new Promise((resolve) => setImmediate(resolve));
  t.false(follower.isStoreDown());
  time.nowMs += 900;
  t.is(await askedAgain, 'watch 50');
  const askedInNewEra = store.respond(changesAt(2, 60));
  await new Promise((resolve) => setImmediate(resolve));
  time.nowMs += 1_800;
  t.is(await askedInNewEra, 'watch 50', 'those that watch read everything');
  t.deepEqual(
    received.map(({ read }) => read),
    ['full'],
  );
});
