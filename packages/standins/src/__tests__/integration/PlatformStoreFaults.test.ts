import type { PlatformStore, Result, StoreError } from '@laburnumgap/kernel';
import test from 'ava';
import type { EtcdFixture } from '../support/StoreFixtures.js';
import { etcdFixture, orderFault, put, revision, WatchRecorder } from '../support/StoreFixtures.js';

/** For calls that get no answer, long enough to be sent on a busy machine. */
const SHORT_DEADLINE_MS = 3000;
/** For calls that are answered, or whose connection breaks. */
const LONG_DEADLINE_MS = 30_000;
const WATCH_IDLE_LIMIT_MS = 3000;
const PAST_DEADLINE_MS = 60_000;
const COMMIT = { guards: [], writes: [put('/k/a', '1')] };

type Call = (store: PlatformStore) => Promise<Result<unknown, StoreError>>;

const CALLS = {
  commit: (store) => store.commit(COMMIT),
  grantLease: (store) => store.grantLease(30_000),
  read: (store) => store.read('/k/a'),
} as const satisfies Record<string, Call>;

interface FaultCase {
  readonly bringAbout: (fixture: EtcdFixture) => Promise<unknown>;
  readonly call: keyof typeof CALLS;
  readonly expected: StoreError['kind'];
  readonly name: string;
  /** Whether the call ends at its deadline only. */
  readonly waits?: boolean;
  /** Whether the commit has taken effect, where the call is one. */
  readonly written?: boolean;
}

const kill = ({ server }: EtcdFixture): Promise<void> => server.close();
const fault =
  (order: object) =>
  ({ server }: EtcdFixture): Promise<void> =>
    orderFault(server, order);
/** Opens several connections, then loses track of them. A read that fails opens others. */
const silence = async (fixture: EtcdFixture): Promise<void> => {
  let opened = false;
  while (!opened) {
    const reads = await Promise.all([1, 2, 3, 4].map(() => fixture.store.read('/k/a')));
    opened = reads.every((read) => read.ok);
  }
  await orderFault(fixture.server, { kind: 'silent' });
};

const FAULT_CASES: readonly FaultCase[] = [
  { bringAbout: kill, call: 'read', expected: 'unavailable', name: 'connection refused' },
  {
    bringAbout: kill,
    call: 'commit',
    expected: 'unavailable',
    name: 'connection refused',
    written: false,
  },
  { bringAbout: kill, call: 'grantLease', expected: 'unavailable', name: 'connection refused' },
  {
    bringAbout: fault({ kind: 'loseAnswer' }),
    call: 'commit',
    expected: 'outcomeUnknown',
    name: 'answer lost',
    written: true,
  },
  {
    bringAbout: fault({ kind: 'loseAnswer' }),
    call: 'read',
    expected: 'unavailable',
    name: 'answer lost',
  },
  {
    bringAbout: fault({ kind: 'loseAnswer' }),
    call: 'grantLease',
    expected: 'outcomeUnknown',
    name: 'answer lost',
  },
  {
    bringAbout: fault({ delayMs: PAST_DEADLINE_MS, kind: 'slow' }),
    call: 'commit',
    expected: 'outcomeUnknown',
    name: 'answer past the deadline',
    waits: true,
    written: true,
  },
  {
    bringAbout: fault({ delayMs: PAST_DEADLINE_MS, kind: 'slow' }),
    call: 'read',
    expected: 'unavailable',
    name: 'answer past the deadline',
    waits: true,
  },
  {
    bringAbout: fault({ kind: 'freeze' }),
    call: 'commit',
    expected: 'outcomeUnknown',
    name: 'store frozen',
    waits: true,
    written: false,
  },
  {
    bringAbout: silence,
    call: 'commit',
    expected: 'outcomeUnknown',
    name: 'connection silent',
    waits: true,
    written: false,
  },
  {
    bringAbout: fault({ kind: 'refuse' }),
    call: 'commit',
    expected: 'unavailable',
    name: 'no leader',
    written: false,
  },
  {
    bringAbout: fault({ kind: 'refuse' }),
    call: 'read',
    expected: 'unavailable',
    name: 'no leader',
  },
];

for (const row of FAULT_CASES) {
  test(`${row.call}, ${row.name}: ${row.expected}`, async (t) => {
    const deadlineMs = row.waits === true ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
    const fixture = await etcdFixture(t, { deadlineMs });
    await row.bringAbout(fixture);
    const result = await CALLS[row.call](fixture.store);
    t.is(result.ok ? 'ok' : result.error.kind, row.expected);
    if (row.written !== undefined) {
      t.is(fixture.state.read('/k/a') !== undefined, row.written);
    }
  });
}

test('writes and reads above the rate are refused and have no effect', async (t) => {
  const { clock, state, store } = await etcdFixture(t, { readsPerSecond: 1, writesPerSecond: 2 });
  const results = [];
  for (const key of ['/k/a', '/k/b', '/k/c']) {
    results.push(await store.commit({ guards: [], writes: [put(key, '1')] }));
  }
  t.deepEqual(
    results.map((result) => (result.ok ? 'ok' : result.error.kind)),
    ['ok', 'ok', 'unavailable'],
  );
  t.is(state.read('/k/c'), undefined);
  t.true((await store.read('/k/a')).ok);
  t.false((await store.read('/k/a')).ok);
  clock.advance(1000);
  t.true((await store.read('/k/a')).ok);
});

