import type { DaemonContext, HttpServer, StartedDaemon } from '@laburnumgap/daemon';
import { startHttpServer } from '@laburnumgap/daemon';
import type { EngineStreamClient } from '@laburnumgap/engine';
import { createEngineStreamClient } from '@laburnumgap/engine';
import { createContinuationPolicies } from '@laburnumgap/generation';
import type { EngineId, MemberId, PluginRegistry, Teardown } from '@laburnumgap/kernel';
import { createPluginRegistry, invariant, toId } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import { RouteChooser } from '@laburnumgap/routing';
import type { RpcHandlers } from '@laburnumgap/rpc';
import type { Log } from '@laburnumgap/telemetry';
import { RouterCompletions } from './RouterCompletions.js';
import { DRAIN_RESERVE_SHARE, UNKNOWN_POLICY_INVARIANT } from './RouterConstants.js';
import { RouterEngineHealth } from './RouterEngineHealth.js';
import { createRouterHttp } from './RouterHttp.js';
import { createRouterInspect } from './RouterInspect.js';
import { RouterPlacement } from './RouterPlacement.js';
import type { AdmissionPort, RequestHomesPort } from './RouterPorts.js';
import { RouterProgressReporter } from './RouterProgressReporter.js';
import type { RouterQuota } from './RouterQuota.js';
import type { RequestHandler } from './RouterRequestHandler.js';
import { RpcAdmission } from './RouterRpcAdmission.js';
import { RpcRequestHomes } from './RouterRpcRequestHomes.js';
import { RouterRunRegistry } from './RouterRunRegistry.js';
import type { RunServices } from './RouterRunTypes.js';
import type { RouterSettings } from './RouterSettings.js';
import { ShareQuota } from './RouterShareQuota.js';
import type { Timers } from './RouterTimers.js';
import { SYSTEM_TIMERS } from './RouterTimers.js';

/** Options of {@link startRouter}. Ports default to gRPC calls to the other daemons. */
export interface RouterOptions {
  readonly admission?: AdmissionPort;
  readonly context: DaemonContext<RouterSettings>;
  readonly engines?: EngineStreamClient;
  readonly node: Node;
  readonly quota?: RouterQuota;
  readonly requestHomes?: RequestHomesPort;
  readonly timers?: Timers;
}

/** A running router. */
export interface Router extends StartedDaemon {
  readonly context: DaemonContext<RouterSettings>;
  readonly handlers: PluginRegistry<RequestHandler>;
  readonly node: Node;
  /** The limits that every kind of request counts against. */
  readonly quota: RouterQuota;
  readonly timers: Timers;
}

/**
 * Registers a handler for a kind of request.
 *
 * @param router - the router
 * @param handler - handles the requests that it matches
 * @returns a function that removes the handler
 */
export function registerRequestHandler(
  router: Pick<Router, 'handlers'>,
  handler: RequestHandler,
): Teardown {
  return router.handlers.register(handler.name, handler);
}

/**
 * Starts a router: it serves callers once the returned promise has resolved.
 *
 * @param options - the daemon's context, the node and ports to replace
 * @returns the running router
 */
export async function startRouter(options: RouterOptions): Promise<Router> {
  const { context, node, timers = SYSTEM_TIMERS } = options;
  const { decisions, log, metrics, settings } = context;
  const { clients, clock, configuration, directory } = node;
  const routerId = toId<MemberId>(settings.member.id);
  const quota =
    options.quota ?? new ShareQuota({ clients, clock, configuration, directory, routerId, timers });
  const admission = options.admission ?? new RpcAdmission({ clients, directory, routerId });
  const requestHomes =
    options.requestHomes ?? new RpcRequestHomes({ clients, directory, routerId });
  const health = new RouterEngineHealth(node.clock);
  const progressReporter = new RouterProgressReporter(admission, timers);
  const registry = new RouterRunRegistry();
  let draining = false;
  const services: RunServices = {
    clock: node.clock,
    decisions,
    engines: options.engines ?? createEngineStreamClient(),
    health,
    isDraining: () => draining,
    metrics,
    placement: new RouterPlacement({
      admission,
      chooser: new RouteChooser({ random: node.random }),
      clock,
      decisions,
      health,
      pools: settings.enginePools,
      servers: node.servers,
      timers,
    }),
    policy: findPolicy(settings.router.continuation),
    progressReporter,
    requestHomes,
    timers,
  };
  const handlers = createPluginRegistry<RequestHandler>();
  const { keepaliveMs } = settings.router;
  registerRequestHandler(
    { handlers },
    new RouterCompletions({ keepaliveMs, quota, random: node.random, registry, services }),
  );
  const stopServerWatch = node.servers.onChange(() => {
    const knownEngines = node.servers.servers().map((server) => toId<EngineId>(server.serverId));
    health.retain(new Set(knownEngines));
  });
  const http = await startHttpServer({
    address: settings.listen.http,
    handler: createRouterHttp({
      bodyTimeoutMs: settings.router.bodyTimeoutMs,
      configuration: node.configuration,
      decisions,
      handlers,
      isDraining: () => draining || context.stage() === 'draining',
      isStarting: () => context.stage() === 'starting',
      log,
      maxBodyBytes: settings.router.maxBodyBytes,
      metrics,
      timers,
    }),
    stage: () => context.stage(),
  });
  const rpcHandlers: RpcHandlers = { Inspect: createRouterInspect({ context, node, registry }) };
  const member = await node.registerHandlers(rpcHandlers);

  return {
    addresses: { http: http.address, rpc: member.rpcAddress },
    context,
    drain: async () => {
      draining = true;
      await drainCallers({
        handlers,
        http,
        log,
        registry,
        settings,
        stopServerWatch,
        timers,
      });
      progressReporter.stop();
      quota.stop();
      await node.drain();
    },
    handlers,
    node,
    quota,
    timers,
  };
}

interface DrainingRouter extends Pick<Router, 'handlers' | 'timers'> {
  readonly http: HttpServer;
  readonly log: Log;
  readonly registry: RouterRunRegistry;
  readonly settings: RouterSettings;
  readonly stopServerWatch: Teardown;
}

/**
 * Waits until generations and connections have ended. Generations still running after the first
 * part of the shutdown bound are detached, connections still open after the second are destroyed.
 */
async function drainCallers(router: DrainingRouter): Promise<void> {
  const { handlers, http, log, registry, settings, stopServerWatch, timers } = router;
  registry.detachAwaitingReconnect();
  const reserveMs = settings.shutdown.boundMs * DRAIN_RESERVE_SHARE;
  const stopDetachTimer = timers.after(settings.shutdown.boundMs - reserveMs, () => {
    registry.detachAll();
  });
  await registry.whenIdle();
  log.info('generationsEnded');
  stopDetachTimer();
  stopServerWatch();
  const connectionsClosed = http.drain();
  const stopDestroyTimer = timers.after(reserveMs / 2, () => {
    http.destroy();
  });
  await connectionsClosed;
  log.info('callersClosed');
  stopDestroyTimer();
  await Promise.all(handlers.names().map(async (name) => handlers.find(name)?.drain?.()));
  log.info('handlersDrained');
}

function findPolicy(name: RouterSettings['router']['continuation']): RunServices['policy'] {
  const policy = createContinuationPolicies().find(name);
  invariant(policy, UNKNOWN_POLICY_INVARIANT, `continuation policy ${name} is registered`);
  return policy;
}
