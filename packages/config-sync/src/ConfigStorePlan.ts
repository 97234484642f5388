import type { RandomSource, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import {
  FALLBACK_AGE_MS,
  FULL_READ_INTERVAL_MS,
  HEAD_PROBE_INTERVAL_MS,
  STORE_BACKOFF_MAX_MS,
  STORE_BACKOFF_MIN_MS,
  WATCH_LAG_BOUND_MS,
} from './ConfigSyncConstants.js';

/** A call to the store that is due. */
export type StoreAction = 'closeWatch' | 'openWatch' | 'readAll' | 'readHead';

/** What a daemon knows when its timer runs. */
export interface StoreTick {
  /** Age of the configuration as parents confirm it; infinite when none has. */
  readonly ageMs: number;
  readonly completeRevision: Revision;
  readonly nowMs: number;
  /** Whether this daemon is one of its failure domain's watchers. */
  readonly watches: boolean;
}

const NO_REVISION = toNumberId<Revision>(0);

/**
 * Decides when a daemon calls the store for configuration. A watcher reads everything once, then
 * watches, and compares its watch with the head key: a watch that stays behind the head has gone
 * silent and is replaced. Other daemons call the store only while no parent confirms their
 * configuration.
 */
export class ConfigStorePlan {
  private behindSinceMs: number | undefined;
  private calling = false;
  private failures = 0;
  private hasRead = false;
  private headRevision = NO_REVISION;
  private isCompacted = false;
  private nextCallAtMs = 0;
  private nextFullReadAtMs: number | undefined;
  private watchOpen = false;
  private watchRevision = NO_REVISION;

  constructor(private readonly random: RandomSource) {}

  /** Whether a watch is open. */
  get isWatching(): boolean {
    return this.watchOpen;
  }

  /**
   * Takes the calls that are due, in order. At most one read is outstanding at a time.
   *
   * @param tick - the time and what is known
   * @returns the actions to take
   */
  next(tick: StoreTick): readonly StoreAction[] {
    const closing = this.closeUnwanted(tick);
    const needed = tick.watches || tick.ageMs > FALLBACK_AGE_MS;
    if (!needed || this.calling || tick.nowMs < this.nextCallAtMs) {
      return closing;
    }
    this.calling = true;
    if (this.mustReadAll(tick)) {
      return [...closing, 'readAll'];
    }
    if (tick.watches && !this.watchOpen) {
      this.watchOpen = true;
      this.watchRevision = tick.completeRevision;
      return [...closing, 'openWatch', 'readHead'];
    }
    return [...closing, 'readHead'];
  }

  /** Notes that a full read was answered. */
  noteFullRead(nowMs: number): void {
    this.succeeded();
    this.hasRead = true;
    this.isCompacted = false;
    this.nextCallAtMs = nowMs;
    this.nextFullReadAtMs = nowMs + this.fullReadIntervalMs();
  }

  /** Notes the revision of the head key; 0 when the key does not exist. */
  noteHead(headRevision: Revision, nowMs: number): void {
    this.succeeded();
    this.headRevision = headRevision;
    if (!this.watchOpen || headRevision <= this.watchRevision) {
      this.behindSinceMs = undefined;
      this.nextCallAtMs = nowMs + HEAD_PROBE_INTERVAL_MS;
      return;
    }
    this.behindSinceMs ??= nowMs;
    this.nextCallAtMs = nowMs + WATCH_LAG_BOUND_MS;
  }

  /** Notes that a read failed. */
  noteFailure(nowMs: number): void {
    this.calling = false;
    this.backOff(nowMs);
  }

  /** Notes that the watch delivered changes up to a revision. */
  noteWatchProgress(revision: Revision): void {
    if (revision > this.watchRevision) {
      this.watchRevision = revision;
    }
  }

  /** Notes that the watch ended; `compacted` when the revisions after it are no longer kept. */
  noteWatchEnded(nowMs: number, compacted: boolean): void {
    this.watchOpen = false;
    this.behindSinceMs = undefined;
    this.isCompacted ||= compacted;
    this.backOff(nowMs);
  }

  private backOff(nowMs: number): void {
    const boundMs = Math.min(STORE_BACKOFF_MAX_MS, STORE_BACKOFF_MIN_MS * 2 ** this.failures);
    this.failures += 1;
    this.nextCallAtMs = nowMs + boundMs * (0.5 + this.random.nextUnit() / 2);
  }

  private closeUnwanted(tick: StoreTick): readonly StoreAction[] {
    const isSilent =
      this.behindSinceMs !== undefined &&
      this.headRevision > this.watchRevision &&
      tick.nowMs - this.behindSinceMs >= WATCH_LAG_BOUND_MS;
    if (!this.watchOpen || (tick.watches && !isSilent)) {
      return [];
    }
    this.watchOpen = false;
    this.behindSinceMs = undefined;
    return ['closeWatch'];
  }

  /** The first full read of a watcher that learnt its documents from peers comes later. */
  private fullReadAtMs(nowMs: number): number {
    this.nextFullReadAtMs ??= nowMs + this.fullReadIntervalMs();
    return this.nextFullReadAtMs;
  }

  private fullReadIntervalMs(): number {
    return FULL_READ_INTERVAL_MS * (0.75 + this.random.nextUnit() / 2);
  }

  private mustReadAll(tick: StoreTick): boolean {
    if (tick.completeRevision === NO_REVISION && !this.hasRead) {
      return true;
    }
    if (this.isCompacted || (tick.watches && tick.nowMs >= this.fullReadAtMs(tick.nowMs))) {
      return true;
    }
    return !this.watchOpen && this.headRevision > tick.completeRevision;
  }

  private succeeded(): void {
    this.calling = false;
    this.failures = 0;
  }
}
