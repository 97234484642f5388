import type { LeaseId, Revision } from './KernelIds.js';
import type { Result } from './KernelResult.js';

/** A key with its value and the revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly leaseId?: LeaseId;
  readonly modRevision: Revision;
  readonly value: string;
}

/** All keys of a range, read at one revision. */
export interface RangeSnapshot {
  /** Revision of the store at which the range was read. */
  readonly revision: Revision;
  readonly values: readonly StoredValue[];
}

/** Condition of a commit: the key was last changed at that revision; 0 means it does not exist. */
export interface RevisionGuard {
  readonly key: string;
  readonly modRevision: Revision;
}

/** A write of a commit. */
export type StoreWrite =
  | { readonly key: string; readonly kind: 'delete' }
  | {
      readonly key: string;
      readonly kind: 'put';
      readonly leaseId?: LeaseId;
      readonly value: string;
    };

/** An atomic commit: every guard must hold, then every write is made. */
export interface StoreCommit {
  readonly guards: readonly RevisionGuard[];
  readonly writes: readonly StoreWrite[];
}

/** Why a call to the store failed. */
export type StoreError =
  /** A guard did not hold; nothing was written. */
  | { readonly kind: 'conflict'; readonly revision: Revision }
  /** The lease does not exist any more. */
  | { readonly kind: 'leaseNotFound' }
  /** The call may or may not have taken effect. Reads never give this. */
  | { readonly detail: string; readonly kind: 'outcomeUnknown' }
  /** The call did not take effect. */
  | { readonly detail: string; readonly kind: 'unavailable' };

/** A change seen by a watch. A deleted key has no value. */
export interface StoreChange {
  readonly key: string;
  readonly modRevision: Revision;
  readonly value?: string;
}

/** What a watch delivers. */
export type WatchEvent =
  | {
      readonly changes: readonly StoreChange[];
      readonly kind: 'changes';
      readonly revision: Revision;
    }
  /** The store has dropped the revisions asked for: read the range again. */
  | { readonly kind: 'compacted'; readonly revision: Revision }
  /** The watch ended; open another from the last revision seen. */
  | { readonly detail: string; readonly kind: 'ended' };

/** A running watch. */
export interface StoreWatch {
  close(): void;
}

/** A lease as granted. */
export interface GrantedLease {
  readonly leaseId: LeaseId;
  readonly ttlMs: number;
}

/** Port to the platform's key-value service. Every call has a deadline of its own. */
export interface PlatformStore {
  close(): Promise<void>;
  commit(commit: StoreCommit): Promise<Result<Revision, StoreError>>;
  grantLease(ttlMs: number): Promise<Result<GrantedLease, StoreError>>;
  keepAlive(leaseId: LeaseId): Promise<Result<GrantedLease, StoreError>>;
  /** Reads all keys that start with the prefix. */
  range(prefix: string): Promise<Result<RangeSnapshot, StoreError>>;
  /** Reads one key; undefined when it does not exist. */
  read(key: string): Promise<Result<StoredValue | undefined, StoreError>>;
  revokeLease(leaseId: LeaseId): Promise<Result<undefined, StoreError>>;
  /** Delivers changes after the revision, in order, until closed or ended. */
  watch(prefix: string, afterRevision: Revision, onEvent: (event: WatchEvent) => void): StoreWatch;
}
