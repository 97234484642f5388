import type { MemberId } from '@laburnumgap/kernel';
import murmurhash from 'murmurhash';

/** A member, as far as its rank depends on it. */
export interface RankedMember {
  readonly memberId: MemberId;
}

interface Scored<M extends RankedMember> {
  readonly member: M;
  readonly score: number;
}

const MAX_CACHED_KEYS = 4096;
const encoder = new TextEncoder();

/**
 * Orders members for keys by rendezvous hashing: when a member comes or goes, only the keys that it
 * owns or owned change their owner. The order depends on the ids alone, so that every process that
 * knows the same members ranks them alike.
 */
export class MemberRanking<M extends RankedMember> {
  readonly #cache = new Map<string, readonly M[]>();
  readonly #members: readonly M[];
  readonly #seeds: readonly number[];

  constructor(members: readonly M[]) {
    this.#members = members;
    this.#seeds = members.map((member) => murmurhash.v3(member.memberId));
  }

  /** Members in order for a key, the owner first. */
  rank(key: string): readonly M[] {
    const cached = this.#cache.get(key);
    if (cached) {
      return cached;
    }
    const ranked = this.#compute(key);
    if (this.#cache.size >= MAX_CACHED_KEYS) {
      this.#cache.clear();
    }
    this.#cache.set(key, ranked);
    return ranked;
  }

  #compute(key: string): readonly M[] {
    const bytes = encoder.encode(key);
    const scored: Scored<M>[] = this.#members.map((member, index) => ({
      member,
      score: murmurhash.v3(bytes, this.#seeds[index]),
    }));
    scored.sort(byScore);
    return scored.map((entry) => entry.member);
  }
}

/**
 * Orders members for one key.
 *
 * @param members - the members
 * @param key - the key
 * @returns the members, the owner first
 */
export function rankMembers<M extends RankedMember>(
  members: readonly M[],
  key: string,
): readonly M[] {
  return new MemberRanking(members).rank(key);
}

function byScore(a: Scored<RankedMember>, b: Scored<RankedMember>): number {
  if (a.score !== b.score) {
    return b.score - a.score;
  }
  return a.member.memberId < b.member.memberId ? -1 : 1;
}
