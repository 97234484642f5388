import type { LeaseId, Revision } from './KernelIds.js';
import type { Result } from './KernelResult.js';

/** A stored key with its value and the revision of its last modification. */
export interface StoredValue {
  readonly key: string;
  readonly leaseId?: LeaseId;
  readonly modRevision: Revision;
  readonly value: string;
}

/** Consistent read of all keys of a range. */
export interface RangeSnapshot {
  /** Store revision at which the range was read. */
  readonly revision: Revision;
  readonly values: readonly StoredValue[];
}

/** Precondition of a commit: the last revision that modified the key; 0 if the key must not exist. */
export interface RevisionGuard {
  readonly key: string;
  readonly modRevision: Revision;
}

/** One write of a commit. */
export type StoreWrite =
  | { readonly key: string; readonly kind: 'delete' }
  | {
      readonly key: string;
      readonly kind: 'put';
      readonly leaseId?: LeaseId;
      readonly value: string;
    };

/** An atomic compare-and-write: all writes are applied if every guard holds, otherwise none. */
export interface StoreCommit {
  readonly guards: readonly RevisionGuard[];
  readonly writes: readonly StoreWrite[];
}

/** Why a call to the store failed. */
export type StoreError =
  /** A guard did not hold; nothing was written. */
  | { readonly kind: 'conflict'; readonly revision: Revision }
  /** The lease has expired or was revoked. */
  | { readonly kind: 'leaseNotFound' }
  /** The call may or may not have taken effect. Never returned for reads. */
  | { readonly detail: string; readonly kind: 'outcomeUnknown' }
  /** The call did not take effect. */
  | { readonly detail: string; readonly kind: 'unavailable' };

/** A change of one key, as a watch delivers it. A deleted key has no value. */
export interface StoreChange {
  readonly key: string;
  readonly modRevision: Revision;
  readonly value?: string;
}

/** Event of a watch. */
export type WatchEvent =
  | {
      readonly changes: readonly StoreChange[];
      readonly kind: 'changes';
      readonly revision: Revision;
    }
  /** The requested revisions were compacted; read the range again before the next watch. */
  | { readonly kind: 'compacted'; readonly revision: Revision }
  /** The watch ended; open another one from the last received revision. */
  | { readonly detail: string; readonly kind: 'ended' };

/** An open watch. */
export interface StoreWatch {
  /** Ends the watch; delivers no further events. */
  close(): void;
}

/** A lease with the time to live that the store granted. */
export interface GrantedLease {
  readonly leaseId: LeaseId;
  readonly ttlMs: number;
}

/** Interface to the platform's key-value service. Every call has its own deadline. */
export interface PlatformStore {
  /** Closes the connections. */
  close(): Promise<void>;
  /** Applies an atomic commit; returns the store revision after it. */
  commit(commit: StoreCommit): Promise<Result<Revision, StoreError>>;
  /** Creates a lease. */
  grantLease(ttlMs: number): Promise<Result<GrantedLease, StoreError>>;
  /** Renews a lease for its full time to live. */
  keepAlive(leaseId: LeaseId): Promise<Result<GrantedLease, StoreError>>;
  /** Reads all keys that start with the prefix. */
  range(prefix: string): Promise<Result<RangeSnapshot, StoreError>>;
  /** Reads one key; returns undefined if it does not exist. */
  read(key: string): Promise<Result<StoredValue | undefined, StoreError>>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(leaseId: LeaseId): Promise<Result<undefined, StoreError>>;
  /** Delivers the changes after a revision, in order, until the watch is closed or ends. */
  watch(prefix: string, afterRevision: Revision, onEvent: (event: WatchEvent) => void): StoreWatch;
}
