import type { Member, MemberRole } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';

/** Creates a member for tests. */
export function memberOf(id: string, incarnation = '1', role: MemberRole = 'scheduler'): Member {
  return {
    entryVm: toId(`vm-${id}`),
    failureDomain: toId('south-1'),
    incarnation: toId(incarnation),
    memberId: toId(id),
    region: toId('south'),
    role,
    rpcAddress: `127.0.0.1:1${id.length}`,
  };
}
