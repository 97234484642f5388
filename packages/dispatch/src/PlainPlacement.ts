import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import type { ServerHealth } from './ServerHealth.js';

/** What a plain call is placed by. */
export interface PlainPlacementInput {
  /** Calls that this daemon and the others have at a server now. */
  readonly callsInFlight: (serverId: ServerId) => number;
  /** Servers that this call was already sent to. */
  readonly excluded: ReadonlySet<ServerId>;
  readonly failureDomain: FailureDomainId;
  readonly health: Pick<ServerHealth, 'failureShare' | 'isUnreachable' | 'latencyMs'>;
  readonly nowMs: number;
  readonly randomUnit: () => number;
  readonly servers: readonly BackendServer[];
}

/** Calls that a server with an unknown load is taken to have. */
const START_CALLS = 1;
/** Weight of a server's failures beyond those of the best server. */
const FAILURE_WEIGHT = 8;
const OTHER_DOMAIN_FACTOR = 1.05;
const JITTER_SHARE = 0.2;

/**
 * Chooses the server of a plain call by expected time, with failures beyond those of the best
 * server as a penalty. Answers a server that fails part of its calls while it looks healthy: it gets
 * fewer calls, but never none while it is the only one, so a whole service is never shut out.
 *
 * @param input - servers and what is known of them
 * @returns the server, or undefined when all were tried
 */
export function placePlainCall(input: PlainPlacementInput): BackendServer | undefined {
  const { excluded, health, nowMs, servers } = input;
  const untried = servers.filter(({ serverId }) => !excluded.has(serverId));
  const reachable = untried.filter(({ serverId }) => !health.isUnreachable(serverId, nowMs));
  const candidates = reachable.length > 0 ? reachable : untried;
  const failureShares = candidates.map(({ serverId }) => health.failureShare(serverId));
  const leastFailures = Math.min(...failureShares);
  let best: BackendServer | undefined;
  let bestCost = Infinity;
  candidates.forEach((server, index) => {
    const excess = (failureShares[index] ?? 0) - leastFailures;
    const cost = costOf(server, excess, input);
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  });
  return best;
}

function costOf(server: BackendServer, excess: number, input: PlainPlacementInput): number {
  const { callsInFlight, failureDomain, health, randomUnit } = input;
  const calls = START_CALLS + callsInFlight(server.serverId);
  const domainFactor = server.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR;
  const jitter = 1 + randomUnit() * JITTER_SHARE;
  const latencyMs = health.latencyMs(server.serverId);
  return calls * latencyMs * (1 + FAILURE_WEIGHT * excess) * domainFactor * jitter;
}
