import type { EvacuationRecord } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, Revision, ServerId, StoreEra } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ChangesMessage, PeerHeartbeat, PeerSnapshot } from '../../index.js';
import {
  encodeMessage,
  encodeSnapshot,
  fitsInDatagram,
  MAX_EVACUATION_BYTES,
  parseDatagram,
  parseSnapshot,
  unpackEvacuations,
  withoutChanges,
} from '../../index.js';

const ERA = toNumberId<StoreEra>(3);
const REVISION = toNumberId<Revision>(900);

function record(domain: string, isEvacuated = true): EvacuationRecord {
  const failureDomain = toId<FailureDomainId>(domain);
  return { era: ERA, failureDomain, isEvacuated, revision: REVISION };
}

function heartbeat(evacuations?: readonly EvacuationRecord[]): PeerHeartbeat {
  return {
    configurationVersion: 1,
    era: ERA,
    evacuations,
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    incarnation: 1,
    isDraining: false,
    isStopping: false,
    leavingServers: [{ serverId: toId<ServerId>('s1'), startedEpochMs: 1 }],
    memberId: toId<MemberId>('m1'),
    revision: REVISION,
    sequence: 1,
    shares: [],
    storeIsAway: false,
  };
}

const CHANGES: ChangesMessage = {
  era: ERA,
  evacuations: [record('a'), record('b', false)],
  kind: 'changes',
  members: [],
  membersGone: [],
  revision: REVISION,
  servers: [],
  sinceRevision: toNumberId<Revision>(899),
};

function parse(message: ChangesMessage | PeerHeartbeat): readonly EvacuationRecord[] | undefined {
  const parsed = parseDatagram(Buffer.from(encodeMessage(message)));
  return parsed && 'evacuations' in parsed ? parsed.evacuations : undefined;
}

test('records arrive as they were sent in heartbeats, changes and snapshots', (t) => {
  const records = [record('a'), record('b', false)];
  t.deepEqual(parse(heartbeat(records)), records);
  t.deepEqual(parse(CHANGES), records);
  t.deepEqual(parse(withoutChanges(CHANGES)), records, 'they count without the other changes');
  const snapshot: PeerSnapshot = {
    era: ERA,
    evacuations: records,
    members: [],
    revision: REVISION,
    servers: [],
  };
  t.deepEqual(parseSnapshot(encodeSnapshot(snapshot))?.evacuations, records);
  const empty = parseSnapshot(encodeSnapshot({ ...snapshot, evacuations: [] }));
  t.deepEqual(empty?.evacuations, [], 'none is known, which differs from not known');
});

test('messages of daemons that do not follow evacuations are read without them', (t) => {
  t.is(parse(heartbeat()), undefined);
  t.false(encodeMessage(heartbeat()).includes('evacuations'));
  const snapshot = { era: ERA, members: [], revision: REVISION, servers: [] };
  t.is(parseSnapshot(encodeSnapshot(snapshot))?.evacuations, undefined);
});

test('records of a datagram stay within the size limit, the first ones before the others', (t) => {
  const many = Array.from({ length: 400 }, (_, index) => record(`domain-${index}`));
  const sent = parse(heartbeat(many)) ?? [];
  t.deepEqual(sent, many.slice(0, sent.length));
  t.true(sent.length > 0);
  const base = encodeMessage(heartbeat()).length;
  const growth = encodeMessage(heartbeat(many)).length - base;
  t.true(growth <= MAX_EVACUATION_BYTES + '"evacuations":[],'.length);
  t.false(fitsInDatagram(many));
  t.true(fitsInDatagram(sent));
});

test('what is no record is left out, and the others count', (t) => {
  const valid = ['a', 3, 900, 1];
  const invalid = [
    null,
    7,
    {},
    [],
    ['a', 3, 900],
    ['', 3, 900, 1],
    [5, 3, 900, 1],
    ['a', -1, 900, 1],
    ['a', 3, 1.5, 1],
    ['a', 3, '900', 1],
    ['a', 3, 900, true],
  ];
  t.deepEqual(unpackEvacuations([...invalid, valid]), [record('a')]);
  t.is(unpackEvacuations('x'), undefined);
  t.is(unpackEvacuations({}), undefined);
  // A later build may append to a record.
  t.deepEqual(unpackEvacuations([[...valid, 'more']]), [record('a')]);
});
