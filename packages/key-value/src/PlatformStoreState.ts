import type {
  LeaseId,
  Result,
  Revision,
  StoreChange,
  StoreCommit,
  StoreError,
  StoredValue,
  Teardown,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';

interface LeaseState {
  expiresAtMs: number;
  readonly keys: Set<string>;
  readonly ttlMs: number;
}

/** Changes committed at one revision. */
export interface RevisionChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: Revision;
}

/** Called with the changes of each revision, in order. */
export type ChangeListener = (changes: RevisionChanges) => void;

/** Largest accepted size of a value, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;

const DEFAULT_MAX_HISTORY_REVISIONS = 10_000;
const FIRST_LEASE_NUMBER = 7_000_001;

/**
 * State of a key-value store with revisions, leases and a bounded history of changes. Callers pass
 * the current time; leases expire only when {@link revokeExpiredLeases} or {@link keepAlive} is called.
 */
export class PlatformStoreState {
  readonly #history: RevisionChanges[] = [];
  readonly #leases = new Map<LeaseId, LeaseState>();
  readonly #listeners = new Set<ChangeListener>();
  readonly #maxHistoryRevisions: number;
  readonly #values = new Map<string, StoredValue>();
  #compactedRevision = 0;
  #nextLeaseNumber = FIRST_LEASE_NUMBER;
  #revision = 1;

  constructor(maxHistoryRevisions = DEFAULT_MAX_HISTORY_REVISIONS) {
    this.#maxHistoryRevisions = maxHistoryRevisions;
  }

  /** Revision of the latest change. */
  get revision(): Revision {
    return toNumberId<Revision>(this.#revision);
  }

  /** Oldest revision whose changes are still in the history. */
  get oldestRevision(): Revision {
    return toNumberId<Revision>(this.#compactedRevision + 1);
  }

  /** Number of live leases. */
  get leaseCount(): number {
    return this.#leases.size;
  }

  /** Reads one key; undefined when it does not exist. */
  read(key: string): StoredValue | undefined {
    return this.#values.get(key);
  }

  /** Returns the values whose key matches the predicate, sorted by key. */
  select(matches: (key: string) => boolean): readonly StoredValue[] {
    const values = [...this.#values.values()].filter((value) => matches(value.key));
    return values.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Applies every write atomically if every guard holds. */
  commit(commit: StoreCommit): Result<Revision, StoreError> {
    const guardsHold = commit.guards.every(
      (guard) => (this.#values.get(guard.key)?.modRevision ?? 0) === guard.modRevision,
    );
    if (!guardsHold) {
      return failure({ kind: 'conflict', revision: this.revision });
    }
    for (const write of commit.writes) {
      if (write.kind === 'put' && write.leaseId !== undefined && !this.#leases.has(write.leaseId)) {
        return failure({ kind: 'leaseNotFound' });
      }
      if (write.kind === 'put' && Buffer.byteLength(write.value) > MAX_VALUE_BYTES) {
        return failure({ detail: 'the value exceeds the size limit', kind: 'unavailable' });
      }
    }
    return success(this.#apply(commit));
  }

  /** Grants a lease that expires `ttlMs` after `nowMs`. */
  grantLease(ttlMs: number, nowMs: number): LeaseId {
    const leaseId = toId<LeaseId>(String(this.#nextLeaseNumber));
    this.#nextLeaseNumber += 1;
    this.#leases.set(leaseId, { expiresAtMs: nowMs + ttlMs, keys: new Set(), ttlMs });
    return leaseId;
  }

  /** Renews a lease; returns its time to live, or undefined when the lease does not exist. */
  keepAlive(leaseId: LeaseId, nowMs: number): number | undefined {
    this.revokeExpiredLeases(nowMs);
    const lease = this.#leases.get(leaseId);
    if (!lease) {
      return undefined;
    }
    lease.expiresAtMs = nowMs + lease.ttlMs;
    return lease.ttlMs;
  }

  /** Revokes a lease and deletes its keys; returns whether the lease existed. */
  revokeLease(leaseId: LeaseId): boolean {
    const lease = this.#leases.get(leaseId);
    if (!lease) {
      return false;
    }
    this.#leases.delete(leaseId);
    const keys = [...lease.keys];
    if (keys.length > 0) {
      this.#apply({ guards: [], writes: keys.map((key) => ({ key, kind: 'delete' })) });
    }
    return true;
  }

  /** Revokes every lease whose time to live has passed. */
  revokeExpiredLeases(nowMs: number): void {
    for (const [leaseId, lease] of [...this.#leases]) {
      if (lease.expiresAtMs <= nowMs) {
        this.revokeLease(leaseId);
      }
    }
  }

  /** Changes after a revision, oldest first; undefined when some of them were compacted. */
  changesAfter(revision: Revision): readonly RevisionChanges[] | undefined {
    if (revision + 1 < this.oldestRevision) {
      return undefined;
    }
    return this.#history.filter((entry) => entry.revision > revision);
  }

  /** Removes the history up to and including a revision. */
  compact(revision: Revision): void {
    while (this.#history[0] && this.#history[0].revision <= revision) {
      this.#dropOldestChanges();
    }
  }

  /** Calls the listener after each commit that changed a key. */
  onChange(listener: ChangeListener): Teardown {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #apply(commit: StoreCommit): Revision {
    const changes: StoreChange[] = [];
    const revision = toNumberId<Revision>(this.#revision + 1);
    for (const write of commit.writes) {
      const previous = this.#values.get(write.key);
      if (write.kind === 'delete' && !previous) {
        continue;
      }
      this.#detachFromLease(previous);
      if (write.kind === 'delete') {
        this.#values.delete(write.key);
        changes.push({ key: write.key, modRevision: revision });
        continue;
      }
      const { key, leaseId, value } = write;
      this.#values.set(key, { key, leaseId, modRevision: revision, value });
      if (leaseId !== undefined) {
        this.#leases.get(leaseId)?.keys.add(key);
      }
      changes.push({ key, modRevision: revision, value });
    }
    if (changes.length > 0) {
      this.#publish({ changes, revision });
    }
    return this.revision;
  }

  #detachFromLease(previous: StoredValue | undefined): void {
    if (previous?.leaseId !== undefined) {
      this.#leases.get(previous.leaseId)?.keys.delete(previous.key);
    }
  }

  #publish(entry: RevisionChanges): void {
    this.#revision = entry.revision;
    this.#history.push(entry);
    if (this.#history.length > this.#maxHistoryRevisions) {
      this.#dropOldestChanges();
    }
    for (const listener of [...this.#listeners]) {
      listener(entry);
    }
  }

  #dropOldestChanges(): void {
    this.#compactedRevision = this.#history.shift()?.revision ?? this.#compactedRevision;
  }
}
