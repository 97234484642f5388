import type { FailureDomainId, KnownServer, ServerId, Teardown } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { RetryBudget } from '@laburnumgap/dispatch';
import {
  CallLatencyEstimator,
  ServerOutlierDetector,
  rankPlainServers,
  createPlainCallClient,
  openPlainConnection,
  sendPlainCallOnce,
} from '@laburnumgap/plain-calls';
import { v7 } from 'uuid';
import type { Router } from './RouterDaemon.js';
import { registerRequestHandler } from './RouterDaemon.js';
import { createPlainCallHandler } from './RouterPlainCalls.js';
import type { LedgerPort } from './RouterPlainCallsLedger.js';
import { RpcLedger } from './RouterPlainCallsLedger.js';
import { PlainCallsOnce } from './RouterPlainCallsOnce.js';
import { PlainCallsRepeat } from './RouterPlainCallsRepeat.js';
import { PlainCallSettler } from './RouterPlainCallsSettler.js';
import type { RouterQuota } from './RouterQuota.js';
import { UNLIMITED_QUOTA } from './RouterQuota.js';

/** Options of {@link registerPlainCalls}. */
export interface PlainCallsOptions {
  /** Without it the ledgers are asked by gRPC. */
  readonly ledger?: LedgerPort;
  readonly quota?: Pick<RouterQuota, 'begin'>;
  /** Journal slots of the deployment. */
  readonly slots?: number;
}

const DEFAULT_SLOTS = 16;
/** Longest time that ends of claimed calls hold up a shutdown while no ledger records them. */
const SETTLEMENTS_DRAIN_MS = 3_000;

/**
 * Adds plain calls to a router.
 *
 * @param router - the router
 * @param options - ports to replace
 * @returns takes them off the router
 */
export function registerPlainCalls(router: Router, options: PlainCallsOptions = {}): Teardown {
  const { node, timers } = router;
  const { decisions, log, settings } = router.context;
  const { quota = UNLIMITED_QUOTA, slots = DEFAULT_SLOTS } = options;
  const { clients, clock, directory } = node;
  const routerId = settings.member.id;
  const ledger = options.ledger ?? new RpcLedger({ clients, clock, directory, routerId, slots });
  const callsInFlight = new Map<ServerId, number>();
  const outliers = new ServerOutlierDetector();
  const client = createPlainCallClient();
  const settler = new PlainCallSettler({ clock, ledger, log, timers });
  const servers = (service: string): readonly KnownServer[] =>
    rankPlainServers({
      callsInFlight,
      failureDomain: toId<FailureDomainId>(settings.member.failureDomain),
      nowMs: clock.nowMs(),
      outliers,
      random: node.random,
      servers: node.servers.servers(),
      service: toId(service),
    });
  const stopWatching = node.servers.onChange(() => {
    outliers.retain(new Set(node.servers.servers().map(({ serverId }) => serverId)));
  });
  const once = new PlainCallsOnce({
    clock,
    connect: openPlainConnection,
    decisions,
    ledger,
    newClaimId: v7,
    outliers,
    send: sendPlainCallOnce,
    servers,
    settler,
    timers,
  });
  const repeat = new PlainCallsRepeat({
    budget: new RetryBudget(),
    callsInFlight,
    clock,
    decisions,
    latency: new CallLatencyEstimator(),
    outliers,
    send: (request) => client.send(request),
    servers,
    timers,
  });
  const handler = createPlainCallHandler({ once, quota, repeat });
  return registerRequestHandler(router, {
    ...handler,
    drain: async () => {
      await settler.drain(SETTLEMENTS_DRAIN_MS);
      stopWatching();
      await client.close();
    },
  });
}
