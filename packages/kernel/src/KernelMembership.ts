import type { EntryVmId, FailureDomainId, Incarnation, MemberId, RegionId } from './KernelIds.js';
import type { Teardown } from './KernelPluginRegistry.js';

/** Role of a daemon. */
export type MemberRole = 'ledger' | 'router' | 'scheduler';

/** A daemon as registered under its lease. */
export interface Member {
  readonly entryVm: EntryVmId;
  readonly failureDomain: FailureDomainId;
  readonly incarnation: Incarnation;
  readonly memberId: MemberId;
  readonly region: RegionId;
  readonly role: MemberRole;
  /** Host and port of its gRPC server. */
  readonly rpcAddress: string;
}

/** The live members as this process knows them. The view may lag and may differ between members. */
export interface MemberDirectory {
  /** Live members of a role, sorted by member id. */
  members(role: MemberRole): readonly Member[];
  /** Calls the listener after each change of the view. */
  onChange(listener: () => void): Teardown;
  /**
   * Members of a role in rendezvous order for a key: the first is the owner, the next ones its
   * successors. Members that this process suspects (see `suspect`) come last.
   */
  rank(role: MemberRole, key: string): readonly Member[];
  /** Notes that a member did not answer; it is ranked last for a while. */
  suspect(memberId: Member['memberId']): void;
}
