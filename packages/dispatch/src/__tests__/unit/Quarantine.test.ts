import type { FingerprintId, ServerId, TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { QuarantineReport, QuarantineStage } from '../../index.js';
import {
  callFingerprint,
  promptPartFingerprints,
  Quarantine,
  requestFingerprints,
} from '../../index.js';

const PART = toId<FingerprintId>('part a');
const OTHER = toId<FingerprintId>('part b');

function crash(
  quarantine: Quarantine,
  server: number,
  nowMs: number,
  fingerprints: readonly FingerprintId[] = [PART],
  isTrial = false,
): readonly FingerprintId[] {
  return quarantine.recordCrash(
    {
      crashedMs: nowMs,
      fingerprints,
      isTrial,
      server: { serverId: toId<ServerId>(`s${server}`), startedEpochMs: 1 },
    },
    nowMs,
  );
}

function suspect(quarantine: Quarantine, fingerprints: readonly FingerprintId[] = [PART]): void {
  for (const [index, nowMs] of [0, 100, 200].entries()) {
    crash(quarantine, index, nowMs, fingerprints);
  }
}

test('the last part of a prompt is its own, the others are shared in any place', (t) => {
  const parts = ['a', 'b', 'a', 'c'].map((id) => ({ id, tokens: 1 }));
  t.deepEqual(promptPartFingerprints(parts), ['part a', 'part b']);
  t.deepEqual(promptPartFingerprints([]), []);
});

test('a call is recognised by host, path, team and body', (t) => {
  const call = {
    body: Buffer.from('{}'),
    host: 'shop.example',
    path: '/look/1',
    teamId: toId<TeamId>('team'),
  };
  const fingerprint = callFingerprint(call);
  t.is(callFingerprint({ ...call, body: Buffer.from('{}') }), fingerprint);
  for (const other of [
    { ...call, body: undefined },
    { ...call, body: Buffer.from('{ }') },
    { ...call, host: 'desk.example' },
    { ...call, path: '/look/1?x' },
    { ...call, teamId: undefined },
  ]) {
    t.not(callFingerprint(other), fingerprint);
  }
  t.deepEqual(requestFingerprints(call, [{ id: 'a', tokens: 1 }]), [fingerprint]);
});

test('two crashes make a call suspected, the third confirms it', (t) => {
  const quarantine = new Quarantine();
  const call = callFingerprint({ body: undefined, host: 'h', path: '/', teamId: undefined });
  crash(quarantine, 1, 0, [call]);
  t.is(quarantine.decide([call], 0).kind, 'admitted');
  t.deepEqual(crash(quarantine, 2, 100, [call]), [call]);
  t.is(quarantine.stageOf(call), 'suspected');
  t.deepEqual(crash(quarantine, 3, 200, [call]), [call]);
  t.is(quarantine.stageOf(call), 'confirmed');
});

test('calls that are all different do not displace what is known of prompt parts', (t) => {
  const quarantine = new Quarantine();
  quarantine.recordProgress([PART], 0);
  for (let count = 0; count < 10_000; count += 1) {
    const path = `/${count}`;
    const call = callFingerprint({ body: undefined, host: 'h', path, teamId: undefined });
    quarantine.recordProgress([call], 1_000);
  }
  for (const server of [1, 2, 3]) {
    crash(quarantine, server, 1_000 + 100 * server);
  }
  t.is(quarantine.stageOf(PART), undefined);
});

test('three crashes make a part suspected, a crash that two daemons report counts once', (t) => {
  const quarantine = new Quarantine();
  t.deepEqual(crash(quarantine, 1, 0), []);
  t.deepEqual(crash(quarantine, 1, 50), []);
  t.deepEqual(crash(quarantine, 2, 100), []);
  t.is(quarantine.decide([PART], 100).kind, 'admitted');
  t.deepEqual(crash(quarantine, 3, 200), [PART]);
  t.deepEqual(quarantine.decide([OTHER, PART], 200), { fingerprints: [PART], kind: 'trial' });
  t.is(quarantine.decide([OTHER], 200).kind, 'admitted');
});

test('a suspected part is tried one request at a time, and the others are told when to come back', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  t.true(quarantine.grantTrial(PART, 300));
  t.false(quarantine.grantTrial(PART, 310));
  t.deepEqual(quarantine.decide([PART], 310), {
    fingerprint: PART,
    kind: 'refused',
    retryAfterMs: 1_000,
  });
  t.is(quarantine.decide([PART], 3_300).kind, 'trial');
});

