import type { SettleOutcome } from '@laburnumgap/claims';
import type { MonotonicClock } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import type { LedgerPort, RouterClaim } from './RouterPlainCallsLedger.js';
import type { Timers } from './RouterTimers.js';

/** Options of a {@link PlainCallSettler}. */
export interface PlainCallSettlerOptions {
  readonly clock: MonotonicClock;
  readonly ledger: LedgerPort;
  readonly log: Log;
  /** Upper limit of pending settlements; further ones are dropped immediately. */
  readonly maxPending?: number;
  readonly timers: Timers;
}

const DEFAULT_MAX_PENDING = 1_000;
const GIVE_UP_AFTER_MS = 60_000;
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;

/**
 * Reports the outcomes of claimed calls, retrying until a ledger has recorded them. A settlement
 * that is given up leaves the key claimed; its outcome is unknown once the call's deadline passes.
 */
export class PlainCallSettler {
  private readonly idleListeners: (() => void)[] = [];
  private isStopped = false;
  private readonly pauses = new Set<() => void>();
  private pending = 0;

  constructor(private readonly options: PlainCallSettlerOptions) {}

  /** Number of settlements that no ledger has recorded yet. */
  get pendingSettlements(): number {
    return this.pending;
  }

  /** Resolves to true when the outcome is recorded, to false when it is given up. */
  async settle(claim: RouterClaim, outcome: SettleOutcome): Promise<boolean> {
    const { log, maxPending = DEFAULT_MAX_PENDING } = this.options;
    if (this.pending >= maxPending) {
      log.warn('settlementDropped', { claimId: claim.claimId, outcome: outcome.kind });
      return false;
    }
    this.pending += 1;
    const isRecorded = await this.settleWithRetries(claim, outcome);
    this.pending -= 1;
    if (!isRecorded) {
      log.warn('settlementGivenUp', { claimId: claim.claimId, outcome: outcome.kind });
    }
    if (this.pending === 0) {
      this.idleListeners.splice(0).forEach((listener) => {
        listener();
      });
    }
    return isRecorded;
  }

  /** Resolves when no settlement is pending. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      if (this.pending === 0) {
        resolve();
        return;
      }
      this.idleListeners.push(resolve);
    });
  }

  /** Resolves when no settlement is pending; gives up those that still are after the bound. */
  async drain(boundMs: number): Promise<void> {
    const stopTimer = this.options.timers.after(boundMs, () => {
      this.isStopped = true;
      this.endAllPauses();
    });
    await this.whenIdle();
    stopTimer();
  }

  private async settleWithRetries(claim: RouterClaim, outcome: SettleOutcome): Promise<boolean> {
    const { clock, ledger } = this.options;
    const giveUpAtMs = clock.nowMs() + GIVE_UP_AFTER_MS;
    let pauseMs = MIN_PAUSE_MS;
    for (let attempt = 0; ; attempt += 1) {
      if (await ledger.settle(claim, outcome, attempt)) {
        return true;
      }
      if (this.isStopped || clock.nowMs() >= giveUpAtMs) {
        return false;
      }
      await this.pause(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
    }
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        stopTimer();
        this.pauses.delete(end);
        resolve();
      };
      const stopTimer = this.options.timers.after(delayMs, end);
      this.pauses.add(end);
    });
  }

  private endAllPauses(): void {
    for (const end of [...this.pauses]) {
      end();
    }
  }
}
