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
import { PlainCallsAtMostOnce } from './RouterPlainCallsAtMostOnce.js';
import { PlainCallsIdempotent } from './RouterPlainCallsIdempotent.js';
import { PlainCallSettler } from './RouterPlainCallsSettler.js';
import type { RouterQuota } from './RouterQuota.js';
import { UNLIMITED_QUOTA } from './RouterQuota.js';

/** Options of {@link registerPlainCalls}. */
export interface PlainCallsOptions {
  /** Defaults to gRPC calls to the ledgers. */
  readonly ledger?: LedgerPort;
  readonly quota?: Pick<RouterQuota, 'tryAdmit'>;
  /** Journal slots of the deployment. */
  readonly slots?: number;
}

const DEFAULT_SLOTS = 16;
/** Longest time that a shutdown waits until ledgers have recorded the outcomes of claimed calls. */
const SETTLEMENTS_DRAIN_MS = 3_000;

/**
 * Registers the handler of plain calls at a router.
 *
 * @param router - the router
 * @param options - replaced ports and settings
 * @returns a function that removes the handler
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
  const stopServerWatch = node.servers.onChange(() => {
    outliers.retain(new Set(node.servers.servers().map(({ serverId }) => serverId)));
  });
  const atMostOnce = new PlainCallsAtMostOnce({
    clock,
    connect: openPlainConnection,
    createClaimId: v7,
    decisions,
    ledger,
    outliers,
    send: sendPlainCallOnce,
    servers,
    settler,
    timers,
  });
  const idempotent = new PlainCallsIdempotent({
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
  const handler = createPlainCallHandler({ atMostOnce, idempotent, quota });
  return registerRequestHandler(router, {
    ...handler,
    drain: async () => {
      await settler.drain(SETTLEMENTS_DRAIN_MS);
      stopServerWatch();
      await client.close();
    },
  });
}
