import type { ConfigurationSnapshot, PlannedStop } from '@laburnumgap/contracts';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { startPlannedStopCheck } from '../../index.js';

const STOP: PlannedStop = {
  deadlineEpochMs: 2_000,
  id: 'stop-1',
  reason: '',
  startEpochMs: 1_000,
  target: { entryVm: 'entry-a', kind: 'entryVm' },
};

const CASES: readonly {
  readonly name: string;
  readonly nowEpochMs: number;
  readonly stopped: readonly string[];
  readonly target: PlannedStop['target'];
}[] = [
  { name: 'its own VM', nowEpochMs: 1_000, stopped: ['stop-1'], target: STOP.target },
  {
    name: 'its failure domain',
    nowEpochMs: 1_500,
    stopped: ['stop-1'],
    target: { failureDomain: 'a', kind: 'failureDomain' },
  },
  { name: 'its own VM later', nowEpochMs: 999, stopped: [], target: STOP.target },
  {
    name: 'another VM',
    nowEpochMs: 1_500,
    stopped: [],
    target: { entryVm: 'entry-b', kind: 'entryVm' },
  },
];

for (const { name, nowEpochMs, stopped, target } of CASES) {
  test(`a planned stop of ${name} at ${nowEpochMs} stops ${stopped.length} times`, (t) => {
    const snapshot: ConfigurationSnapshot = {
      contracts: new Map(),
      revision: toNumberId(1),
      stops: [{ ...STOP, target }],
    };
    let tick: () => void = () => undefined;
    const seen: string[] = [];
    const tearDown = startPlannedStopCheck({
      clock: { nowEpochMs: () => nowEpochMs },
      configuration: {
        contractOfKey: () => 'unknown',
        onChange: () => () => undefined,
        snapshot: () => snapshot,
      },
      onStop: (stop) => seen.push(stop.id),
      settings: { entryVm: 'entry-a', failureDomain: 'a', id: 'router-a', region: 'south' },
      startInterval: (_intervalMs, run) => {
        tick = run;
        return () => undefined;
      },
    });
    tick();
    tick();
    t.deepEqual(seen, stopped);
    tearDown();
    tick();
    t.deepEqual(seen, stopped);
  });
}
