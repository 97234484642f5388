import { createHash } from 'node:crypto';
import type { FailureDomainId, Member, MemberDirectory, MemberId } from '@laburnumgap/kernel';

/** Number of daemons of a failure domain that watch the platform service. */
export const DEFAULT_WATCHERS_PER_DOMAIN = 2;

/** Options of {@link planTopology}. */
export interface TopologyOptions {
  /** All live daemons of every role. */
  readonly members: readonly Member[];
  readonly self: Pick<Member, 'failureDomain' | 'memberId'>;
  readonly watchersPerDomain?: number;
}

/** Sources of one daemon's configuration. */
export interface ConfigTopology {
  /** Whether this daemon watches the platform service itself. */
  readonly isWatcher: boolean;
  /** Watchers to follow, in two different failure domains if there are two. */
  readonly parents: readonly Member[];
}

/**
 * All live daemons of a directory.
 *
 * @param directory - the directory
 * @returns the members of every role
 */
export function allMembers(directory: MemberDirectory): readonly Member[] {
  return [
    ...directory.members('ledger'),
    ...directory.members('router'),
    ...directory.members('scheduler'),
  ];
}

/**
 * Decides whether a daemon watches the platform service and which daemons it follows. Watchers
 * follow watchers of the neighbouring failure domains, so that a change that one of them receives
 * reaches all.
 *
 * @param options - the live daemons and the daemon to plan for
 * @returns the parents of this daemon and whether it watches
 */
export function planTopology(options: TopologyOptions): ConfigTopology {
  const watchersPerDomain = options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN;
  const { self } = options;
  const byDomain = groupByDomain(options.members);
  const rankedByDomain = new Map(
    [...byDomain].map(([domain, members]) => [domain, rankWatcherCandidates(domain, members)]),
  );
  const ownWatchers = (rankedByDomain.get(self.failureDomain) ?? []).slice(0, watchersPerDomain);
  const watcherIndex = ownWatchers.findIndex((member) => member.memberId === self.memberId);
  const watchersByDomain = [...rankedByDomain].map(([, ranked]) =>
    ranked.slice(0, watchersPerDomain),
  );
  const otherWatchers = otherDomainsAfter(
    [...rankedByDomain.keys()],
    self.failureDomain,
    watchersByDomain,
  );
  const parents =
    watcherIndex >= 0
      ? selectWatcherParents(
          otherWatchers.length > 0 ? otherWatchers : [ownWatchers],
          watcherIndex,
          self.memberId,
        )
      : selectFollowerParents(otherWatchers, ownWatchers, self.memberId);
  return { isWatcher: watcherIndex >= 0, parents };
}

function groupByDomain(members: readonly Member[]): Map<FailureDomainId, Member[]> {
  const domains = [...new Set(members.map((member) => member.failureDomain))].sort();
  return new Map(
    domains.map((domain) => [domain, members.filter((member) => member.failureDomain === domain)]),
  );
}

function rankWatcherCandidates(
  domain: FailureDomainId,
  members: readonly Member[],
): readonly Member[] {
  return rankByHash(members, `watch/${domain}`);
}

function rankByHash(members: readonly Member[], salt: string): readonly Member[] {
  const hashes = new Map(
    members.map((member) => [member.memberId, hashHex(`${salt}/${member.memberId}`)]),
  );
  const hashOf = (memberId: MemberId): string => hashes.get(memberId) ?? '';
  return [...members].sort((a, b) => (hashOf(a.memberId) < hashOf(b.memberId) ? -1 : 1));
}

function hashHex(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** Watchers of the other domains, in circular order from the domain after this one. */
function otherDomainsAfter(
  domains: readonly FailureDomainId[],
  self: FailureDomainId,
  watchersByDomain: readonly (readonly Member[])[],
): readonly (readonly Member[])[] {
  const next = domains.findIndex((domain) => domain > self);
  const start = next < 0 ? 0 : next;
  const rotated = [...watchersByDomain.slice(start), ...watchersByDomain.slice(0, start)];
  return rotated.filter((members) => members[0]?.failureDomain !== self);
}

/**
 * Selects the watcher with the same index in the next domain and the one with the following index
 * in the previous domain; with a single domain, both come from that domain.
 */
function selectWatcherParents(
  otherWatchers: readonly (readonly Member[])[],
  watcherIndex: number,
  self: MemberId,
): readonly Member[] {
  const next = otherWatchers[0] ?? [];
  const previous = otherWatchers.at(-1) ?? [];
  const candidates = [
    next[watcherIndex % next.length],
    previous[(watcherIndex + 1) % previous.length],
  ];
  return withoutDuplicates(candidates, self);
}

/**
 * Selects one watcher of the own domain and one of another, spread by a hash of the daemon's id.
 */
function selectFollowerParents(
  otherWatchers: readonly (readonly Member[])[],
  own: readonly Member[],
  self: MemberId,
): readonly Member[] {
  const rankedOthers = rankByHash(otherWatchers.flat(), `follow/${self}`);
  const rankedOwn = rankByHash(own, `follow/${self}`);
  return withoutDuplicates(
    [
      rankedOwn[0],
      rankedOthers[0] ?? rankedOwn[1],
      rankedOwn.length === 0 ? rankedOthers[1] : undefined,
    ],
    self,
  );
}

function withoutDuplicates(
  candidates: readonly (Member | undefined)[],
  self: MemberId,
): readonly Member[] {
  const seen = new Set<MemberId>([self]);
  return candidates.filter((member): member is Member => {
    if (!member || seen.has(member.memberId)) {
      return false;
    }
    seen.add(member.memberId);
    return true;
  });
}