test('a trial that crashes its server confirms the part, and three trials follow at most', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  quarantine.grantTrial(PART, 300);
  t.deepEqual(crash(quarantine, 9, 400, [PART], true), [PART]);
  t.deepEqual(quarantine.decide([PART], 400), { fingerprint: PART, kind: 'refused' });
  let trials = 0;
  for (let nowMs = 400; nowMs < 3_600_000; nowMs += 500) {
    if (quarantine.decide([PART], nowMs).kind === 'trial' && quarantine.grantTrial(PART, nowMs)) {
      trials += 1;
    }
    quarantine.expire(nowMs);
  }
  t.is(trials, 3);
});

test('a trial confirms a part also at a keeper that has not seen the crashes before', (t) => {
  const earlier = new Quarantine();
  suspect(earlier);
  const report = earlier.reportOf(PART, 300);
  const keeper = new Quarantine();
  t.is(report && keeper.merge(report, 300), 'learned');
  keeper.grantTrial(PART, 400);
  t.deepEqual(crash(keeper, 9, 500, [PART], true), [PART]);
  t.is(keeper.stageOf(PART), 'confirmed');
});

test('five crashes confirm a part without a trial', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  crash(quarantine, 4, 300);
  t.is(quarantine.stageOf(PART), 'suspected');
  t.deepEqual(crash(quarantine, 5, 400), [PART]);
  t.is(quarantine.stageOf(PART), 'confirmed');
});

test('an answer that went on speaks against the crashes before and shortly after it', (t) => {
  const quarantine = new Quarantine();
  quarantine.recordProgress([PART], 0);
  for (let server = 0; server < 9; server += 1) {
    crash(quarantine, server, server * 1_000);
  }
  t.is(quarantine.stageOf(PART), undefined);
  for (let server = 10; server < 14; server += 1) {
    crash(quarantine, server, server * 1_100);
  }
  t.is(quarantine.stageOf(PART), 'suspected');
});

test('an answer that goes on clears a part in any stage', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  t.deepEqual(quarantine.recordProgress([PART], 400), [PART]);
  t.is(quarantine.decide([PART], 400).kind, 'admitted');
  t.deepEqual(quarantine.recordProgress([PART], 500), []);
});

test('servers that end at the same moment count as one crash', (t) => {
  const quarantine = new Quarantine();
  for (let server = 0; server < 10; server += 1) {
    crash(quarantine, server, server);
  }
  t.is(quarantine.stageOf(PART), undefined);
});

/** Servers that end together while they run requests with the part that were sent at these times. */
function crashTogether(
  quarantine: Quarantine,
  crashedMs: number,
  sentMs: readonly number[],
  fingerprint = PART,
): void {
  for (const [index, requestSentMs] of sentMs.entries()) {
    quarantine.recordCrash(
      {
        crashedMs: crashedMs + index,
        fingerprints: [fingerprint],
        isTrial: false,
        server: { serverId: toId<ServerId>(`s${index}`), startedEpochMs: crashedMs },
        sinceSentMs: [crashedMs + index - requestSentMs],
      },
      crashedMs + index,
    );
  }
}

const CALL = callFingerprint({ body: undefined, host: 'h', path: '/', teamId: undefined });

