import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';

/** A live daemon that can receive an announcement. */
export interface AnnouncementCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
}

/** Input of {@link selectAnnouncementTargets}. */
export interface AnnouncementInput {
  /** The live daemons except the sender. */
  readonly candidates: readonly AnnouncementCandidate[];
  /** Domain of the daemon that the sender has it from; its own if it read the store. */
  readonly originDomain: FailureDomainId;
  readonly sender: AnnouncementCandidate;
}

/** Receivers of an announcement. */
export interface AnnouncementTargets {
  /** Receivers that another relay serves, and that this one serves in case it does not. */
  readonly delayed: readonly MemberId[];
  readonly immediate: readonly MemberId[];
}

/** Two relays in each domain, so that the loss of one delays its domain only a little. */
const RELAY_COUNT = 2;

/**
 * Selects the daemons that a daemon tells about a new configuration. One that read it from the store
 * tells its own failure domain and two relays in each other domain; a relay tells its domain, half of
 * it at once. Each daemon fetches the configuration from the one that told it first, so that the
 * store is read a few times for a version however large the fleet is, a version crosses between two
 * domains a few times, and no daemon serves more than its own domain.
 *
 * @param input - the live daemons and the sender
 * @returns the receivers
 */
export function selectAnnouncementTargets(input: AnnouncementInput): AnnouncementTargets {
  const { candidates, originDomain, sender } = input;
  const { failureDomain, memberId } = sender;
  const sorted = [...candidates].sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  const neighbours = sorted.filter((candidate) => candidate.failureDomain === failureDomain);
  if (originDomain === failureDomain) {
    const relays = selectRelays(sorted.filter((other) => other.failureDomain !== failureDomain));
    return { delayed: [], immediate: [...neighbours, ...relays].map((other) => other.memberId) };
  }
  const rank = neighbours.filter((neighbour) => neighbour.memberId < memberId).length;
  const isOwnHalf = (index: number): boolean => index % RELAY_COUNT === rank % RELAY_COUNT;
  return {
    delayed: neighbours.filter((_, index) => !isOwnHalf(index)).map((other) => other.memberId),
    immediate: neighbours.filter((_, index) => isOwnHalf(index)).map((other) => other.memberId),
  };
}

/** The first daemons of each domain. */
function selectRelays(sorted: readonly AnnouncementCandidate[]): readonly AnnouncementCandidate[] {
  const countByDomain = new Map<FailureDomainId, number>();
  return sorted.filter(({ failureDomain }) => {
    const count = countByDomain.get(failureDomain) ?? 0;
    countByDomain.set(failureDomain, count + 1);
    return count < RELAY_COUNT;
  });
}
