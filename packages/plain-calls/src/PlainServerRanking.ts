import type {
  FailureDomainId,
  KnownServer,
  RandomSource,
  ServerId,
  ServiceId,
} from '@laburnumgap/kernel';
import type { ServerOutlierDetector } from './ServerOutlierDetector.js';

/** What servers are chosen by. */
export interface PlainServerRankingInput {
  /** Calls that this router has at each server now. */
  readonly callsInFlight: ReadonlyMap<ServerId, number>;
  readonly failureDomain: FailureDomainId;
  readonly nowMs: number;
  readonly outliers: Pick<ServerOutlierDetector, 'isEjected'>;
  readonly random: RandomSource;
  readonly servers: readonly KnownServer[];
  readonly service: ServiceId;
}

/** A call to another failure domain counts as that many more calls in flight. */
const OTHER_DOMAIN_COST = 1;

/**
 * Orders the servers of a service for a call: leaving ones are left out, ejected ones too unless
 * all are; then fewest calls in flight, near before far, ties by chance.
 *
 * @param input - servers and what is known of them
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
      const isFar = server.failureDomain !== failureDomain;
      const calls = callsInFlight.get(server.serverId) ?? 0;
      const cost = calls + (isFar ? OTHER_DOMAIN_COST : 0) + random.nextUnit();
      return { cost, server };
    })
    .sort((a, b) => a.cost - b.cost)
    .map(({ server }) => server);
}
