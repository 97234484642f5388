import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { SpeedReport } from '../../index.js';
import { EngineSpeeds, MIN_SPEED_CONFIDENCE } from '../../index.js';
import { randomFrom } from '../support/UnevenFleetReplay.js';

const A = { serverId: toId<ServerId>('a'), startedEpochMs: 1 };
const B = { serverId: toId<ServerId>('b'), startedEpochMs: 1 };
const IDS = [A.serverId, B.serverId];
const SPAN_MS = 600;

interface StreamOptions {
  readonly eventMs: number;
  readonly fromMs?: number;
  readonly isSlowAt?: (nowMs: number) => boolean;
  readonly server: typeof A;
  readonly untilMs: number;
}

/** Records one stream at an engine; in a slow period an event takes 2.5 times as long. */
function observe(speeds: EngineSpeeds, options: StreamOptions): void {
  const { eventMs, fromMs = 0, isSlowAt = () => false, server, untilMs } = options;
  for (let nowMs = fromMs; nowMs <= untilMs;) {
    const gapMs = eventMs * (isSlowAt(nowMs) ? 2.5 : 1);
    nowMs += gapMs;
    speeds.recordEvents({ eventCount: 1, gapMs, isPrefilling: false, runs: 0, server }, nowMs);
  }
}

/** Slow in 15 of 100 spans of 0.6 s. */
function slowSpans(seed: number): (nowMs: number) => boolean {
  return (nowMs) => randomFrom(seed * 31 + Math.floor(nowMs / SPAN_MS) * 7_919)() < 0.15;
}

function isUnevenAt(speeds: EngineSpeeds, fromMs: number, nowMs: number): boolean {
  speeds.areUneven(IDS, fromMs);
  return speeds.areUneven(IDS, nowMs);
}

test('engines that differ by a factor of two are uneven after the dwell time', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 16, server: A, untilMs: 20_000 });
  observe(speeds, { eventMs: 34, server: B, untilMs: 20_000 });
  t.false(speeds.areUneven(IDS, 8_000));
  t.true(speeds.areUneven(IDS, 18_000));
});

test('engines that differ by a factor of 1.5 count as equal', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 30, server: A, untilMs: 20_000 });
  observe(speeds, { eventMs: 44, server: B, untilMs: 20_000 });
  t.false(isUnevenAt(speeds, 7_000, 20_000));
});

test('slow periods of equal engines do not look like lasting slowness, over an hour', (t) => {
  const speeds = new EngineSpeeds();
  let unevenCount = 0;
  for (let nowMs = 0; nowMs < 3_600_000; nowMs += 500) {
    [A, B].forEach((server, index) => {
      const untilMs = nowMs + 499;
      observe(speeds, {
        eventMs: 34,
        fromMs: nowMs,
        isSlowAt: slowSpans(index + 1),
        server,
        untilMs,
      });
    });
    unevenCount += Number(speeds.areUneven(IDS, nowMs + 500));
  }
  t.is(unevenCount, 0);
});

test('the pattern of slow periods is learned', (t) => {
  const speeds = new EngineSpeeds();
  for (let nowMs = 0; nowMs < 120_000; nowMs += 500) {
    speeds.speedOf(A.serverId, nowMs);
    const untilMs = nowMs + 499;
    observe(speeds, { eventMs: 34, fromMs: nowMs, isSlowAt: slowSpans(1), server: A, untilMs });
  }
  const { factor, share } = speeds.slowPeriodPattern();
  t.true(factor > 2 && factor < 3, `${factor}`);
  t.true(share > 0.05 && share < 0.3, `${share}`);
});

test('without observations nothing is known of a new engine, and few do not suffice', (t) => {
  const speeds = new EngineSpeeds();
  t.is(speeds.speedOf(A.serverId, 0), undefined);
  observe(speeds, { eventMs: 34, server: A, untilMs: 600 });
  t.is(speeds.confidentSpeedOf(A.serverId, 1_000), undefined);
});

