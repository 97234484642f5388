import { deflateRawSync } from 'node:zlib';
import type { ServingConfiguration } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { DomainLoadMessage } from '../../index.js';
import {
  encodeConfiguration,
  encodeMessage,
  parseConfiguration,
  parseDatagram,
  parsePeerMessage,
  parseSnapshot,
} from '../../index.js';

const SHARE = {
  plannedTokens: 12_000,
  readingTokens: 3_000,
  runs: 4,
  serverId: toId<ServerId>('i-0123456789'),
  usedTokens: 9_000,
};
const MESSAGE: DomainLoadMessage = {
  failureDomain: toId<FailureDomainId>('a'),
  kind: 'domainLoad',
  shares: [SHARE],
};

test('encoding and parsing preserves shares', (t) => {
  t.deepEqual(parsePeerMessage(Buffer.from(encodeMessage(MESSAGE))), MESSAGE);
});

test('an encoded share takes at most 50 bytes', (t) => {
  const [one, two] = [1, 2].map(
    (count) =>
      encodeMessage({ ...MESSAGE, shares: Array.from({ length: count }, () => SHARE) }).length,
  );
  t.true((two ?? 0) - (one ?? 0) <= 50);
});

test('the long runs of shares are preserved, and daemons of earlier builds read the shares', (t) => {
  const other = { ...SHARE, serverId: toId<ServerId>('i-1') };
  const message = { ...MESSAGE, shares: [other, { ...SHARE, longRuns: 3 }] };
  const text = encodeMessage(message);
  t.deepEqual(parsePeerMessage(Buffer.from(text)), message);
  const wire = JSON.parse(text) as { readonly shares: readonly unknown[][] };
  t.true(wire.shares.every((share) => share.length === 5));
});

test('long runs that are no count of the share are dropped', (t) => {
  const wire = {
    ...MESSAGE,
    longRuns: ['x', -1, 9],
    shares: [1, 2, 3].map(() => ['i', 1, 2, 3, 4]),
  };
  const message = parsePeerMessage(Buffer.from(JSON.stringify(wire)));
  t.deepEqual(message?.kind === 'domainLoad' && message.shares.map(({ longRuns }) => longRuns), [
    undefined,
    undefined,
    undefined,
  ]);
});

test('malformed shares are dropped', (t) => {
  const validShare = ['i-1', 1, 2, 3, 4];
  const shares = [
    validShare,
    ['i-1', 1, 2, 3],
    ['i-1', 1, 2, 3, 'x'],
    [7, 1, 2, 3, 4],
    {},
    null,
    'x',
  ];
  const message = parsePeerMessage(Buffer.from(JSON.stringify({ ...MESSAGE, shares })));
  t.is(message?.kind === 'domainLoad' ? message.shares.length : undefined, 1);
});

