import type { PlannedStop } from '@laburnumgap/contracts';
import type { EntryVmId, FailureDomainId, ListedServer, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import { LeavingServerTracker, plannedStopOf } from '../../index.js';

/** State of the server in the list; `unread` means that the list could not be read. */
type ListState = 'gone' | 'leaving' | 'live' | 'unread';

interface Step {
  readonly atEpochMs?: number;
  readonly isAnnounced?: boolean;
  readonly listState?: ListState;
  readonly stops?: readonly PlannedStop[];
}

const SERVER = toId<ServerId>('model-1');
const stop = (target: PlannedStop['target'], id = 'stop-1'): PlannedStop => ({
  deadlineEpochMs: 200,
  id,
  reason: '',
  startEpochMs: 100,
  target,
});
const BY_SERVER = [stop({ kind: 'server', serverId: 'model-1' })];
const BY_DOMAIN = [stop({ failureDomain: 'zone-a', kind: 'failureDomain' })];
const OTHER_DOMAIN = [stop({ failureDomain: 'zone-b', kind: 'failureDomain' })];

const listed = (state: 'leaving' | 'live'): ListedServer => ({
  address: 'http://127.0.0.1:1',
  backend: { kind: 'model', pool: toId('pool') },
  failureDomain: toId<FailureDomainId>('zone-a'),
  region: toId('region'),
  serverId: SERVER,
  state,
});

/** Runs the steps and returns the server's state after each: live, leaving or gone. */
const runSteps = (steps: readonly Step[]): string => {
  const tracker = new LeavingServerTracker();
  const seenStates = steps.map(
    ({ atEpochMs = 150, isAnnounced, listState = 'live', stops = [] }) => {
      if (isAnnounced) {
        tracker.markLeaving(SERVER);
      }
      const servers = listState === 'gone' || listState === 'unread' ? [] : [listed(listState)];
      const trackedServers = tracker.update({
        listed: listState === 'unread' ? undefined : servers,
        nowEpochMs: atEpochMs,
        stops,
      });
      const [server] = trackedServers;
      return server ? (server.leaving ? 'leaving' : 'live') : 'gone';
    },
  );
  return seenStates.join(' ');
};

const CASES: [name: string, steps: readonly Step[], states: string][] = [
  [
    'listed as leaving, then the list lags',
    [{}, { listState: 'leaving' }, {}, {}],
    'live leaving leaving leaving',
  ],
  ['own announcement while the list lags', [{}, { isAnnounced: true }, {}], 'live leaving leaving'],
  ['own announcement before the first list', [{ isAnnounced: true }, {}], 'leaving leaving'],
  [
    'returns after it was missing from the list',
    [{ listState: 'leaving' }, { listState: 'gone' }, {}, {}],
    'leaving gone live live',
  ],
  [
    'an unavailable list clears nothing',
    [{ listState: 'leaving' }, { listState: 'unread' }, {}],
    'leaving leaving leaving',
  ],
  ['a stop before its start', [{ atEpochMs: 99, stops: BY_SERVER }], 'live'],
  ['a stop from its start on', [{ atEpochMs: 100, stops: BY_SERVER }], 'leaving'],
  [
    'a stop while the list is unavailable',
    [{}, { listState: 'unread', stops: BY_SERVER }],
    'live leaving',
  ],
  ['a stop of its failure domain', [{ stops: BY_DOMAIN }], 'leaving'],
  ['a stop of another failure domain', [{ stops: OTHER_DOMAIN }], 'live'],
  ['a cancelled stop', [{ stops: BY_SERVER }, {}], 'leaving live'],
  [
    'a cancelled stop is cleared only by a list that says live',
    [{ stops: BY_SERVER }, { listState: 'unread' }, {}],
    'leaving leaving live',
  ],
  [
    'cancelling a stop does not clear the mark from the list',
    [{ stops: BY_SERVER }, { listState: 'leaving', stops: BY_SERVER }, {}],
    'leaving leaving leaving',
  ],
  [
    'a stop past its deadline still applies to a marked server',
    [{ stops: BY_SERVER }, { atEpochMs: 250, stops: BY_SERVER }],
    'leaving leaving',
  ],
  [
    'a stop past its deadline marks no further server',
    [{ atEpochMs: 250, stops: BY_SERVER }],
    'live',
  ],
  [
    'returns before the deadline of its stop',
    [{ stops: BY_SERVER }, { listState: 'gone', stops: BY_SERVER }, { stops: BY_SERVER }],
    'leaving gone leaving',
  ],
  [
    'returns after the deadline of its stop',
    [
      { stops: BY_SERVER },
      { listState: 'gone', stops: BY_SERVER },
      { atEpochMs: 250, stops: BY_SERVER },
    ],
    'leaving gone live',
  ],
];

for (const [name, steps, states] of CASES) {
  test(name, (t) => {
    t.is(runSteps(steps), states);
  });
}

test('a server stays marked until it was missing from the list or its stop was cancelled', (t) => {
  const step = fc.record({
    isAnnounced: fc.boolean(),
    listState: fc.constantFrom<ListState>('gone', 'leaving', 'live', 'unread'),
    stops: fc.constantFrom(BY_SERVER, BY_DOMAIN, []),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const states = runSteps(steps).split(' ');
      return states.every((view, position) => {
        const before = states[position - 1];
        const wasCancelled =
          (steps[position - 1]?.stops.length ?? 0) > (steps[position]?.stops.length ?? 0);
        const wasAnnounced = steps
          .slice(0, position)
          .some(({ isAnnounced, listState }) => isAnnounced || listState === 'leaving');
        const wasGone = steps.slice(0, position).some(({ listState }) => listState === 'gone');
        const wasCleared = before === 'leaving' && view === 'live';
        return (
          !wasCleared ||
          wasGone ||
          (!wasAnnounced && (wasCancelled || steps[position]?.stops.length === 0))
        );
      });
    }),
    { numRuns: 500 },
  );
  t.pass();
});

test('a daemon finds the stop of its VM or of its failure domain', (t) => {
  const stops = [
    stop({ entryVm: 'vm-1', kind: 'entryVm' }, 'vm'),
    { ...stop({ failureDomain: 'zone-b', kind: 'failureDomain' }, 'zone'), deadlineEpochMs: 150 },
  ];
  const findStopId = (vm: string, domain: string, atEpochMs: number): string | undefined =>
    plannedStopOf(stops, toId<EntryVmId>(vm), toId<FailureDomainId>(domain), atEpochMs)?.id;
  t.is(findStopId('vm-1', 'zone-a', 99), undefined);
  t.is(findStopId('vm-1', 'zone-a', 100), 'vm');
  t.is(findStopId('vm-1', 'zone-b', 100), 'zone');
  t.is(findStopId('vm-1', 'zone-b', 150), 'vm');
  t.is(findStopId('vm-2', 'zone-a', 100), undefined);
  t.is(findStopId('vm-1', 'zone-a', 200), undefined);
});
