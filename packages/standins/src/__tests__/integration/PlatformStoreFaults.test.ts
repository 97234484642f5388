import type { PlatformStore, Result, StoreError } from '@laburnumgap/kernel';
import test from 'ava';
import type { EtcdFixture } from '../support/StoreFixtures.js';
import {
  injectFault,
  putWrite,
  startEtcdFixture,
  toRevision,
  WatchRecorder,
} from '../support/StoreFixtures.js';

/** Deadline of calls that get no answer; long enough that they are sent even on a busy machine. */
const SHORT_DEADLINE_MS = 3000;
/** Deadline of calls that are answered or whose connection breaks. */
const LONG_DEADLINE_MS = 30_000;
const WATCH_IDLE_LIMIT_MS = 3000;
const PAST_DEADLINE_MS = 60_000;
const COMMIT = { guards: [], writes: [putWrite('/k/a', '1')] };

type Call = (store: PlatformStore) => Promise<Result<unknown, StoreError>>;

const CALLS = {
  commit: (store) => store.commit(COMMIT),
  grantLease: (store) => store.grantLease(30_000),
  read: (store) => store.read('/k/a'),
} as const satisfies Record<string, Call>;

/** A store call under a fault, with the error that the client returns. */
interface FaultCase {
  readonly call: keyof typeof CALLS;
  readonly expected: StoreError['kind'];
  /** Whether the call ends only at its deadline. */
  readonly hitsDeadline?: boolean;
  readonly inject: (fixture: EtcdFixture) => Promise<unknown>;
  /** Whether the commit took effect; only for commits. */
  readonly isWritten?: boolean;
  readonly name: string;
}

const closeServer = ({ server }: EtcdFixture): Promise<void> => server.close();
const faultInjection =
  (fault: object) =>
  ({ server }: EtcdFixture): Promise<void> =>
    injectFault(server, fault);
/** Opens several connections, retrying while a read fails, and then silences them. */
const silenceOpenConnections = async (fixture: EtcdFixture): Promise<void> => {
  let opened = false;
  while (!opened) {
    const reads = await Promise.all([1, 2, 3, 4].map(() => fixture.store.read('/k/a')));
    opened = reads.every((read) => read.ok);
  }
  await injectFault(fixture.server, { kind: 'silent' });
};

const FAULT_CASES: readonly FaultCase[] = [
  { call: 'read', expected: 'unavailable', inject: closeServer, name: 'connection refused' },
  {
    call: 'commit',
    expected: 'unavailable',
    inject: closeServer,
    isWritten: false,
    name: 'connection refused',
  },
  { call: 'grantLease', expected: 'unavailable', inject: closeServer, name: 'connection refused' },
  {
    call: 'commit',
    expected: 'outcomeUnknown',
    inject: faultInjection({ kind: 'loseAnswer' }),
    isWritten: true,
    name: 'answer lost',
  },
  {
    call: 'read',
    expected: 'unavailable',
    inject: faultInjection({ kind: 'loseAnswer' }),
    name: 'answer lost',
  },
  {
    call: 'grantLease',
    expected: 'outcomeUnknown',
    inject: faultInjection({ kind: 'loseAnswer' }),
    name: 'answer lost',
  },
  {
    call: 'commit',
    expected: 'outcomeUnknown',
    hitsDeadline: true,
    inject: faultInjection({ delayMs: PAST_DEADLINE_MS, kind: 'slow' }),
    isWritten: true,
    name: 'answer past the deadline',
  },
  {
    call: 'read',
    expected: 'unavailable',
    hitsDeadline: true,
    inject: faultInjection({ delayMs: PAST_DEADLINE_MS, kind: 'slow' }),
    name: 'answer past the deadline',
  },
  {
    call: 'commit',
    expected: 'outcomeUnknown',
    hitsDeadline: true,
    inject: faultInjection({ kind: 'freeze' }),
    isWritten: false,
    name: 'store frozen',
  },
  {
    call: 'commit',
    expected: 'outcomeUnknown',
    hitsDeadline: true,
    inject: silenceOpenConnections,
    isWritten: false,
    name: 'connection silent',
  },
  {
    call: 'commit',
    expected: 'unavailable',
    inject: faultInjection({ kind: 'refuse' }),
    isWritten: false,
    name: 'no leader',
  },
  {
    call: 'read',
    expected: 'unavailable',
    inject: faultInjection({ kind: 'refuse' }),
    name: 'no leader',
  },
];

for (const row of FAULT_CASES) {
  test(`${row.call}, ${row.name}: ${row.expected}`, async (t) => {
    const deadlineMs = row.hitsDeadline === true ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
    const fixture = await startEtcdFixture(t, { deadlineMs });
    await row.inject(fixture);
    const result = await CALLS[row.call](fixture.store);
    t.is(result.ok ? 'ok' : result.error.kind, row.expected);
    if (row.isWritten !== undefined) {
      t.is(fixture.state.read('/k/a') !== undefined, row.isWritten);
    }
  });
}

