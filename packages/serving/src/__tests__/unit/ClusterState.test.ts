import { ServerRegistry } from '@laburnumgap/dispatch';
import type { MemberId, Revision } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ClusterPeers, PeerSnapshot } from '../../index.js';
import { ClusterState } from '../../index.js';

interface World {
  readonly configurationReads: () => number;
  /** Ends the oldest fetch. */
  readonly answer: (snapshot: PeerSnapshot | undefined) => Promise<void>;
  readonly asked: string[];
  readonly knowledge: ClusterState;
}

function worldOf(): World {
  const asked: string[] = [];
  let reads = 0;
  const open: ((snapshot: PeerSnapshot | undefined) => void)[] = [];
  const peers: ClusterPeers = {
    randomHost: () => undefined,
    fetchSnapshot: (host) => {
      asked.push(host);
      return new Promise((resolve) => open.push(resolve));
    },
    scheduleHeartbeat: () => undefined,
    scheduleHeartbeatToAll: () => undefined,
    broadcastChanges: () => undefined,
    removeMember: () => undefined,
    table: { add: () => undefined, members: () => [] },
  };
  const knowledge = new ClusterState({
    advanceStorePosition: () => undefined,
    clock: { nowMs: () => 0 },
    directory: {
      cancelPendingCalls: () => undefined,
      ping: () => Promise.resolve(false),
      readAll: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
      readConfiguration: () => {
        reads += 1;
        return Promise.resolve(failure({ kind: 'unreachable', reason: 'test' }));
      },
      register: () => Promise.resolve(success(undefined)),
      watch: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
    },
    host: '127.0.0.1',
    log: { info: () => undefined, warn: () => undefined },
    memberId: toId<MemberId>('m1'),
    onConfiguration: () => undefined,
    onServerLeaving: () => undefined,
    peers: () => peers,
    randomUnit: () => 0.5,
    registry: new ServerRegistry(),
  });
  const answer = async (snapshot: PeerSnapshot | undefined): Promise<void> => {
    open.shift()?.(snapshot);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { answer, asked, configurationReads: () => reads, knowledge };
}

test('load pattern: many daemons know more, and few are asked at a time', async (t) => {
  const { answer, asked, knowledge } = worldOf();
  for (let index = 0; index < 100; index += 1) {
    void knowledge.syncFromPeer(`10.0.0.${index}`);
  }
  t.is(asked.length, 2);
  await answer(undefined);
  void knowledge.syncFromPeer('10.0.0.200');
  void knowledge.syncFromPeer('10.0.0.201');
  t.deepEqual(asked.slice(2), ['10.0.0.200'], 'an answer makes room for one');
});

test('a snapshot is taken when it knows more', async (t) => {
  const { answer, knowledge } = worldOf();
  void knowledge.syncFromPeer('10.0.0.1');
  const revision = toNumberId<Revision>(7);
  await answer({ members: [], revision, servers: [] });
  t.is(
    knowledge.position().revision,
    toNumberId<Revision>(0),
    'without servers it says nothing of them',
  );
});

test('load pattern: all watchers push a version, and it is read once', async (t) => {
  const { asked, configurationReads, knowledge } = worldOf();
  const push = (configurationVersion: number): void => {
    knowledge.onChangesMessage({
      configurationVersion,
      host: '10.0.0.1',
      kind: 'changes',
      members: [],
      membersGone: [],
      revision: toNumberId<Revision>(configurationVersion),
      servers: [],
      sinceRevision: toNumberId<Revision>(0),
    });
  };
  for (let index = 0; index < 20; index += 1) {
    push(4);
  }
  t.is(configurationReads(), 1);
  push(5);
  t.is(configurationReads(), 2, 'a newer one is read at once');
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(asked, ['10.0.0.1', '10.0.0.1'], 'what the store does not give is asked of a peer');
  push(5);
  t.is(configurationReads(), 3, 'and a read that failed is tried again');
});
