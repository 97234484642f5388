import type { GrantedLease, LeaseId, RandomSource, StoreError } from '@laburnumgap/kernel';
import { MembershipBackoff } from './MembershipBackoff.js';
import {
  KEEPALIVE_INTERVAL_MS,
  KEEPALIVE_JITTER_RATIO,
  LEASE_SAFETY_RATIO,
} from './MembershipConstants.js';

/** What to do next to hold a registration. */
export type LeaseStep =
  | { readonly kind: 'grant' }
  | { readonly kind: 'keepAlive'; readonly leaseId: LeaseId }
  | { readonly kind: 'register'; readonly leaseId: LeaseId }
  /** Another process registered under this member's id: nothing more is done. */
  | { readonly kind: 'superseded' };

/** The next step and when it is due. */
export interface ScheduledLeaseStep {
  readonly atMs: number;
  readonly step: LeaseStep;
}

/**
 * Decides how a member obtains and keeps its lease and registration. The lease is counted from
 * before the call that renewed it was sent, so it ends here before it ends at the store.
 */
export class MembershipLease {
  readonly #backoff: MembershipBackoff;
  readonly #random: RandomSource;
  #leaseId: LeaseId | undefined;
  #nextAtMs: number;
  #registered = false;
  #superseded = false;
  #validUntilMs = -Infinity;

  constructor(random: RandomSource, nowMs: number) {
    this.#backoff = new MembershipBackoff(random);
    this.#nextAtMs = nowMs;
    this.#random = random;
  }

  /** Lease held, as far as is known. */
  get leaseId(): LeaseId | undefined {
    return this.#leaseId;
  }

  /** Whether the lease and the registration are certain to be in force. */
  isHeld(nowMs: number): boolean {
    return this.#registered && !this.#superseded && nowMs < this.#validUntilMs;
  }

  /** The next step. */
  nextStep(): ScheduledLeaseStep {
    return { atMs: this.#nextAtMs, step: this.#currentStep() };
  }

  onGranted(lease: GrantedLease, sentAtMs: number, nowMs: number): void {
    this.#leaseId = lease.leaseId;
    this.#registered = false;
    this.#extend(lease.ttlMs, sentAtMs);
    this.#nextAtMs = nowMs;
  }

  onRegistered(nowMs: number): void {
    this.#registered = true;
    this.#backoff.reset();
    this.#nextAtMs = nowMs + this.#keepAliveDelayMs();
  }

  onKeptAlive(lease: GrantedLease, sentAtMs: number, nowMs: number): void {
    this.#backoff.reset();
    this.#extend(lease.ttlMs, sentAtMs);
    this.#nextAtMs = nowMs + this.#keepAliveDelayMs();
  }

  /** A step failed; returns whether the lease is lost. */
  onFailure(error: StoreError, nowMs: number): boolean {
    const storeAnswered = error.kind === 'conflict' || error.kind === 'leaseNotFound';
    if (storeAnswered) {
      this.#backoff.reset();
    }
    this.#nextAtMs = nowMs + this.#backoff.nextDelayMs();
    if (error.kind !== 'leaseNotFound') {
      return false;
    }
    this.#leaseId = undefined;
    this.#registered = false;
    this.#validUntilMs = -Infinity;
    return true;
  }

  onSuperseded(): void {
    this.#superseded = true;
  }

  #currentStep(): LeaseStep {
    if (this.#superseded) {
      return { kind: 'superseded' };
    }
    if (this.#leaseId === undefined) {
      return { kind: 'grant' };
    }
    const kind = this.#registered ? 'keepAlive' : 'register';
    return { kind, leaseId: this.#leaseId };
  }

  #extend(ttlMs: number, sentAtMs: number): void {
    this.#validUntilMs = sentAtMs + ttlMs * (1 - LEASE_SAFETY_RATIO);
  }

  #keepAliveDelayMs(): number {
    return KEEPALIVE_INTERVAL_MS * (1 - KEEPALIVE_JITTER_RATIO * this.#random.nextUnit());
  }
}