// Requests of one application once crashed all their servers again and again, as each round counted as one.
test('requests that were sent together make a fingerprint suspected when they crash servers together', (t) => {
  for (const [fingerprint, count] of [
    [PART, 5],
    [PART, 3],
    [CALL, 3],
    [CALL, 2],
  ] as const) {
    const quarantine = new Quarantine();
    const sentMs = Array.from({ length: count }, (_, index) => index * 10);
    crashTogether(quarantine, 200, sentMs, fingerprint);
    t.is(quarantine.stageOf(fingerprint), 'suspected');
  }
});

test('servers that end together are not blamed on requests that were sent one after the other', (t) => {
  const quarantine = new Quarantine();
  crashTogether(quarantine, 2_000, [0, 150, 310, 460, 620, 780, 930]);
  t.is(quarantine.stageOf(PART), undefined);
  crashTogether(quarantine, 5_000, [4_000, 4_150, 4_300]);
  t.is(quarantine.stageOf(PART), undefined);
});

test('servers that end together confirm nothing, however often', (t) => {
  const quarantine = new Quarantine();
  for (let round = 1; round <= 4; round += 1) {
    crashTogether(quarantine, 1_000 * round, Array<number>(9).fill(1_000 * round - 100));
    t.is(quarantine.stageOf(PART), 'suspected');
  }
});

test('a daemon of the former build reports crashes without the times of their requests', (t) => {
  const quarantine = new Quarantine();
  crash(quarantine, 1, 200);
  crashTogether(quarantine, 201, [100]);
  crash(quarantine, 2, 202);
  t.is(quarantine.stageOf(PART), undefined);
  crash(quarantine, 3, 300);
  crash(quarantine, 4, 400);
  t.is(quarantine.stageOf(PART), 'suspected');
});

for (const [name, fingerprint, count] of [
  ['part', PART, 5],
  ['call', CALL, 3],
] as const) {
  test(`at most three trials follow the crashes of a ${name} that came at once`, (t) => {
    const quarantine = new Quarantine();
    crashTogether(quarantine, 200, Array<number>(count).fill(100), fingerprint);
    let trials = 0;
    for (let nowMs = 300; nowMs < 3_600_000; nowMs += 500) {
      if (
        quarantine.decide([fingerprint], nowMs).kind === 'trial' &&
        quarantine.grantTrial(fingerprint, nowMs)
      ) {
        trials += 1;
        crash(quarantine, 100 + trials, nowMs + 150, [fingerprint], true);
      }
      quarantine.expire(nowMs);
    }
    t.is(trials, 3);
    t.is(quarantine.stageOf(fingerprint), 'confirmed');
  });

  test(`at most three trials without an outcome follow the crashes of a ${name}`, (t) => {
    const quarantine = new Quarantine();
    crashTogether(quarantine, 200, Array<number>(count).fill(100), fingerprint);
    let trials = 0;
    for (let nowMs = 300; nowMs < 600_000; nowMs += 500) {
      trials += quarantine.grantTrial(fingerprint, nowMs) ? 1 : 0;
    }
    t.is(trials, 3);
  });
}

test('a request with two suspected parts gives way to requests with one of them', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine, [PART, OTHER]);
  t.is(quarantine.decide([PART, OTHER], 300).kind, 'refused');
  t.is(quarantine.decide([OTHER], 300).kind, 'trial');
  quarantine.recordProgress([OTHER], 600);
  t.deepEqual(quarantine.decide([PART, OTHER], 600), { fingerprints: [PART], kind: 'trial' });
});

test('a daemon that forwarded an answer objects to a suspicion', (t) => {
  const keeper = new Quarantine();
  suspect(keeper);
  const witness = new Quarantine();
  witness.recordProgress([PART], 150);
  const report = keeper.reportOf(PART, 250);
  t.truthy(report);
  if (report) {
    t.is(witness.merge(report, 250), 'objected');
    const objection = witness.reportOf(PART, 250);
    t.is(objection?.stage, 'cleared');
    t.is(objection && keeper.merge(objection, 260), 'learned');
    t.is(keeper.decide([PART], 260).kind, 'admitted');
  }
});

