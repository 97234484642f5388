import type { LeaseId, PlatformStore, StoreCommit } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { StoreFixture } from '../support/StoreFixtures.js';
import {
  etcdFixture,
  memoryFixture,
  put,
  revision,
  WatchRecorder,
} from '../support/StoreFixtures.js';

const IMPLEMENTATIONS: Readonly<Record<string, (t: ExecutionContext) => Promise<StoreFixture>>> = {
  etcd: (t) => etcdFixture(t),
  memory: memoryFixture,
};

const TTL_MS = 30_000;

async function commitOk(store: PlatformStore, commit: StoreCommit): Promise<number> {
  const committed = await store.commit(commit);
  if (!committed.ok) {
    throw new Error(committed.error.kind);
  }
  return committed.value;
}

async function grantOk(store: PlatformStore) {
  const granted = await store.grantLease(TTL_MS);
  if (!granted.ok) {
    throw new Error(granted.error.kind);
  }
  return granted.value;
}

type Case = (t: ExecutionContext, fixture: StoreFixture) => Promise<void>;

const CASES: Readonly<Record<string, Case>> = {
  'a key that does not exist reads as undefined': async (t, { store }) => {
    t.deepEqual(await store.read('/k/none'), { ok: true, value: undefined });
  },
  'a commit writes all of its keys at one revision': async (t, { store }) => {
    const at = await commitOk(store, { guards: [], writes: [put('/k/a', 'ä'), put('/k/b', '')] });
    const range = await store.range('/k/');
    t.deepEqual(range, {
      ok: true,
      value: {
        revision: revision(at),
        values: [
          { key: '/k/a', leaseId: undefined, modRevision: revision(at), value: 'ä' },
          { key: '/k/b', leaseId: undefined, modRevision: revision(at), value: '' },
        ],
      },
    });
  },
  'a range takes the keys of its prefix only, in order': async (t, { store }) => {
    const keys = ['/k/b', '/k/a', '/k0', '/j/z', '/k/'];
    await commitOk(store, { guards: [], writes: keys.map((key) => put(key, 'v')) });
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values.map((value) => value.key), ['/k/', '/k/a', '/k/b']);
  },
  'a guard of revision 0 holds only for a key that does not exist': async (t, { store }) => {
    const guards = [{ key: '/k/a', modRevision: revision(0) }];
    const at = await commitOk(store, { guards, writes: [put('/k/a', '1')] });
    const second = await store.commit({ guards, writes: [put('/k/a', '2')] });
    t.deepEqual(second, { error: { kind: 'conflict', revision: revision(at) }, ok: false });
  },
  'a guard that fails keeps every write out': async (t, { store }) => {
    const at = await commitOk(store, { guards: [], writes: [put('/k/a', '1')] });
    const refused = await store.commit({
      guards: [
        { key: '/k/a', modRevision: revision(at) },
        { key: '/k/b', modRevision: revision(at) },
      ],
      writes: [put('/k/a', '2'), put('/k/b', '2')],
    });
    t.false(refused.ok);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.value : undefined, '1');
  },
  'a deleted key is gone and can be made anew': async (t, { store }) => {
    await commitOk(store, { guards: [], writes: [put('/k/a', '1')] });
    await commitOk(store, { guards: [], writes: [{ key: '/k/a', kind: 'delete' }] });
    t.deepEqual(await store.read('/k/a'), { ok: true, value: undefined });
    const guards = [{ key: '/k/a', modRevision: revision(0) }];
    t.true((await store.commit({ guards, writes: [put('/k/a', '2')] })).ok);
  },
  'a lease that lapses takes its keys along': async (t, { clock, store }) => {
    const { leaseId } = await grantOk(store);
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    await commitOk(store, { guards: [], writes: [write] });
    clock.advance(TTL_MS - 1);
    t.true((await store.keepAlive(leaseId)).ok);
    clock.advance(TTL_MS - 1);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.leaseId : undefined, leaseId);
    clock.advance(1);
    t.deepEqual(await store.read('/k/a'), { ok: true, value: undefined });
    t.deepEqual(await store.keepAlive(leaseId), { error: { kind: 'leaseNotFound' }, ok: false });
  },
  'a key put under another lease outlives its first lease': async (t, { store }) => {
    const first = await grantOk(store);
    const second = await grantOk(store);
    for (const { leaseId } of [first, second]) {
      const write = { key: '/k/a', kind: 'put', leaseId, value: leaseId } as const;
      await commitOk(store, { guards: [], writes: [write] });
    }
    t.true((await store.revokeLease(first.leaseId)).ok);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.value : undefined, second.leaseId);
  },
  'a put under a lease that does not exist writes nothing': async (t, { store }) => {
    const leaseId = toId<LeaseId>('12345');
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    const refused = await store.commit({ guards: [], writes: [put('/k/b', '1'), write] });
    t.deepEqual(refused, { error: { kind: 'leaseNotFound' }, ok: false });
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values, []);
  },
  'a revoked lease can not be revoked again': async (t, { store }) => {
    const { leaseId } = await grantOk(store);
    t.true((await store.revokeLease(leaseId)).ok);
    t.deepEqual(await store.revokeLease(leaseId), { error: { kind: 'leaseNotFound' }, ok: false });
  },
  'a value above the size limit writes nothing': async (t, { store }) => {
    const tooLarge = put('/k/a', 'x'.repeat(1024 * 1024 + 1));
    const refused = await store.commit({ guards: [], writes: [put('/k/b', '1'), tooLarge] });
    t.is(refused.ok ? 'ok' : refused.error.kind, 'unavailable');
    const largest = put('/k/c', 'x'.repeat(1024 * 1024));
    t.true((await store.commit({ guards: [], writes: [largest] })).ok);
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values.map((value) => value.key), ['/k/c']);
  },
  'a watch delivers missed and further changes of its prefix, in order': async (t, { store }) => {
    const at = await commitOk(store, { guards: [], writes: [put('/k/a', '1')] });
    await commitOk(store, { guards: [], writes: [put('/k/a', '2'), put('/other', 'x')] });
    const recorder = new WatchRecorder();
    const watch = store.watch('/k/', revision(at), recorder.onEvent);
    await recorder.untilChange('/k/a', '2');
    await commitOk(store, { guards: [], writes: [{ key: '/k/a', kind: 'delete' }] });
    await recorder.untilChange('/k/a', undefined);
    watch.close();
    await commitOk(store, { guards: [], writes: [put('/k/a', '4')] });
    t.deepEqual(recorder.events, [
      {
        changes: [{ key: '/k/a', modRevision: revision(at + 1), value: '2' }],
        kind: 'changes',
        revision: revision(at + 1),
      },
      {
        changes: [{ key: '/k/a', modRevision: revision(at + 2) }],
        kind: 'changes',
        revision: revision(at + 2),
      },
    ]);
  },
  'a watch from a dropped revision says so': async (t, { state, store }) => {
    for (const value of ['1', '2', '3']) {
      await commitOk(store, { guards: [], writes: [put('/k/a', value)] });
    }
    state.compact(revision(3));
    const recorder = new WatchRecorder();
    store.watch('/k/', revision(1), recorder.onEvent);
    await recorder.until((events) => events.length > 0);
    t.deepEqual(
      recorder.events.map((event) => event.kind),
      ['compacted'],
    );
  },
  'a watch sees the keys of a lapsed lease go': async (t, { clock, state, store }) => {
    const { leaseId } = await grantOk(store);
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    const at = await commitOk(store, { guards: [], writes: [write] });
    const recorder = new WatchRecorder();
    const watch = store.watch('/k/', revision(at - 1), recorder.onEvent);
    await recorder.untilChange('/k/a', '1');
    clock.advance(TTL_MS);
    state.revokeExpiredLeases(clock.nowMs());
    await recorder.untilChange('/k/a', undefined);
    watch.close();
    t.is(recorder.events.length, 2);
  },
};

for (const [implementation, start] of Object.entries(IMPLEMENTATIONS)) {
  for (const [name, run] of Object.entries(CASES)) {
    test(`${implementation}: ${name}`, async (t) => {
      await run(t, await start(t));
    });
  }
}
