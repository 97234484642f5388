import type { EntryVmId, FailureDomainId, Incarnation, MemberId, RegionId } from './KernelIds.js';
import type { Teardown } from './KernelPluginRegistry.js';

/** Role of a daemon. */
export type MemberRole = 'ledger' | 'router' | 'scheduler';

/** A daemon as registered in the store under its lease. */
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

/** This process's view of the live members. It may lag and may differ between members. */
export interface MemberDirectory {
  /** Returns the live members of a role, sorted by member id. */
  members(role: MemberRole): readonly Member[];
  /** Calls the listener after each change of the view. */
  onChange(listener: () => void): Teardown;
  /**
   * Ranks the members of a role for a key by rendezvous hashing: the first member owns the key, the
   * next ones are its successors. Members suspected of having failed (see `suspect`) come last.
   */
  rank(role: MemberRole, key: string): readonly Member[];
  /** Marks a member that did not respond as suspected; it is ranked last for some time. */
  suspect(memberId: Member['memberId']): void;
}
