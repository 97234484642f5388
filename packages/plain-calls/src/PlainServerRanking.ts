import type {
  FailureDomainId,
  KnownServer,
  RandomSource,
  ServerId,
  ServiceId,
} from '@laburnumgap/kernel';
import type { ServerOutlierDetector } from './ServerOutlierDetector.js';

/** Input of {@link rankPlainServers}. */
export interface PlainServerRankingInput {
  /** Calls that this router has in flight at each server. */
  readonly callsInFlight: ReadonlyMap<ServerId, number>;
  /** Failure domain of this router. */
  readonly failureDomain: FailureDomainId;
  readonly nowMs: number;
  readonly outliers: Pick<ServerOutlierDetector, 'isEjected'>;
  readonly random: RandomSource;
  readonly servers: readonly KnownServer[];
  readonly service: ServiceId;
}

/** Cost of a server in another failure domain, in calls in flight. */
const CROSS_DOMAIN_COST = 1;

/**
 * Ranks the servers of a service for a call by calls in flight, with a penalty for other failure
 * domains and ties broken at random. Leaving servers are excluded, and so are ejected ones unless
 * all are ejected.
 *
 * @param input - the servers, with their load and health
 * @returns the servers to try, best first
 */
export function rankPlainServers(input: PlainServerRankingInput): readonly KnownServer[] {
  const { callsInFlight, failureDomain, nowMs, outliers, random, service } = input;
  const usable = input.servers.filter(
    ({ backend, leaving }) => backend.kind === 'service' && backend.service === service && !leaving,
  );
  const healthy = usable.filter(({ serverId }) => !outliers.isEjected(serverId, nowMs));
  const candidates = healthy.length > 0 ? healthy : usable;
  return candidates
    .map((server) => {
      const isOtherDomain = server.failureDomain !== failureDomain;
      const calls = callsInFlight.get(server.serverId) ?? 0;
      const cost = calls + (isOtherDomain ? CROSS_DOMAIN_COST : 0) + random.nextUnit();
      return { cost, server };
    })
    .sort((a, b) => a.cost - b.cost)
    .map(({ server }) => server);
}
