import type { ConfigurationView, Contract, ContractInForce } from '@laburnumgap/contracts';
import { hashKey } from '@laburnumgap/contracts';
import type { DaemonContext, DaemonStage } from '@laburnumgap/daemon';
import { createActorSystem } from '@laburnumgap/daemon';
import type {
  Member,
  MemberDirectory,
  MonotonicClock,
  ServerDirectory,
  TeamId,
} from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import { createMemoryStore } from '@laburnumgap/key-value';
import { createRpcClients } from '@laburnumgap/rpc';
import { NO_METRICS, createDecisionLog, createLog } from '@laburnumgap/telemetry';
import type { ExecutionContext } from 'ava';
import type { Router, RouterOptions } from '../../RouterDaemon.js';
import { startRouter } from '../../RouterDaemon.js';
import { UNLIMITED_QUOTA } from '../../RouterQuota.js';
import type { RouterSettings } from '../../RouterSettings.js';
import { routerSettingsSchema } from '../../RouterSettings.js';
import { CONTRACT, FakeCluster } from './FakeCluster.js';

export const API_KEY = 'key-of-the-stock-team';
export const REVOKED_API_KEY = 'revoked-key-of-the-stock-team';

/** A router daemon that serves real HTTP and calls a {@link FakeCluster}. */
export interface TestDaemon {
  readonly logLines: readonly string[];
  readonly router: Router;
  setStage(stage: DaemonStage): void;
  readonly cluster: FakeCluster;
  readonly url: string;
}

/** Options of {@link startTestDaemon}. */
export interface TestDaemonOptions extends Partial<RouterOptions> {
  /** Clock of the node; defaults to the clock of the cluster. */
  readonly clock?: MonotonicClock;
  readonly cluster?: FakeCluster;
  readonly contract?: Partial<Contract>;
  readonly settings?: Partial<RouterSettings['router']>;
}

/** Starts a router daemon that is stopped when the test ends. */
export async function startTestDaemon(
  t: ExecutionContext,
  options: TestDaemonOptions = {},
): Promise<TestDaemon> {
  const { cluster = new FakeCluster() } = options;
  const logLines: string[] = [];
  const log = createLog({ level: 'debug', write: (line) => logLines.push(line) });
  const actors = createActorSystem(log);
  const state: { stage: DaemonStage } = { stage: 'ready' };
  const context: DaemonContext<RouterSettings> = {
    actors,
    decisions: createDecisionLog({ log }),
    log,
    metrics: NO_METRICS,
    delayReadinessUntil: () => undefined,
    settings: createSettings(options.settings),
    shutDown: () => undefined,
    stage: () => state.stage,
  };
  const router = await startRouter({
    admission: cluster.admission,
    context,
    engines: cluster.client,
    requestHomes: cluster.requestHomes.portOf('router-1'),
    node: createNode(cluster, options.clock ?? cluster.timers, {
      ...CONTRACT,
      ...options.contract,
    }),
    quota: UNLIMITED_QUOTA,
    ...options,
  });
  t.teardown(async () => {
    await router.drain();
    actors.stop();
  });
  return {
    logLines,
    router,
    setStage: (stage) => {
      state.stage = stage;
    },
    url: `http://${router.addresses.http ?? ''}`,
    cluster,
  };
}

function createSettings(router: Partial<RouterSettings['router']> = {}): RouterSettings {
  return routerSettingsSchema.parse({
    enginePools: [{ checksFencingNumbers: true, models: ['drafts'], name: 'drafts' }],
    listen: { http: '127.0.0.1:0', rpc: '127.0.0.1:0' },
    member: { entryVm: 'vm-1', failureDomain: 'domain-0', id: 'router-1', region: 'region' },
    peers: { secret: 'a-secret-between-peers' },
    platform: { storeUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:1' },
    router,
  });
}

function createNode(cluster: FakeCluster, clock: MonotonicClock, contract: Contract): Node {
  const member: Member = {
    entryVm: toId('vm-1'),
    failureDomain: toId('domain-0'),
    incarnation: toId('incarnation'),
    memberId: toId('router-1'),
    region: toId('region'),
    role: 'router',
    rpcAddress: '127.0.0.1:1',
  };
  const directory: MemberDirectory = {
    members: () => [member],
    onChange: () => () => undefined,
    rank: () => [],
    suspect: () => undefined,
  };
  const clients = createRpcClients('a-secret-between-peers');
  const servers: ServerDirectory = cluster.servers;
  return {
    clients,
    clock,
    configuration: createConfiguration(contract),
    configurationAgeMs: () => 0,
    directory,
    drain: () => {
      clients.close();
      return Promise.resolve();
    },
    holdsLease: () => true,
    random: { nextUnit: () => 0 },
    registerHandlers: () => Promise.resolve(member),
    servers,
    store: createMemoryStore(),
  };
}

function createConfiguration(contract: Contract): ConfigurationView {
  const inForce: ContractInForce = { contract, revision: toNumberId(1) };
  return {
    contractOfKey: (keySha256) => {
      if (keySha256 === hashKey(API_KEY)) {
        return inForce;
      }
      return keySha256 === hashKey(REVOKED_API_KEY) ? 'revoked' : 'unknown';
    },
    onChange: () => () => undefined,
    snapshot: () => ({
      contracts: new Map([[toId<TeamId>(contract.team), inForce]]),
      revision: toNumberId(1),
      stops: [],
    }),
  };
}
