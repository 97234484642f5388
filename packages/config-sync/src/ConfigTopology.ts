import { createHash } from 'node:crypto';
import type { FailureDomainId, Member, MemberDirectory, MemberId } from '@laburnumgap/kernel';

/** How many daemons of a failure domain watch the platform's service. */
export const DEFAULT_WATCHERS_PER_DOMAIN = 2;

/** Options of {@link planTopology}. */
export interface TopologyOptions {
  /** All live daemons, whatever their role. */
  readonly members: readonly Member[];
  readonly self: Pick<Member, 'failureDomain' | 'memberId'>;
  readonly watchersPerDomain?: number;
}

/** Where one daemon takes its configuration from. */
export interface ConfigTopology {
  /** Watchers to follow, in two different failure domains where there are two. */
  readonly parents: readonly Member[];
  /** Whether this daemon watches the platform's service itself. */
  readonly watches: boolean;
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
 * Decides which daemons watch the platform's service and which ones a daemon follows. Watchers
 * follow watchers of the next failure domains in turn, so that what one of them learns reaches all.
 *
 * @param options - the live daemons and this one
 * @returns the parents of this daemon and whether it watches
 */
export function planTopology(options: TopologyOptions): ConfigTopology {
  const watchersPerDomain = options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN;
  const { self } = options;
  const byDomain = groupByDomain(options.members);
  const watchers = new Map(
    [...byDomain].map(([domain, members]) => [domain, rankWatchers(domain, members)]),
  );
  const ownWatchers = (watchers.get(self.failureDomain) ?? []).slice(0, watchersPerDomain);
  const place = ownWatchers.findIndex((member) => member.memberId === self.memberId);
  const chosen = [...watchers].map(([, ranked]) => ranked.slice(0, watchersPerDomain));
  const ring = ringFrom([...watchers.keys()], self.failureDomain, chosen);
  const parents =
    place >= 0
      ? watcherParents(ring.length > 0 ? ring : [ownWatchers], place, self.memberId)
      : followerParents(ring, ownWatchers, self.memberId);
  return { parents, watches: place >= 0 };
}

function groupByDomain(members: readonly Member[]): Map<FailureDomainId, Member[]> {
  const domains = [...new Set(members.map((member) => member.failureDomain))].sort();
  return new Map(
    domains.map((domain) => [domain, members.filter((member) => member.failureDomain === domain)]),
  );
}

function rankWatchers(domain: FailureDomainId, members: readonly Member[]): readonly Member[] {
  return rankBy(members, `watch/${domain}`);
}

function rankBy(members: readonly Member[], salt: string): readonly Member[] {
  const weights = new Map(
    members.map((member) => [member.memberId, weightOf(`${salt}/${member.memberId}`)]),
  );
  const weight = (memberId: MemberId): string => weights.get(memberId) ?? '';
  return [...members].sort((a, b) => (weight(a.memberId) < weight(b.memberId) ? -1 : 1));
}

function weightOf(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** Watchers of the other domains, starting with the domain after this one. */
function ringFrom(
  domains: readonly FailureDomainId[],
  self: FailureDomainId,
  watchers: readonly (readonly Member[])[],
): readonly (readonly Member[])[] {
  const next = domains.findIndex((domain) => domain > self);
  const start = next < 0 ? 0 : next;
  const turned = [...watchers.slice(start), ...watchers.slice(0, start)];
  return turned.filter((members) => members[0]?.failureDomain !== self);
}

/** The same place in the next domain, another place in the one before; own domain if alone. */
function watcherParents(
  ring: readonly (readonly Member[])[],
  place: number,
  self: MemberId,
): readonly Member[] {
  const next = ring[0] ?? [];
  const previous = ring.at(-1) ?? [];
  const candidates = [next[place % next.length], previous[(place + 1) % previous.length]];
  return distinct(candidates, self);
}

/** One watcher of the own domain and one of another, spread over them by this daemon's id. */
function followerParents(
  ring: readonly (readonly Member[])[],
  own: readonly Member[],
  self: MemberId,
): readonly Member[] {
  const others = rankBy(ring.flat(), `follow/${self}`);
  const near = rankBy(own, `follow/${self}`);
  return distinct([near[0], others[0] ?? near[1], near.length === 0 ? others[1] : undefined], self);
}

function distinct(candidates: readonly (Member | undefined)[], self: MemberId): readonly Member[] {
  const seen = new Set<MemberId>([self]);
  return candidates.filter((member): member is Member => {
    if (!member || seen.has(member.memberId)) {
      return false;
    }
    seen.add(member.memberId);
    return true;
  });
}
