import type {
  GrantedLease,
  LeaseId,
  MonotonicClock,
  PlatformStore,
  Revision,
  StoreWatch,
  WatchEvent,
} from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { RevisionChanges } from './PlatformStoreState.js';
import { PlatformStoreState } from './PlatformStoreState.js';

/** Options of {@link createMemoryStore}. */
export interface MemoryStoreOptions {
  readonly clock?: MonotonicClock;
  /** State to work on; several stores may share one. */
  readonly state?: PlatformStoreState;
}

/**
 * Creates a store in the memory of this process, for tests.
 *
 * @param options - the clock that ends leases, and the state
 * @returns the store
 */
export function createMemoryStore(options: MemoryStoreOptions = {}): PlatformStore {
  const clock = options.clock ?? { nowMs: () => performance.now() };
  const state = options.state ?? new PlatformStoreState();
  const expired = (): PlatformStoreState => {
    state.expire(clock.nowMs());
    return state;
  };
  return {
    close: () => Promise.resolve(),
    commit: (commit) => Promise.resolve(expired().commit(commit)),
    grantLease: (ttlMs) => {
      const leaseId = expired().grantLease(ttlMs, clock.nowMs());
      return Promise.resolve(success<GrantedLease>({ leaseId, ttlMs }));
    },
    keepAlive: (leaseId) => Promise.resolve(keepAlive(state, leaseId, clock.nowMs())),
    range: (prefix) => {
      const values = expired().select((key) => key.startsWith(prefix));
      return Promise.resolve(success({ revision: state.revision, values }));
    },
    read: (key) => Promise.resolve(success(expired().read(key))),
    revokeLease: (leaseId) => {
      const existed = expired().revokeLease(leaseId);
      return Promise.resolve(
        existed ? success(undefined) : failure({ kind: 'leaseNotFound' as const }),
      );
    },
    watch: (prefix, afterRevision, onEvent) => watchState(state, prefix, afterRevision, onEvent),
  };
}

function keepAlive(
  state: PlatformStoreState,
  leaseId: LeaseId,
  nowMs: number,
): Awaited<ReturnType<PlatformStore['keepAlive']>> {
  const ttlMs = state.keepAlive(leaseId, nowMs);
  return ttlMs === undefined ? failure({ kind: 'leaseNotFound' }) : success({ leaseId, ttlMs });
}

function watchState(
  state: PlatformStoreState,
  prefix: string,
  afterRevision: Revision,
  onEvent: (event: WatchEvent) => void,
): StoreWatch {
  let open = true;
  const deliver = (entry: RevisionChanges): void => {
    const changes = entry.changes.filter((change) => change.key.startsWith(prefix));
    if (open && changes.length > 0) {
      onEvent({ changes, kind: 'changes', revision: entry.revision });
    }
  };
  const missed = state.changesAfter(afterRevision);
  if (!missed) {
    queueMicrotask(() => {
      if (open) {
        onEvent({ kind: 'compacted', revision: state.revision });
      }
    });
    return { close: () => (open = false) };
  }
  const queue = [...missed];
  let flushed = false;
  queueMicrotask(() => {
    flushed = true;
    queue.forEach(deliver);
  });
  const teardown = state.onChange((entry) => {
    if (flushed) {
      deliver(entry);
      return;
    }
    queue.push(entry);
  });
  return {
    close: () => {
      open = false;
      teardown();
    },
  };
}
