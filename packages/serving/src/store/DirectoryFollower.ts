import { setTimeout as sleep } from 'node:timers/promises';
import type { MonotonicClock, Result, StoreEra } from '@laburnumgap/kernel';
import { success } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { DirectoryChanges, DirectoryError, PlatformDirectory } from '../ServingPorts.js';
import type { StorePosition } from './StorePosition.js';
import type { StoreFreshness } from './StoreFreshness.js';
import { FIRST_POSITION, isLater } from './StorePosition.js';

/** Changes of the store, complete up to their position. */
export type FollowedChanges = DirectoryChanges & StorePosition;

/**
 * How changes were read: in full, so that what is not listed is gone, by a watch on behalf of other
 * daemons, or by a query of a daemon for itself.
 */
export type StoreRead = 'full' | 'query' | 'watch';

/** Options of {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory;
  /** Age of what this daemon knows of the store, which bounds how long it relies on others. */
  readonly freshness: StoreFreshness;
  /** Whether this daemon watches the store; the other daemons receive changes from the watchers. */
  readonly isWatcher: () => boolean;
  readonly log: ServingLog;
  /** Receives changes. */
  readonly onChanges: (changes: FollowedChanges, read: StoreRead) => void;
  /** Called when the store begins or ceases to respond to this daemon. */
  readonly onReachabilityChanged: () => void;
  /** Called after a failed call to the store; other daemons may have newer data. */
  readonly onStoreDown: () => void;
  readonly randomUnit: () => number;
}

/** Longest duration of one watch call; limits how long a dead connection goes unnoticed. */
const WATCH_TIMEOUT_MS = 2_000;
/** Interval at which a daemon checks whether it has become a watcher. */
const WATCHER_CHECK_INTERVAL_MS = 200;
/** The same shortly before it may have to ask the store itself. */
const MIN_CHECK_INTERVAL_MS = 20;
/** A query for changes is not held by the store. */
const QUERY_WAIT_MS = 1;
/** A watch that is held for longer has nothing to report. */
const MIN_QUIET_WATCH_MS = 100;
const FIRST_BACKOFF_MS = 50;
/** A call that was sent this long before a ping and is answered after it hangs. */
const MIN_HANGING_MS = 30;
const MAX_BACKOFF_MS = 800;

/**
 * Follows the platform's store: reads everything once, then watches for changes. Reads everything
 * again when the store lost its history or began a new era; answers of an earlier era are ignored.
 */
export class DirectoryFollower {
  private backoffMs = FIRST_BACKOFF_MS;
  private isStopped = false;
  private isUnreachable = true;
  /** Set while the pending call is cancelled because a ping shows that it hangs. */
  private isRetryingAtOnce = false;
  private mustReadAll = true;
  private pendingSinceMs: number | undefined;
  private position: StorePosition = FIRST_POSITION;
  /** Ends the wait after a failed call. */
  private wake: (() => void) | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  /** Whether the last call to the store failed. True until the first call succeeds. */
  isStoreDown(): boolean {
    return this.isUnreachable;
  }

  /** Age of what this daemon knows of the store; undefined before it knows anything. */
  ageMs(): number | undefined {
    const { clock, freshness, isWatcher } = this.options;
    const pendingMs = clock.nowMs() - (this.pendingSinceMs ?? Infinity);
    const isQuiet = pendingMs >= MIN_QUIET_WATCH_MS && !this.isUnreachable && !this.mustReadAll;
    if (isQuiet && isWatcher()) {
      freshness.confirm(0);
    }
    return freshness.ageMs();
  }

  /** Checks whether the store responds, which a pending watch does not show. */
  async ping(): Promise<void> {
    const { clock, directory, isWatcher, log } = this.options;
    const sentMs = clock.nowMs();
    const { era, isReachable } = await directory.ping();
    if (this.isStopped) {
      return;
    }
    if (this.isUnreachable === isReachable) {
      this.setUnreachable(!isReachable);
      const { revision } = this.position;
      log.info(isReachable ? 'store-answers' : 'store-silent', { afterRevision: revision });
      if (isReachable) {
        this.retryHangingCall(sentMs);
      }
    }
    if (era !== undefined && era > this.position.era && !this.mustReadAll && isWatcher()) {
      // The pending watch belongs to a connection that the restored store may no longer know.
      this.onEraChanged(era);
      directory.cancelPendingCalls();
    }
  }

  /**
   * Repeats at once what the store did not answer while it was away. Its connection may never answer
   * again, and waiting for its timeout would cost more than the call.
   */
  private retryHangingCall(pingSentMs: number): void {
    this.wake?.();
    const { pendingSinceMs } = this;
    if (pendingSinceMs !== undefined && pendingSinceMs < pingSentMs - MIN_HANGING_MS) {
      this.isRetryingAtOnce = true;
      this.options.directory.cancelPendingCalls();
    }
  }

  /** Starts following the store in the background. */
  start(): void {
    void this.follow();
  }

  /** Stops following and cancels pending calls. */
  stop(): void {
    this.isStopped = true;
    this.options.directory.cancelPendingCalls();
  }

