import test from 'ava';
import type { ReplayKind, ReplayOptions, ReplayOutcome } from '../support/ShortageReplay.js';
import {
  LONG,
  LONG_PER_S,
  replay,
  SHORT,
  SHORT_PER_S,
  summarize,
} from '../support/ShortageReplay.js';

const BURST_FROM_MS = 12_000;
const BURST_UNTIL_MS = 22_000;
const ARRIVALS_UNTIL_MS = 37_000;
/** The last callers give up 16 s after they arrived. */
const DURATION_MS = 53_000;
const BURST_FACTOR = 2.5;
const ENGINES = 34;
const ENGINES_LEFT = 23;
/** Long streams at this multiple of their usual rate hold all capacity. */
const FULL_FACTOR = 1.6;
/** The less urgent kind may be served more often by this. */
const MAX_SERVED_LEAD = 0.05;
/** The share of the value of the less urgent kind may be higher by this. */
const MAX_VALUE_LEAD = 0.15;
const MIN_TEAM_FRACTION = 0.25;
const MIN_LARGE_FRACTION = 0.5;

type Scenario = Pick<ReplayOptions, 'enginesAt' | 'perSAt'>;

function usualPerS(kind: ReplayKind): number {
  return kind === SHORT ? SHORT_PER_S : LONG_PER_S;
}

function burstOf(burstKind: ReplayKind, factorBefore = 1) {
  return (kind: ReplayKind, nowMs: number): number => {
    const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_UNTIL_MS;
    const burstFactor = isBurst ? BURST_FACTOR : 1;
    const factor = nowMs < BURST_FROM_MS ? factorBefore : burstFactor;
    return usualPerS(kind) * (kind === burstKind ? factor : 1);
  };
}

const enginesLost = (nowMs: number): number => (nowMs < BURST_FROM_MS ? ENGINES : ENGINES_LEFT);
const SHORT_BURST: Scenario = { perSAt: burstOf(SHORT) };
const LONG_BURST: Scenario = { perSAt: burstOf(LONG, FULL_FACTOR) };
const LOST: Scenario = { enginesAt: enginesLost, perSAt: usualPerS };
const LOST_AND_SHORT_BURST: Scenario = { enginesAt: enginesLost, perSAt: burstOf(SHORT) };

function measured(options: ReplayOptions): readonly ReplayOutcome[] {
  return replay(options, DURATION_MS).filter(
    ({ arrivedMs }) => arrivedMs >= BURST_FROM_MS && arrivedMs < ARRIVALS_UNTIL_MS,
  );
}

function valueShares(outcomes: readonly ReplayOutcome[]): readonly number[] {
  const teams = [...new Set(outcomes.map(({ team }) => team))];
  return teams.map((team) => summarize(outcomes.filter((each) => each.team === team)).valueShare);
}

const replays = test.macro((t, options: Omit<ReplayOptions, 'isShared'>) => {
  const baseline = measured({ ...options, isShared: false });
  const shared = measured({ ...options, isShared: true });
  const value = summarize(shared).value;
  const baselineValue = summarize(baseline).value;
  t.true(value >= baselineValue, `value ${value}, baseline ${baselineValue}`);
  const urgent = summarize(shared.filter(({ kind }) => kind === SHORT));
  const lessUrgent = summarize(shared.filter(({ kind }) => kind === LONG));
  t.true(lessUrgent.served - urgent.served <= MAX_SERVED_LEAD);
  t.true(lessUrgent.valueShare - urgent.valueShare <= MAX_VALUE_LEAD);
  const teams = valueShares(shared);
  const teamMean = teams.reduce((sum, share) => sum + share, 0) / teams.length;
  t.true(Math.min(...teams) >= MIN_TEAM_FRACTION * teamMean);
  const bySize = [...shared].sort((a, b) => b.promptTokens - a.promptTokens);
  const largest = summarize(bySize.slice(0, Math.floor(shared.length / 10)));
  t.true(largest.valueShare >= MIN_LARGE_FRACTION * summarize(shared).valueShare);
});

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'a burst of the long kind on full engines': LONG_BURST,
  'a burst of the short kind': SHORT_BURST,
  'a burst of the short kind beside lost engines': LOST_AND_SHORT_BURST,
  'a third of the engines lost': LOST,
};

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  for (const [daemons, seed] of [
    [6, 1],
    [6, 2],
    [6, 3],
    [80, 1],
  ] as const) {
    const title = `load pattern: ${daemons} daemons, seed ${seed}, ${name}`;
    test(title, replays, { ...scenario, daemons, seed });
  }
}

test('failure: the owner of engines dies in a burst', replays, {
  ...LONG_BURST,
  daemons: 6,
  seed: 1,
  deadDaemon: { atMs: BURST_FROM_MS + 3_000, daemon: 0 },
});

test('failure: the reports of the other daemons stop for 3 s in a burst', replays, {
  ...LONG_BURST,
  daemons: 6,
  seed: 1,
  silence: [BURST_FROM_MS + 3_000, BURST_FROM_MS + 6_000],
});

test('failure: refused callers all retry at once', replays, {
  ...LONG_BURST,
  daemons: 6,
  seed: 1,
  returnsEveryMs: 2_000,
});

test('without a shortage, generations are placed as without the shared decision', (t) => {
  for (const seed of [1, 2, 3]) {
    for (const daemons of [6, 30]) {
      const options = { daemons, perSAt: usualPerS, seed };
      t.deepEqual(
        replay({ ...options, isShared: true }, BURST_FROM_MS),
        replay({ ...options, isShared: false }, BURST_FROM_MS),
      );
    }
  }
});
