import type { FailureDomainId, FingerprintId, MemberId } from '@laburnumgap/kernel';
import type { OwnerCandidate } from './EngineOwner.js';
import { rankMembers } from './MemberRanking.js';

/** More than one, so that the loss of a failure domain leaves the evidence at another. */
const MAX_KEEPERS = 3;

/**
 * Selects the daemons that keep the evidence about a fingerprint: the first by rendezvous hashing in
 * each of up to three failure domains, or as many daemons of fewer domains.
 *
 * @param fingerprint - the fingerprint
 * @param candidates - the live daemons
 * @returns the keepers, the first one in charge of trials
 */
export function selectEvidenceKeepers(
  fingerprint: FingerprintId,
  candidates: readonly OwnerCandidate[],
): readonly MemberId[] {
  const ranked = rankMembers(candidates, fingerprint);
  const domains = new Set<FailureDomainId>();
  const firsts = ranked.filter(({ failureDomain }) => {
    const isFirst = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isFirst;
  });
  const others = ranked.filter((candidate) => !firsts.includes(candidate));
  return [...firsts, ...others].slice(0, MAX_KEEPERS).map(({ memberId }) => memberId);
}