test('writes and reads above the rate limit are refused and have no effect', async (t) => {
  const { clock, state, store } = await startEtcdFixture(t, {
    readsPerSecond: 1,
    writesPerSecond: 2,
  });
  const results = [];
  for (const key of ['/k/a', '/k/b', '/k/c']) {
    results.push(await store.commit({ guards: [], writes: [putWrite(key, '1')] }));
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

test('calls succeed on a new connection after another one went silent', async (t) => {
  const fixture = await startEtcdFixture(t, { deadlineMs: SHORT_DEADLINE_MS });
  await silenceOpenConnections(fixture);
  t.false((await fixture.store.commit(COMMIT)).ok);
  t.true((await fixture.store.commit(COMMIT)).ok);
});

test('the etcd store client sends each call only once', async (t) => {
  const fixture = await startEtcdFixture(t, { deadlineMs: LONG_DEADLINE_MS });
  await fixture.store.commit(COMMIT);
  await injectFault(fixture.server, { count: 3, kind: 'loseAnswer' });
  await fixture.store.commit(COMMIT);
  const counts = await (await fetch(`${fixture.server.url}/control/counts`)).json();
  t.deepEqual(counts, { '/v3/kv/txn': 2 });
});

const WATCH_FAULTS: Readonly<Record<string, (fixture: EtcdFixture) => Promise<unknown>>> = {
  'the server stops': ({ server }) => server.close(),
  'the connection goes silent': ({ server }) => injectFault(server, { kind: 'silent' }),
  'the store freezes': ({ server }) => injectFault(server, { kind: 'freeze' }),
};

for (const [name, inject] of Object.entries(WATCH_FAULTS)) {
  test(`a watch ends when ${name}`, async (t) => {
    const fixture = await startEtcdFixture(t, { watchIdleLimitMs: WATCH_IDLE_LIMIT_MS });
    const recorder = new WatchRecorder();
    await fixture.store.commit(COMMIT);
    fixture.store.watch('/k/', toRevision(1), recorder.onEvent);
    await recorder.waitForChange('/k/a', '1');
    await inject(fixture);
    await recorder.waitUntil((events) => events.some((event) => event.kind === 'ended'));
    t.is(recorder.events.filter((event) => event.kind === 'ended').length, 1);
  });
}

test('a watch reopened after its connection went silent misses no change', async (t) => {
  const fixture = await startEtcdFixture(t, { watchIdleLimitMs: WATCH_IDLE_LIMIT_MS });
  const first = new WatchRecorder();
  fixture.store.watch('/k/', toRevision(1), first.onEvent);
  await fixture.store.commit(COMMIT);
  await first.waitForChange('/k/a', '1');
  await injectFault(fixture.server, { kind: 'silent' });
  fixture.state.commit({ guards: [], writes: [putWrite('/k/a', '2')] });
  await first.waitUntil((events) => events.some((event) => event.kind === 'ended'));
  t.false(first.events.some((event) => event.kind === 'changes' && event.revision > 2));
  const second = new WatchRecorder();
  const watch = fixture.store.watch('/k/', toRevision(2), second.onEvent);
  await second.waitForChange('/k/a', '2');
  watch.close();
  t.pass();
});

test('a refused watch ends', async (t) => {
  const fixture = await startEtcdFixture(t);
  await injectFault(fixture.server, { kind: 'refuse' });
  const recorder = new WatchRecorder();
  fixture.store.watch('/k/', toRevision(1), recorder.onEvent);
  await recorder.waitUntil((events) => events.length > 0);
  t.deepEqual(
    recorder.events.map((event) => event.kind),
    ['ended'],
  );
});

test('closing the store client ends its running call; later calls are not sent', async (t) => {
  const { server, state, store } = await startEtcdFixture(t, { deadlineMs: LONG_DEADLINE_MS });
  await injectFault(server, { delayMs: PAST_DEADLINE_MS, kind: 'slow' });
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

test('a lagging read returns the older state with its revision', async (t) => {
  const { server, state, store } = await startEtcdFixture(t);
  await store.commit(COMMIT);
  await injectFault(server, { kind: 'lag', lagMs: 1000 });
  state.commit({ guards: [], writes: [putWrite('/k/a', '2')] });
  const lagging = await store.range('/k/');
  t.like(lagging.ok && lagging.value, { revision: 2, values: [{ modRevision: 2, value: '1' }] });
  await injectFault(server, { kind: 'clear' });
  const current = await store.range('/k/');
  t.like(current.ok && current.value, { revision: 3, values: [{ modRevision: 3, value: '2' }] });
});

test('refused calls are counted', async (t) => {
  const { server, store } = await startEtcdFixture(t);
  await injectFault(server, { kind: 'refuse' });
  await store.read('/k/a');
  const counts = await (await fetch(`${server.url}/control/counts`)).json();
  t.deepEqual(counts, { '/v3/kv/range': 1 });
});
