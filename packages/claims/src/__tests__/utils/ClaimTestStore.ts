import type {
  RangeSnapshot,
  Result,
  Revision,
  StoreCommit,
  StoreError,
  StoredValue,
} from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';

/** In-memory store with guarded commits and without watches and leases. */
export class ClaimTestStore {
  readonly values = new Map<string, StoredValue>();
  private revision = 0;
  /** Number of commits that were applied. */
  commits = 0;
  /** Size of all keys and values written. */
  writtenBytes = 0;

  commit(commit: StoreCommit): Result<Revision, StoreError> {
    const holds = commit.guards.every(
      ({ key, modRevision }) => (this.values.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!holds) {
      return failure({ kind: 'conflict', revision: toNumberId<Revision>(this.revision) });
    }
    this.revision += 1;
    this.commits += 1;
    const modRevision = toNumberId<Revision>(this.revision);
    for (const write of commit.writes) {
      this.writtenBytes += write.key.length;
      if (write.kind === 'delete') {
        this.values.delete(write.key);
        continue;
      }
      this.writtenBytes += write.value.length;
      this.values.set(write.key, { key: write.key, modRevision, value: write.value });
    }
    return success(modRevision);
  }

  range(prefix: string): RangeSnapshot {
    const values = [...this.values.values()].filter((value) => value.key.startsWith(prefix));
    return { revision: toNumberId<Revision>(this.revision), values };
  }

  read(key: string): StoredValue | undefined {
    return this.values.get(key);
  }
}
