import type { Member, MemberId, MemberRole } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { z } from 'zod';
import { MEMBER_PREFIX } from './MembershipConstants.js';

const textSchema = z.string().min(1).max(200);

const memberSchema = z.object({
  entryVm: textSchema,
  failureDomain: textSchema,
  incarnation: textSchema,
  memberId: textSchema,
  region: textSchema,
  role: z.enum(['ledger', 'router', 'scheduler']),
  rpcAddress: textSchema,
});

/**
 * Returns the key under which a member is registered.
 *
 * @param role - its role
 * @param memberId - its id
 * @returns the key
 */
export function memberKey(role: MemberRole, memberId: MemberId): string {
  return `${MEMBER_PREFIX}${role}/${memberId}`;
}

/**
 * Encodes a member as the value of its key.
 *
 * @param member - the member
 * @returns the JSON text
 * @throws when a field is empty or longer than 200 characters
 */
export function encodeMember(member: Member): string {
  return JSON.stringify(memberSchema.parse(member));
}

/**
 * Decodes a registered member.
 *
 * @param key - the key it is registered under
 * @param value - the JSON text
 * @returns the member, or undefined when the value is malformed or does not belong to the key
 */
export function decodeMember(key: string, value: string): Member | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch {
    return undefined;
  }
  const checked = memberSchema.safeParse(parsed);
  if (!checked.success) {
    return undefined;
  }
  const { entryVm, failureDomain, incarnation, memberId, region, role, rpcAddress } = checked.data;
  const member: Member = {
    entryVm: toId(entryVm),
    failureDomain: toId(failureDomain),
    incarnation: toId(incarnation),
    memberId: toId(memberId),
    region: toId(region),
    role,
    rpcAddress,
  };
  return memberKey(member.role, member.memberId) === key ? member : undefined;
}
