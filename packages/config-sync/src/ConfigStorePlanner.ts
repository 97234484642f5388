import type { RandomSource, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import {
  FULL_READ_INTERVAL_MS,
  HEAD_PROBE_INTERVAL_MS,
  MAX_WATCH_LAG_MS,
  STORE_BACKOFF_MAX_MS,
  STORE_BACKOFF_MIN_MS,
  STORE_FALLBACK_AGE_MS,
} from './ConfigSyncConstants.js';

/** A call to the store, or the end of the watch. */
export type StoreAction = 'closeWatch' | 'openWatch' | 'readAll' | 'readHead';

/** Input of {@link ConfigStorePlanner.nextActions}. */
export interface StorePlanInput {
  /** Time since the configuration was last confirmed to be the newest. */
  readonly ageMs: number;
  readonly completeRevision: Revision;
  /** Whether this daemon is one of the watchers of its failure domain. */
  readonly isWatcher: boolean;
  readonly nowMs: number;
}

const NO_REVISION = toNumberId<Revision>(0);

/**
 * Decides when a daemon reads configuration from the store. A watcher reads everything once, then
 * opens a watch and periodically compares its progress with the head key: a watch that stays behind
 * the head no longer delivers and is replaced. Other daemons call the store only while no parent
 * confirms their configuration.
 */
export class ConfigStorePlanner {
  private behindSinceMs: number | undefined;
  private failures = 0;
  private hasFullRead = false;
  private headRevision = NO_REVISION;
  private isReading = false;
  private isWatchCompacted = false;
  private isWatchOpen = false;
  private nextCallAtMs = 0;
  private nextFullReadAtMs: number | undefined;
  private watchRevision = NO_REVISION;

  constructor(private readonly random: RandomSource) {}

  /** Whether a watch is open. */
  get isWatching(): boolean {
    return this.isWatchOpen;
  }

  /**
   * Returns the calls that are due, in order. At most one read is outstanding at a time.
   *
   * @param input - current time and state of the configuration
   * @returns the actions to take
   */
  nextActions(input: StorePlanInput): readonly StoreAction[] {
    const closeActions = this.closeUnneededWatch(input);
    const needsStore = input.isWatcher || input.ageMs > STORE_FALLBACK_AGE_MS;
    if (!needsStore || this.isReading || input.nowMs < this.nextCallAtMs) {
      return closeActions;
    }
    this.isReading = true;
    if (this.needsFullRead(input)) {
      return [...closeActions, 'readAll'];
    }
    if (input.isWatcher && !this.isWatchOpen) {
      this.isWatchOpen = true;
      this.watchRevision = input.completeRevision;
      return [...closeActions, 'openWatch', 'readHead'];
    }
    return [...closeActions, 'readHead'];
  }

  /** Handles the response to a full read. */
  onFullRead(nowMs: number): void {
    this.onReadSucceeded();
    this.hasFullRead = true;
    this.isWatchCompacted = false;
    this.nextCallAtMs = nowMs;
    this.nextFullReadAtMs = nowMs + this.fullReadIntervalMs();
  }

  /** Handles the revision of the head key; 0 when the key does not exist. */
  onHeadRead(headRevision: Revision, nowMs: number): void {
    this.onReadSucceeded();
    this.headRevision = headRevision;
    if (!this.isWatchOpen || headRevision <= this.watchRevision) {
      this.behindSinceMs = undefined;
      this.nextCallAtMs = nowMs + HEAD_PROBE_INTERVAL_MS;
      return;
    }
    this.behindSinceMs ??= nowMs;
    this.nextCallAtMs = nowMs + MAX_WATCH_LAG_MS;
  }

  /** Handles a failed read. */
  onReadFailed(nowMs: number): void {
    this.isReading = false;
    this.backOff(nowMs);
  }

  /** Handles changes that the watch delivered, up to a revision. */
  onWatchProgress(revision: Revision): void {
    if (revision > this.watchRevision) {
      this.watchRevision = revision;
    }
  }

  /**
   * Handles the end of the watch; `isCompacted` if the store no longer keeps the next revisions.
   */
  onWatchEnded(nowMs: number, isCompacted: boolean): void {
    this.isWatchOpen = false;
    this.behindSinceMs = undefined;
    this.isWatchCompacted ||= isCompacted;
    this.backOff(nowMs);
  }

  private backOff(nowMs: number): void {
    const maxDelayMs = Math.min(STORE_BACKOFF_MAX_MS, STORE_BACKOFF_MIN_MS * 2 ** this.failures);
    this.failures += 1;
    this.nextCallAtMs = nowMs + maxDelayMs * (0.5 + this.random.nextUnit() / 2);
  }

  private closeUnneededWatch(input: StorePlanInput): readonly StoreAction[] {
    const isStalled =
      this.behindSinceMs !== undefined &&
      this.headRevision > this.watchRevision &&
      input.nowMs - this.behindSinceMs >= MAX_WATCH_LAG_MS;
    if (!this.isWatchOpen || (input.isWatcher && !isStalled)) {
      return [];
    }
    this.isWatchOpen = false;
    this.behindSinceMs = undefined;
    return ['closeWatch'];
  }

  /**
   * Time of the next full read; the first one of a watcher that started from peers is an interval
   * away.
   */
  private fullReadAtMs(nowMs: number): number {
    this.nextFullReadAtMs ??= nowMs + this.fullReadIntervalMs();
    return this.nextFullReadAtMs;
  }

  private fullReadIntervalMs(): number {
    return FULL_READ_INTERVAL_MS * (0.75 + this.random.nextUnit() / 2);
  }

  private needsFullRead(input: StorePlanInput): boolean {
    if (input.completeRevision === NO_REVISION && !this.hasFullRead) {
      return true;
    }
    if (
      this.isWatchCompacted ||
      (input.isWatcher && input.nowMs >= this.fullReadAtMs(input.nowMs))
    ) {
      return true;
    }
    return !this.isWatchOpen && this.headRevision > input.completeRevision;
  }

  private onReadSucceeded(): void {
    this.isReading = false;
    this.failures = 0;
  }
}
