import type { Contract } from '@laburnumgap/contracts';
import type { Member, MemberRole } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { TARGET } from './CapacityTarget.js';

/** Roles of the daemons of one entry VM. */
export const ROLES: readonly MemberRole[] = ['ledger', 'router', 'scheduler'];

/**
 * Creates synthetic members, three per entry VM.
 *
 * @param count - number of members
 * @returns the members
 */
export function createMembers(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => {
    const role = ROLES[index % ROLES.length] ?? 'router';
    const vm = Math.floor(index / ROLES.length);
    return {
      entryVm: toId(`entry-${vm}`),
      failureDomain: toId(`zone-${vm % TARGET.failureDomains}`),
      incarnation: toId(`incarnation-${index}`),
      memberId: toId(`${role}-entry-${vm}`),
      region: toId('region-1'),
      role,
      rpcAddress: `10.0.${vm}.${index % 250}:7100`,
    };
  });
}

/**
 * Creates a synthetic contract of typical size.
 *
 * @param team - the team
 * @returns the contract
 */
export function createContract(team: string): Contract {
  return {
    customer: 'customer-1',
    keys: [{ id: 'first', revoked: false, sha256: 'a'.repeat(64) }],
    limits: { concurrentRequests: 100, requestsPerSecond: 50, tokensPerSecond: 20_000 },
    models: [{ maxTokens: 8_000, name: 'model-1' }],
    reconnectGraceMs: 10_000,
    scheduling: { class: 'standard', weight: 1 },
    services: [
      {
        calls: [{ idempotent: true, method: 'GET', path: '/v1/items/*', timeoutMs: 2_000 }],
        name: 'service-1',
      },
    ],
    team,
    waitBoundMs: 20_000,
  };
}
