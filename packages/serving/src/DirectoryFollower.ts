import { setTimeout as sleep } from 'node:timers/promises';
import type { Result, Revision } from '@laburnumgap/kernel';
import { success } from '@laburnumgap/kernel';
import type { ServingLog } from './ServingLog.js';
import type { DirectoryChanges, DirectoryError, PlatformDirectory } from './ServingPorts.js';

/** Options of {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly directory: PlatformDirectory;
  /** Whether this daemon watches the store; the other daemons receive changes from the watchers. */
  readonly isWatcher: () => boolean;
  readonly log: ServingLog;
  /** Receives changes. With `isFullRead` they list everything, and what is not listed is gone. */
  readonly onChanges: (changes: DirectoryChanges, isFullRead: boolean) => void;
  /** Called after a failed call to the store; other daemons may have newer data. */
  readonly onStoreDown: () => void;
  readonly randomUnit: () => number;
}

/** Longest duration of one watch call; limits how long a dead connection goes unnoticed. */
const WATCH_TIMEOUT_MS = 2_000;
/** Interval at which a daemon checks whether it has become a watcher. */
const WATCHER_CHECK_INTERVAL_MS = 50;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;

/** Follows the platform's store: reads everything once, then watches for changes. */
export class DirectoryFollower {
  private backoffMs = FIRST_BACKOFF_MS;
  private isStopped = false;
  private isUnreachable = true;
  private revision: Revision | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  /** Whether the last call to the store failed. True until the first call succeeds. */
  isStoreDown(): boolean {
    return this.isUnreachable;
  }

  /** Checks whether the store responds, which a pending watch does not show. */
  async ping(): Promise<void> {
    const isReachable = await this.options.directory.ping();
    if (!this.isStopped && this.isUnreachable === isReachable) {
      this.isUnreachable = !isReachable;
      this.options.log.info(isReachable ? 'store-answers' : 'store-silent', {
        afterRevision: this.revision,
      });
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
    if (!this.isStopped && this.revision !== undefined) {
      this.options.directory.cancelPendingCalls();
    }
  }

  /**
   * Continues the watch after a revision up to which all changes were received from another daemon.
   */
  advanceRevision(revision: Revision): void {
    if (this.revision === undefined || revision > this.revision) {
      this.revision = revision;
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.readOrWatch();
      if (!outcome.ok) {
        await this.onStoreError(outcome.error);
      } else if (outcome.value) {
        this.isUnreachable = false;
        this.backoffMs = FIRST_BACKOFF_MS;
      }
    }
  }

  private async readOrWatch(): Promise<Result<DirectoryChanges | undefined, DirectoryError>> {
    const { directory, isWatcher, onChanges } = this.options;
    const after = this.revision;
    const isFullRead = after === undefined;
    if (!isFullRead && !isWatcher()) {
      await sleep(WATCHER_CHECK_INTERVAL_MS);
      return success(undefined);
    }
    const outcome = isFullRead
      ? await directory.readAll()
      : await directory.watch(after, WATCH_TIMEOUT_MS);
    if (outcome.ok && !this.isStopped) {
      this.revision = outcome.value.revision;
      onChanges(outcome.value, isFullRead);
    }
    return outcome;
  }

  private async onStoreError(error: DirectoryError): Promise<void> {
    const { log, onStoreDown, randomUnit } = this.options;
    if (this.isStopped) {
      return;
    }
    log.warn('store-unanswered', { afterRevision: this.revision, ...error });
    if (error.kind === 'historyLost') {
      this.revision = undefined;
      return;
    }
    this.isUnreachable = true;
    onStoreDown();
    const waitMs = this.backoffMs * (1 + randomUnit());
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    await sleep(waitMs);
  }
}
