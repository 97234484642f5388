import { setTimeout as sleep } from 'node:timers/promises';
import type { QuarantineReport } from '@laburnumgap/dispatch';
import { RecencyMap } from '@laburnumgap/dispatch';
import type { FingerprintId, MonotonicClock } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { QuarantineStore } from '../ServingPorts.js';

/** Options of {@link QuarantineArchive}. */
export interface QuarantineArchiveOptions {
  readonly clock: MonotonicClock;
  readonly log: ServingLog;
  /** What is known of a fingerprint now; undefined when it is not suspected any more. */
  readonly reportOf: (fingerprint: FingerprintId) => QuarantineReport | undefined;
  /** Waits for a while; by the process's timers by default. */
  readonly sleep?: (durationMs: number) => Promise<unknown>;
  readonly store: QuarantineStore;
}

/** An entry is written again after this although it is the same, as the store lets it lapse. */
const WRITTEN_VALIDITY_MS = 300_000;
/** Also bounds the calls to the store while very many fingerprints are suspected. */
const WRITE_INTERVAL_MS = 50;
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 8_000;
/** More than the quarantines that a daemon knows at once. */
const MAX_REMEMBERED = 512;
/** Content of an entry that is not there. */
const REMOVED = 'removed';

interface WrittenEntry {
  readonly content: string;
  readonly writtenMs: number;
}

/**
 * Writes quarantines to the platform's store, from which daemons read them when all of them were restarted
 * at once. One call at a time; of several changes of a fingerprint the last one is written.
 */
export class QuarantineArchive {
  private isStopped = false;
  private isWriting = false;
  private readonly pending = new Set<FingerprintId>();
  /** What was written last, without the ages, and when. */
  private readonly written = new RecencyMap<FingerprintId, WrittenEntry>(MAX_REMEMBERED);

  constructor(private readonly options: QuarantineArchiveOptions) {}

  /** Writes or removes what is known of a fingerprint, unless that was written a short while ago. */
  update(fingerprint: FingerprintId): void {
    this.pending.add(fingerprint);
    if (!this.isWriting && !this.isStopped) {
      this.isWriting = true;
      void this.writePending();
    }
  }

  /** The store came back from a copy, which can lack what was written and hold what was removed. */
  onStoreRestored(): void {
    for (const [fingerprint, { content }] of this.written.all()) {
      this.written.set(fingerprint, { content, writtenMs: -Infinity });
      this.update(fingerprint);
    }
  }

  /** Makes no more calls after the one that may be in progress. */
  stop(): void {
    this.isStopped = true;
  }

  private async writePending(): Promise<void> {
    const wait = this.options.sleep ?? sleep;
    let retryMs = FIRST_RETRY_MS;
    for (const fingerprint of this.pending) {
      if (this.isStopped) {
        return;
      }
      this.pending.delete(fingerprint);
      const report = this.options.reportOf(fingerprint);
      const isOver = report === undefined || report.stage === 'cleared';
      const content = isOver ? REMOVED : contentOf(report);
      if (this.isWritten(fingerprint, content)) {
        continue;
      }
      if (await this.write(fingerprint, isOver ? undefined : report)) {
        this.written.set(fingerprint, { content, writtenMs: this.options.clock.nowMs() });
        retryMs = FIRST_RETRY_MS;
        await wait(WRITE_INTERVAL_MS);
      } else {
        this.pending.add(fingerprint);
        await wait(retryMs);
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
      }
    }
    this.isWriting = false;
  }

  private async write(
    fingerprint: FingerprintId,
    report: QuarantineReport | undefined,
  ): Promise<boolean> {
    const { log, store } = this.options;
    const outcome = report
      ? await store.writeQuarantine(report)
      : await store.removeQuarantine(fingerprint);
    const { stage, trials } = report ?? {};
    if (outcome.ok) {
      log.info('quarantine-written', { fingerprint, stage, trials });
    } else {
      log.warn('quarantine-not-written', { fingerprint, stage, trials, ...outcome.error });
    }
    return outcome.ok;
  }

  private isWritten(fingerprint: FingerprintId, content: string): boolean {
    const written = this.written.get(fingerprint);
    return (
      written?.content === content &&
      this.options.clock.nowMs() - written.writtenMs < WRITTEN_VALIDITY_MS
    );
  }
}

function contentOf(report: QuarantineReport): string {
  const { crashAgesMs, episode, stage, trialHistory = [], trials } = report;
  const history = trialHistory.map(({ crashAgeMs, fingerprints }) => [
    crashAgeMs !== undefined,
    fingerprints,
  ]);
  return JSON.stringify([crashAgesMs.length, episode, stage, trials, history]);
}
