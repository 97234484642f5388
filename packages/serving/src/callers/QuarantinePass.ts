import type { FingerprintId, Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { QuarantineCoordinator, QuarantineVerdict } from '../peers/QuarantineCoordinator.js';

/**
 * What the quarantine permits one admitted request. Asked again before each way to a server, since a
 * request can wait, be repeated or be moved, and others like it can crash servers meanwhile.
 */
export class QuarantinePass {
  private remainingTrialSends = 1;

  constructor(
    private readonly coordinator: Pick<
      QuarantineCoordinator,
      'holdsTrial' | 'onProgress' | 'onTrialSent' | 'refusalOf'
    >,
    readonly fingerprints: readonly FingerprintId[],
    private readonly trialOf: readonly FingerprintId[],
  ) {}

  /** Why the request may not be sent to a server now; undefined when it may. */
  refusal(): Refusal | undefined {
    const verdict = this.coordinator.refusalOf(this.fingerprints, this.trialFingerprints());
    return verdict && quarantineRefusal(verdict);
  }

  /** Fingerprints of which the next send is a trial. */
  trialFingerprints(): readonly FingerprintId[] {
    if (this.remainingTrialSends <= 0) {
      return [];
    }
    return this.trialOf.filter((fingerprint) => this.coordinator.holdsTrial(fingerprint));
  }

  /** Records that the request is sent. A trial is sent to one server only. */
  recordSend(): void {
    this.coordinator.onTrialSent(this.trialFingerprints());
    this.remainingTrialSends -= 1;
  }

  /** Records that an answer to the request goes on. */
  recordProgress(): void {
    this.coordinator.onProgress(this.fingerprints);
  }
}

/**
 * Refusal of a request whose fingerprint crashes servers, or may do so.
 *
 * @param verdict - the verdict on the request
 * @returns the refusal; it says whether the request may be sent again
 */
export function quarantineRefusal({
  fingerprint,
  retryAfterMs,
}: Extract<QuarantineVerdict, { kind: 'refused' }>): Refusal {
  return retryAfterMs === undefined
    ? refusal('REQUEST_QUARANTINED', `requests with ${fingerprint} crashed their servers`)
    : refusal('REQUEST_HELD', `requests with ${fingerprint} may crash their servers`, retryAfterMs);
}
