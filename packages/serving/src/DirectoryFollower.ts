import { setTimeout as sleep } from 'node:timers/promises';
import type { Result, Revision } from '@laburnumgap/kernel';
import { success } from '@laburnumgap/kernel';
import type { ServingLog } from './ServingLog.js';
import type { DirectoryChanges, DirectoryError, PlatformDirectory } from './ServingPorts.js';

/** Options of a follower. */
export interface DirectoryFollowerOptions {
  readonly directory: PlatformDirectory;
  /** Whether this daemon watches the store; the others are told what changes. */
  readonly isWatcher: () => boolean;
  readonly log: ServingLog;
  /** Takes changes. `isWhole` says that what is not listed is gone. */
  readonly onChanges: (changes: DirectoryChanges, isFullRead: boolean) => void;
  /** The store gave nothing; the other daemons may know more. */
  readonly onStoreDown: () => void;
  readonly randomUnit: () => number;
}

/** A watch is renewed this often: one that went silent is noticed by then. */
const WATCH_TIMEOUT_MS = 2_000;
/** A daemon whose turn it is to watch begins within this. */
const WATCHER_CHECK_INTERVAL_MS = 50;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;

/** Follows the platform's store: one reading of everything, then a watch. */
export class DirectoryFollower {
  private backoffMs = FIRST_BACKOFF_MS;
  private isStopped = false;
  private isUnreachable = true;
  private revision: Revision | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  /** Whether the last call was not answered. */
  isStoreDown(): boolean {
    return this.isUnreachable;
  }

  /** Asks whether the store answers: a waiting watch does not show it. */
  async ping(): Promise<void> {
    const isReachable = await this.options.directory.ping();
    if (!this.isStopped && this.isUnreachable === isReachable) {
      this.isUnreachable = !isReachable;
      this.options.log.info(isReachable ? 'store-answers' : 'store-silent', {
        afterRevision: this.revision,
      });
    }
  }

  start(): void {
    void this.follow();
  }

  stop(): void {
    this.isStopped = true;
    this.options.directory.cancelPendingCalls();
  }

  /** Another daemon knows more: the waiting watch may have gone silent. */
  restartWatch(): void {
    if (!this.isStopped && this.revision !== undefined) {
      this.options.directory.cancelPendingCalls();
    }
  }

  /** Notes that everything up to a revision was learned from another daemon. */
  advanceRevision(revision: Revision): void {
    if (this.revision === undefined || revision > this.revision) {
      this.revision = revision;
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.readOrWatch();
      if (!outcome.ok) {
        await this.backOff(outcome.error);
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

  private async backOff(error: DirectoryError): Promise<void> {
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
