import type { MemberId, RequestId, TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { RankReport, ShortageDecision, WaitingGeneration } from '../../index.js';
import { MAX_REPORTED_RANKS, ShortageAdmission } from '../../index.js';
import { randomOf } from '../support/ShortageReplay.js';

const SHORT: WaitingGeneration = {
  arrivedMs: 0,
  callerTimeoutMs: 6_016,
  outputTokens: 10,
  plannedTokens: 2_210,
  promptTokens: 2_200,
  rank: 0,
  requestId: toId<RequestId>('short'),
  targetLatencyMs: 1_504,
};
const LONG: WaitingGeneration = {
  arrivedMs: 0,
  callerTimeoutMs: 16_024,
  outputTokens: 748,
  plannedTokens: 3_200,
  promptTokens: 3_000,
  rank: 2,
  requestId: toId<RequestId>('long'),
  targetLatencyMs: 4_006,
};
const ROW: RankReport = {
  lateTokens: 0,
  offered: 0,
  onTimeCount: 0,
  onTimeTokens: 0,
  placedTokensPerS: 0,
  rank: 2,
  served: 0,
  slackMs: 0,
  usedTokens: 0,
};

function named(kind: WaitingGeneration, name: string, changes: Partial<WaitingGeneration> = {}) {
  return { ...kind, requestId: toId<RequestId>(name), ...changes };
}

function admissionOf(...generations: readonly WaitingGeneration[]): ShortageAdmission {
  const admission = new ShortageAdmission();
  generations.forEach((generation) => {
    admission.add(generation);
  });
  return admission;
}

function decide(admission: ShortageAdmission, nowMs = 0): ShortageDecision {
  return admission.decide(nowMs, () => 0.5);
}

function orderOf(decision: ShortageDecision): readonly string[] {
  return decision.turns.map(({ requestId }) => requestId);
}

/** Places generations of a kind at an even rate until a time. */
function placeEvenly(
  admission: ShortageAdmission,
  kind: WaitingGeneration,
  perS: number,
  untilMs: number,
): void {
  for (let nowMs = untilMs - 1_000; nowMs < untilMs; nowMs += 1_000 / perS) {
    admission.recordPlaced(named(kind, `placed ${kind.rank} ${nowMs}`), nowMs);
  }
}

test('load pattern: the order is on time, then urgency, value for the capacity and arrival', (t) => {
  const admission = admissionOf(
    named(LONG, 'late', { arrivedMs: -4_000 }),
    named(LONG, 'second', { arrivedMs: -1 }),
    named(LONG, 'first', { arrivedMs: -2 }),
    named(LONG, 'worth more', { arrivedMs: -3, outputTokens: 40, promptTokens: 5_600 }),
    named(SHORT, 'urgent'),
  );
  t.deepEqual(orderOf(decide(admission)), ['urgent', 'worth more', 'first', 'second', 'late']);
});

test('a late generation that keeps little of its value is refused, one that keeps some waits', (t) => {
  const admission = admissionOf(
    named(SHORT, 'short', { arrivedMs: -1_400 }),
    named(LONG, 'long', { arrivedMs: -4_000 }),
  );
  const { refusals, turns } = decide(admission);
  t.deepEqual(
    refusals.map(({ reason, requestId }) => [requestId, reason]),
    [['short', 'late']],
  );
  t.deepEqual(
    turns.map(({ requestId }) => requestId),
    ['long'],
  );
});

test('a generation that keeps most of its value when late waits although its place is late', (t) => {
  const admission = admissionOf();
  placeEvenly(admission, LONG, 1, 1_000);
  for (let count = 0; count < 30; count += 1) {
    admission.add(named(LONG, `r${count}`, { outputTokens: 2_000, arrivedMs: 1_000 }));
  }
  t.deepEqual(decide(admission, 1_000).refusals, []);
});

test('when no place comes in time by the drain rate, the generation is refused at once', (t) => {
  const admission = admissionOf();
  placeEvenly(admission, SHORT, 4, 1_000);
  for (let count = 0; count < 30; count += 1) {
    admission.add(named(SHORT, `r${count}`, { arrivedMs: 1_000 }));
  }
  const { refusals, turns } = decide(admission, 1_000);
  // 4 in a window of 2 s: a place each 500 ms, and 990 ms until the target can no longer be met.
  t.true(turns.length >= 1 && turns.length <= 2);
  t.is(refusals.length + turns.length, 30);
});

test('Retry-After is spread evenly within a third of the time that the caller has left', (t) => {
  const admission = admissionOf();
  placeEvenly(admission, SHORT, 4, 1_000);
  for (let count = 0; count < 300; count += 1) {
    admission.add(named(SHORT, `r${count}`, { arrivedMs: 1_000 }));
  }
  const { refusals } = admission.decide(1_000, randomOf(1));
  const maxMs = 6_016 / 3;
  t.true(refusals.every(({ retryAfterMs }) => retryAfterMs > 0 && retryAfterMs <= maxMs));
  const byQuarter = [0, 0, 0, 0];
  refusals.forEach(({ retryAfterMs }) => {
    const quarter = Math.min(3, Math.floor((4 * retryAfterMs) / maxMs));
    byQuarter[quarter] = (byQuarter[quarter] ?? 0) + 1;
  });
  // Callers that retry together would all fall into one quarter; evenly it is a quarter of them each.
  t.true(Math.max(...byQuarter) < refusals.length / 2, byQuarter.join(' '));
});

test('waiting generations of other daemons count, and those of silent daemons do not', (t) => {
  const other = {
    ...ROW,
    onTimeCount: 40,
    onTimeTokens: 40 * 2_210,
    placedTokensPerS: 2_210,
    rank: 0,
  };
  const admission = admissionOf();
  placeEvenly(admission, SHORT, 4, 1_000);
  admission.recordReport(toId<MemberId>('other'), [other], 1_000);
  admission.add(named(SHORT, 'beside others', { arrivedMs: 1_000 }));
  t.is(decide(admission, 1_000).refusals.length, 1);
  placeEvenly(admission, SHORT, 4, 4_000);
  admission.add(named(SHORT, 'alone', { arrivedMs: 4_000 }));
  t.deepEqual(orderOf(decide(admission, 4_000)), ['alone'], 'a report of 3 s ago does not count');
});

test('load pattern: in a burst the other kind keeps what it usually uses', (t) => {
  const admission = admissionOf();
  for (let count = 0; count < 10; count += 1) {
    admission.recordPlaced(named(LONG, `long ${count}`), 0);
    admission.recordPlaced(named(SHORT, `short ${count}`), 0);
  }
  admission.learnUse(0);
  for (let count = 0; count < 25; count += 1) {
    admission.recordPlaced(named(SHORT, `burst ${count}`), 100);
  }
  admission.remove(toId<RequestId>('long 0'));
  admission.remove(toId<RequestId>('long 1'));
  admission.add(named(SHORT, 'short', { arrivedMs: 100 }));
  admission.add(named(LONG, 'long', { arrivedMs: 100 }));
  const [first] = decide(admission, 100).turns;
  t.like(first, { priority: { isGuaranteed: true }, requestId: toId<RequestId>('long') });
  admission.recordPlaced(named(LONG, 'long'), 100);
  admission.recordPlaced(named(LONG, 'another'), 100);
  admission.add(named(LONG, 'above its use', { arrivedMs: 100 }));
  t.deepEqual(orderOf(decide(admission, 100)), ['short', 'above its use']);
});

test('a rank that is served more often than a more urgent one has no guarantee', (t) => {
  const admission = admissionOf(named(SHORT, 'short'), named(LONG, 'long'));
  admission.learnUse(0);
  const rows = [
    { ...ROW, offered: 100, rank: 0, served: 60, usedTokens: 30_000 },
    { ...ROW, offered: 100, rank: 2, served: 90, usedTokens: 0 },
  ];
  admission.recordReport(toId<MemberId>('other'), [{ ...ROW, usedTokens: 90_000 }], 0);
  admission.learnUse(30_000);
  admission.recordReport(toId<MemberId>('other'), rows, 30_000);
  const short = named(SHORT, 'short', { arrivedMs: 30_000 });
  const long = named(LONG, 'long', { arrivedMs: 30_000 });
  admission.remove(toId<RequestId>('short'));
  admission.remove(toId<RequestId>('long'));
  admission.add(long);
  admission.add(short);
  t.deepEqual(orderOf(decide(admission, 30_000)), ['short', 'long']);
});

test('a team that is served far less than the others goes first', (t) => {
  const admission = admissionOf();
  for (let count = 0; count < 20; count += 1) {
    admission.recordPlaced(named(LONG, `much ${count}`, { teamId: toId<TeamId>('much') }), 0);
    const refused = named(SHORT, `little ${count}`, {
      arrivedMs: -1_500,
      teamId: toId<TeamId>('little'),
    });
    admission.add(refused);
  }
  decide(admission);
  admission.add(named(LONG, 'much', { teamId: toId<TeamId>('much') }));
  admission.add(named(LONG, 'little', { arrivedMs: 1, teamId: toId<TeamId>('little') }));
  t.deepEqual(orderOf(decide(admission, 1)), ['little', 'much']);
});

test('a large generation that others of its rank passed holds what frees next', (t) => {
  const admission = admissionOf(named(LONG, 'large', { plannedTokens: 9_000 }));
  for (let count = 0; count < 4; count += 1) {
    const small = named(LONG, `small ${count}`);
    admission.add(small);
    admission.recordPlaced(small, count);
  }
  t.is(decide(admission, 4).turns[0]?.priority.isHeld, true);
});

test('a generation whose caller has left takes no turn', (t) => {
  const admission = admissionOf(named(LONG, 'gone'), named(LONG, 'here'));
  admission.remove(toId<RequestId>('gone'));
  t.deepEqual(orderOf(decide(admission)), ['here']);
  t.is(admission.report(0)[0]?.onTimeCount, 1);
});

test('a report holds a few ranks, and the least urgent ones are added up', (t) => {
  const admission = admissionOf(
    ...Array.from({ length: 10 }, (_none, rank) => named(LONG, `r${rank}`, { rank })),
  );
  const report = admission.report(0);
  t.is(report.length, MAX_REPORTED_RANKS);
  t.is(report.at(-1)?.onTimeCount, 10 - MAX_REPORTED_RANKS + 1);
});
