import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { rankMembers } from './MemberRanking.js';

/** A live daemon that can be the owner of servers. */
export interface OwnerCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
}

/**
 * Selects the owner of a server: the daemon that grants an engine's capacity before a generation is
 * sent to it, and permits for a server that limits its requests. The owner is the first by rendezvous
 * hashing among the daemons of the server's failure domain, which receive each other's load reports
 * directly, or among all daemons where the domain has none. Daemons that see different members may ask
 * two owners for a while; each owner still counts what it grants.
 *
 * @param serverId - the server
 * @param failureDomain - failure domain of the server
 * @param candidates - the live daemons
 * @returns id of the owner, or undefined without daemons
 */
export function selectEngineOwner(
  serverId: ServerId,
  failureDomain: FailureDomainId,
  candidates: readonly OwnerCandidate[],
): MemberId | undefined {
  const sameDomain = candidates.filter((candidate) => candidate.failureDomain === failureDomain);
  return rankMembers(sameDomain.length > 0 ? sameDomain : candidates, serverId)[0]?.memberId;
}
