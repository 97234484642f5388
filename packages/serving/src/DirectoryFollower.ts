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
  readonly onChanges: (changes: DirectoryChanges, isWhole: boolean) => void;
  /** The store gave nothing; the other daemons may know more. */
  readonly onUnanswered: () => void;
  readonly randomUnit: () => number;
}

/** A watch is renewed this often: one that went silent is noticed by then. */
const WATCH_WAIT_MS = 2_000;
/** A daemon whose turn it is to watch begins within this. */
const WATCHER_CHECK_MS = 50;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;

/** Follows the platform's store: one reading of everything, then a watch. */
export class DirectoryFollower {
  private backoffMs = FIRST_BACKOFF_MS;
  private isStopped = false;
  private isUnanswered = true;
  private revision: Revision | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  /** Whether the last call was not answered. */
  isAway(): boolean {
    return this.isUnanswered;
  }

  /** Asks whether the store answers: a waiting watch does not show it. */
  async ping(): Promise<void> {
    const answers = await this.options.directory.ping();
    if (!this.isStopped && this.isUnanswered === answers) {
      this.isUnanswered = !answers;
      this.options.log.info(answers ? 'store-answers' : 'store-silent', {
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
  renew(): void {
    if (!this.isStopped && this.revision !== undefined) {
      this.options.directory.cancelPendingCalls();
    }
  }

  /** Notes that everything up to a revision was learned from another daemon. */
  advance(revision: Revision): void {
    if (this.revision === undefined || revision > this.revision) {
      this.revision = revision;
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.step();
      if (!outcome.ok) {
        await this.recover(outcome.error);
      } else if (outcome.value) {
        this.isUnanswered = false;
        this.backoffMs = FIRST_BACKOFF_MS;
      }
    }
  }

  private async step(): Promise<Result<DirectoryChanges | undefined, DirectoryError>> {
    const { directory, isWatcher, onChanges } = this.options;
    const after = this.revision;
    const isWhole = after === undefined;
    if (!isWhole && !isWatcher()) {
      await sleep(WATCHER_CHECK_MS);
      return success(undefined);
    }
    const outcome = isWhole
      ? await directory.readAll()
      : await directory.watch(after, WATCH_WAIT_MS);
    if (outcome.ok && !this.isStopped) {
      this.revision = outcome.value.revision;
      onChanges(outcome.value, isWhole);
    }
    return outcome;
  }

  private async recover(error: DirectoryError): Promise<void> {
    const { log, onUnanswered, randomUnit } = this.options;
    if (this.isStopped) {
      return;
    }
    log.warn('store-unanswered', { afterRevision: this.revision, ...error });
    if (error.kind === 'historyLost') {
      this.revision = undefined;
      return;
    }
    this.isUnanswered = true;
    onUnanswered();
    const waitMs = this.backoffMs * (1 + randomUnit());
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    await sleep(waitMs);
  }
}
