import type { Teardown } from '@laburnumgap/kernel';
import { PROGRESS_INTERVAL_MS } from './RouterConstants.js';
import type { AdmissionPort, ProgressReport } from './RouterPorts.js';
import type { Timers } from './RouterTimers.js';

/** A generation whose progress is reported. */
export interface ProgressSource {
  /** Current progress, undefined while it is not placed. */
  progressReport(): ProgressReport | undefined;
}

/** Reports the progress of all running generations to their schedulers in batches. */
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

  /** Reports a generation's progress until the returned function is called. */
  addSource(source: ProgressSource): Teardown {
    this.sources.add(source);
    return () => {
      this.sources.delete(source);
    };
  }

  /** Queues the last report of a generation that has ended or left its engine. */
  addFinalReport(report: ProgressReport): void {
    this.finalReports.push(report);
  }

  /** Sends the current progress of all sources and the queued final reports. */
  flush(): void {
    const running = [...this.sources].map((source) => source.progressReport());
    const known = running.filter((report) => report !== undefined);
    const reports = [...known, ...this.finalReports.splice(0)];
    if (reports.length > 0) {
      this.admission.reportProgress(reports);
    }
  }

  /** Stops the interval and flushes a last time. */
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
