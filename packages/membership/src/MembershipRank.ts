import type { Member } from '@laburnumgap/kernel';
import murmurhash from 'murmurhash';

interface Scored {
  readonly member: Member;
  readonly score: number;
}

/**
 * Orders members for a key by rendezvous hashing: when a member comes or goes, only the keys that
 * it owns or owned change their owner.
 *
 * @param members - the members
 * @param key - the key
 * @returns the members, the owner first
 */
export function rankMembers(members: readonly Member[], key: string): readonly Member[] {
  const scored: Scored[] = members.map((member) => ({
    member,
    score: murmurhash.v3(`${member.memberId}\n${key}`),
  }));
  scored.sort(byScore);
  return scored.map((entry) => entry.member);
}

function byScore(a: Scored, b: Scored): number {
  if (a.score !== b.score) {
    return b.score - a.score;
  }
  return a.member.memberId < b.member.memberId ? -1 : 1;
}
