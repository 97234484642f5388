import type { BackendServer, ServerChange, ServingConfiguration } from '@laburnumgap/dispatch';
import { ServerRegistry } from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  Revision,
  ServerId,
  ServiceId,
  StoreEra,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { REGISTRATION } from '../SimulatedStore.js';
import type { ChangesMessage, FollowedChanges, PeerSnapshot } from '../../index.js';
import { ClusterState, LagDetector } from '../../index.js';

const ERA = toNumberId<StoreEra>(1);
const SERVER_ID = toId<ServerId>('s1');
const DAEMONS = 6;
const WATCHERS = 2;
const HEARTBEAT_INTERVAL_MS = 500;
const ONE_WAY_DELAY_MS = 1;
const STORM_INTERVAL_MS = 250;
const LEAVES_AT_MS = 2_110;
/** No request may reach a server later than this after it said that it leaves. */
const MAX_KNOWN_AFTER_MS = 2_000;

/** Runs actions in the order of their times. */
class EventLoop {
  nowMs = 0;
  private readonly pending: { readonly action: () => void; readonly atMs: number }[] = [];

  after(delayMs: number, action: () => void): void {
    this.pending.push({ action, atMs: this.nowMs + delayMs });
  }

  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      this.pending.sort((a, b) => a.atMs - b.atMs);
      const next = this.pending[0];
      if (!next || next.atMs > endMs) {
        this.nowMs = endMs;
        return;
      }
      this.pending.shift();
      this.nowMs = next.atMs;
      next.action();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

interface TestDaemon {
  readonly clusterState: ClusterState;
  knownLeavingMs: number | undefined;
  readonly lagDetector: LagDetector;
}

/** Daemons of which the first two watch the store, connected by datagrams that can be lost. */
class TestFleet {
  readonly daemons: readonly TestDaemon[];
  readonly loop = new EventLoop();
  private revision = 1;
  private version = 1;

  constructor(private readonly isLost: (message: ChangesMessage, receiver: number) => boolean) {
    this.daemons = Array.from({ length: DAEMONS }, (_, index) => this.createDaemon(index));
    for (const { clusterState } of this.daemons) {
      clusterState.applyStoreChanges(this.changes([serverChange(1, false)], true), 'full');
    }
    this.loop.after(0, () => {
      this.sendHeartbeats();
    });
  }

  /** The operator writes a version, which reaches all daemons at once. */
  publishConfiguration(): void {
    this.revision += 1;
    this.version += 1;
    this.notifyWatchers(this.changes([], true));
    for (const { clusterState } of this.daemons.slice(WATCHERS)) {
      const host = '0';
      const failureDomain = toId<FailureDomainId>('a');
      void clusterState.onConfigurationMessage({
        failureDomain,
        host,
        kind: 'configuration',
        version: this.version,
      });
    }
  }

  writeLeaving(): void {
    this.revision += 1;
    this.notifyWatchers(this.changes([serverChange(this.revision, true)], false));
  }

  private notifyWatchers(changes: FollowedChanges): void {
    for (const { clusterState } of this.daemons.slice(0, WATCHERS)) {
      clusterState.applyStoreChanges(changes, 'watch');
    }
  }

  private changes(servers: readonly ServerChange[], hasConfiguration: boolean): FollowedChanges {
    return {
      configuration: hasConfiguration ? configurationOf(this.version) : undefined,
      era: ERA,
      members: [],
      membersGone: [],
      revision: toNumberId<Revision>(this.revision),
      servers,
      unreadable: [],
    };
  }

