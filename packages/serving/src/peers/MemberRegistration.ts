import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreEra } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { MemberAddress, PlatformDirectory, Registration } from '../ServingPorts.js';

/** Options of {@link MemberRegistration}. */
export interface MemberRegistrationOptions {
  /** Era of the store that this daemon follows. */
  readonly currentEra: () => StoreEra;
  readonly directory: Pick<PlatformDirectory, 'register' | 'renewLease'>;
  readonly isDraining: () => boolean;
  readonly log: ServingLog;
  readonly member: MemberAddress;
}

/** Time between attempts to register with the store. */
const REGISTER_RETRY_MS = 2_000;
/** A lease is renewed after this part of it, so that several renewals can fail. */
const RENEWAL_SHARE = 1 / 3;
/** Time between attempts to renew a lease, where a third of it is longer. */
const MAX_RENEWAL_RETRY_MS = 5_000;

/**
 * Keeps the entry by which other daemons find this one in the platform's store: writes it, renews its
 * lease, and writes it again in a new era of the store or when the lease has ended.
 */
export class MemberRegistration {
  private isRegistering = false;
  private isStopped = false;
  /** The last one, whose lease is renewed. */
  private registration: Registration | undefined;
  private registrationTimer: NodeJS.Timeout | undefined;
  private renewalTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: MemberRegistrationOptions) {}

  /**
   * Writes the entry; retries until the store accepts it in its current era. Does nothing while it is
   * being written.
   *
   * @returns resolves when the store has accepted it or the daemon stops
   */
  async register(): Promise<void> {
    const { currentEra, directory, isDraining, log, member } = this.options;
    if (this.isRegistering) {
      return;
    }
    this.isRegistering = true;
    let registeredEra: StoreEra | undefined;
    const isRegistered = (): boolean =>
      registeredEra !== undefined && registeredEra >= currentEra();
    while (!isRegistered() && !isDraining() && !this.isStopped) {
      const registered = await directory.register(member);
      if (registered.ok) {
        registeredEra = registered.value.era ?? currentEra();
        this.registration = registered.value;
        this.scheduleRenewal(registered.value);
      } else {
        log.warn('member-not-registered', registered.error);
        await sleep(REGISTER_RETRY_MS);
      }
    }
    this.isRegistering = false;
  }

  /** Writes the entry again after a while. A later call replaces an earlier one. */
  schedule(delayMs: number): void {
    clearTimeout(this.registrationTimer);
    this.registrationTimer = setTimeout(() => {
      void this.register();
    }, delayMs);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.registrationTimer);
    clearTimeout(this.renewalTimer);
  }

  private scheduleRenewal(registration: Registration, isRetry = false): void {
    clearTimeout(this.renewalTimer);
    if (this.isStopped) {
      return;
    }
    const renewalMs = registration.leaseMs * RENEWAL_SHARE;
    this.renewalTimer = setTimeout(
      () => {
        void this.renew(registration);
      },
      isRetry ? Math.min(MAX_RENEWAL_RETRY_MS, renewalMs) : renewalMs,
    );
  }

  private async renew(registration: Registration): Promise<void> {
    const { directory, log } = this.options;
    const outcome = await directory.renewLease(registration.leaseId);
    if (this.isStopped || this.registration !== registration) {
      return;
    }
    if (!outcome.ok) {
      log.warn('member-lease-not-renewed', outcome.error);
      this.scheduleRenewal(registration, true);
    } else if (outcome.value === 'renewed') {
      this.scheduleRenewal(registration);
    } else {
      log.warn('member-lease-ended', { leaseMs: registration.leaseMs });
      await this.register();
    }
  }
}
