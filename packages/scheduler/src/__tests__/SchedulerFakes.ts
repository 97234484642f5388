import type { ContractInForce } from '@laburnumgap/contracts';
import { contractSchema } from '@laburnumgap/contracts';
import type { DaemonContext } from '@laburnumgap/daemon';
import { createActorSystem } from '@laburnumgap/daemon';
import type { EngineControlError } from '@laburnumgap/engine';
import type {
  EngineCacheEvent,
  EngineLoad,
  KnownServer,
  Member,
  MemberRole,
  TeamId,
  Teardown,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import type { DaemonSettings } from '@laburnumgap/settings';
import { daemonSettingsSchema } from '@laburnumgap/settings';
import { NO_LOG, NO_METRICS, createDecisionLog } from '@laburnumgap/telemetry';
import type { EngineReportClient } from '../index.js';

/** Peer secret that the fakes share. */
export const FAKE_SECRET = 'a-secret-for-tests-only';

/** Load report of an idle engine. */
export const IDLE_LOAD: EngineLoad = {
  ageMs: 0,
  kvTokensCapacity: 1000,
  kvTokensUsed: 0,
  leaving: false,
  maxRunning: 8,
  preemptions: 0,
  queuedGenerations: 0,
  runningGenerations: 0,
};

const NO_ANSWER: EngineControlError = { detail: 'no answer', kind: 'unavailable' };

/** A prefix that every engine reports as cached. */
export const CACHED_PREFIX: EngineCacheEvent = {
  kind: 'stored',
  prefixHash: 'cached',
  sequence: 1,
  tokens: 64,
};

const FAKE_CONTRACT: ContractInForce = {
  contract: contractSchema.parse({
    customer: 'customer-1',
    keys: [{ id: 'key-1', sha256: '0'.repeat(64) }],
    limits: { concurrentRequests: 10, requestsPerSecond: 5, tokensPerSecond: 1_000 },
    scheduling: { class: 'standard' },
    team: 'team-1',
    waitBoundMs: 10_000,
  }),
  revision: toNumberId(1),
};

/** In-process context, node and report client, with setters for what they return. */
export interface SchedulerFakes {
  readonly context: DaemonContext<DaemonSettings>;
  readonly node: Node;
  readonly createReportClient: () => EngineReportClient;
  /** Ids of the servers that were marked as leaving on their own notice. */
  readonly notedLeaving: Set<string>;
  /** Sets the load that every engine reports; if undefined, reads fail. */
  setLoad(load: EngineLoad | undefined): void;
  /** Replaces the server list. */
  setServers(servers: readonly KnownServer[]): void;
}

/**
 * Creates a model server for the fake server list.
 *
 * @param id - its server id
 * @param leaving - whether it is leaving
 * @returns the server
 */
export function fakeServer(id: string, leaving = false): KnownServer {
  return {
    address: `http://127.0.0.1:1/${id}`,
    backend: { kind: 'model', pool: toId('pool') },
    failureDomain: toId('fd-1'),
    leaving,
    region: toId('region-1'),
    serverId: toId(id),
    state: leaving ? 'leaving' : 'live',
  };
}

/**
 * Creates fakes with one idle engine, `engine-1`.
 *
 * @returns the fakes
 */
export function createSchedulerFakes(): SchedulerFakes {
  const settings = daemonSettingsSchema.parse({
    listen: { http: '127.0.0.1:0', rpc: '127.0.0.1:0' },
    member: { entryVm: 'vm-1', failureDomain: 'fd-1', id: 'scheduler-1', region: 'region-1' },
    peers: { secret: FAKE_SECRET },
    platform: { storeUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:1' },
  });
  const listeners = new Set<() => void>();
  const notedLeaving = new Set<string>();
  let load: EngineLoad | undefined = IDLE_LOAD;
  let servers: readonly KnownServer[] = [fakeServer('engine-1')];
  const context: DaemonContext<DaemonSettings> = {
    actors: createActorSystem(NO_LOG),
    decisions: createDecisionLog({ log: NO_LOG }),
    log: NO_LOG,
    metrics: NO_METRICS,
    settings,
    delayReadinessUntil: () => undefined,
    shutDown: () => undefined,
    stage: () => 'ready',
  };
  const onChange = (listener: () => void): Teardown => {
    listeners.add(listener);
    return () => listeners.delete(listener);
  };
  return {
    context,
    node: fakeNode(() => servers, onChange, notedLeaving),
    createReportClient: () => ({
      cacheEvents: () => Promise.resolve(success({ events: [CACHED_PREFIX], latestSequence: 1 })),
      close: () => Promise.resolve(),
      load: () => Promise.resolve(load ? success(load) : failure(NO_ANSWER)),
    }),
    notedLeaving,
    setLoad: (next) => {
      load = next;
    },
    setServers: (next) => {
      servers = next;
      for (const listener of listeners) {
        listener();
      }
    },
  };
}

function fakeNode(
  servers: () => readonly KnownServer[],
  onChange: (listener: () => void) => Teardown,
  notedLeaving: Set<string>,
): Node {
  const clients = createRpcClients(FAKE_SECRET);
  const members: Member[] = [];
  let drainServer = (): Promise<void> => Promise.resolve();
  return {
    clients,
    clock: { nowMs: () => performance.now() },
    configuration: {
      contractOfKey: () => 'unknown',
      onChange: () => () => undefined,
      snapshot: () => ({
        contracts: new Map([[toId<TeamId>('team-1'), FAKE_CONTRACT]]),
        revision: toNumberId(1),
        stops: [],
      }),
    },
    configurationAgeMs: () => 0,
    directory: {
      members: () => members,
      onChange: () => () => undefined,
      rank: (role: MemberRole) => members.filter((member) => member.role === role),
      suspect: () => undefined,
    },
    drain: async () => {
      clients.close();
      await drainServer();
    },
    holdsLease: () => true,
    random: { nextUnit: () => 0.5 },
    registerHandlers: async (handlers) => {
      const server = await startRpcServer({
        address: '127.0.0.1:0',
        handlers,
        secret: FAKE_SECRET,
      });
      drainServer = () => server.drain();
      const member: Member = {
        entryVm: toId('vm-1'),
        failureDomain: toId('fd-1'),
        incarnation: toId('1'),
        memberId: toId('scheduler-1'),
        region: toId('region-1'),
        role: 'scheduler',
        rpcAddress: server.address,
      };
      members.push(member);
      return member;
    },
    servers: { markLeaving: (id) => notedLeaving.add(id), onChange, servers },
    store: undefined as never,
  };
}
