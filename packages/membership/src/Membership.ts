import type {
  Member,
  MemberDirectory,
  MonotonicClock,
  PlatformStore,
  RandomSource,
  Teardown,
} from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import { MembershipWatcher } from './MembershipWatcher.js';
import { MembershipRegistrar } from './MembershipRegistrar.js';
import type { MembershipTimers } from './MembershipTimers.js';
import { PROCESS_TIMERS } from './MembershipTimers.js';
import { MembershipView } from './MembershipView.js';

/** Options of {@link startMembership}. */
export interface MembershipOptions {
  readonly clock: MonotonicClock;
  readonly log: Log;
  /** This member; if absent, the directory is watched and nothing is registered. */
  readonly member?: Member;
  readonly random?: RandomSource;
  readonly store: PlatformStore;
  readonly timers?: MembershipTimers;
}

/** This process's registration and its view of the live members. */
export interface Membership {
  readonly directory: MemberDirectory;
  /** Whether this member's lease and registration are certain to be valid. */
  holdsLease(): boolean;
  /** Revokes the registration and stops watching the members. */
  leave(): Promise<void>;
}

/**
 * Registers this member under a lease and watches the live members of all roles.
 *
 * @param options - store, member, clock and log
 * @returns the running membership; its directory is empty until the store has answered once
 */
export function startMembership(options: MembershipOptions): Membership {
  const { clock, log, member, store } = options;
  const random = options.random ?? { nextUnit: Math.random };
  const timers = options.timers ?? PROCESS_TIMERS;
  const view = new MembershipView(clock.nowMs());
  const listeners = new Set<() => void>();
  const expiry = new ViewExpiryTimer(view, clock, timers, () => {
    listeners.forEach((listener) => {
      listener();
    });
  });
  const watcher = new MembershipWatcher({
    clock,
    log,
    onChange: () => {
      expiry.onViewChanged();
    },
    random,
    store,
    timers,
    view,
  });
  const registrar =
    member &&
    new MembershipRegistrar({
      clock,
      log,
      member,
      onLeaseLost: () => {
        view.onLeaseLost(clock.nowMs());
      },
      onStoreContact: () => {
        view.onStoreContact(clock.nowMs());
      },
      random,
      store,
      timers,
    });
  watcher.start();
  registrar?.start();
  return {
    directory: {
      members: (role) => view.members(role),
      onChange: (listener) => {
        listeners.add(listener);
        return () => {
          listeners.delete(listener);
        };
      },
      rank: (role, key) => view.rank(role, key, clock.nowMs()),
      suspect: (memberId) => {
        view.suspect(memberId, clock.nowMs());
      },
    },
    holdsLease: () => registrar?.holdsLease() ?? false,
    leave: async () => {
      watcher.stop();
      expiry.stop();
      await registrar?.stop();
    },
  };
}

/** Drops members from the view when their grace period ends, and notifies of every change. */
class ViewExpiryTimer {
  readonly #clock: MonotonicClock;
  readonly #onChange: () => void;
  readonly #timers: MembershipTimers;
  readonly #view: MembershipView;
  #cancelTimer: Teardown = () => undefined;

  constructor(
    view: MembershipView,
    clock: MonotonicClock,
    timers: MembershipTimers,
    onChange: () => void,
  ) {
    this.#clock = clock;
    this.#onChange = onChange;
    this.#timers = timers;
    this.#view = view;
  }

  /** Notifies of a change and schedules the next removal from the view. */
  onViewChanged(): void {
    this.#schedule();
    this.#onChange();
  }

  stop(): void {
    this.#cancelTimer();
  }

  #schedule(): void {
    this.#cancelTimer();
    const atMs = this.#view.nextExpiryMs();
    if (atMs === undefined) {
      return;
    }
    this.#cancelTimer = this.#timers.after(Math.max(0, atMs - this.#clock.nowMs()), () => {
      this.#view.expire(this.#clock.nowMs());
      this.onViewChanged();
    });
  }
}
