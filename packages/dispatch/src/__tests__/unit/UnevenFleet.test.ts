import test from 'ava';
import type { ReplayFault, ReplayOptions, ReplayResult } from '../support/UnevenFleetReplay.js';
import { UnevenFleetReplay, usualRelativeTime } from '../support/UnevenFleetReplay.js';

/** A replay computes for about half a minute at 80 daemons. */
const TIMEOUT_MS = 300_000;
const SEED = 1;

function replay(options: Partial<ReplayOptions>): ReplayResult {
  return new UnevenFleetReplay({ daemons: 6, learnsSpeeds: true, seed: SEED, ...options }).run();
}

function lateShare({ longStreams, longWithLateEvent }: ReplayResult): number {
  return longWithLateEvent / longStreams;
}

for (const daemons of [6, 80]) {
  test(`load pattern: one engine in four is fast, ${daemons} daemons`, (t) => {
    t.timeout(TIMEOUT_MS);
    const before = replay({ daemons, learnsSpeeds: false });
    const after = replay({ daemons });
    t.log(JSON.stringify({ after, before }));
    t.true(lateShare(after) < lateShare(before));
    t.true(after.firstEventsOnTime >= before.firstEventsOnTime);
    t.is(after.refused, 0);
  });
}

test('where engines differ by 1.4, no generation is placed by learned speeds', (t) => {
  t.timeout(TIMEOUT_MS);
  const relativeTimeOf = (index: number): number => (index % 4 === 0 ? 0.8 : 1.12);
  const after = replay({ relativeTimeOf });
  t.is(after.placedBySpeed, 0);
  t.deepEqual(after, replay({ learnsSpeeds: false, relativeTimeOf }));
});

const FAULTS: readonly [string, readonly ReplayFault[], Partial<ReplayOptions>][] = [
  [
    'reports stop for 3 s',
    [
      { apply: (fleet) => (fleet.losesReports = true), atMs: 20_000 },
      { apply: (fleet) => (fleet.losesReports = false), atMs: 23_000 },
    ],
    {},
  ],
  [
    'the engine with the most long streams slows down lastingly',
    [
      {
        apply: (fleet) => {
          const engine = fleet.engineWithMostStreams();
          if (engine) {
            engine.model.options.relativeTime = 2.4;
          }
        },
        atMs: 20_000,
      },
    ],
    {},
  ],
  [
    'a fast engine restarts as a slow one under its id',
    [
      {
        apply: (fleet) => {
          fleet.restart(0, 1.2);
        },
        atMs: 20_000,
      },
    ],
    {},
  ],
];

for (const [name, faults, options] of FAULTS) {
  test(`failure: ${name}`, (t) => {
    t.timeout(TIMEOUT_MS);
    const before = replay({ ...options, faults, learnsSpeeds: false });
    const after = replay({ ...options, faults });
    t.log(JSON.stringify({ after, before }));
    t.true(lateShare(after) < lateShare(before));
    t.true(after.firstEventsOnTime >= before.firstEventsOnTime);
  });
}

test('failure: a new engine of which nothing is known takes streams, and its speed is learned', (t) => {
  t.timeout(TIMEOUT_MS);
  const fleet = new UnevenFleetReplay({
    absentUntilMs: (index) => (index === 0 ? 20_000 : 0),
    daemons: 6,
    durationMs: 40_000,
    learnsSpeeds: true,
    relativeTimeOf: usualRelativeTime,
    seed: SEED,
  });
  fleet.run();
  const known = fleet.engines[0]?.server.serverId;
  const speed = known && fleet.speedsOfDaemon(1).confidentSpeedOf(known, 40_000);
  t.true((speed?.eventMs ?? Infinity) < 20);
});
