import type { MonotonicClock, Result, Revision } from '@laburnumgap/kernel';
import type { ServingLog } from './ServingLog.js';
import type { DirectoryChanges, DirectoryError, PlatformDirectory } from './ServingPorts.js';

/** Options of a follower. */
export interface DirectoryFollowerOptions {
  readonly clock: MonotonicClock;
  readonly directory: PlatformDirectory;
  readonly log: ServingLog;
  /** Takes changes. `isWhole` says that what is not listed is gone. */
  readonly onChanges: (changes: DirectoryChanges, isWhole: boolean, storeWasAway: boolean) => void;
  /** The store gave nothing; the other daemons may know more. */
  readonly onUnanswered: () => void;
  readonly randomUnit: () => number;
}

/** A watch is renewed this often: one that went silent is noticed by then. */
const WATCH_WAIT_MS = 5_000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;
/** Entries that vanish this soon after the store came back may have lapsed meanwhile. */
const AWAY_MEMORY_MS = 1_000;

/** Follows the platform's store: one reading of everything, then a watch. */
export class DirectoryFollower {
  private awayUntilMs = -Infinity;
  private backoffMs = FIRST_BACKOFF_MS;
  private generation = 0;
  private isStopped = false;
  private revision: Revision | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {}

  start(): void {
    this.generation += 1;
    void this.follow(this.generation);
  }

  stop(): void {
    this.isStopped = true;
    this.options.directory.close();
  }

  /** Another daemon knows more: the waiting watch may have gone silent. */
  renew(): void {
    if (!this.isStopped && this.revision !== undefined) {
      this.options.directory.close();
    }
  }

  private async follow(generation: number): Promise<void> {
    while (!this.isStopped && generation === this.generation) {
      const outcome = await this.step();
      if (outcome.ok) {
        this.backoffMs = FIRST_BACKOFF_MS;
        continue;
      }
      await this.recover(outcome.error);
    }
  }

  private async step(): Promise<Result<DirectoryChanges, DirectoryError>> {
    const { directory, onChanges } = this.options;
    const after = this.revision;
    const isWhole = after === undefined;
    const outcome = isWhole
      ? await directory.readAll()
      : await directory.watch(after, WATCH_WAIT_MS);
    if (outcome.ok && !this.isStopped) {
      this.revision = outcome.value.revision;
      onChanges(outcome.value, isWhole, this.options.clock.nowMs() < this.awayUntilMs);
    }
    return outcome;
  }

  private async recover(error: DirectoryError): Promise<void> {
    const { clock, log, onUnanswered, randomUnit } = this.options;
    if (this.isStopped) {
      return;
    }
    log.warn('store-unanswered', { afterRevision: this.revision, ...error });
    if (error.kind === 'historyLost') {
      this.revision = undefined;
      return;
    }
    this.awayUntilMs = clock.nowMs() + AWAY_MEMORY_MS + MAX_BACKOFF_MS;
    onUnanswered();
    const waitMs = this.backoffMs * (1 + randomUnit());
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    await new Promise((resolve) => {
      setTimeout(resolve, waitMs);
    });
  }
}
