import type { MonotonicClock } from '@laburnumgap/kernel';
import type { QuarantinePass } from './QuarantinePass.js';

/** An answer that is still arriving so long after its beginning was not what ends its server. */
const PROGRESS_AFTER_MS = 1_500;
/** Interval at which the progress of a long answer is recorded again. */
const PROGRESS_INTERVAL_MS = 1_000;

/** Tells when the answer of one attempt has gone on, so that its request does not crash servers. */
export class AttemptProgress {
  private dueMs: number | undefined;
  private hasProgressed = false;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly pass: Pick<QuarantinePass, 'recordProgress'>,
  ) {}

  /** A part of the answer has arrived. */
  onBody(): void {
    const nowMs = this.clock.nowMs();
    this.dueMs ??= nowMs + PROGRESS_AFTER_MS;
    if (nowMs >= this.dueMs) {
      this.dueMs = nowMs + PROGRESS_INTERVAL_MS;
      this.record();
    }
  }

  /** The answer is complete. */
  onComplete(): void {
    this.record();
  }

  /** Whether the answer went on; the request is not to blame for a crash after that. */
  wentOn(): boolean {
    return this.hasProgressed;
  }

  private record(): void {
    this.hasProgressed = true;
    this.pass.recordProgress();
  }
}