const REQUEST = {
  believedReadingTokens: 0,
  plannedTokens: 1,
  promptTokens: 1,
  requestId: 'r',
  serverId: 's',
  unreadTokens: 1,
};
const TOTALS = { plannedTokens: 1, readingTokens: 1, runs: 1, usedTokens: 1 };
const MOVE = {
  endsSoon: false,
  memberId: 'm',
  requestId: 'r',
  sourceId: 's',
  targetIds: ['t'],
  usedTokens: 1,
};
const CHANGES = {
  era: 1,
  kind: 'changes',
  members: [{ host: 'h', memberId: 'm' }],
  membersGone: ['m'],
  revision: 2,
  servers: [{ revision: 2, serverId: 's' }],
  sinceRevision: 1,
};
const LIMIT = { ageMs: 5, requestsPerS: 3, serverId: 's', startedEpochMs: 1 };
const PERMIT_REQUEST = {
  kind: 'permitRequest',
  limit: LIMIT,
  maxWaitMs: 0,
  memberId: 'm',
  requestNumber: 1,
  serverId: 's',
};
const PERMIT_RESPONSE = {
  decision: { kind: 'granted', waitMs: 0 },
  kind: 'permitResponse',
  limit: LIMIT,
  requestNumber: 1,
  serverId: 's',
};
const HEARTBEAT = {
  configurationVersion: 1,
  era: 1,
  failureDomain: 'a',
  host: 'h',
  incarnation: 1,
  isDraining: false,
  isStopping: false,
  leavingServers: [],
  limits: [LIMIT],
  memberId: 'm',
  revision: 1,
  sequence: 1,
  shares: [],
  storeIsAway: false,
};
const MALFORMED_LIMITS: readonly unknown[] = [
  'x',
  [null],
  [{ ...LIMIT, ageMs: 'x' }],
  [{ ...LIMIT, requestsPerS: null }],
  [{ ...LIMIT, serverId: '' }],
  [{ ...LIMIT, startedEpochMs: undefined }],
];
const COLD = { ageMs: 5, remainingMs: 700, serverId: 's', startedEpochMs: 1 };
const MALFORMED_COLD: readonly unknown[] = [
  'x',
  [null],
  [{ ...COLD, ageMs: 'x' }],
  [{ ...COLD, remainingMs: null }],
  [{ ...COLD, serverId: '' }],
  [{ ...COLD, startedEpochMs: undefined }],
];
const VALID_MESSAGES: readonly object[] = [
  CHANGES,
  PERMIT_REQUEST,
  { ...PERMIT_REQUEST, limit: { ageMs: 5, serverId: 's', startedEpochMs: 1 } },
  { ...PERMIT_REQUEST, isCold: true },
  PERMIT_RESPONSE,
  { ...PERMIT_RESPONSE, countsCold: true },
  { ...PERMIT_RESPONSE, decision: { kind: 'declined', retryAfterMs: 300 } },
  { ...PERMIT_RESPONSE, decision: { kind: 'notOwner' } },
  { failureDomain: 'a', host: 'h', kind: 'configuration', version: 3 },
  { kind: 'moveDone', requestId: 'r' },
  { kind: 'moveTurn', requestId: 'r', targetId: 't' },
  { kind: 'moveWanted', wish: MOVE },
  { isGranted: true, kind: 'roomAnswer', requestId: 'r', serverId: 's', totals: TOTALS },
  { kind: 'roomWanted', memberId: 'm', wish: REQUEST },
];
const MALFORMED_MESSAGES: readonly object[] = [
  { ...CHANGES, era: 'x' },
  { failureDomain: 'a', host: 7, kind: 'configuration', version: 3 },
  { failureDomain: 'a', host: 'h', kind: 'configuration', version: 'x' },
  { ...CHANGES, members: [{ host: 'h' }] },
  { ...CHANGES, members: [null] },
  { ...CHANGES, membersGone: [7] },
  { ...CHANGES, servers: [{ revision: 2 }] },
  { ...CHANGES, servers: [{ revision: 'x', serverId: 's' }] },
  { kind: 'moveDone', requestId: '' },
  { kind: 'moveTurn', requestId: 'r' },
  { kind: 'moveTurn', requestId: 'r', targetId: {} },
  { kind: 'moveWanted', wish: { ...MOVE, memberId: undefined } },
  { kind: 'moveWanted', wish: { ...MOVE, targetIds: [1] } },
  { isGranted: true, kind: 'roomAnswer', requestId: 'r', serverId: 7, totals: TOTALS },
  { isGranted: true, kind: 'roomAnswer', requestId: 'r', serverId: 's', totals: null },
  { isGranted: true, kind: 'roomAnswer', requestId: 'r', serverId: 's', totals: { runs: 'x' } },
  { kind: 'roomWanted', memberId: 7, wish: REQUEST },
  { kind: 'roomWanted', memberId: 'm', wish: null },
  { kind: 'roomWanted', memberId: 'm', wish: { ...REQUEST, serverId: [] } },
  { ...PERMIT_REQUEST, limit: { ...LIMIT, ageMs: 'x' } },
  { ...PERMIT_REQUEST, maxWaitMs: undefined },
  { ...PERMIT_REQUEST, memberId: 7 },
  { ...PERMIT_REQUEST, requestNumber: 'x' },
  { ...PERMIT_RESPONSE, decision: null },
  { ...PERMIT_RESPONSE, decision: { kind: 'declined' } },
  { ...PERMIT_RESPONSE, decision: { kind: 'granted', waitMs: 'x' } },
  { ...PERMIT_RESPONSE, decision: { kind: 'x' } },
  { ...PERMIT_RESPONSE, limit: { ...LIMIT, startedEpochMs: 'x' } },
  { ...PERMIT_RESPONSE, serverId: '' },
];

