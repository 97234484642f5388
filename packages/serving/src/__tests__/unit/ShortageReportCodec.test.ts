import type { EngineShare, RankReport } from '@laburnumgap/dispatch';
import { MAX_REPORTED_RANKS } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { PeerHeartbeat, ServiceShortage } from '../../index.js';
import {
  encodeMessage,
  MAX_REPORTED_SERVICES,
  parseDatagram,
  unpackShortage,
} from '../../index.js';

const SERVICE = toId<ServiceId>('engines-of-the-service');
/** Most bytes of a message that is sent as a datagram: few IP fragments. */
const MAX_DATAGRAM_BYTES = 8_000;
const FLEET_DAEMONS = 195;
const ENGINES = 34;

function rowOf(rank: number): RankReport {
  return {
    lateTokens: 1_234_567,
    offered: 1_234.5,
    onTimeCount: 123,
    onTimeTokens: 1_234_567,
    placedTokensPerS: 123_456,
    rank,
    served: 1_234.5,
    slackMs: 12_345,
    usedTokens: 1_234_567,
  };
}

function heartbeatOf(shortage?: readonly ServiceShortage[]): PeerHeartbeat {
  const share = { plannedTokens: 123_456, readingTokens: 12_345, runs: 24, usedTokens: 123_456 };
  return {
    configurationVersion: 1,
    era: toNumberId(1),
    failureDomain: toId<FailureDomainId>('a'),
    host: '127.0.0.1',
    incarnation: 1,
    isDraining: false,
    isStopping: false,
    leavingServers: [],
    memberId: toId<MemberId>(`m${FLEET_DAEMONS}`),
    revision: toNumberId(1),
    sequence: 1,
    shares: Array.from({ length: ENGINES }, (_none, index): EngineShare => ({
      ...share,
      serverId: toId<ServerId>(`i-0123456789${index}`),
    })),
    ...(shortage ? { shortage } : {}),
    storeIsAway: false,
  };
}

const FULL_REPORT: readonly ServiceShortage[] = Array.from(
  { length: MAX_REPORTED_SERVICES },
  (_none, index) => ({
    ranks: Array.from({ length: MAX_REPORTED_RANKS }, (_row, rank) => rowOf(rank)),
    service: toId<ServiceId>(`${SERVICE}${index}`),
  }),
);

test('encoding and parsing preserves the report of a shortage', (t) => {
  const parsed = parseDatagram(Buffer.from(encodeMessage(heartbeatOf(FULL_REPORT))));
  t.deepEqual(parsed, heartbeatOf(FULL_REPORT));
});

test('a heartbeat of a build without the field is parsed', (t) => {
  t.deepEqual(parseDatagram(Buffer.from(encodeMessage(heartbeatOf()))), heartbeatOf());
});

test('load pattern: with 195 daemons the largest report fits into few IP fragments', (t) => {
  const tooMany = [...FULL_REPORT, ...FULL_REPORT].map(({ ranks, service }) => ({
    ranks: [...ranks, ...ranks],
    service,
  }));
  t.true(Buffer.byteLength(encodeMessage(heartbeatOf(tooMany))) <= MAX_DATAGRAM_BYTES);
});

test('malformed entries and rows are dropped', (t) => {
  const row = [0, 1, 2, 3, 4, 5, 6, 7, 8];
  const valid = ['s', [row, row.slice(1), [...row.slice(1), 'x'], [...row.slice(1), -1], null]];
  const report = unpackShortage([valid, [7, []], ['s'], 'x', null]);
  t.deepEqual(
    report?.map(({ ranks, service }) => [service, ranks.length]),
    [['s', 1]],
  );
  t.is(unpackShortage('x'), undefined);
});