  /** Restarts a pending watch. Called when another daemon is ahead: the connection may be dead. */
  restartWatch(): void {
    if (!this.isStopped && !this.mustReadAll) {
      this.options.directory.cancelPendingCalls();
    }
  }

  /**
   * Continues the watch after a position up to which all changes were received from another daemon.
   */
  advance(position: StorePosition): void {
    if (isLater(position, this.position)) {
      this.position = position;
      this.mustReadAll = false;
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.readOrWatch();
      if (!outcome.ok) {
        await this.onStoreError(outcome.error);
      } else if (outcome.value) {
        this.setUnreachable(false);
        this.isRetryingAtOnce = false;
        this.backoffMs = FIRST_BACKOFF_MS;
      }
    }
  }

  private async readOrWatch(): Promise<Result<DirectoryChanges | undefined, DirectoryError>> {
    const { clock, directory, freshness, isWatcher, log, onChanges } = this.options;
    const isFullRead = this.mustReadAll;
    const isQuery = !isFullRead && !isWatcher();
    const waitMs = isQuery ? this.untilQueryMs() : 0;
    if (waitMs > 0) {
      await sleep(waitMs);
      return success(undefined);
    }
    if (isQuery) {
      return this.query();
    }
    const sentMs = clock.nowMs();
    this.pendingSinceMs = sentMs;
    const outcome = isFullRead
      ? await directory.readAll()
      : await directory.watch(this.position.revision, WATCH_TIMEOUT_MS);
    this.pendingSinceMs = undefined;
    if (!outcome.ok || this.isStopped) {
      return outcome;
    }
    const { revision } = outcome.value;
    const era = outcome.value.era ?? this.position.era;
    if (era < this.position.era) {
      log.warn('store-answer-outdated', { era, knownEra: this.position.era });
      await sleep(FIRST_BACKOFF_MS);
      return success(undefined);
    }
    if (era > this.position.era && !isFullRead) {
      this.onEraChanged(era);
      return success(undefined);
    }
    freshness.confirm(clock.nowMs() - sentMs);
    if (isFullRead || isLater({ era, revision }, this.position)) {
      this.position = { era, revision };
    }
    this.mustReadAll = false;
    onChanges({ ...outcome.value, era }, isFullRead ? 'full' : 'watch');
    return outcome;
  }

  /**
   * Reads what has changed. A failure changes nothing: pings find out whether the store is away, and those
   * that watch deal with a new era.
   */
  private async query(): Promise<Result<DirectoryChanges | undefined, DirectoryError>> {
    const { clock, directory, freshness, log, onChanges } = this.options;
    const { era: knownEra, revision: afterRevision } = this.position;
    const sentMs = clock.nowMs();
    freshness.recordQuery();
    const outcome = await directory.watch(afterRevision, QUERY_WAIT_MS);
    if (this.isStopped || (!outcome.ok && outcome.error.kind === 'historyLost')) {
      return outcome;
    }
    if (!outcome.ok) {
      log.info('store-query-failed', { afterRevision, ...outcome.error });
      return success(undefined);
    }
    const { era = knownEra, revision } = outcome.value;
    log.info('store-queried', { afterRevision, era, revision });
    this.setUnreachable(false);
    const isFromHere = knownEra === this.position.era && era === knownEra;
    if (isFromHere) {
      freshness.confirm(clock.nowMs() - sentMs);
      this.advance({ era, revision });
      onChanges({ ...outcome.value, era }, 'query');
    }
    return success(undefined);
  }

  /**
   * Time until a daemon that does not watch checks whether it has to ask the store itself; 0 when it has
   * to.
   */
  private untilQueryMs(): number {
    const dueInMs = this.options.freshness.queryDueInMs();
    return dueInMs === 0
      ? 0
      : Math.min(WATCHER_CHECK_INTERVAL_MS, Math.max(MIN_CHECK_INTERVAL_MS, dueInMs));
  }

  private setUnreachable(isUnreachable: boolean): void {
    if (this.isUnreachable !== isUnreachable) {
      this.isUnreachable = isUnreachable;
      this.options.onReachabilityChanged();
    }
  }

  /** Revisions of the previous era have no meaning in the new one, so everything is read again. */
  private onEraChanged(era: StoreEra): void {
    const { era: knownEra, revision } = this.position;
    this.options.log.warn('store-era-changed', { afterRevision: revision, era, knownEra });
    this.mustReadAll = true;
  }

  private async onStoreError(error: DirectoryError): Promise<void> {
    const { log, onStoreDown, randomUnit } = this.options;
    if (this.isStopped) {
      return;
    }
    log.warn('store-unanswered', { afterRevision: this.position.revision, ...error });
    if (error.kind === 'historyLost') {
      this.mustReadAll = true;
      return;
    }
    if (this.isRetryingAtOnce) {
      this.isRetryingAtOnce = false;
      return;
    }
    this.setUnreachable(true);
    onStoreDown();
    const waitMs = this.backoffMs * (1 + randomUnit());
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.wake = undefined;
  }
}
