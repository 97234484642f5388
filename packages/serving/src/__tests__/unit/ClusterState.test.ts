import type { BackendServer, LimitReport, ServingConfiguration } from '@laburnumgap/dispatch';
import { ServerRegistry } from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, Revision, ServerId, ServiceId } from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { REGISTRATION } from '../SimulatedStore.js';
import type {
  ClusterPeers,
  ConfigurationMessage,
  FollowedChanges,
  PeerSnapshot,
} from '../../index.js';
import { ClusterState, FIRST_POSITION } from '../../index.js';

interface TestState {
  readonly announcedVersions: number[];
  readonly clusterState: ClusterState;
  /** Configurations that other daemons return, by host. */
  readonly configurations: Map<string, ServingConfiguration>;
  /** Completes the oldest pending snapshot fetch. */
  readonly completeFetch: (snapshot: PeerSnapshot | undefined) => Promise<void>;
  readonly configurationReads: () => number;
  readonly fetchedHosts: string[];
  /** Limits that snapshots contained. */
  readonly receivedLimits: LimitReport[];
}

function createState(): TestState {
  const announcedVersions: number[] = [];
  const configurations = new Map<string, ServingConfiguration>();
  const fetchedHosts: string[] = [];
  const receivedLimits: LimitReport[] = [];
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
    announceConfiguration: (version) => {
      announcedVersions.push(version);
    },
    broadcastChanges: () => undefined,
    fetchConfiguration: (host) => {
      fetchedHosts.push(host);
      return Promise.resolve(configurations.get(host));
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
      register: () => Promise.resolve(success(REGISTRATION)),
      renewLease: () => Promise.resolve(success('renewed')),
      watch: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
    },
    failureDomain: toId<FailureDomainId>('a'),
    host: '127.0.0.1',
    log: { info: () => undefined, warn: () => undefined },
    limits: () => [LIMIT],
    memberId: toId<MemberId>('m1'),
    onConfiguration: () => undefined,
    onLimits: (limits) => {
      receivedLimits.push(...limits);
    },
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
    configurations,
    completeFetch,
    configurationReads: () => readCount,
    fetchedHosts,
    receivedLimits,
  };
}

const LIMIT: LimitReport = {
  ageMs: 5,
  requestsPerS: 3,
  serverId: toId<ServerId>('s1'),
  startedEpochMs: 1,
};

test('a snapshot carries the limits of servers, also to a daemon that is not behind', async (t) => {
  const sender = createState();
  t.deepEqual(sender.clusterState.snapshot(0).limits, [LIMIT]);
  const { clusterState, completeFetch, receivedLimits } = createState();
  void clusterState.syncFromPeer('10.0.0.1');
  await completeFetch(sender.clusterState.snapshot(0));
  t.deepEqual(receivedLimits, [LIMIT]);
});

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

function configurationOf(version: number): ServingConfiguration {
  const limits = {} as ServingConfiguration['limits'];
  return { limits, routes: [], services: [], teams: [], version };
}

function announcementOf(version: number, domain = 'a'): ConfigurationMessage {
  const failureDomain = toId<FailureDomainId>(domain);
  return { failureDomain, host: '10.0.0.1', kind: 'configuration', version };
}

test('load pattern: a configuration version that several daemons announce is fetched once, not from the store', async (t) => {
  const { clusterState, configurationReads, configurations, fetchedHosts } = createState();
  configurations.set('10.0.0.1', configurationOf(4));
  const announcements = Array.from({ length: 20 }, () =>
    clusterState.onConfigurationMessage(announcementOf(4)),
  );
  t.is(fetchedHosts.length, 1);
  configurations.set('10.0.0.1', configurationOf(5));
  const newer = clusterState.onConfigurationMessage(announcementOf(5));
  t.is(fetchedHosts.length, 2, 'a newer version is fetched immediately');
  await Promise.all([...announcements, newer]);
  t.is(clusterState.position().configurationVersion, 5);
  t.is(configurationReads(), 0);
});

test('the store is asked for a configuration that a peer does not return, and again later', async (t) => {
  const { clusterState, configurationReads, configurations } = createState();
  await clusterState.onConfigurationMessage(announcementOf(4));
  configurations.set('10.0.0.1', configurationOf(3));
  await clusterState.onConfigurationMessage(announcementOf(4));
  t.is(configurationReads(), 2);
  t.is(clusterState.position().configurationVersion, 0);
});

test('a relay announces what it fetched from another domain, once; others do not', async (t) => {
  const { announcedVersions, clusterState, configurations } = createState();
  configurations.set('10.0.0.1', configurationOf(4));
  await clusterState.onConfigurationMessage(announcementOf(4, 'a'));
  t.deepEqual(announcedVersions, [], 'of its own domain');
  await clusterState.onConfigurationMessage(announcementOf(4, 'b'));
  await clusterState.onConfigurationMessage(announcementOf(4, 'c'));
  t.deepEqual(announcedVersions, [4], 'though it had the version already');
  await clusterState.onConfigurationMessage(announcementOf(9, 'b'));
  t.deepEqual(announcedVersions, [4], 'nothing that it does not have');
});

test('a configuration found by a full read is announced, except by a daemon that starts', (t) => {
  const { announcedVersions, clusterState } = createState();
  for (const version of [3, 4, 4, 2]) {
    const changes: FollowedChanges = {
      ...FIRST_POSITION,
      configuration: configurationOf(version),
      members: [],
      membersGone: [],
      servers: [],
      unreadable: [],
    };
    clusterState.applyStoreChanges(changes, 'full');
  }
  t.deepEqual(announcedVersions, [4]);
});

test('load pattern: a change of the servers right after one of the configuration is applied', async (t) => {
  const { clusterState, completeFetch } = createState();
  const position = (revision: number) => ({
    era: FIRST_POSITION.era,
    revision: toNumberId<Revision>(revision),
  });
  const server: BackendServer = {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.9',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>('s'),
    service: toId<ServiceId>('desk'),
    slots: 1,
    startedEpochMs: 1,
  };
  const known = { leaving: false, revision: toNumberId<Revision>(1), server };
  void clusterState.syncFromPeer('10.0.0.1');
  await completeFetch({ ...position(1), members: [], servers: [known] });
  const message = {
    era: FIRST_POSITION.era,
    kind: 'changes',
    members: [],
    membersGone: [],
  } as const;
  // The second revision was a configuration, which is announced by a message of its own.
  clusterState.onChangesMessage({
    ...message,
    revision: toNumberId<Revision>(2),
    servers: [],
    sinceRevision: toNumberId<Revision>(1),
  });
  clusterState.onChangesMessage({
    ...message,
    revision: toNumberId<Revision>(3),
    servers: [
      {
        revision: toNumberId<Revision>(3),
        server: { ...server, leaving: true },
        serverId: server.serverId,
      },
    ],
    sinceRevision: toNumberId<Revision>(2),
  });
  t.is(clusterState.position().revision, toNumberId<Revision>(3));
});
