import { CONTRACT_PREFIX } from '@laburnumgap/contracts';
import { failure } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import { CtlHarness } from '../helpers/CtlHarness.js';

const CONTRACT = `customer: hoa-sen
team: flags
keys:
  - id: first
    sha256: ${'a'.repeat(64)}
limits:
  concurrentRequests: 4
  requestsPerSecond: 2
  tokensPerSecond: 100
scheduling:
  class: standard
waitBoundMs: 1000
`;

const createHarness = (files: Record<string, string>): CtlHarness => {
  const harness = new CtlHarness();
  for (const [file, text] of Object.entries(files)) {
    harness.files.set(file, text);
  }
  return harness;
};

const FILES = {
  'flags.yaml': CONTRACT,
  'invalid.yaml': CONTRACT.replace('class: standard', 'class: urgent').concat('burst: 3\n'),
  'more.yaml': CONTRACT.replace('requestsPerSecond: 2', 'requestsPerSecond: 5'),
  'other.yaml': CONTRACT.replace('team: flags', 'team: notes'),
};

test('invalid arguments exit with 2 and state what is expected', async (t) => {
  const rows: [line: string, expected: RegExp][] = [
    ['frobnicate', /unknown command/],
    ['contract', /unknown command/],
    ['contract apply', /needs a file/],
    ['contract get', /needs a team/],
    ['contract list --bogus 1', /unknown option: --bogus/],
    ['contract list flags', /unexpected argument: flags/],
    ['contract apply flags.yaml --expect-revision soon', /expected a whole number/],
    ['contract apply flags.yaml --expect-revision', /expected a whole number/],
    [
      'contract apply invalid.yaml',
      /invalid\.yaml:11: scheduling\.class: .*\n.*invalid\.yaml:13: burst: unknown key/,
    ],
    ['contract apply missing.yaml', /missing\.yaml: ENOENT/],
    ['contract list --settings missing.yaml', /missing\.yaml: ENOENT/],
    ['contract list --settings flags.yaml', /flags\.yaml:1: customer: unknown key/],
    ['stop plan', /expected one of --server/],
    ['stop plan --server model-1 --entry-vm entry-1', /expected one of --server/],
    ['stop plan --server model-1 --start soon', /--start: expected a time/],
    ['stop plan --server model-1 --deadline 10m', /--deadline: expected a time/],
    ['stop plan --server model-1 --deadline +0m', /deadlineEpochMs: expected a time after/],
    ['stop plan --server "not a name"', /serverId/],
    ['explain', /needs a request-id/],
  ];
  const harness = createHarness(FILES);
  for (const [line, expected] of rows) {
    const run = await harness.run(line);
    t.is(run.exitCode, 2, line);
    t.regex(run.errors, expected, line);
    t.is(run.output, '', line);
  }
  const stored = await harness.store.range('/');
  t.deepEqual(stored.ok && stored.value.values, []);
});

test('a contract is applied, compared, shown, changed and removed', async (t) => {
  const harness = createHarness(FILES);
  const lines = [
    'contract diff flags.yaml',
    'contract apply flags.yaml',
    'contract apply flags.yaml',
    'contract diff more.yaml',
    'contract apply more.yaml --expect-revision 2',
    'contract apply flags.yaml --expect-revision 2',
    'contract apply other.yaml',
    'contract list',
    'contract list --json',
    'contract get flags',
    'contract history flags',
    'contract remove flags',
    'contract get flags',
    'contract apply more.yaml',
    'contract history flags --json',
    'contract history notes',
  ];
  for (const line of lines) {
    t.snapshot(await harness.run(line), line);
  }
});

test('the output of get can be applied again', async (t) => {
  const harness = createHarness(FILES);
  await harness.run('contract apply flags.yaml');
  const { output } = await harness.run('contract get flags');
  harness.files.set('got.yaml', `${output}\n`);
  t.regex((await harness.run('contract apply got.yaml')).output, /unchanged at revision 2/);
});

test('a contract that was corrupted in the store is marked in the list', async (t) => {
  const harness = createHarness(FILES);
  await harness.run('contract apply flags.yaml');
  const key = `${CONTRACT_PREFIX}flags`;
  await harness.store.commit({ guards: [], writes: [{ key, kind: 'put', value: 'team: [' }] });
  t.regex((await harness.run('contract list')).output, /flags .*INVALID, kept out/);
});

test('stops are planned, listed and cancelled', async (t) => {
  const harness = createHarness(FILES);
  const lines = [
    'stop plan --server model-3 --id a --reason "new disks"',
    'stop plan --entry-vm entry-2 --start +10m --deadline +20m',
    'stop plan --failure-domain zone-1 --start 2026-12-04T01:00:00Z --deadline 2026-12-04T02:00:00Z --id c',
    'stop plan --server model-3 --id a',
    'stop list',
    'stop cancel a',
    'stop cancel a',
    'stop list --json',
  ];
  for (const line of lines) {
    t.snapshot(await harness.run(line), line);
  }
});

test('while the store is down every command reports that nothing was changed and exits with 1', async (t) => {
  const failUnavailable = (): Promise<never> =>
    Promise.resolve(failure({ detail: 'down', kind: 'unavailable' }) as never);
  const store = {
    ...createMemoryStore(),
    commit: failUnavailable,
    range: failUnavailable,
    read: failUnavailable,
  };
  const harness = new CtlHarness(store);
  harness.files.set('flags.yaml', CONTRACT);
  const lines = [
    'contract apply flags.yaml',
    'contract diff flags.yaml',
    'contract get flags',
    'contract history flags',
    'contract list',
    'contract remove flags',
    'explain r-1',
    'status',
    'stop cancel a',
    'stop list',
    'stop plan --server model-3',
  ];
  for (const line of lines) {
    const run = await harness.run(line);
    t.is(run.exitCode, 1, line);
    t.regex(run.errors, /does not answer: down; nothing was changed/, line);
  }
});

test('keys are hashed from the argument or from standard input', async (t) => {
  const harness = new CtlHarness();
  harness.stdin = 'hoa-sen-reports-example-key\n';
  const given = await harness.run('hash-key hoa-sen-reports-example-key');
  t.is(given.output, (await harness.run('hash-key')).output);
  t.regex(given.output, /^[0-9a-f]{64}$/);
  harness.stdin = '\n';
  t.is((await harness.run('hash-key')).exitCode, 2);
});
