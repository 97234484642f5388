import type { ConfigurationSnapshot, PlannedStop } from '@laburnumgap/contracts';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { startPlannedStopCheck } from '../../index.js';

const PLANNED_STOP: PlannedStop = {
  deadlineEpochMs: 2_000,
  id: 'stop-1',
  reason: '',
  startEpochMs: 1_000,
  target: { entryVm: 'entry-a', kind: 'entryVm' },
};

const CASES: readonly {
  readonly expectedStopIds: readonly string[];
  readonly name: string;
  readonly nowEpochMs: number;
  readonly target: PlannedStop['target'];
}[] = [
  {
    expectedStopIds: ['stop-1'],
    name: 'its own VM',
    nowEpochMs: 1_000,
    target: PLANNED_STOP.target,
  },
  {
    expectedStopIds: ['stop-1'],
    name: 'its failure domain',
    nowEpochMs: 1_500,
    target: { failureDomain: 'a', kind: 'failureDomain' },
  },
  {
    expectedStopIds: [],
    name: 'its own VM that begins later',
    nowEpochMs: 999,
    target: PLANNED_STOP.target,
  },
  {
    expectedStopIds: [],
    name: 'another VM',
    nowEpochMs: 1_500,
    target: { entryVm: 'entry-b', kind: 'entryVm' },
  },
];

for (const { expectedStopIds, name, nowEpochMs, target } of CASES) {
  test(`a planned stop of ${name} at ${nowEpochMs} ms is reported ${expectedStopIds.length} times`, (t) => {
    const snapshot: ConfigurationSnapshot = {
      contracts: new Map(),
      revision: toNumberId(1),
      stops: [{ ...PLANNED_STOP, target }],
    };
    let runCheck: () => void = () => undefined;
    const stopIds: string[] = [];
    const tearDown = startPlannedStopCheck({
      clock: { nowEpochMs: () => nowEpochMs },
      configuration: {
        contractOfKey: () => 'unknown',
        onChange: () => () => undefined,
        snapshot: () => snapshot,
      },
      onStop: (stop) => stopIds.push(stop.id),
      settings: { entryVm: 'entry-a', failureDomain: 'a', id: 'router-a', region: 'south' },
      startInterval: (_intervalMs, run) => {
        runCheck = run;
        return () => undefined;
      },
    });
    runCheck();
    runCheck();
    t.deepEqual(stopIds, expectedStopIds);
    tearDown();
    runCheck();
    t.deepEqual(stopIds, expectedStopIds);
  });
}