test('valid messages are parsed unchanged', (t) => {
  for (const message of VALID_MESSAGES) {
    const parsed: unknown = parsePeerMessage(Buffer.from(JSON.stringify(message)));
    t.deepEqual(parsed, message);
  }
});

test('messages with missing or malformed ids and figures are ignored', (t) => {
  for (const message of MALFORMED_MESSAGES) {
    t.is(
      parsePeerMessage(Buffer.from(JSON.stringify(message))),
      undefined,
      JSON.stringify(message),
    );
  }
});

test('a heartbeat carries limits, may lack them, and is ignored with malformed ones', (t) => {
  const parse = (heartbeat: object): unknown =>
    parseDatagram(Buffer.from(JSON.stringify(heartbeat)));
  t.deepEqual(parse(HEARTBEAT), HEARTBEAT);
  t.not(parse({ ...HEARTBEAT, limits: undefined }), undefined, 'from an earlier build');
  for (const limits of MALFORMED_LIMITS) {
    t.is(parse({ ...HEARTBEAT, limits }), undefined, JSON.stringify(limits));
  }
});

test('a heartbeat carries cold servers, may lack them, and is ignored with malformed ones', (t) => {
  const parse = (heartbeat: object): unknown =>
    parseDatagram(Buffer.from(JSON.stringify(heartbeat)));
  t.deepEqual(parse({ ...HEARTBEAT, cold: [COLD] }), { ...HEARTBEAT, cold: [COLD] });
  for (const cold of MALFORMED_COLD) {
    t.is(parse({ ...HEARTBEAT, cold }), undefined, JSON.stringify(cold));
  }
});

test('the cold servers of a heartbeat fit into two kilobytes', (t) => {
  // An id of 32 characters is longer than those of the platform; a datagram is sent in few IP fragments.
  const serverId = 'i'.repeat(32);
  const report = { ageMs: 1_200, remainingMs: 1_000, serverId, startedEpochMs: 1_700_000_000_000 };
  t.true(JSON.stringify(Array(16).fill(report)).length < 2_048);
});

const SERVER = {
  failureDomain: 'a',
  host: '10.0.0.1',
  leaving: false,
  port: 80,
  serverId: 's',
  service: 'engines',
  slots: 24,
  startedEpochMs: 0,
};
/** One field of a server each that cannot be used. */
const UNUSABLE: readonly object[] = [
  { failureDomain: 'a b' },
  { host: '10.0.0.1\r\nX: y' },
  { leaving: undefined },
  { port: 70_000 },
  { port: -1 },
  { port: '80' },
  { remainingColdMs: null },
  { serverId: 's\r\nX: y' },
  { serverId: 'other' },
  { service: '' },
  { slots: 1e300 },
  { startedEpochMs: null },
];

test('a server of another daemon that cannot be used counts as an unreadable entry', (t) => {
  const parse = (server: unknown): unknown => {
    const changes = { ...CHANGES, servers: [{ revision: 2, server, serverId: 's' }] };
    const message = parsePeerMessage(Buffer.from(JSON.stringify(changes)));
    return message?.kind === 'changes' ? message.servers[0] : undefined;
  };
  t.deepEqual(parse(SERVER), { revision: 2, server: SERVER, serverId: 's' });
  for (const fields of UNUSABLE) {
    const parsed = parse({ ...SERVER, ...fields });
    t.deepEqual(parsed, { revision: 2, serverId: 's' }, JSON.stringify(fields));
  }
});

