import { CONTRACT_PREFIX, TOMBSTONE_TEXT, hashKey } from '@laburnumgap/contracts';
import type { Revision, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import { stringify } from 'yaml';
import type { ConfigChange } from '../../index.js';
import { ConfigState, createConfigView } from '../../index.js';

const TEAMS = ['drafts', 'flags', 'notes'];

const contractText = (team: string, weight: number): string =>
  stringify({
    customer: 'harrow-pell',
    keys: [{ id: 'first', sha256: hashKey(team) }],
    limits: { concurrentRequests: 1, requestsPerSecond: 1, tokensPerSecond: 1 },
    scheduling: { class: 'batch', weight },
    team,
    waitBoundMs: 1,
  });

const change = (team: string, revision: number, value?: string): ConfigChange => ({
  key: `${CONTRACT_PREFIX}${team}`,
  modRevision: toNumberId<Revision>(revision),
  value,
});

const changesArbitrary = fc.uniqueArray(
  fc.record({
    kind: fc.constantFrom('contract', 'deleted', 'invalid', 'tombstone'),
    revision: fc.integer({ max: 40, min: 1 }),
    team: fc.constantFrom(...TEAMS),
  }),
  { selector: ({ revision }) => revision },
);

const toChange = ({
  kind,
  revision,
  team,
}: {
  kind: string;
  revision: number;
  team: string;
}): ConfigChange => {
  const values: Record<string, string | undefined> = {
    contract: contractText(team, revision),
    invalid: 'weight: wrong',
    tombstone: TOMBSTONE_TEXT,
  };
  return change(team, revision, values[kind]);
};

const weightOf = (state: ConfigState, team: string): number | undefined =>
  state.snapshot.contracts.get(toId<TeamId>(team))?.contract.scheduling.weight;

test('the newest valid document of each key is in force, whatever the order of arrival', (t) => {
  fc.assert(
    fc.property(changesArbitrary, fc.array(fc.nat(), { minLength: 40 }), (generated, ranks) => {
      const state = new ConfigState();
      const shuffled = generated
        .map((item, position) => ({ item, rank: ranks[position] ?? 0 }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ item }) => toChange(item));
      for (const item of [...shuffled, ...shuffled]) {
        state.apply([item]);
      }
      return TEAMS.every((team) => {
        const valid = generated.filter(
          (item) => item.team === team && !['deleted', 'invalid'].includes(item.kind),
        );
        const newest = valid.sort((a, b) => b.revision - a.revision)[0];
        return (
          weightOf(state, team) === (newest?.kind === 'contract' ? newest.revision : undefined)
        );
      });
    }),
    { numRuns: 300 },
  );
  t.pass();
});

test('neither the revision of a document nor that of the snapshot ever decreases', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.array(changesArbitrary, { maxLength: 3 }), { maxLength: 4 }),
      (batches) => {
        const state = new ConfigState();
        return batches.flat().every((batch) => {
          const before = state.snapshot;
          state.apply(batch.map(toChange));
          const isNotLower = state.snapshot.revision >= before.revision;
          return (
            isNotLower &&
            [...before.contracts].every(([team, { revision }]) => {
              const now = state.snapshot.contracts.get(team);
              return now === undefined || now.revision >= revision;
            })
          );
        });
      },
    ),
  );
  t.pass();
});

test('a rejected document is reported once and the previous document stays in force', (t) => {
  const state = new ConfigState();
  state.apply([change('notes', 5, contractText('notes', 5))]);
  const before = state.snapshot;
  const rows: [name: string, change: ConfigChange][] = [
    ['invalid content', change('notes', 6, 'team: [')],
    ['another team', change('notes', 7, contractText('flags', 7))],
    ['deleted without laburnumctl', change('notes', 8)],
    [
      'foreign key',
      { ...change('notes', 9, contractText('notes', 9)), key: '/laburnum/members/a' },
    ],
    ['no revision', change('flags', 0, contractText('flags', 0))],
    ['broken revision', change('flags', Number.NaN, contractText('flags', 1))],
  ];
  for (const [name, invalidChange] of rows) {
    t.is(
      state.apply([invalidChange]).rejected.length,
      Number.isNaN(invalidChange.modRevision) || invalidChange.modRevision > 0 ? 1 : 0,
      name,
    );
    t.is(state.apply([invalidChange]).applied.length, 0, name);
    t.is(state.snapshot, before, name);
  }
  t.deepEqual(state.apply([change('notes', 6, 'team: [')]).rejected, [], 'an older rejection');
  t.is(state.apply([change('notes', 9, contractText('notes', 9))]).applied.length, 1);
});

test('a key with only a rejected document is missing until an older valid one arrives', (t) => {
  const state = new ConfigState();
  state.apply([change('notes', 6, 'team: [')]);
  t.deepEqual(state.missingKeys, [`${CONTRACT_PREFIX}notes`]);
  state.apply([change('notes', 5, contractText('notes', 5))]);
  t.deepEqual(state.missingKeys, []);
  t.is(weightOf(state, 'notes'), 5);
  state.markComplete(toNumberId<Revision>(9));
  state.markComplete(toNumberId<Revision>(8));
  t.is(state.completeRevision, toNumberId<Revision>(9));
});

test('a key authenticates one contract, or none if it is revoked or listed twice', (t) => {
  const state = new ConfigState();
  const view = createConfigView(state.snapshot);
  const seenRevisions: number[] = [];
  view.onChange(({ revision }) => seenRevisions.push(revision));
  const sha256 = hashKey('flags');
  const team = (): string => {
    const result = view.contractOfKey(sha256);
    return typeof result === 'string' ? result : result.contract.team;
  };
  const putContract = (name: string, revision: number, key: string): void => {
    state.apply([change(name, revision, contractText(name, 1).replace(hashKey(name), key))]);
    view.publish(state.snapshot);
  };
  t.is(team(), 'unknown');
  putContract('flags', 1, sha256);
  t.is(team(), 'flags');
  putContract('notes', 2, sha256);
  t.is(team(), 'revoked');
  putContract('flags', 3, `${sha256}\n    revoked: true`);
  t.is(team(), 'notes');
  state.apply([change('notes', 4, TOMBSTONE_TEXT)]);
  view.publish(state.snapshot);
  t.is(team(), 'revoked');
  t.deepEqual(seenRevisions, [1, 2, 3, 4]);
});
