import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { LimitObservation } from '../../index.js';
import { ServerLimits } from '../../index.js';

const SERVER = { serverId: toId<ServerId>('a'), startedEpochMs: 1 };

function observation(
  requestsPerS: number | undefined,
  observedMs: number,
  startedEpochMs = 1,
): LimitObservation {
  return { observedMs, requestsPerS, serverId: SERVER.serverId, startedEpochMs };
}

test('the later observation of a limit counts, in whichever order they arrive', (t) => {
  const limits = new ServerLimits();
  t.true(limits.record(observation(3, 100)));
  t.false(limits.record(observation(5, 90)), 'older');
  t.false(limits.record(observation(3, 110)), 'the same again');
  t.true(limits.record(observation(4, 120)));
  t.is(limits.requestsPerS(SERVER), 4);
});

test('an observation that passes from daemon to daemon does not become newer on its way', (t) => {
  const daemons = [new ServerLimits(), new ServerLimits()];
  daemons[0]?.record(observation(3, 0));
  const transitMs = 3;
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    const [sender, receiver] = nowMs % 20 === 0 ? daemons : [...daemons].reverse();
    const report = sender?.reportOf(SERVER.serverId, nowMs);
    if (report) {
      receiver?.recordReport(report, nowMs + transitMs);
    }
  }
  const agesMs = daemons.map((limits) => limits.reportOf(SERVER.serverId, 1_000)?.ageMs);
  t.deepEqual(agesMs, [1_000, 1_000 - transitMs]);
});

test('of many limits the latest observations are reported', (t) => {
  const limits = new ServerLimits();
  for (let index = 0; index < 30; index += 1) {
    const serverId = toId<ServerId>(`s${index}`);
    limits.record({ observedMs: index, requestsPerS: 1, serverId, startedEpochMs: 1 });
  }
  const reported = limits.reports(100, 3).map(({ ageMs, serverId }) => [ageMs, serverId]);
  t.deepEqual(reported, [
    [71, 's29'],
    [72, 's28'],
    [73, 's27'],
  ]);
  t.is(limits.reports(100).length, 30);
});

test('a limit that is no longer named ends, and older reports of it do not bring it back', (t) => {
  const limits = new ServerLimits();
  limits.record(observation(3, 100));
  t.true(limits.record(observation(undefined, 200)));
  t.is(limits.requestsPerS(SERVER), undefined);
  t.false(limits.record(observation(3, 150)));
  t.is(limits.requestsPerS(SERVER), undefined);
});

test('answers of a server that never named a limit leave nothing behind', (t) => {
  const limits = new ServerLimits();
  t.false(limits.record(observation(undefined, 100)));
  t.deepEqual(limits.reports(0), []);
});

test('a limit belongs to one start of a server', (t) => {
  const limits = new ServerLimits();
  limits.record(observation(3, 100, 1));
  t.is(limits.requestsPerS({ ...SERVER, startedEpochMs: 2 }), undefined);
  t.true(limits.record(observation(undefined, 50, 2)), 'the restarted server names none');
  t.is(limits.requestsPerS(SERVER), undefined);
  t.false(limits.record(observation(3, 70, 1)), 'a late report of the earlier start');
  limits.record(observation(7, 60, 2));
  t.false(limits.record(observation(3, 900, 1)), 'a report of the earlier start');
  t.is(limits.requestsPerS({ ...SERVER, startedEpochMs: 2 }), 7);
  t.is(limits.requestsPerS(SERVER), 7, 'where the entry of the restarted server has not arrived');
});

test('limits of unregistered servers and limits that ended long ago are forgotten', (t) => {
  const limits = new ServerLimits();
  limits.record(observation(3, 0));
  limits.retain(() => true, 1_000_000);
  t.is(limits.reports(0).length, 1, 'still named');
  limits.record(observation(undefined, 1_000_000));
  limits.retain(() => true, 1_010_000);
  t.is(limits.reports(0).length, 1, 'a late report could still name it');
  limits.retain(() => true, 1_100_000);
  t.is(limits.reports(0).length, 0);
  limits.record(observation(3, 2_000_000));
  limits.retain(() => false, 2_000_000);
  t.is(limits.reports(0).length, 0);
});

test('what one daemon reports counts by its age at another one, whose clock differs', (t) => {
  const limits = new ServerLimits();
  limits.record(observation(3, 100));
  const report = limits.reportOf(SERVER.serverId, 400);
  t.like(report, { ageMs: 300, requestsPerS: 3 });
  const others = new ServerLimits();
  others.record(observation(undefined, 70_000));
  others.record(observation(5, 70_000));
  t.false(report !== undefined && others.recordReport(report, 70_200), 'older than what is known');
  t.true(others.recordReport({ ...SERVER, ageMs: 10, requestsPerS: 4 }, 70_200));
  t.true(others.recordReport({ ...SERVER, ageMs: 0 }, 70_300), 'the limit has ended');
  t.is(others.requestsPerS(SERVER), undefined);
});