test('a snapshot is read without the servers, members and configurations that cannot be used', (t) => {
  const entry = { leaving: false, revision: 2, server: SERVER };
  const snapshot = { era: 1, members: [{ host: 'h', memberId: 'm' }], revision: 2 };
  const odd = UNUSABLE.slice(0, -4).map((fields) => ({
    ...entry,
    server: { ...SERVER, ...fields },
  }));
  const received = {
    ...snapshot,
    configuration: { routes: [{}], services: [], teams: [], version: 3 },
    members: [...snapshot.members, { host: 'a\nb', memberId: 'm' }, null],
    servers: [...odd, null, entry],
  };
  t.deepEqual(parseSnapshot(JSON.stringify(received)) as unknown, {
    ...snapshot,
    servers: [entry],
  });
});

test('hosts of other daemons are words', (t) => {
  const host = 'h\r\nX: y';
  const digest = { configurationVersion: 1, era: 1, host, members: [], revision: 1 };
  for (const message of [
    { ...HEARTBEAT, host },
    { ...CHANGES, host },
    { ...CHANGES, members: [{ host, memberId: 'm' }] },
    { failureDomain: 'a', host, kind: 'configuration', version: 3 },
    { digest, failureDomain: 'a', kind: 'domainLoad', shares: [] },
  ]) {
    t.is(parseDatagram(Buffer.from(JSON.stringify(message))), undefined, JSON.stringify(message));
  }
});

const ROUTE = {
  host: 'shop.example',
  kind: 'once',
  maxEventGapMs: 0,
  maxServers: 1,
  mayRestartStream: false,
  name: 'r',
  needsKey: true,
  pathPrefix: '/',
  rank: 1,
  targetLatencyMs: 1,
  targets: [{ service: 'engines', weight: 1 }],
  timeoutMs: 1,
};
const SERVICE = { healthPath: '/', maxConnections: 1, service: 'engines' };
const TEAM = { apiKeys: ['k'], teamId: 'team' };

test('a configuration with a part that cannot be used is none', (t) => {
  const parse = (parts: object): unknown =>
    parseConfiguration(
      deflateRawSync(
        JSON.stringify({
          limits: {},
          routes: [ROUTE],
          services: [SERVICE],
          teams: [TEAM],
          version: 7,
          ...parts,
        }),
      ),
    );
  t.truthy(parse({}));
  for (const parts of [
    { limits: null },
    { limits: undefined },
    { limits: { maxBodyBytes: 'x' } },
    { routes: [null] },
    { routes: [{ ...ROUTE, host: undefined }] },
    { routes: [{ ...ROUTE, kind: 'constructor' }] },
    { routes: [{ ...ROUTE, targets: [{}] }] },
    { routes: [{ ...ROUTE, timeoutMs: null }] },
    { services: [{ ...SERVICE, engine: { slots: 1 } }] },
    { services: [{ ...SERVICE, service: 7 }] },
    { teams: [{ ...TEAM, apiKeys: 'k' }] },
    { version: null },
  ]) {
    t.is(parse(parts), undefined, JSON.stringify(parts));
  }
});

test('a configuration survives its encoding, and other bytes are none', (t) => {
  const configuration = {
    limits: {},
    routes: [],
    services: [],
    teams: [{ apiKeys: ['k'], rank: 1, teamId: 'é' }],
    version: 7,
  } as unknown as ServingConfiguration;
  t.deepEqual(parseConfiguration(encodeConfiguration(configuration)), configuration);
  for (const bytes of [Buffer.from('{}'), Buffer.alloc(0), deflateRawSync('{"version":7}')]) {
    t.is(parseConfiguration(bytes), undefined);
  }
});
