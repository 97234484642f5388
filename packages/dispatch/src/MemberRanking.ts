import type { MemberId } from '@laburnumgap/kernel';
import murmurhash from 'murmurhash';

/** A member that can be ranked by its id. */
export interface RankedMember {
  readonly memberId: MemberId;
}

interface ScoredMember<M extends RankedMember> {
  readonly member: M;
  readonly score: number;
}

const MAX_CACHED_KEYS = 4096;
const encoder = new TextEncoder();

/**
 * Ranks members for keys by rendezvous hashing: when a member joins or leaves, only the keys that
 * it owns or owned change their owner. The order depends on the ids alone, so every process that
 * knows the same members ranks them the same way.
 */
export class MemberRanking<M extends RankedMember> {
  readonly #cache = new Map<string, readonly M[]>();
  readonly #members: readonly M[];
  readonly #seeds: readonly number[];

  constructor(members: readonly M[]) {
    this.#members = members;
    this.#seeds = members.map((member) => murmurhash.v3(member.memberId));
  }

  /** Members ranked for a key, the owner first. */
  rank(key: string): readonly M[] {
    const cached = this.#cache.get(key);
    if (cached) {
      return cached;
    }
    const ranked = this.#rankUncached(key);
    if (this.#cache.size >= MAX_CACHED_KEYS) {
      this.#cache.clear();
    }
    this.#cache.set(key, ranked);
    return ranked;
  }

  #rankUncached(key: string): readonly M[] {
    const bytes = encoder.encode(key);
    const scored: ScoredMember<M>[] = this.#members.map((member, index) => ({
      member,
      score: murmurhash.v3(bytes, this.#seeds[index]),
    }));
    scored.sort(byScore);
    return scored.map((entry) => entry.member);
  }
}

/**
 * Ranks members for one key.
 *
 * @param members - the members to rank
 * @param key - the key that is owned
 * @returns the members, the owner first
 */
export function rankMembers<M extends RankedMember>(
  members: readonly M[],
  key: string,
): readonly M[] {
  return new MemberRanking(members).rank(key);
}

function byScore(a: ScoredMember<RankedMember>, b: ScoredMember<RankedMember>): number {
  if (a.score !== b.score) {
    return b.score - a.score;
  }
  return a.member.memberId < b.member.memberId ? -1 : 1;
}
