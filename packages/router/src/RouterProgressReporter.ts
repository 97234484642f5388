import type { Teardown } from '@laburnumgap/kernel';
import { PROGRESS_INTERVAL_MS } from './RouterConstants.js';
import type { AdmissionPort, ProgressReport } from './RouterPorts.js';
import type { Timers } from './RouterTimers.js';

/** A generation that reports how far it is. */
export interface ProgressSource {
  /** Its progress, or undefined while it runs nowhere. */
  progressReport(): ProgressReport | undefined;
}

/** Collects the progress of all running generations and reports it in batches. */
export class RouterProgressReporter {
  private readonly finalReports: ProgressReport[] = [];
  private readonly sources = new Set<ProgressSource>();
  private stopTimer: Teardown;

  constructor(
    private readonly admission: AdmissionPort,
    private readonly timers: Timers,
    private readonly intervalMs: number = PROGRESS_INTERVAL_MS,
  ) {
    this.stopTimer = this.schedule();
  }

  /** Follows a generation until torn down. */
  addSource(source: ProgressSource): Teardown {
    this.sources.add(source);
    return () => {
      this.sources.delete(source);
    };
  }

  /** Adds a last report of a generation that is followed no more. */
  addFinalReport(report: ProgressReport): void {
    this.finalReports.push(report);
  }

  /** Sends what has gathered. */
  flush(): void {
    const running = [...this.sources].map((source) => source.progressReport());
    const known = running.filter((report) => report !== undefined);
    const reports = [...known, ...this.finalReports.splice(0)];
    if (reports.length > 0) {
      this.admission.reportProgress(reports);
    }
  }

  /** Flushes a last time and ends. */
  stop(): void {
    this.stopTimer();
    this.flush();
  }

  private schedule(): Teardown {
    return this.timers.after(this.intervalMs, () => {
      this.flush();
      this.stopTimer = this.schedule();
    });
  }
}
