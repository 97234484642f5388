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
  /** Clock that leases expire by. */
  readonly clock?: MonotonicClock;
  /** State of the store; several stores may share one. */
  readonly state?: PlatformStoreState;
}

/**
 * Creates an in-memory store, for tests.
 *
 * @param options - the clock that leases expire by, and the state
 * @returns the store
 */
export function createMemoryStore(options: MemoryStoreOptions = {}): PlatformStore {
  const clock = options.clock ?? { nowMs: () => performance.now() };
  const state = options.state ?? new PlatformStoreState();
  const currentState = (): PlatformStoreState => {
    state.revokeExpiredLeases(clock.nowMs());
    return state;
  };
  return {
    close: () => Promise.resolve(),
    commit: (commit) => Promise.resolve(currentState().commit(commit)),
    grantLease: (ttlMs) => {
      const leaseId = currentState().grantLease(ttlMs, clock.nowMs());
      return Promise.resolve(success<GrantedLease>({ leaseId, ttlMs }));
    },
    keepAlive: (leaseId) => Promise.resolve(keepAlive(state, leaseId, clock.nowMs())),
    range: (prefix) => {
      const values = currentState().select((key) => key.startsWith(prefix));
      return Promise.resolve(success({ revision: state.revision, values }));
    },
    read: (key) => Promise.resolve(success(currentState().read(key))),
    revokeLease: (leaseId) => {
      const existed = currentState().revokeLease(leaseId);
      return Promise.resolve(
        existed ? success(undefined) : failure({ kind: 'leaseNotFound' as const }),
      );
    },
    watch: (prefix, afterRevision, onEvent) =>
      openStateWatch(state, prefix, afterRevision, onEvent),
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

function openStateWatch(
  state: PlatformStoreState,
  prefix: string,
  afterRevision: Revision,
  onEvent: (event: WatchEvent) => void,
): StoreWatch {
  let isOpen = true;
  const deliverMatching = (entry: RevisionChanges): void => {
    const changes = entry.changes.filter((change) => change.key.startsWith(prefix));
    if (isOpen && changes.length > 0) {
      onEvent({ changes, kind: 'changes', revision: entry.revision });
    }
  };
  const missedChanges = state.changesAfter(afterRevision);
  if (!missedChanges) {
    queueMicrotask(() => {
      if (isOpen) {
        onEvent({ kind: 'compacted', revision: state.revision });
      }
    });
    return { close: () => (isOpen = false) };
  }
  const queue = [...missedChanges];
  let isCaughtUp = false;
  queueMicrotask(() => {
    isCaughtUp = true;
    queue.forEach(deliverMatching);
  });
  const teardown = state.onChange((entry) => {
    if (isCaughtUp) {
      deliverMatching(entry);
      return;
    }
    queue.push(entry);
  });
  return {
    close: () => {
      isOpen = false;
      teardown();
    },
  };
}
