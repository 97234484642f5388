import type { FailureDomainId, MemberId } from '@laburnumgap/kernel';

/** A live daemon, as far as it can watch the platform's store for the others. */
export interface WatchCandidate {
  readonly failureDomain: FailureDomainId;
  readonly memberId: MemberId;
  /** The store does not answer it. */
  readonly storeIsAway: boolean;
}

/** Daemons that watch, so that the loss of one is no gap. */
const WATCHERS = 2;

/**
 * Selects the daemons that watch the platform's store and pass on what changes: two, in different
 * failure domains where there are some. Answers a large fleet before a store that counts every call. Daemons that the
 * store does not answer are left out while there are others. Views may differ: then more watch for a
 * while, and whoever hears from nobody watches by itself.
 *
 * @param candidates - the live daemons
 * @returns ids of those that watch
 */
export function selectWatchers(candidates: readonly WatchCandidate[]): ReadonlySet<MemberId> {
  const answered = candidates.filter(({ storeIsAway }) => !storeIsAway);
  const usable = answered.length > 0 ? answered : candidates;
  const sorted = [...usable].sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  const domains = new Set<FailureDomainId>();
  const watchers = new Set<MemberId>();
  for (const { failureDomain, memberId } of sorted) {
    if (watchers.size < WATCHERS && !domains.has(failureDomain)) {
      domains.add(failureDomain);
      watchers.add(memberId);
    }
  }
  for (const { memberId } of sorted) {
    if (watchers.size < WATCHERS) {
      watchers.add(memberId);
    }
  }
  return watchers;
}
