import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { DEFAULT_CLAIM_SETTINGS } from '@laburnumgap/claims';
import type { Contract, ContractInForce } from '@laburnumgap/contracts';
import type { DaemonContext } from '@laburnumgap/daemon';
import { createActorSystem } from '@laburnumgap/daemon';
import type { KnownServer, Member, MonotonicClock, PlatformStore } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, createPluginRegistry, toId, toNumberId } from '@laburnumgap/kernel';
import { createLedgerHandlers, startLedgerSlots } from '@laburnumgap/ledger';
import { createMemoryStore } from '@laburnumgap/key-value';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import { NO_LOG, NO_METRICS } from '@laburnumgap/telemetry';
import type { ExecutionContext } from 'ava';
import type { Router } from '../../RouterDaemon.js';
import { createRouterHttp } from '../../RouterHttp.js';
import { registerPlainCalls } from '../../RouterPlainCallsRegistration.js';
import type { RequestHandler } from '../../RouterRequestHandler.js';
import type { RouterSettings } from '../../RouterSettings.js';
import { SYSTEM_TIMERS } from '../../RouterTimers.js';

/** Answers a call at a service, after its effect was counted. */
export type ServiceResponder = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** A service's server that counts effects. */
export interface TestService {
  readonly address: string;
  readonly effects: Map<string, number>;
  readonly requests: IncomingMessage[];
  respond: ServiceResponder;
  /** Closes the server and all its connections. */
  stop(): Promise<void>;
}

/** A router, a ledger and servers of one service, with real connections. */
export interface PlainCallsDeployment {
  call(path: string, init?: RequestInit): Promise<Response>;
  /** Closes the ledger's server, as a crash would. */
  killLedger(): void;
  readonly services: readonly TestService[];
}

const SECRET = 'integration-test-secret';
const CLOCK: MonotonicClock = { nowMs: () => performance.now() };

const CONTRACT: Contract = {
  customer: 'hoa-sen',
  keys: [],
  limits: { concurrentRequests: 10, requestsPerSecond: 10, tokensPerSecond: 1_000 },
  models: [],
  reconnectGraceMs: 10_000,
  scheduling: { class: 'standard', weight: 1 },
  services: [
    {
      calls: [
        { idempotent: false, method: 'POST', path: '/v1/transfers', timeoutMs: 5_000 },
        { idempotent: true, method: 'GET', path: '/v1/stock/*', timeoutMs: 5_000 },
      ],
      name: 'stock',
    },
  ],
  team: 'hoa-sen-transfers',
  waitBoundMs: 20_000,
};

const IN_FORCE: ContractInForce = { contract: CONTRACT, revision: toNumberId(1) };

/** Starts a deployment that is stopped when the test ends. */
export async function startPlainCallsDeployment(
  t: ExecutionContext,
  options: { readonly servers?: number; readonly store?: PlatformStore } = {},
): Promise<PlainCallsDeployment> {
  const services: TestService[] = [];
  for (let index = 0; index < (options.servers ?? 1); index += 1) {
    services.push(await startTestService(t));
  }
  const ledger = await startTestLedger(t, options.store ?? createMemoryStore());
  const clients = createRpcClients(SECRET);
  const router = createTestRouter(clients, ledger.member, services);
  registerPlainCalls(router);
  const handle = createRouterHttp({
    bodyTimeoutMs: 5_000,
    configuration: router.node.configuration,
    decisions: NO_DECISION_SINK,
    isDraining: () => false,
    handlers: router.handlers,
    log: NO_LOG,
    maxBodyBytes: 64 * 1024,
    metrics: NO_METRICS,
    isStarting: () => false,
    timers: SYSTEM_TIMERS,
  });
  const server = createServer(handle);
  const address = await listen(t, server);
  t.teardown(async () => {
    await router.handlers.find('plainCalls')?.drain?.();
    clients.close();
  });
  return {
    call: (path, init = {}) =>
      fetch(`${address}${path}`, {
        ...init,
        headers: { authorization: 'Bearer key', ...(init.headers as Record<string, string>) },
      }),
    killLedger: ledger.kill,
    services,
  };
}

async function startTestService(t: ExecutionContext): Promise<TestService> {
  const effects = new Map<string, number>();
  const requests: IncomingMessage[] = [];
  const service = {
    address: '',
    respond: ((_request, response, body) => {
      response.writeHead(201, { 'content-type': 'text/plain' }).end(`done: ${body}`);
    }) as ServiceResponder,
    effects,
    requests,
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const key = String(request.headers['idempotency-key'] ?? 'none');
      effects.set(key, (effects.get(key) ?? 0) + 1);
      requests.push(request);
      service.respond(request, response, Buffer.concat(chunks).toString());
    });
  });
  service.address = await listen(t, server);
  return service;
}

async function startTestLedger(t: ExecutionContext, store: PlatformStore) {
  const actors = createActorSystem(NO_LOG);
  const slots = startLedgerSlots({
    actors,
    clock: CLOCK,
    decisions: NO_DECISION_SINK,
    log: NO_LOG,
    metrics: NO_METRICS,
    random: { nextUnit: () => 0.5 },
    settings: DEFAULT_CLAIM_SETTINGS,
    store,
    wallClock: { nowEpochMs: () => Date.now() },
    writer: 'ledger-1',
  });
  const handlers = createLedgerHandlers(slots, DEFAULT_CLAIM_SETTINGS);
  const rpc = await startRpcServer({
    address: '127.0.0.1:0',
    handlers: { Ledger: handlers },
    secret: SECRET,
  });
  t.teardown(() => {
    rpc.close();
    slots.stop();
    actors.stop();
  });
  const member: Member = {
    entryVm: toId('vm-1'),
    failureDomain: toId('a'),
    incarnation: toId('one'),
    memberId: toId('ledger-1'),
    region: toId('north'),
    role: 'ledger',
    rpcAddress: rpc.address,
  };
  return {
    kill: () => {
      rpc.close();
    },
    member,
  };
}

function createTestRouter(
  clients: Router['node']['clients'],
  ledger: Member,
  services: readonly TestService[],
): Router {
  const known = services.map((service, index): KnownServer => {
    return {
      address: service.address,
      backend: { kind: 'service', service: toId('stock') },
      failureDomain: toId('a'),
      leaving: false,
      region: toId('north'),
      serverId: toId(`app-${index}`),
      state: 'live',
    };
  });
  const noTeardown = () => () => undefined;
  const node: Pick<
    Router['node'],
    'clients' | 'clock' | 'configuration' | 'directory' | 'random' | 'servers'
  > = {
    clients,
    clock: CLOCK,
    configuration: {
      contractOfKey: () => IN_FORCE,
      onChange: noTeardown,
      snapshot: () => ({ contracts: new Map(), revision: toNumberId(1), stops: [] }),
    },
    directory: {
      members: () => [ledger],
      onChange: noTeardown,
      rank: () => [ledger],
      suspect: () => undefined,
    },
    random: { nextUnit: () => 0.5 },
    servers: { markLeaving: () => undefined, onChange: noTeardown, servers: () => known },
  };
  const settings = { member: { failureDomain: 'a', id: 'router-1' } };
  const context = { decisions: NO_DECISION_SINK, log: NO_LOG, settings };
  return {
    context: context as unknown as DaemonContext<RouterSettings>,
    handlers: createPluginRegistry<RequestHandler>(),
    node,
    timers: SYSTEM_TIMERS,
  } as unknown as Router;
}

async function listen(t: ExecutionContext, server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}
