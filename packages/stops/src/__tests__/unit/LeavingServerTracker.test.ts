import type { PlannedStop } from '@laburnumgap/contracts';
import type { EntryVmId, FailureDomainId, ListedServer, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import { LeavingServerTracker, plannedStopOf } from '../../index.js';

type ListState = 'gone' | 'leaving' | 'live' | 'unread';

interface Step {
  readonly at?: number;
  readonly list?: ListState;
  readonly notice?: boolean;
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

/** Runs the steps and writes the view after each: live, leaving or gone. */
const run = (steps: readonly Step[]): string => {
  const marks = new LeavingServerTracker();
  const seen = steps.map(({ at = 150, list = 'live', notice, stops = [] }) => {
    if (notice) {
      marks.markLeaving(SERVER);
    }
    const servers = list === 'gone' || list === 'unread' ? [] : [listed(list)];
    const known = marks.update({
      listed: list === 'unread' ? undefined : servers,
      nowEpochMs: at,
      stops,
    });
    const [server] = known;
    return server ? (server.leaving ? 'leaving' : 'live') : 'gone';
  });
  return seen.join(' ');
};

const TABLE: [name: string, steps: readonly Step[], views: string][] = [
  [
    'the list names it, then lags',
    [{}, { list: 'leaving' }, {}, {}],
    'live leaving leaving leaving',
  ],
  ['its own notice, the list lags', [{}, { notice: true }, {}], 'live leaving leaving'],
  ['notice before the first list', [{ notice: true }, {}], 'leaving leaving'],
  [
    'returns after it was gone',
    [{ list: 'leaving' }, { list: 'gone' }, {}, {}],
    'leaving gone live live',
  ],
  [
    'an unread list lifts nothing',
    [{ list: 'leaving' }, { list: 'unread' }, {}],
    'leaving leaving leaving',
  ],
  ['a stop before its start', [{ at: 99, stops: BY_SERVER }], 'live'],
  ['a stop from its start on', [{ at: 100, stops: BY_SERVER }], 'leaving'],
  ['a stop while the list is unread', [{}, { list: 'unread', stops: BY_SERVER }], 'live leaving'],
  ['a stop of its failure domain', [{ stops: BY_DOMAIN }], 'leaving'],
  ['a stop of another failure domain', [{ stops: OTHER_DOMAIN }], 'live'],
  ['a cancelled stop', [{ stops: BY_SERVER }, {}], 'leaving live'],
  [
    'a cancelled stop waits for a list that says live',
    [{ stops: BY_SERVER }, { list: 'unread' }, {}],
    'leaving leaving live',
  ],
  [
    'cancelling a stop does not lift what the list said',
    [{ stops: BY_SERVER }, { list: 'leaving', stops: BY_SERVER }, {}],
    'leaving leaving leaving',
  ],
  [
    'a stop past its deadline holds',
    [{ stops: BY_SERVER }, { at: 250, stops: BY_SERVER }],
    'leaving leaving',
  ],
  ['a stop past its deadline marks nothing new', [{ at: 250, stops: BY_SERVER }], 'live'],
  [
    'back within the window of its stop',
    [{ stops: BY_SERVER }, { list: 'gone', stops: BY_SERVER }, { stops: BY_SERVER }],
    'leaving gone leaving',
  ],
  [
    'back after the window of its stop',
    [{ stops: BY_SERVER }, { list: 'gone', stops: BY_SERVER }, { at: 250, stops: BY_SERVER }],
    'leaving gone live',
  ],
];

for (const [name, steps, views] of TABLE) {
  test(name, (t) => {
    t.is(run(steps), views);
  });
}

test('once marked, a server stays marked until it was gone or its stop was cancelled', (t) => {
  const step = fc.record({
    list: fc.constantFrom<ListState>('gone', 'leaving', 'live', 'unread'),
    notice: fc.boolean(),
    stops: fc.constantFrom(BY_SERVER, BY_DOMAIN, []),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const views = run(steps).split(' ');
      return views.every((view, position) => {
        const before = views[position - 1];
        const cancelled =
          (steps[position - 1]?.stops.length ?? 0) > (steps[position]?.stops.length ?? 0);
        const noticed = steps
          .slice(0, position)
          .some(({ list, notice }) => notice || list === 'leaving');
        const wasGone = steps.slice(0, position).some(({ list }) => list === 'gone');
        const lifted = before === 'leaving' && view === 'live';
        return (
          !lifted || wasGone || (!noticed && (cancelled || steps[position]?.stops.length === 0))
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
  const find = (vm: string, domain: string, at: number): string | undefined =>
    plannedStopOf(stops, toId<EntryVmId>(vm), toId<FailureDomainId>(domain), at)?.id;
  t.is(find('vm-1', 'zone-a', 99), undefined);
  t.is(find('vm-1', 'zone-a', 100), 'vm');
  t.is(find('vm-1', 'zone-b', 100), 'zone');
  t.is(find('vm-1', 'zone-b', 150), 'vm');
  t.is(find('vm-2', 'zone-a', 100), undefined);
  t.is(find('vm-1', 'zone-a', 200), undefined);
});
