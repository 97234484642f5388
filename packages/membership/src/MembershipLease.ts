import type { GrantedLease, LeaseId, RandomSource, StoreError } from '@laburnumgap/kernel';
import { MembershipBackoff } from './MembershipBackoff.js';
import {
  KEEPALIVE_INTERVAL_MS,
  KEEPALIVE_JITTER_RATIO,
  LEASE_SAFETY_RATIO,
} from './MembershipConstants.js';

/** The next call that obtains or keeps a registration. */
export type LeaseStep =
  | { readonly kind: 'grant' }
  | { readonly kind: 'keepAlive'; readonly leaseId: LeaseId }
  | { readonly kind: 'register'; readonly leaseId: LeaseId }
  /** Another process has registered under this member's id; no further call is made. */
  | { readonly kind: 'superseded' };

/** A step and the time at which it is due. */
export interface ScheduledLeaseStep {
  readonly atMs: number;
  readonly step: LeaseStep;
}

/**
 * State machine that obtains and keeps a member's lease and registration. The lease's validity is
 * counted from before the renewing call was sent, so it expires here before it expires at the store.
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

  /** Id of the last granted lease, unless the store has reported it as lost. */
  get leaseId(): LeaseId | undefined {
    return this.#leaseId;
  }

  /** Whether the lease and the registration are certain to be valid. */
  isHeld(nowMs: number): boolean {
    return this.#registered && !this.#superseded && nowMs < this.#validUntilMs;
  }

  /** Returns the next step and when it is due. */
  nextStep(): ScheduledLeaseStep {
    return { atMs: this.#nextAtMs, step: this.#currentStep() };
  }

  /** Handles a granted lease; the member is registered under it next. */
  onGranted(lease: GrantedLease, sentAtMs: number, nowMs: number): void {
    this.#leaseId = lease.leaseId;
    this.#registered = false;
    this.#extend(lease.ttlMs, sentAtMs);
    this.#nextAtMs = nowMs;
  }

  /** Handles a completed registration. */
  onRegistered(nowMs: number): void {
    this.#registered = true;
    this.#backoff.reset();
    this.#nextAtMs = nowMs + this.#keepAliveDelayMs();
  }

  /** Handles a renewed lease. */
  onKeptAlive(lease: GrantedLease, sentAtMs: number, nowMs: number): void {
    this.#backoff.reset();
    this.#extend(lease.ttlMs, sentAtMs);
    this.#nextAtMs = nowMs + this.#keepAliveDelayMs();
  }

  /** Handles a failed step and schedules the retry; returns whether the lease is lost. */
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

  /** Handles the registration of another process under this member's id. */
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
