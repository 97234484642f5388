import type { FailureDomainId, Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { BackendServer, ColdEntry } from '../../index.js';
import { ColdServers } from '../../index.js';

const COLD_START_MS = 1_000;
const EPOCH_MS = 1_700_000_000_000;
/** A listed entry can be as old as one heartbeat of the server, by docs/OVERLOAD.md, part 2. */
const MAX_ENTRY_AGE_MS = 1_200;

function serverOf(overrides: Partial<BackendServer> = {}): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>('s1'),
    service: toId<ServiceId>('desk'),
    slots: 6,
    startedEpochMs: EPOCH_MS,
    ...overrides,
  };
}

const SERVER = serverOf();

function entryOf(revision: number, overrides: Partial<BackendServer> = {}): ColdEntry {
  return {
    coldStartMs: COLD_START_MS,
    nowEpochMs: EPOCH_MS + 100,
    revision: toNumberId<Revision>(revision),
    server: serverOf(overrides),
  };
}

function respond(servers: ColdServers, remainingMs: number, nowMs: number): boolean {
  return servers.recordResponse(SERVER, remainingMs, nowMs);
}

test('a server is cold until the remaining time has passed since its entry was received', (t) => {
  const servers = new ColdServers();
  t.true(servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 5_000));
  t.true(servers.isCold(SERVER, 5_799));
  t.false(servers.isCold(SERVER, 5_800));
});

test('an entry that is received again does not make a warm server cold', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 5_000);
  t.false(servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 7_000));
  t.false(servers.isCold(SERVER, 7_000));
});

test('a server becomes cold again by its next entry and by any response', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 0 }), 5_000);
  t.true(servers.recordEntry(entryOf(2, { remainingColdMs: 900 }), 7_000));
  t.true(respond(servers, 500, 9_000));
  t.true(servers.isCold(SERVER, 9_499));
  t.false(respond(servers, 0, 9_100), 'a later response says that it is warm');
  t.false(servers.isCold(SERVER, 9_101));
});

test('an entry that can be older than a response does not end the cold time', (t) => {
  const servers = new ColdServers();
  respond(servers, 5_000, 6_000);
  servers.recordEntry(entryOf(2, { remainingColdMs: 0 }), 6_000 + MAX_ENTRY_AGE_MS - 1);
  t.true(servers.isCold(SERVER, 8_000));
  servers.recordEntry(entryOf(3, { remainingColdMs: 0 }), 8_000);
  t.false(servers.isCold(SERVER, 8_001));
});

test('a report of a response wins over an entry that can be older than the response', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 0 }), 5_000);
  const { serverId, startedEpochMs } = SERVER;
  t.true(servers.recordReport({ ageMs: 500, remainingMs: 400, serverId, startedEpochMs }, 5_200));
  t.true(servers.isCold(SERVER, 5_599));
});

test('a later start wins over an earlier one, and an earlier one changes nothing', (t) => {
  const servers = new ColdServers();
  const restarted = serverOf({ startedEpochMs: EPOCH_MS + 1 });
  servers.recordEntry(entryOf(1, { remainingColdMs: 0 }), 5_000);
  const entry = { remainingColdMs: 1_000, startedEpochMs: EPOCH_MS + 1 };
  t.true(servers.recordEntry(entryOf(2, entry), 6_000));
  t.false(respond(servers, 0, 6_100), 'the response of the earlier start');
  t.true(servers.isCold(restarted, 6_200));
  t.true(servers.isCold(SERVER, 6_200), 'the entry of the restarted server may not have come yet');
});

for (const [name, startedAgoMs, isCold] of [
  ['just now', 0, true],
  ['by a clock that is ahead', -3_000, true],
  ['a little before the cold time ended, by clocks that differ', 1_400, true],
  ['long ago', 60_000, false],
] as const) {
  test(`an entry without remaining time of a server that started ${name}`, (t) => {
    const servers = new ColdServers();
    servers.recordEntry({ ...entryOf(1), nowEpochMs: EPOCH_MS + startedAgoMs }, 5_000);
    t.is(servers.isCold(SERVER, 5_001), isCold);
    t.false(servers.isCold(SERVER, 5_000 + COLD_START_MS));
  });
}

