import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { rankMembers } from './MemberRanking.js';

/** A live daemon that can own engines. */
export interface OwnerCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
}

/**
 * Selects the daemon that is asked before a generation is sent to an engine: the first by rendezvous
 * hashing among the daemons of the engine's own domain, which hear each other's load at once, or
 * among all where the domain has none. Daemons whose views differ may ask two owners for a while;
 * each of these still counts what it grants.
 *
 * @param serverId - the engine
 * @param failureDomain - where the engine is
 * @param candidates - the live daemons
 * @returns id of the owner, or undefined without daemons
 */
export function selectEngineOwner(
  serverId: ServerId,
  failureDomain: FailureDomainId,
  candidates: readonly OwnerCandidate[],
): MemberId | undefined {
  const near = candidates.filter((candidate) => candidate.failureDomain === failureDomain);
  return rankMembers(near.length > 0 ? near : candidates, serverId)[0]?.memberId;
}
