import { ServerRegistry } from '@laburnumgap/dispatch';
import type { MemberId, Revision } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ClusterPeers, FollowedChanges, PeerSnapshot } from '../../index.js';
import { ClusterState, FIRST_POSITION } from '../../index.js';

interface TestState {
  readonly announcedVersions: number[];
  readonly clusterState: ClusterState;
  /** Completes the oldest pending snapshot fetch. */
  readonly completeFetch: (snapshot: PeerSnapshot | undefined) => Promise<void>;
  readonly configurationReads: () => number;
  readonly fetchedHosts: string[];
}

function createState(): TestState {
  const announcedVersions: number[] = [];
  const fetchedHosts: string[] = [];
  let readCount = 0;
  const pendingFetches: ((snapshot: PeerSnapshot | undefined) => void)[] = [];
  const peers: ClusterPeers = {
    randomHost: () => undefined,
    fetchSnapshot: (host) => {
      fetchedHosts.push(host);
      return new Promise((resolve) => pendingFetches.push(resolve));
    },
    scheduleHeartbeat: () => undefined,
    scheduleHeartbeatToAll: () => undefined,
    broadcastChanges: ({ configurationVersion }) => {
      announcedVersions.push(configurationVersion);
    },
    removeMember: () => undefined,
    table: { add: () => undefined, members: () => [] },
  };
  const clusterState = new ClusterState({
    advanceStorePosition: () => undefined,
    clock: { nowMs: () => 0 },
    directory: {
      cancelPendingCalls: () => undefined,
      ping: () => Promise.resolve({ isReachable: false }),
      readAll: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
      readConfiguration: () => {
        readCount += 1;
        return Promise.resolve(failure({ kind: 'unreachable', reason: 'test' }));
      },
      register: () => Promise.resolve(success(undefined)),
      watch: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
    },
    host: '127.0.0.1',
    log: { info: () => undefined, warn: () => undefined },
    memberId: toId<MemberId>('m1'),
    onConfiguration: () => undefined,
    onNewEra: () => undefined,
    onServerLeaving: () => undefined,
    peers: () => peers,
    randomUnit: () => 0.5,
    registry: new ServerRegistry(),
  });
  const completeFetch = async (snapshot: PeerSnapshot | undefined): Promise<void> => {
    pendingFetches.shift()?.(snapshot);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return {
    announcedVersions,
    clusterState,
    completeFetch,
    configurationReads: () => readCount,
    fetchedHosts,
  };
}

test('load pattern: only a few snapshots are fetched at a time when many daemons are ahead', async (t) => {
  const { clusterState, completeFetch, fetchedHosts } = createState();
  for (let index = 0; index < 100; index += 1) {
    void clusterState.syncFromPeer(`10.0.0.${index}`);
  }
  t.is(fetchedHosts.length, 2);
  await completeFetch(undefined);
  void clusterState.syncFromPeer('10.0.0.200');
  void clusterState.syncFromPeer('10.0.0.201');
  t.deepEqual(fetchedHosts.slice(2), ['10.0.0.200'], 'a completed fetch allows one more');
});

test('a snapshot without servers does not advance the revision', async (t) => {
  const { clusterState, completeFetch } = createState();
  void clusterState.syncFromPeer('10.0.0.1');
  const revision = toNumberId<Revision>(7);
  await completeFetch({ ...FIRST_POSITION, members: [], revision, servers: [] });
  t.is(
    clusterState.position().revision,
    toNumberId<Revision>(0),
    'the servers at that revision are unknown',
  );
});

test('load pattern: a configuration version that all watchers announce is read once', async (t) => {
  const { clusterState, configurationReads, fetchedHosts } = createState();
  const receiveChanges = (configurationVersion: number): void => {
    clusterState.onChangesMessage({
      configurationVersion,
      era: FIRST_POSITION.era,
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
    receiveChanges(4);
  }
  t.is(configurationReads(), 1);
  receiveChanges(5);
  t.is(configurationReads(), 2, 'a newer version is read immediately');
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(
    fetchedHosts,
    ['10.0.0.1', '10.0.0.1'],
    'a peer is asked when the read from the store fails',
  );
  receiveChanges(5);
  t.is(configurationReads(), 3, 'a failed read is repeated');
});

test('a configuration found by a full read is announced, except by a daemon that starts', (t) => {
  const { announcedVersions, clusterState } = createState();
  for (const version of [3, 3, 4, 2]) {
    const changes = {
      ...FIRST_POSITION,
      configuration: { limits: {}, routes: [], services: [], teams: [], version },
      members: [],
      membersGone: [],
      servers: [],
      unreadable: [],
    } as unknown as FollowedChanges;
    clusterState.applyStoreChanges(changes, true);
  }
  t.deepEqual(announcedVersions, [4]);
});