test('calls work again on a new connection after one went silent', async (t) => {
  const fixture = await etcdFixture(t, { deadlineMs: SHORT_DEADLINE_MS });
  await silence(fixture);
  t.false((await fixture.store.commit(COMMIT)).ok);
  t.true((await fixture.store.commit(COMMIT)).ok);
});

test('the etcd store is never asked twice for one call', async (t) => {
  const fixture = await etcdFixture(t, { deadlineMs: LONG_DEADLINE_MS });
  await fixture.store.commit(COMMIT);
  await orderFault(fixture.server, { count: 3, kind: 'loseAnswer' });
  await fixture.store.commit(COMMIT);
  const counts = await (await fetch(`${fixture.server.url}/control/counts`)).json();
  t.deepEqual(counts, { '/v3/kv/txn': 2 });
});

const WATCH_FAULTS: Readonly<Record<string, (fixture: EtcdFixture) => Promise<unknown>>> = {
  'the server dies': ({ server }) => server.close(),
  'the connection goes silent': ({ server }) => orderFault(server, { kind: 'silent' }),
  'the store freezes': ({ server }) => orderFault(server, { kind: 'freeze' }),
};

for (const [name, bringAbout] of Object.entries(WATCH_FAULTS)) {
  test(`a watch ends when ${name}`, async (t) => {
    const fixture = await etcdFixture(t, { watchIdleLimitMs: WATCH_IDLE_LIMIT_MS });
    const recorder = new WatchRecorder();
    await fixture.store.commit(COMMIT);
    fixture.store.watch('/k/', revision(1), recorder.onEvent);
    await recorder.untilChange('/k/a', '1');
    await bringAbout(fixture);
    await recorder.until((events) => events.some((event) => event.kind === 'ended'));
    t.is(recorder.events.filter((event) => event.kind === 'ended').length, 1);
  });
}

test('a watch opened again after silence misses nothing', async (t) => {
  const fixture = await etcdFixture(t, { watchIdleLimitMs: WATCH_IDLE_LIMIT_MS });
  const first = new WatchRecorder();
  fixture.store.watch('/k/', revision(1), first.onEvent);
  await fixture.store.commit(COMMIT);
  await first.untilChange('/k/a', '1');
  await orderFault(fixture.server, { kind: 'silent' });
  fixture.state.commit({ guards: [], writes: [put('/k/a', '2')] });
  await first.until((events) => events.some((event) => event.kind === 'ended'));
  t.false(first.events.some((event) => event.kind === 'changes' && event.revision > 2));
  const second = new WatchRecorder();
  const watch = fixture.store.watch('/k/', revision(2), second.onEvent);
  await second.untilChange('/k/a', '2');
  watch.close();
  t.pass();
});

test('a watch that is refused ends', async (t) => {
  const fixture = await etcdFixture(t);
  await orderFault(fixture.server, { kind: 'refuse' });
  const recorder = new WatchRecorder();
  fixture.store.watch('/k/', revision(1), recorder.onEvent);
  await recorder.until((events) => events.length > 0);
  t.deepEqual(
    recorder.events.map((event) => event.kind),
    ['ended'],
  );
});

test('closing the store ends its running call; later calls are not sent', async (t) => {
  const { server, state, store } = await etcdFixture(t, { deadlineMs: LONG_DEADLINE_MS });
  await orderFault(server, { delayMs: PAST_DEADLINE_MS, kind: 'slow' });
  const written = new Promise<void>((resolve) => {
    state.onChange(() => {
      resolve();
    });
  });
  const running = store.commit(COMMIT);
  await written;
  await store.close();
  const ended = await running;
  t.is(ended.ok ? 'ok' : ended.error.kind, 'outcomeUnknown');
  const later = await store.commit(COMMIT);
  t.is(later.ok ? 'ok' : later.error.kind, 'unavailable');
});

test('a lagging read shows its older revision', async (t) => {
  const { server, state, store } = await etcdFixture(t);
  await store.commit(COMMIT);
  await orderFault(server, { kind: 'lag', lagMs: 1000 });
  state.commit({ guards: [], writes: [put('/k/a', '2')] });
  const lagging = await store.range('/k/');
  t.like(lagging.ok && lagging.value, { revision: 2, values: [{ modRevision: 2, value: '1' }] });
  await orderFault(server, { kind: 'clear' });
  const current = await store.range('/k/');
  t.like(current.ok && current.value, { revision: 3, values: [{ modRevision: 3, value: '2' }] });
});

test('calls are counted while they are refused', async (t) => {
  const { server, store } = await etcdFixture(t);
  await orderFault(server, { kind: 'refuse' });
  await store.read('/k/a');
  const counts = await (await fetch(`${server.url}/control/counts`)).json();
  t.deepEqual(counts, { '/v3/kv/range': 1 });
});