test('a suspicion after a clearance counts as a new one and replaces it', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  quarantine.recordProgress([PART], 300);
  const cleared = quarantine.reportOf(PART, 300);
  for (let server = 20; server < 23; server += 1) {
    crash(quarantine, server, server * 1_000);
  }
  t.is(quarantine.stageOf(PART), 'suspected');
  t.is(cleared && quarantine.merge(cleared, 24_000), 'unchanged');
  t.is(quarantine.stageOf(PART), 'suspected');
});

test('a quarantine ends when no request has come for ten minutes', (t) => {
  const quarantine = new Quarantine();
  suspect(quarantine);
  quarantine.decide([PART], 500_000);
  quarantine.expire(1_000_000);
  t.is(quarantine.stageOf(PART), 'suspected');
  quarantine.expire(1_200_000);
  t.is(quarantine.stageOf(PART), undefined);
});

test('a flood of parts takes bounded memory and leaves what crashes servers held back', (t) => {
  const quarantine = new Quarantine();
  const fingerprintsOf = (count: number): FingerprintId[] => [toId<FingerprintId>(`part ${count}`)];
  for (let count = 0; count < 100_000; count += 1) {
    quarantine.recordProgress(fingerprintsOf(count), count);
    crash(quarantine, count, count, fingerprintsOf(-count));
  }
  suspect(quarantine);
  for (let count = 0; count < 1_000; count += 1) {
    for (let server = 0; server < 3; server += 1) {
      crash(quarantine, server, 200_000 + 30 * server, fingerprintsOf(200_000 + count));
    }
    quarantine.decide([PART], 300_000);
    const reports = quarantine.nextReports(300_000, Infinity);
    t.true(reports.length <= 256);
  }
  t.is(quarantine.stageOf(PART), 'suspected');
});

const NOW_MS = 1_000_000;
const EPISODE_MS = 100_000;
/** Times from the first crash of an episode to its stages. */
const STAGE_AFTER_MS: Readonly<Record<QuarantineStage, number>> = {
  cleared: 2_000,
  confirmed: 1_000,
  suspected: 200,
};
const reports: fc.Arbitrary<QuarantineReport> = fc
  .record({
    episode: fc.integer({ max: 3, min: 1 }),
    stage: fc.constantFrom<QuarantineStage>('cleared', 'confirmed', 'suspected'),
    trials: fc.integer({ max: 3, min: 0 }),
  })
  .map(({ episode, stage, trials }) => {
    const firstAgeMs = NOW_MS - EPISODE_MS * episode;
    return {
      ageMs: firstAgeMs - STAGE_AFTER_MS[stage],
      crashAgesMs: [firstAgeMs, firstAgeMs - 100, firstAgeMs - 200],
      episode,
      fingerprint: PART,
      idleMs: 0,
      stage,
      trials,
    };
  });

test('reports lead to the same stage and trials in any order, and when repeated', (t) => {
  fc.assert(
    fc.property(fc.array(reports, { maxLength: 6, minLength: 1 }), fc.integer(), (list, seed) => {
      const inOrder = new Quarantine();
      const shuffled = new Quarantine();
      list.forEach((report) => inOrder.merge(report, NOW_MS));
      const rotation = Math.abs(seed) % list.length;
      const rotated = [...list.slice(rotation), ...list.slice(0, rotation)].reverse();
      [...rotated, ...list].forEach((report) => shuffled.merge(report, NOW_MS));
      const { stage, trials } = inOrder.reportOf(PART, NOW_MS) ?? {};
      const other = shuffled.reportOf(PART, NOW_MS);
      return other?.stage === stage && other?.trials === trials;
    }),
    { numRuns: 500, seed: 31 },
  );
  t.pass();
});
