import type { LeaseId, PlatformStore, StoreCommit } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { StoreFixture } from '../support/StoreFixtures.js';
import {
  createMemoryFixture,
  putWrite,
  startEtcdFixture,
  toRevision,
  WatchRecorder,
} from '../support/StoreFixtures.js';

const IMPLEMENTATIONS: Readonly<Record<string, (t: ExecutionContext) => Promise<StoreFixture>>> = {
  etcd: (t) => startEtcdFixture(t),
  memory: createMemoryFixture,
};

const TTL_MS = 30_000;

async function commitOrThrow(store: PlatformStore, commit: StoreCommit): Promise<number> {
  const committed = await store.commit(commit);
  if (!committed.ok) {
    throw new Error(committed.error.kind);
  }
  return committed.value;
}

async function grantLeaseOrThrow(store: PlatformStore) {
  const granted = await store.grantLease(TTL_MS);
  if (!granted.ok) {
    throw new Error(granted.error.kind);
  }
  return granted.value;
}

type ContractCase = (t: ExecutionContext, fixture: StoreFixture) => Promise<void>;

const CONTRACT_CASES: Readonly<Record<string, ContractCase>> = {
  'a key that does not exist reads as undefined': async (t, { store }) => {
    t.deepEqual(await store.read('/k/none'), { ok: true, value: undefined });
  },
  'a commit writes all of its keys at one revision': async (t, { store }) => {
    const revision = await commitOrThrow(store, {
      guards: [],
      writes: [putWrite('/k/a', 'ä'), putWrite('/k/b', '')],
    });
    const range = await store.range('/k/');
    t.deepEqual(range, {
      ok: true,
      value: {
        revision: toRevision(revision),
        values: [
          { key: '/k/a', leaseId: undefined, modRevision: toRevision(revision), value: 'ä' },
          { key: '/k/b', leaseId: undefined, modRevision: toRevision(revision), value: '' },
        ],
      },
    });
  },
  'a range returns only the keys with its prefix, in order': async (t, { store }) => {
    const keys = ['/k/b', '/k/a', '/k0', '/j/z', '/k/'];
    await commitOrThrow(store, { guards: [], writes: keys.map((key) => putWrite(key, 'v')) });
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values.map((value) => value.key), ['/k/', '/k/a', '/k/b']);
  },
  'a guard of revision 0 holds only for a key that does not exist': async (t, { store }) => {
    const guards = [{ key: '/k/a', modRevision: toRevision(0) }];
    const revision = await commitOrThrow(store, { guards, writes: [putWrite('/k/a', '1')] });
    const second = await store.commit({ guards, writes: [putWrite('/k/a', '2')] });
    t.deepEqual(second, { error: { kind: 'conflict', revision: toRevision(revision) }, ok: false });
  },
  'a commit with a failed guard writes nothing': async (t, { store }) => {
    const revision = await commitOrThrow(store, { guards: [], writes: [putWrite('/k/a', '1')] });
    const refused = await store.commit({
      guards: [
        { key: '/k/a', modRevision: toRevision(revision) },
        { key: '/k/b', modRevision: toRevision(revision) },
      ],
      writes: [putWrite('/k/a', '2'), putWrite('/k/b', '2')],
    });
    t.false(refused.ok);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.value : undefined, '1');
  },
  'a deleted key reads as undefined and can be created again': async (t, { store }) => {
    await commitOrThrow(store, { guards: [], writes: [putWrite('/k/a', '1')] });
    await commitOrThrow(store, { guards: [], writes: [{ key: '/k/a', kind: 'delete' }] });
    t.deepEqual(await store.read('/k/a'), { ok: true, value: undefined });
    const guards = [{ key: '/k/a', modRevision: toRevision(0) }];
    t.true((await store.commit({ guards, writes: [putWrite('/k/a', '2')] })).ok);
  },
  'the keys of an expired lease are deleted': async (t, { clock, store }) => {
    const { leaseId } = await grantLeaseOrThrow(store);
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    await commitOrThrow(store, { guards: [], writes: [write] });
    clock.advance(TTL_MS - 1);
    t.true((await store.keepAlive(leaseId)).ok);
    clock.advance(TTL_MS - 1);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.leaseId : undefined, leaseId);
    clock.advance(1);
    t.deepEqual(await store.read('/k/a'), { ok: true, value: undefined });
    t.deepEqual(await store.keepAlive(leaseId), { error: { kind: 'leaseNotFound' }, ok: false });
  },
  'a key put under a second lease remains when the first lease is revoked': async (
    t,
    { store },
  ) => {
    const first = await grantLeaseOrThrow(store);
    const second = await grantLeaseOrThrow(store);
    for (const { leaseId } of [first, second]) {
      const write = { key: '/k/a', kind: 'put', leaseId, value: leaseId } as const;
      await commitOrThrow(store, { guards: [], writes: [write] });
    }
    t.true((await store.revokeLease(first.leaseId)).ok);
    const read = await store.read('/k/a');
    t.is(read.ok ? read.value?.value : undefined, second.leaseId);
  },
  'a put under a lease that does not exist writes nothing': async (t, { store }) => {
    const leaseId = toId<LeaseId>('12345');
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    const refused = await store.commit({ guards: [], writes: [putWrite('/k/b', '1'), write] });
    t.deepEqual(refused, { error: { kind: 'leaseNotFound' }, ok: false });
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values, []);
  },
  'a revoked lease cannot be revoked again': async (t, { store }) => {
    const { leaseId } = await grantLeaseOrThrow(store);
    t.true((await store.revokeLease(leaseId)).ok);
    t.deepEqual(await store.revokeLease(leaseId), { error: { kind: 'leaseNotFound' }, ok: false });
  },
  'a commit with a value above the size limit writes nothing': async (t, { store }) => {
    const tooLarge = putWrite('/k/a', 'x'.repeat(1024 * 1024 + 1));
    const refused = await store.commit({ guards: [], writes: [putWrite('/k/b', '1'), tooLarge] });
    t.is(refused.ok ? 'ok' : refused.error.kind, 'unavailable');
    const largest = putWrite('/k/c', 'x'.repeat(1024 * 1024));
    t.true((await store.commit({ guards: [], writes: [largest] })).ok);
    const range = await store.range('/k/');
    t.deepEqual(range.ok && range.value.values.map((value) => value.key), ['/k/c']);
  },
  'a watch delivers past and new changes of its prefix, in order': async (t, { store }) => {
    const revision = await commitOrThrow(store, { guards: [], writes: [putWrite('/k/a', '1')] });
    await commitOrThrow(store, {
      guards: [],
      writes: [putWrite('/k/a', '2'), putWrite('/other', 'x')],
    });
    const recorder = new WatchRecorder();
    const watch = store.watch('/k/', toRevision(revision), recorder.onEvent);
    await recorder.waitForChange('/k/a', '2');
    await commitOrThrow(store, { guards: [], writes: [{ key: '/k/a', kind: 'delete' }] });
    await recorder.waitForChange('/k/a', undefined);
    watch.close();
    await commitOrThrow(store, { guards: [], writes: [putWrite('/k/a', '4')] });
    t.deepEqual(recorder.events, [
      {
        changes: [{ key: '/k/a', modRevision: toRevision(revision + 1), value: '2' }],
        kind: 'changes',
        revision: toRevision(revision + 1),
      },
      {
        changes: [{ key: '/k/a', modRevision: toRevision(revision + 2) }],
        kind: 'changes',
        revision: toRevision(revision + 2),
      },
    ]);
  },
  'a watch from a compacted revision reports the compaction': async (t, { state, store }) => {
    for (const value of ['1', '2', '3']) {
      await commitOrThrow(store, { guards: [], writes: [putWrite('/k/a', value)] });
    }
    state.compact(toRevision(3));
    const recorder = new WatchRecorder();
    store.watch('/k/', toRevision(1), recorder.onEvent);
    await recorder.waitUntil((events) => events.length > 0);
    t.deepEqual(
      recorder.events.map((event) => event.kind),
      ['compacted'],
    );
  },
  'a watch delivers the deletion of the keys of an expired lease': async (
    t,
    { clock, state, store },
  ) => {
    const { leaseId } = await grantLeaseOrThrow(store);
    const write = { key: '/k/a', kind: 'put', leaseId, value: '1' } as const;
    const revision = await commitOrThrow(store, { guards: [], writes: [write] });
    const recorder = new WatchRecorder();
    const watch = store.watch('/k/', toRevision(revision - 1), recorder.onEvent);
    await recorder.waitForChange('/k/a', '1');
    clock.advance(TTL_MS);
    state.revokeExpiredLeases(clock.nowMs());
    await recorder.waitForChange('/k/a', undefined);
    watch.close();
    t.is(recorder.events.length, 2);
  },
};

for (const [implementation, start] of Object.entries(IMPLEMENTATIONS)) {
  for (const [name, run] of Object.entries(CONTRACT_CASES)) {
    test(`${implementation}: ${name}`, async (t) => {
      await run(t, await start(t));
    });
  }
}
