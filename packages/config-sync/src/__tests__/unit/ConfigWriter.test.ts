import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { PlatformStore, Revision } from '@laburnumgap/kernel';
import { failure, toNumberId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import type { ConfigWrite } from '../../index.js';
import { parseHistory, writeConfig } from '../../index.js';

const KEY = `${CONTRACT_PREFIX}notes`;
const HISTORY_KEY = `${HISTORY_PREFIX}notes`;

/**
 * Fault of one commit attempt: the response is lost after or before the commit takes effect,
 * another operator commits first, another operator commits after it and the response is lost, or
 * the store is unavailable.
 */
type CommitFault =
  'lostAfter' | 'lostBefore' | 'ok' | 'otherFirst' | 'otherThenLost' | 'unavailable';

const createWrite = (changeId: string, expectedRevision: number): ConfigWrite => ({
  changeId,
  expectedRevision: toNumberId<Revision>(expectedRevision),
  historyKey: HISTORY_KEY,
  key: KEY,
  nowEpochMs: 1,
  operator: changeId,
  text: `text of ${changeId}`,
});

const withFaults = (store: PlatformStore, faults: readonly CommitFault[]): PlatformStore => {
  const remaining = [...faults];
  const lostResponse = failure({ detail: 'timeout', kind: 'outcomeUnknown' as const });
  const commitOther = async (): Promise<void> => {
    const revision = (await readCurrent(store)).revision;
    await writeConfig({ store }, createWrite('other', revision));
  };
  return {
    ...store,
    commit: async (commit) => {
      const fault = remaining.shift() ?? 'ok';
      if (fault === 'unavailable') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      if (fault === 'otherFirst') {
        await commitOther();
      }
      if (fault === 'lostBefore') {
        return lostResponse;
      }
      const committed = await store.commit(commit);
      if (fault === 'otherThenLost') {
        await commitOther();
      }
      return fault === 'lostAfter' || fault === 'otherThenLost' ? lostResponse : committed;
    },
  };
};

const readCurrent = async (store: PlatformStore): Promise<{ revision: number; text?: string }> => {
  const read = await store.read(KEY);
  const value = read.ok ? read.value : undefined;
  return { revision: value?.modRevision ?? 0, text: value?.value };
};

const CASES: [
  faults: readonly CommitFault[],
  outcome: string,
  inForce: string,
  versions: string,
][] = [
  [['ok'], 'accepted', 'own', 'first own'],
  [['unavailable'], 'unavailable', 'first', 'first'],
  [['lostBefore', 'ok'], 'accepted', 'own', 'first own'],
  [['lostAfter'], 'accepted', 'own', 'first own'],
  [['lostAfter', 'unavailable'], 'accepted', 'own', 'first own'],
  [['lostBefore', 'unavailable', 'ok'], 'accepted', 'own', 'first own'],
  [['lostBefore', 'lostAfter'], 'accepted', 'own', 'first own'],
  [['otherFirst'], 'conflict', 'other', 'first other'],
  [['lostBefore', 'otherFirst'], 'conflict', 'other', 'first other'],
  [['otherThenLost'], 'accepted', 'other', 'first own other'],
  [Array<CommitFault>(9).fill('lostBefore'), 'outcomeUnknown', 'first', 'first'],
];

for (const [faults, outcome, inForce, versions] of CASES) {
  test(`${outcome} after ${faults.join(', ')}`, async (t) => {
    const store = createMemoryStore();
    await writeConfig({ store }, createWrite('first', 0));
    const { revision } = await readCurrent(store);
    const wait = (): Promise<void> => Promise.resolve();
    const written = await writeConfig(
      { store: withFaults(store, faults), wait },
      createWrite('own', revision),
    );
    const history = await store.read(HISTORY_KEY);
    const keptVersions = parseHistory(history.ok ? history.value?.value : undefined).versions;
    t.is(written.ok ? 'accepted' : written.error.kind, outcome);
    t.is((await readCurrent(store)).text, `text of ${inForce}`);
    t.is(keptVersions.map(({ changeId }) => changeId).join(' '), versions);
    if (written.ok) {
      const accepted =
        keptVersions[keptVersions.findIndex(({ changeId }) => changeId === 'own') + 1];
      t.is<number, number>(
        written.value,
        accepted?.replacedRevision ?? (await readCurrent(store)).revision,
      );
    }
    if (!written.ok && written.error.kind === 'conflict') {
      t.is(written.error.operator, 'other');
      t.deepEqual(
        [written.error.expectedRevision, written.error.actualRevision],
        [revision, (await readCurrent(store)).revision],
      );
    }
  });
}

test('of concurrent changes, one is accepted and all others get a conflict', async (t) => {
  const store = createMemoryStore();
  const outcomes = await Promise.all(
    Array.from({ length: 8 }, (_, index) => writeConfig({ store }, createWrite(`op-${index}`, 0))),
  );
  const accepted = outcomes.filter((outcome) => outcome.ok);
  const conflicts = outcomes.filter((outcome) => !outcome.ok && outcome.error.kind === 'conflict');
  t.deepEqual([accepted.length, conflicts.length], [1, 7]);
});

test('an unreadable history is preserved when the next version replaces it', async (t) => {
  const store = createMemoryStore();
  await store.commit({
    guards: [],
    writes: [{ key: HISTORY_KEY, kind: 'put', value: '{"versions": 7}' }],
  });
  const preservedKeys: string[] = [];
  const written = await writeConfig(
    { onUnreadableHistory: (key) => preservedKeys.push(key), store },
    createWrite('own', 0),
  );
  t.true(written.ok);
  const [preservedKey] = preservedKeys;
  const preserved = await store.read(preservedKey ?? '');
  t.is(preserved.ok ? preserved.value?.value : undefined, '{"versions": 7}');
  const history = await store.read(HISTORY_KEY);
  const { unreadableText, versions } = parseHistory(history.ok ? history.value?.value : undefined);
  t.is(unreadableText, undefined);
  t.is(versions.map(({ changeId }) => changeId).join(' '), 'own');
});
