import type { ConfigurationSnapshot, ConfigurationView, PlannedStop } from '@laburnumgap/contracts';
import type { DecisionRecord, ListedServer, Result, VmListError } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import type { RunningServerDirectory } from '../../index.js';
import { startServerDirectory } from '../../index.js';

const listed = (id: string, state: ListedServer['state'] = 'live'): ListedServer => ({
  address: `http://127.0.0.1:1/${id}`,
  backend: { kind: 'model', pool: toId('pool') },
  failureDomain: toId('zone-1'),
  region: toId('region'),
  serverId: toId(id),
  state,
});

interface BenchState {
  changes: number;
  list: Result<readonly ListedServer[], VmListError>;
}

interface Bench {
  readonly decisions: DecisionRecord[];
  readonly directory: RunningServerDirectory;
  readonly poll: () => Promise<void>;
  readonly setStops: (stops: readonly PlannedStop[]) => void;
  readonly state: BenchState;
  readonly view: () => string;
}

const createBench = async (): Promise<Bench> => {
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
  const state: BenchState = { changes: 0, list: success([listed('b'), listed('a')]) };
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
    view: () =>
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

test('list, planned stops and notices are merged, and each change is told once', async (t) => {
  const bench = await createBench();
  t.is(bench.view(), 'a, b');
  bench.setStops([STOP]);
  t.is(bench.view(), 'a leaving, b', 'a planned stop counts without a new list');
  bench.directory.markLeaving(toId('b'));
  t.is(bench.view(), 'a leaving, b leaving');
  await bench.poll();
  t.is(bench.state.changes, 3);
  bench.state.list = failure({ detail: 'down', kind: 'vmListUnavailable' });
  await bench.poll();
  t.is(bench.view(), 'a leaving, b leaving', 'the last list holds');
  bench.state.list = success([listed('a'), listed('b'), listed('c', 'leaving')]);
  bench.setStops([]);
  await bench.poll();
  t.is(bench.view(), 'a, b leaving, c leaving');
  const decided = bench.decisions.map(
    ({ fields }) => `${String(fields.serverId)} ${String(fields.leaving)}`,
  );
  t.deepEqual(decided, ['a true', 'b true', 'a false', 'c true']);
});

test('a cancelled stop is lifted by the next list that says live, not before', async (t) => {
  const bench = await createBench();
  bench.setStops([STOP]);
  bench.setStops([]);
  t.is(bench.view(), 'a leaving, b');
  await bench.poll();
  t.is(bench.view(), 'a, b');
});
