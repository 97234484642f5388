import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import type { ServerHealth } from './ServerHealth.js';

/** Input of {@link placePlainCall}. */
export interface PlainPlacementInput {
  /** Calls of all daemons that a server is running now. */
  readonly callsInFlight: (serverId: ServerId) => number;
  /** Servers that this call was sent to before. */
  readonly excluded: ReadonlySet<ServerId>;
  readonly failureDomain: FailureDomainId;
  readonly health: Pick<ServerHealth, 'failureShare' | 'isSilent' | 'isUnreachable' | 'latencyMs'>;
  readonly nowMs: number;
  readonly randomUnit: () => number;
  readonly servers: readonly BackendServer[];
}

/** Added to the calls in flight, so that an idle server's cost still depends on its latency. */
const BASE_CALLS = 1;
/** Weight of a server's failure share in excess of the lowest one. */
const FAILURE_WEIGHT = 8;
const OTHER_DOMAIN_FACTOR = 1.05;
const MAX_JITTER_FRACTION = 0.2;

/**
 * Chooses the server of a plain call (a request that is no generation) by expected time, with a
 * penalty for failures in excess of the best server's. A server that looks healthy but fails part
 * of its calls gets fewer of them; as the penalty is relative, a service whose servers all fail
 * still gets calls. Servers whose connections hang get none until their backoff is over.
 *
 * @param input - the servers, with their load and health
 * @returns the server, or undefined when all were tried or are silent
 */
export function placePlainCall(input: PlainPlacementInput): BackendServer | undefined {
  const { excluded, health, nowMs, servers } = input;
  const untried = servers.filter(({ serverId }) => !excluded.has(serverId));
  const reachable = untried.filter(({ serverId }) => !health.isUnreachable(serverId, nowMs));
  const candidates =
    reachable.length > 0
      ? reachable
      : untried.filter(({ serverId }) => !health.isSilent(serverId, nowMs));
  const failureShares = candidates.map(({ serverId }) => health.failureShare(serverId));
  const lowestFailureShare = Math.min(...failureShares);
  let best: BackendServer | undefined;
  let bestCost = Infinity;
  candidates.forEach((server, index) => {
    const excessFailureShare = (failureShares[index] ?? 0) - lowestFailureShare;
    const cost = costOf(server, excessFailureShare, input);
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  });
  return best;
}

function costOf(
  server: BackendServer,
  excessFailureShare: number,
  input: PlainPlacementInput,
): number {
  const { callsInFlight, failureDomain, health, randomUnit } = input;
  const calls = BASE_CALLS + callsInFlight(server.serverId);
  const domainFactor = server.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR;
  const jitter = 1 + randomUnit() * MAX_JITTER_FRACTION;
  const latencyMs = health.latencyMs(server.serverId);
  return calls * latencyMs * (1 + FAILURE_WEIGHT * excessFailureShare) * domainFactor * jitter;
}
