import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { ServerPaths } from '../../index.js';

function ids(count: number): readonly ServerId[] {
  return Array.from({ length: count }, (_, index) => toId<ServerId>(`s${index}`));
}

/** Paths of which all but the last ones are severed at a time. */
function severedPaths(count: number, known: number, nowMs: number): ServerPaths {
  const paths = new ServerPaths();
  ids(count).forEach((serverId) => paths.recordSevered(serverId, known, nowMs));
  return paths;
}

test('one severed path is avoided, and the others are tried directly', (t) => {
  const paths = severedPaths(1, 11, 0);
  const [severed, other] = ids(2);
  t.is(severed && paths.planFor(severed), 'tunnel');
  t.is(other && paths.planFor(other), 'direct');
  t.is(paths.cutOffSince(), undefined);
});

for (const known of [1, 3, 11, 810]) {
  test(`a daemon takes itself for cut off when the paths to all ${known} servers are severed`, (t) => {
    const paths = new ServerPaths();
    const changes = ids(known).map((serverId, index) =>
      paths.recordSevered(serverId, known, index),
    );
    t.is(changes.at(-1), 'cutOff');
    t.is(changes.filter((change) => change === 'cutOff').length, 1);
    t.is(paths.cutOffSince(), known - 1);
  });
}

test('a daemon that reaches one server is not cut off, however often the others are confirmed', (t) => {
  const known = 11;
  const paths = severedPaths(10, known, 0);
  for (let nowMs = 100; nowMs < 60_000; nowMs += 100) {
    for (const serverId of paths.takeDueProbes(nowMs)) {
      t.is(paths.recordSevered(serverId, known, nowMs), 'unchanged');
    }
    if (nowMs % 1_000 === 0) {
      t.is(paths.recordDirect(toId<ServerId>('s10'), nowMs), 'unchanged');
    }
  }
});

test('servers that no daemon reaches do not count for a while', (t) => {
  const paths = new ServerPaths();
  const [first, second, third] = ids(3);
  if (!first || !second || !third) {
    t.fail();
    return;
  }
  paths.recordDown(third, 0);
  paths.recordSevered(first, 3, 10);
  t.is(paths.recordSevered(second, 3, 20), 'unchanged', 'two are too few to be sure of three');
  const four = new ServerPaths();
  four.recordDown(toId<ServerId>('s9'), 0);
  t.deepEqual(
    ids(4).map((serverId) => four.recordSevered(serverId, 5, 30)),
    ['unchanged', 'unchanged', 'unchanged', 'cutOff'],
  );
  const late = new ServerPaths();
  late.recordDown(toId<ServerId>('s9'), 0);
  t.true(ids(4).every((serverId) => late.recordSevered(serverId, 5, 6_000) === 'unchanged'));
});

test('a daemon that is cut off probes twice a second, whatever the number of servers', (t) => {
  const known = 810;
  const paths = severedPaths(known, known, 0);
  let probes = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    for (const serverId of paths.takeDueProbes(nowMs)) {
      probes += 1;
      paths.recordSevered(serverId, known, nowMs);
    }
  }
  t.true(probes >= 18 && probes <= 20, `${probes} probes in ten seconds`);
});

test('after the first path is back, the others are probed soon', (t) => {
  const known = 68;
  const paths = severedPaths(known, known, 0);
  t.is(paths.recordDirect(toId<ServerId>('s0'), 5_000), 'reachable');
  t.is(paths.cutOffSince(), undefined);
  const probed = new Set<ServerId>();
  for (let nowMs = 5_000; nowMs < 6_500; nowMs += 100) {
    for (const serverId of paths.takeDueProbes(nowMs)) {
      probed.add(serverId);
      paths.recordDirect(serverId, nowMs);
    }
  }
  t.is(probed.size, known - 1);
  t.is(paths.summary(7_000).severed, 0);
});

test('a severed path is confirmed by later evidence only', (t) => {
  const paths = severedPaths(1, 11, 100);
  const [serverId] = ids(1);
  t.is(serverId && paths.confirmedForMs(serverId), 0);
  t.is(serverId && paths.recordSevered(serverId, 11, 700), 'unchanged');
  t.is(serverId && paths.confirmedForMs(serverId), 600);
  t.is(paths.confirmedForMs(toId<ServerId>('s9')), undefined);
});

test('a severed path stays severed when connections through other daemons fail once or twice', (t) => {
  const paths = severedPaths(1, 11, 0);
  const [serverId] = ids(1);
  if (!serverId) {
    t.fail();
    return;
  }
  paths.recordDown(serverId, 100);
  paths.recordDown(serverId, 200);
  paths.recordTunneled(serverId);
  paths.recordDown(serverId, 300);
  paths.recordDown(serverId, 400);
  t.true(paths.isSevered(serverId));
  paths.recordDown(serverId, 500);
  t.false(paths.isSevered(serverId));
});

test('a path that stays severed is probed ever more rarely', (t) => {
  const paths = severedPaths(1, 11, 0);
  const probedMs: number[] = [];
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    if (paths.takeDueProbes(nowMs).length > 0) {
      probedMs.push(nowMs);
    }
  }
  t.deepEqual(probedMs, [500, 1_000, 2_000, 4_000, 8_000, 12_000, 16_000]);
});

test('two severed paths make the others suspect, each once until a direct connection opens', (t) => {
  const paths = severedPaths(2, 68, 0);
  const candidates = ids(68);
  const examined = new Set<ServerId>();
  let suspects = paths.takeSuspects(candidates);
  while (suspects.length > 0) {
    t.true(suspects.length <= 8, 'too many at once');
    t.true(suspects.every((serverId) => !examined.has(serverId)));
    suspects.forEach((serverId) => examined.add(serverId));
    suspects = paths.takeSuspects(candidates);
  }
  t.is(examined.size, 66);
  paths.recordDirect(toId<ServerId>('s60'), 10);
  t.deepEqual(paths.takeSuspects(candidates), []);
});
