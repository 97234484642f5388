import type { ConfigurationSnapshot, ConfigurationView, PlannedStop } from '@laburnumgap/contracts';
import type { DecisionRecord, ListedServer, Result, VmListError } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import type { RunningServerDirectory } from '../../index.js';
import { startServerDirectory } from '../../index.js';

const listedServer = (id: string, state: ListedServer['state'] = 'live'): ListedServer => ({
  address: `http://127.0.0.1:1/${id}`,
  backend: { kind: 'model', pool: toId('pool') },
  failureDomain: toId('zone-1'),
  region: toId('region'),
  serverId: toId(id),
  state,
});

interface TestState {
  changes: number;
  list: Result<readonly ListedServer[], VmListError>;
}

interface TestDirectory {
  readonly decisions: DecisionRecord[];
  readonly directory: RunningServerDirectory;
  readonly poll: () => Promise<void>;
  readonly setStops: (stops: readonly PlannedStop[]) => void;
  readonly state: TestState;
  readonly describeServers: () => string;
}

const createTestDirectory = async (): Promise<TestDirectory> => {
  const decisions: DecisionRecord[] = [];
  let snapshot: ConfigurationSnapshot = {
    contracts: new Map(),
    revision: toNumberId(0),
    stops: [],
  };
  const listeners: ((snapshot: ConfigurationSnapshot) => void)[] = [];
  const configuration: ConfigurationView = {
    contractOfKey: () => 'unknown',
    onChange: (listener) => {
      listeners.push(listener);
      return () => undefined;
    },
    snapshot: () => snapshot,
  };
  const state: TestState = { changes: 0, list: success([listedServer('b'), listedServer('a')]) };
  const directory = startServerDirectory({
    clock: { nowEpochMs: () => 1_500 },
    configuration,
    decisions: { record: (decision) => decisions.push(decision) },
    log: NO_LOG,
    startInterval: () => () => undefined,
    vmList: { list: () => Promise.resolve(state.list) },
  });
  const poll = async (): Promise<void> => {
    await directory.refresh();
    await new Promise((resolve) => setImmediate(resolve));
  };
  directory.onChange(() => {
    state.changes += 1;
  });
  await poll();
  return {
    decisions,
    directory,
    poll,
    setStops: (stops) => {
      snapshot = { ...snapshot, stops };
      listeners.forEach((listener) => {
        listener(snapshot);
      });
    },
    state,
    describeServers: () =>
      directory
        .servers()
        .map(({ leaving, serverId }) => `${serverId}${leaving ? ' leaving' : ''}`)
        .join(', '),
  };
};

const STOP: PlannedStop = {
  deadlineEpochMs: 2_000,
  id: 'stop-1',
  reason: '',
  startEpochMs: 1_000,
  target: { kind: 'server', serverId: 'a' },
};

test('list, planned stops and announcements are merged, and each change is reported once', async (t) => {
  const testDirectory = await createTestDirectory();
  t.is(testDirectory.describeServers(), 'a, b');
  testDirectory.setStops([STOP]);
  t.is(
    testDirectory.describeServers(),
    'a leaving, b',
    'a planned stop applies without a new list',
  );
  testDirectory.directory.markLeaving(toId('b'));
  t.is(testDirectory.describeServers(), 'a leaving, b leaving');
  await testDirectory.poll();
  t.is(testDirectory.state.changes, 3);
  testDirectory.state.list = failure({ detail: 'down', kind: 'vmListUnavailable' });
  await testDirectory.poll();
  t.is(testDirectory.describeServers(), 'a leaving, b leaving', 'the last list stays in use');
  testDirectory.state.list = success([
    listedServer('a'),
    listedServer('b'),
    listedServer('c', 'leaving'),
  ]);
  testDirectory.setStops([]);
  await testDirectory.poll();
  t.is(testDirectory.describeServers(), 'a, b leaving, c leaving');
  const recordedDecisions = testDirectory.decisions.map(
    ({ fields }) => `${String(fields.serverId)} ${String(fields.leaving)}`,
  );
  t.deepEqual(recordedDecisions, ['a true', 'b true', 'a false', 'c true']);
});

test('a cancelled stop is cleared only by the next list that says live', async (t) => {
  const testDirectory = await createTestDirectory();
  testDirectory.setStops([STOP]);
  testDirectory.setStops([]);
  t.is(testDirectory.describeServers(), 'a leaving, b');
  await testDirectory.poll();
  t.is(testDirectory.describeServers(), 'a, b');
});
