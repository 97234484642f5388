import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { PlatformStore, Revision } from '@laburnumgap/kernel';
import { failure, toNumberId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import type { ConfigWrite } from '../../index.js';
import { parseHistory, writeConfig } from '../../index.js';

const KEY = `${CONTRACT_PREFIX}notes`;
const HISTORY_KEY = `${HISTORY_PREFIX}notes`;

/** What becomes of the commits of one change, one after another. */
type CommitFate =
  'lostAfter' | 'lostBefore' | 'ok' | 'otherFirst' | 'otherThenLost' | 'unavailable';

const writeOf = (changeId: string, expected: number): ConfigWrite => ({
  changeId,
  expectedRevision: toNumberId<Revision>(expected),
  historyKey: HISTORY_KEY,
  key: KEY,
  nowEpochMs: 1,
  operator: changeId,
  text: `text of ${changeId}`,
});

const withFates = (store: PlatformStore, fates: readonly CommitFate[]): PlatformStore => {
  const left = [...fates];
  const lost = failure({ detail: 'timeout', kind: 'outcomeUnknown' as const });
  const other = async (): Promise<void> => {
    const revision = (await currentOf(store)).revision;
    await writeConfig({ store }, writeOf('other', revision));
  };
  return {
    ...store,
    commit: async (commit) => {
      const fate = left.shift() ?? 'ok';
      if (fate === 'unavailable') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      if (fate === 'otherFirst') {
        await other();
      }
      if (fate === 'lostBefore') {
        return lost;
      }
      const committed = await store.commit(commit);
      if (fate === 'otherThenLost') {
        await other();
      }
      return fate === 'lostAfter' || fate === 'otherThenLost' ? lost : committed;
    },
  };
};

const currentOf = async (store: PlatformStore): Promise<{ revision: number; text?: string }> => {
  const read = await store.read(KEY);
  const value = read.ok ? read.value : undefined;
  return { revision: value?.modRevision ?? 0, text: value?.value };
};

const TABLE: [fates: readonly CommitFate[], outcome: string, inForce: string, versions: string][] =
  [
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
    [Array<CommitFate>(9).fill('lostBefore'), 'outcomeUnknown', 'first', 'first'],
  ];

for (const [fates, outcome, inForce, versions] of TABLE) {
  test(`${outcome} after ${fates.join(', ')}`, async (t) => {
    const store = createMemoryStore();
    await writeConfig({ store }, writeOf('first', 0));
    const { revision } = await currentOf(store);
    const wait = (): Promise<void> => Promise.resolve();
    const written = await writeConfig(
      { store: withFates(store, fates), wait },
      writeOf('own', revision),
    );
    const history = await store.read(HISTORY_KEY);
    const kept = parseHistory(history.ok ? history.value?.value : undefined).versions;
    t.is(written.ok ? 'accepted' : written.error.kind, outcome);
    t.is((await currentOf(store)).text, `text of ${inForce}`);
    t.is(kept.map(({ changeId }) => changeId).join(' '), versions);
    if (written.ok) {
      const accepted = kept[kept.findIndex(({ changeId }) => changeId === 'own') + 1];
      t.is<number, number>(
        written.value,
        accepted?.replacedRevision ?? (await currentOf(store)).revision,
      );
    }
    if (!written.ok && written.error.kind === 'conflict') {
      t.is(written.error.operator, 'other');
      t.deepEqual(
        [written.error.expectedRevision, written.error.actualRevision],
        [revision, (await currentOf(store)).revision],
      );
    }
  });
}

test('of operators that race, one is accepted and every other one gets a conflict', async (t) => {
  const store = createMemoryStore();
  const outcomes = await Promise.all(
    Array.from({ length: 8 }, (_, place) => writeConfig({ store }, writeOf(`op-${place}`, 0))),
  );
  const accepted = outcomes.filter((outcome) => outcome.ok);
  const conflicts = outcomes.filter((outcome) => !outcome.ok && outcome.error.kind === 'conflict');
  t.deepEqual([accepted.length, conflicts.length], [1, 7]);
});