test('an engine that restarts under the same id is learned anew', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 34, server: A, untilMs: 10_000 });
  t.not(speeds.confidentSpeedOf(A.serverId, 10_000), undefined);
  const restarted = { ...A, startedEpochMs: 2 };
  observe(speeds, { eventMs: 16, fromMs: 10_000, server: restarted, untilMs: 10_600 });
  t.is(speeds.confidentSpeedOf(A.serverId, 11_000), undefined);
  observe(speeds, { eventMs: 34, fromMs: 10_600, server: A, untilMs: 16_000 });
  observe(speeds, { eventMs: 16, fromMs: 10_600, server: restarted, untilMs: 16_000 });
  t.is(Math.round(speeds.confidentSpeedOf(A.serverId, 16_000)?.eventMs ?? 0), 16);
});

test('an engine that slows down lastingly is slow within the window of the samples', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 16, server: A, untilMs: 20_000 });
  observe(speeds, { eventMs: 34, fromMs: 20_000, server: A, untilMs: 28_000 });
  t.is(Math.round(speeds.speedOf(A.serverId, 28_000)?.eventMs ?? 0), 34);
});

test('when reports stop for 3 s, what is known keeps its confidence', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 34, server: A, untilMs: 10_000 });
  const speed = speeds.speedOf(A.serverId, 13_000);
  t.true((speed?.confidence ?? 0) >= MIN_SPEED_CONFIDENCE);
  t.is(speeds.speedOf(A.serverId, 60_000), undefined);
});

test('the prefill speed follows from the first event; short prompts and long queues do not count', (t) => {
  const speeds = new EngineSpeeds();
  observe(speeds, { eventMs: 20, server: A, untilMs: 5_000 });
  const sent = { queuedTokens: 0, runs: 0, server: A, sinceSentMs: 520, unreadTokens: 3_000 };
  speeds.recordFirstEvent(sent, 5_000);
  speeds.recordFirstEvent({ ...sent, sinceSentMs: 10, unreadTokens: 100 }, 5_000);
  speeds.recordFirstEvent({ ...sent, queuedTokens: 9_000 }, 5_000);
  t.is(speeds.speedOf(A.serverId, 5_200)?.prefillTokensPerMs, 6);
});

test('reports of other daemons add up, and go to other domains once', (t) => {
  const [observer, aggregator, remote] = [1, 2, 3].map(() => new EngineSpeeds());
  if (!observer || !aggregator || !remote) {
    t.fail();
    return;
  }
  for (let nowMs = 0; nowMs < 6_000; nowMs += 500) {
    observe(observer, { eventMs: 34, fromMs: nowMs, server: A, untilMs: nowMs + 499 });
    pass(observer.reports('domain', nowMs + 500, 16), aggregator, true, nowMs + 550);
    pass(aggregator.reports('otherDomains', nowMs + 600, 16), remote, false, nowMs + 900);
  }
  t.is(Math.round(remote.confidentSpeedOf(A.serverId, 6_000)?.eventMs ?? 0), 34);
  t.deepEqual(aggregator.reports('otherDomains', 6_000, 16), []);
  t.deepEqual(remote.reports('otherDomains', 6_000, 16), []);
});

test('engines are reported in turn within the limit', (t) => {
  const speeds = new EngineSpeeds();
  const reported = new Set<string>();
  for (let round = 1; round <= 4; round += 1) {
    for (let index = 0; index < 40; index += 1) {
      const server = { serverId: toId<ServerId>(`e-${index}`), startedEpochMs: 1 };
      const gap = { eventCount: 1, gapMs: 30, isPrefilling: false, runs: 0, server };
      speeds.recordEvents(gap, round * 500);
    }
    const reports = speeds.reports('domain', round * 500 + 400, 16);
    t.is(reports.length, 16);
    reports.forEach(({ serverId }) => reported.add(serverId));
  }
  t.is(reported.size, 40);
});

function pass(
  reports: readonly SpeedReport[],
  receiver: EngineSpeeds,
  isOwnDomain: boolean,
  nowMs: number,
): void {
  reports.forEach((report) => {
    receiver.recordReport(report, isOwnDomain, nowMs);
  });
}
