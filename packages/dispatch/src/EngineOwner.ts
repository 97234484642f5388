import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { rankMembers } from './MemberRanking.js';

/** A live daemon that can be the owner of engines. */
export interface OwnerCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
}

/**
 * Selects the owner of an engine: the daemon that grants its capacity before a generation is sent
 * to it. The owner is the first by rendezvous hashing among the daemons of the engine's failure
 * domain, which receive each other's load reports directly, or among all daemons where the domain
 * has none. Daemons that see different members may ask two owners for a while; each owner still
 * counts what it grants.
 *
 * @param serverId - the engine
 * @param failureDomain - failure domain of the engine
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
