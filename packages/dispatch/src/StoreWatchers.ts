import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';

/** A live daemon that may watch the platform's store on behalf of the others. */
export interface WatchCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
  /** Whether the store does not answer this daemon. */
  readonly storeIsAway: boolean;
}

/** Two watchers, so that the loss of one misses no change. */
const WATCHER_COUNT = 2;

/**
 * Selects the daemons that watch the platform's store and forward its changes to the others: two,
 * in different failure domains where possible. The store counts every call, so the calls must not
 * grow with the fleet. Daemons that the store does not answer are excluded while there are others.
 * When daemons see different members, more than two watch for a while, and a daemon that hears from
 * no watcher watches by itself.
 *
 * @param candidates - the live daemons
 * @returns ids of the watchers
 */
export function selectWatchers(candidates: readonly WatchCandidate[]): ReadonlySet<MemberId> {
  const reachable = candidates.filter(({ storeIsAway }) => !storeIsAway);
  const usable = reachable.length > 0 ? reachable : candidates;
  const sorted = [...usable].sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  const domains = new Set<FailureDomainId>();
  const watchers = new Set<MemberId>();
  for (const { failureDomain, memberId } of sorted) {
    if (watchers.size < WATCHER_COUNT && !domains.has(failureDomain)) {
      domains.add(failureDomain);
      watchers.add(memberId);
    }
  }
  for (const { memberId } of sorted) {
    if (watchers.size < WATCHER_COUNT) {
      watchers.add(memberId);
    }
  }
  return watchers;
}
