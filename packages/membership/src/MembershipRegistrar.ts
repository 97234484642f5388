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
  /** Called when the store answered. */
  readonly onContact: () => void;
  /** Called when the lease lapsed at the store. */
  readonly onLeaseLost: () => void;
  readonly random: RandomSource;
  readonly store: PlatformStore;
  readonly timers: MembershipTimers;
}

/** Keeps one member registered under a lease. At most one call to the store is running. */
export class MembershipRegistrar {
  readonly #lease: MembershipLease;
  readonly #options: MembershipRegistrarOptions;
  #cancelTimer: Teardown = () => undefined;
  #everRegistered = false;
  #running: Promise<void> = Promise.resolve();
  #stopped = false;

  constructor(options: MembershipRegistrarOptions) {
    this.#options = options;
    this.#lease = new MembershipLease(options.random, options.clock.nowMs());
  }

  start(): void {
    this.#schedule();
  }

  holdsLease(): boolean {
    return !this.#stopped && this.#lease.holds(this.#options.clock.nowMs());
  }

  /** Ends the registration; a store that is away ends it when the lease lapses. */
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
    const { atMs, step } = this.#lease.next();
    if (this.#stopped || step.kind === 'superseded') {
      return;
    }
    const delayMs = Math.max(0, atMs - this.#options.clock.nowMs());
    this.#cancelTimer = this.#options.timers.after(delayMs, () => {
      this.#running = this.#run(step).then(() => {
        this.#schedule();
      });
    });
  }

  async #run(step: LeaseStep): Promise<void> {
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
    const { clock, onContact, store } = this.#options;
    const sentAtMs = clock.nowMs();
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (!granted.ok) {
      this.#failed('grantLease', granted.error);
      return;
    }
    onContact();
    this.#lease.granted(granted.value, sentAtMs, clock.nowMs());
  }

  async #keepAlive(leaseId: LeaseId): Promise<void> {
    const { clock, onContact, store } = this.#options;
    const sentAtMs = clock.nowMs();
    const kept = await store.keepAlive(leaseId);
    if (!kept.ok) {
      this.#failed('keepAlive', kept.error);
      return;
    }
    onContact();
    this.#lease.keptAlive(kept.value, sentAtMs, clock.nowMs());
  }

  async #register(leaseId: LeaseId): Promise<void> {
    const { clock, log, member, store } = this.#options;
    const key = memberKey(member.role, member.memberId);
    const current = await store.read(key);
    if (!current.ok) {
      this.#failed('readRegistration', current.error);
      return;
    }
    const registered = current.value && decodeMember(key, current.value.value);
    const isOwn = registered?.incarnation === member.incarnation;
    if (isOwn && current.value?.leaseId === leaseId) {
      this.#registered();
      return;
    }
    if (registered && !isOwn && this.#everRegistered) {
      log.error('memberSuperseded', { incarnation: registered.incarnation });
      this.#lease.superseded();
      return;
    }
    const modRevision = current.value?.modRevision ?? toNumberId<Revision>(0);
    const committed = await store.commit({
      guards: [{ key, modRevision }],
      writes: [{ key, kind: 'put', leaseId, value: encodeMember(member) }],
    });
    if (committed.ok) {
      this.#registered();
      return;
    }
    this.#lease.failed(committed.error, clock.nowMs());
    log.warn('registerFailed', { detail: committed.error.kind });
  }

  #registered(): void {
    const { clock, log, onContact } = this.#options;
    this.#everRegistered = true;
    onContact();
    this.#lease.registered(clock.nowMs());
    log.info('memberRegistered', { leaseId: this.#lease.leaseId });
  }

  #failed(call: string, error: StoreError): void {
    const { clock, log, onLeaseLost } = this.#options;
    const lost = this.#lease.failed(error, clock.nowMs());
    log.warn('membershipCallFailed', { call, detail: error.kind, leaseLost: lost });
    if (lost) {
      onLeaseLost();
    }
  }
}