test('the remaining time of an entry counts, whatever the start time says', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 0 }), 5_000);
  t.false(servers.isCold(SERVER, 5_000));
});

test('an entry without start time and remaining time is of a warm server', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { startedEpochMs: 0 }), 5_000);
  t.false(servers.isCold(serverOf({ startedEpochMs: 0 }), 5_001));
});

test('a report counts by its age, on another clock', (t) => {
  const sender = new ColdServers();
  respond(sender, 900, 1_000_000);
  const [report] = sender.reports(1_000_200);
  t.deepEqual(report, {
    ageMs: 200,
    remainingMs: 700,
    serverId: SERVER.serverId,
    startedEpochMs: EPOCH_MS,
  });
  const receiver = new ColdServers();
  t.true(report && receiver.recordReport(report, 50));
  t.true(receiver.isCold(SERVER, 749));
  t.false(receiver.isCold(SERVER, 750));
});

test('an older report does not win over a later response', (t) => {
  const servers = new ColdServers();
  respond(servers, 0, 5_000);
  const { serverId, startedEpochMs } = SERVER;
  const report = { ageMs: 300, remainingMs: 700, serverId, startedEpochMs };
  t.false(servers.recordReport(report, 5_200));
  t.false(servers.isCold(SERVER, 5_200));
});

test('reports that go round between daemons with a delay of 500 ms do not extend the cold time', (t) => {
  const daemons = [new ColdServers(), new ColdServers(), new ColdServers()];
  const [first] = daemons;
  t.truthy(first && respond(first, 1_000, 0));
  const inTransit: { readonly atMs: number; readonly deliver: () => void }[] = [];
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) {
    inTransit
      .filter(({ atMs }) => atMs === nowMs)
      .forEach(({ deliver }) => {
        deliver();
      });
    for (const sender of daemons) {
      for (const report of sender.reports(nowMs)) {
        const receivers = daemons.filter((receiver) => receiver !== sender);
        const atMs = nowMs + 500;
        const deliver = (): void => {
          receivers.forEach((receiver) => receiver.recordReport(report, atMs));
        };
        inTransit.push({ atMs, deliver });
      }
    }
    // The cold time and the longest delay.
    t.false(nowMs > 1_500 && daemons.some((servers) => servers.isCold(SERVER, nowMs)), `${nowMs}`);
  }
});

test('an entry is forwarded with the time that remains', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 5_000);
  t.is(servers.forwarded(serverOf({ remainingColdMs: 800 }), 5_300).remainingColdMs, 500);
  t.is(servers.forwarded(serverOf({ remainingColdMs: 800 }), 9_000).remainingColdMs, 0);
});

test('only the latest cold servers are reported', (t) => {
  const servers = new ColdServers();
  for (let index = 0; index < 40; index += 1) {
    servers.recordResponse(
      { serverId: toId<ServerId>(`s${index}`), startedEpochMs: 1 },
      1_000,
      5_000 + index,
    );
  }
  const ids = servers.reports(5_100, 16).map(({ serverId }) => serverId);
  t.is(ids.length, 16);
  t.is(ids[0], toId<ServerId>('s39'));
  t.deepEqual(servers.reports(7_000), []);
});

test('load pattern: entries of a whole failure domain, and responses that say the same, are not reported', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 5_000);
  respond(servers, 750, 5_050);
  t.deepEqual(servers.reports(5_100), [], 'they would fill the links of a large fleet');
  respond(servers, 3_000, 5_200);
  t.is(servers.reports(5_200).length, 1, 'it became cold again');
  respond(servers, 2_900, 5_300);
  t.is(servers.reports(5_300).length, 1);
});

test('servers that are no longer registered are forgotten', (t) => {
  const servers = new ColdServers();
  servers.recordEntry(entryOf(1, { remainingColdMs: 800 }), 5_000);
  servers.retain(() => false);
  t.false(servers.isCold(SERVER, 5_000));
});
