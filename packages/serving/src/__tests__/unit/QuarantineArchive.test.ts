import type { QuarantineReport, QuarantineStage } from '@laburnumgap/dispatch';
import type { FingerprintId } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { QuarantineStore } from '../../index.js';
import { QuarantineArchive } from '../../index.js';

const PART = toId<FingerprintId>('part a');

/** Store that records calls, and fails as many as it is told to. */
class RecordingStore implements QuarantineStore {
  readonly calls: string[] = [];
  failingCalls = 0;

  removeQuarantine(): ReturnType<QuarantineStore['removeQuarantine']> {
    return this.call('removed');
  }

  writeQuarantine({
    stage,
    trials,
  }: QuarantineReport): ReturnType<QuarantineStore['writeQuarantine']> {
    return this.call(`${stage} ${trials}`);
  }

  private call(name: string): ReturnType<QuarantineStore['removeQuarantine']> {
    this.calls.push(this.failingCalls > 0 ? `${name} failed` : name);
    this.failingCalls -= 1;
    return Promise.resolve(
      this.failingCalls >= 0 ? failure({ kind: 'refused', status: 503 }) : success(undefined),
    );
  }
}

function createArchive(): {
  readonly archive: QuarantineArchive;
  readonly set: (stage: QuarantineStage | undefined, trials?: number) => void;
  readonly store: RecordingStore;
  readonly time: { nowMs: number };
} {
  const store = new RecordingStore();
  let report: QuarantineReport | undefined;
  const time = { nowMs: 0 };
  const archive = new QuarantineArchive({
    clock: { nowMs: () => time.nowMs },
    log: { info: () => undefined, warn: () => undefined },
    reportOf: () => report,
    sleep: () => new Promise((resolve) => setImmediate(resolve)),
    store,
  });
  const set = (stage: QuarantineStage | undefined, trials = 0): void => {
    const base = { ageMs: 0, crashAgesMs: [1], episode: 1, fingerprint: PART, idleMs: 0 };
    report = stage && { ...base, stage, trials };
    archive.update(PART);
  };
  return { archive, set, store, time };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('each change is written once', async (t) => {
  const { archive, set, store } = createArchive();
  set('suspected');
  await settle();
  archive.update(PART);
  await settle();
  set('suspected', 1);
  await settle();
  set('confirmed', 1);
  await settle();
  t.deepEqual(store.calls, ['suspected 0', 'suspected 1', 'confirmed 1']);
});

test('what was written is written again before the store lets it lapse', async (t) => {
  const { set, store, time } = createArchive();
  set('suspected');
  await settle();
  time.nowMs = 200_000;
  set('suspected');
  await settle();
  t.is(store.calls.length, 1);
  time.nowMs = 400_000;
  set('suspected');
  await settle();
  t.is(store.calls.length, 2);
});

test('of changes during a call the last one is written', async (t) => {
  const { set, store } = createArchive();
  set('suspected');
  set('suspected', 1);
  set('confirmed', 1);
  await settle();
  t.deepEqual(store.calls.at(-1), 'confirmed 1');
  t.true(store.calls.length <= 2);
});

test('a call that fails is made again with what is known then', async (t) => {
  const { set, store } = createArchive();
  store.failingCalls = 2;
  set('suspected');
  set('confirmed');
  await settle();
  t.deepEqual(store.calls.at(-1), 'confirmed 0');
  t.is(store.calls.filter((call) => call.endsWith('failed')).length, 2);
});

// After the store had come back from an older copy, a restart of all daemons forgot the quarantine.
test('what the store lost with its newest state is written again', async (t) => {
  const { archive, set, store } = createArchive();
  set('confirmed', 2);
  await settle();
  archive.onStoreRestored();
  await settle();
  t.deepEqual(store.calls, ['confirmed 2', 'confirmed 2']);
  set(undefined);
  await settle();
  archive.onStoreRestored();
  await settle();
  t.deepEqual(store.calls.slice(2), ['removed', 'removed']);
});

// A daemon that was closed while the store was away went on calling it.
test('after a stop no call is made again', async (t) => {
  const { archive, set, store } = createArchive();
  store.failingCalls = Infinity;
  set('suspected');
  archive.stop();
  await settle();
  set('confirmed');
  await settle();
  t.deepEqual(store.calls, ['suspected 0 failed']);
});

test('what is over is removed once', async (t) => {
  const { archive, set, store } = createArchive();
  set('suspected');
  await settle();
  set('cleared');
  await settle();
  archive.update(PART);
  await settle();
  t.deepEqual(store.calls, ['suspected 0', 'removed']);
});

for (const stage of ['cleared', undefined] as const) {
  test(`what is ${stage ?? 'forgotten'} is removed`, async (t) => {
    const { set, store } = createArchive();
    set('suspected');
    await settle();
    set(stage);
    await settle();
    t.deepEqual(store.calls, ['suspected 0', 'removed']);
  });
}
