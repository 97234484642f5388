import type {
  LeaseId,
  Member,
  MonotonicClock,
  PlatformStore,
  RandomSource,
  Revision,
  StoreError,
  Teardown,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import { LEASE_TTL_MS } from './MembershipConstants.js';
import type { LeaseStep } from './MembershipLease.js';
import { MembershipLease } from './MembershipLease.js';
import { decodeMember, encodeMember, memberKey } from './MembershipSchema.js';
import type { MembershipTimers } from './MembershipTimers.js';

/** Options of a {@link MembershipRegistrar}. */
export interface MembershipRegistrarOptions {
  readonly clock: MonotonicClock;
  readonly log: Log;
  readonly member: Member;
  /** Called when the store has reported the lease as expired. */
  readonly onLeaseLost: () => void;
  /** Called when the store has answered. */
  readonly onStoreContact: () => void;
  readonly random: RandomSource;
  readonly store: PlatformStore;
  readonly timers: MembershipTimers;
}

/** Keeps one member registered under a lease, with at most one store call in flight. */
export class MembershipRegistrar {
  readonly #lease: MembershipLease;
  readonly #options: MembershipRegistrarOptions;
  #cancelTimer: Teardown = () => undefined;
  #wasRegistered = false;
  #running: Promise<void> = Promise.resolve();
  #stopped = false;

  constructor(options: MembershipRegistrarOptions) {
    this.#options = options;
    this.#lease = new MembershipLease(options.random, options.clock.nowMs());
  }

  /** Starts to obtain a lease. */
  start(): void {
    this.#schedule();
  }

  /** Whether the lease and the registration are certain to be valid. */
  holdsLease(): boolean {
    return !this.#stopped && this.#lease.isHeld(this.#options.clock.nowMs());
  }

  /** Revokes the lease; if the store is unavailable, the registration ends when the lease expires. */
  async stop(): Promise<void> {
    if (this.#stopped) {
      return;
    }
    this.#stopped = true;
    this.#cancelTimer();
    await this.#running;
    const { leaseId } = this.#lease;
    if (leaseId !== undefined) {
      await this.#options.store.revokeLease(leaseId);
    }
  }

  #schedule(): void {
    const { atMs, step } = this.#lease.nextStep();
    if (this.#stopped || step.kind === 'superseded') {
      return;
    }
    const delayMs = Math.max(0, atMs - this.#options.clock.nowMs());
    this.#cancelTimer = this.#options.timers.after(delayMs, () => {
      this.#running = this.#performStep(step).then(() => {
        this.#schedule();
      });
    });
  }

  async #performStep(step: LeaseStep): Promise<void> {
    switch (step.kind) {
      case 'grant':
        await this.#grant();
        return;
      case 'keepAlive':
        await this.#keepAlive(step.leaseId);
        return;
      case 'register':
        await this.#register(step.leaseId);
        return;
      case 'superseded':
    }
  }

  async #grant(): Promise<void> {
    const { clock, onStoreContact, store } = this.#options;
    const sentAtMs = clock.nowMs();
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (!granted.ok) {
      this.#onFailure('grantLease', granted.error);
      return;
    }
    onStoreContact();
    this.#lease.onGranted(granted.value, sentAtMs, clock.nowMs());
  }

  async #keepAlive(leaseId: LeaseId): Promise<void> {
    const { clock, onStoreContact, store } = this.#options;
    const sentAtMs = clock.nowMs();
    const kept = await store.keepAlive(leaseId);
    if (!kept.ok) {
      this.#onFailure('keepAlive', kept.error);
      return;
    }
    onStoreContact();
    this.#lease.onKeptAlive(kept.value, sentAtMs, clock.nowMs());
  }

  async #register(leaseId: LeaseId): Promise<void> {
    const { clock, log, member, store } = this.#options;
    const key = memberKey(member.role, member.memberId);
    const current = await store.read(key);
    if (!current.ok) {
      this.#onFailure('readRegistration', current.error);
      return;
    }
    const registered = current.value && decodeMember(key, current.value.value);
    const isOwn = registered?.incarnation === member.incarnation;
    if (isOwn && current.value?.leaseId === leaseId) {
      this.#onRegistered();
      return;
    }
    // A foreign registration found before this process's first one is that of an earlier incarnation.
    if (registered && !isOwn && this.#wasRegistered) {
      log.error('memberSuperseded', { incarnation: registered.incarnation });
      this.#lease.onSuperseded();
      return;
    }
    const modRevision = current.value?.modRevision ?? toNumberId<Revision>(0);
    const committed = await store.commit({
      guards: [{ key, modRevision }],
      writes: [{ key, kind: 'put', leaseId, value: encodeMember(member) }],
    });
    if (committed.ok) {
      this.#onRegistered();
      return;
    }
    this.#lease.onFailure(committed.error, clock.nowMs());
    log.warn('registerFailed', { detail: committed.error.kind });
  }

  #onRegistered(): void {
    const { clock, log, onStoreContact } = this.#options;
    this.#wasRegistered = true;
    onStoreContact();
    this.#lease.onRegistered(clock.nowMs());
    log.info('memberRegistered', { leaseId: this.#lease.leaseId });
  }

  #onFailure(call: string, error: StoreError): void {
    const { clock, log, onLeaseLost } = this.#options;
    const lost = this.#lease.onFailure(error, clock.nowMs());
    log.warn('membershipCallFailed', { call, detail: error.kind, leaseLost: lost });
    if (lost) {
      onLeaseLost();
    }
  }
}