  private createDaemon(index: number): TestDaemon {
    const clusterState: ClusterState = new ClusterState({
      advanceStorePosition: () => undefined,
      clock: { nowMs: () => this.loop.nowMs },
      directory: {
        cancelPendingCalls: () => undefined,
        ping: () => Promise.resolve({ isReachable: true }),
        readAll: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
        readConfiguration: () => Promise.resolve(success(configurationOf(this.version))),
        register: () => Promise.resolve(success({ ...REGISTRATION, era: ERA })),
        renewLease: () => Promise.resolve(success('renewed')),
        watch: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
      },
      failureDomain: toId<FailureDomainId>('a'),
      host: String(index),
      log: { info: () => undefined, warn: () => undefined },
      limits: () => [],
      memberId: toId<MemberId>(`m${index}`),
      onConfiguration: () => undefined,
      onLimits: () => undefined,
      onNewEra: () => undefined,
      onServerLeaving: () => {
        const daemon = this.daemons[index];
        if (daemon) {
          daemon.knownLeavingMs ??= this.loop.nowMs;
        }
      },
      peers: () => ({
        announceConfiguration: () => undefined,
        broadcastChanges: (message) => {
          this.deliver(message, index);
        },
        fetchConfiguration: () => Promise.resolve(configurationOf(this.version)),
        fetchSnapshot: (host) => this.fetchSnapshot(host),
        randomHost: () => '0',
        removeMember: () => undefined,
        scheduleHeartbeat: () => undefined,
        scheduleHeartbeatToAll: () => undefined,
        table: { add: () => undefined, members: () => [] },
      }),
      randomUnit: () => 0.5,
      registry: new ServerRegistry(),
    });
    return { clusterState, knownLeavingMs: undefined, lagDetector: new LagDetector() };
  }

  private deliver(message: ChangesMessage, sender: number): void {
    this.daemons.forEach(({ clusterState }, receiver) => {
      if (receiver !== sender && !this.isLost(message, receiver)) {
        this.loop.after(ONE_WAY_DELAY_MS, () => {
          clusterState.onChangesMessage(message);
        });
      }
    });
  }

  private fetchSnapshot(host: string): Promise<PeerSnapshot | undefined> {
    return new Promise((resolve) => {
      this.loop.after(2 * ONE_WAY_DELAY_MS, () => {
        resolve(this.daemons[Number(host)]?.clusterState.snapshot(0));
      });
    });
  }

  private sendHeartbeats(): void {
    this.daemons.forEach((sender, senderIndex) => {
      const position = sender.clusterState.position();
      this.daemons.forEach(({ clusterState, lagDetector }, index) => {
        const isBehind =
          index !== senderIndex &&
          lagDetector.shouldSync(position, clusterState.position(), false, this.loop.nowMs);
        if (isBehind) {
          void clusterState.syncFromPeer(String(senderIndex));
        }
      });
    });
    this.loop.after(HEARTBEAT_INTERVAL_MS, () => {
      this.sendHeartbeats();
    });
  }
}

function configurationOf(version: number): ServingConfiguration {
  const limits = {} as ServingConfiguration['limits'];
  return { limits, routes: [], services: [], teams: [], version };
}

function serverChange(revision: number, leaving: boolean): ServerChange {
  const server: BackendServer = {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.9',
    leaving,
    port: 80,
    serverId: SERVER_ID,
    service: toId<ServiceId>('desk'),
    slots: 6,
    startedEpochMs: 1,
  };
  return { revision: toNumberId<Revision>(revision), server, serverId: SERVER_ID };
}

const LOSSES: readonly (readonly [
  string,
  (message: ChangesMessage, receiver: number) => boolean,
])[] = [
  ['all messages arrive', () => false],
  [
    'the message that says so is lost at one daemon',
    ({ servers }, receiver) => receiver === DAEMONS - 1 && servers.length > 0,
  ],
  [
    'messages without servers are lost at one daemon',
    ({ servers }, receiver) => receiver === DAEMONS - 1 && servers.length === 0,
  ],
  ['no message arrives at one daemon', (_, receiver) => receiver === DAEMONS - 1],
];

for (const [title, isLost] of LOSSES) {
  test(`every daemon knows of a leaving server during a storm of configurations when ${title}`, async (t) => {
    const fleet = new TestFleet(isLost);
    for (let atMs = 0; atMs < 10_000; atMs += STORM_INTERVAL_MS) {
      fleet.loop.after(atMs, () => {
        fleet.publishConfiguration();
      });
    }
    fleet.loop.after(LEAVES_AT_MS, () => {
      fleet.writeLeaving();
    });
    await fleet.loop.runUntil(10_000);
    const knownAfterMs = fleet.daemons.map(
      ({ knownLeavingMs }) => (knownLeavingMs ?? Infinity) - LEAVES_AT_MS,
    );
    t.true(
      knownAfterMs.every((ms) => ms < MAX_KNOWN_AFTER_MS),
      `known after ${knownAfterMs.join(', ')} ms`,
    );
  });
}
