/** Settings of the claims journal. Every ledger of a deployment has the same `slots`. */
export interface ClaimSettings {
  /** Longest pause between tries while the platform's service fails. */
  readonly backoffMaxMs: number;
  /** Pause after a first failure of the platform's service; doubles with each further one. */
  readonly backoffMinMs: number;
  /** Difference between clocks of two VMs for which claims are kept beyond the retention window. */
  readonly clockAllowanceMs: number;
  /** Writes of a slot that may start at once after a quiet time. */
  readonly commitBurst: number;
  /** Least time between the starts of two writes of one slot, on average. */
  readonly commitIntervalMs: number;
  /** How far a key's time may lie ahead. */
  readonly futureLimitMs: number;
  /** Operations that wait in one slot; further ones are refused. */
  readonly maxQueuedOperations: number;
  /** Longest wait of an operation in its slot. */
  readonly queueWaitMs: number;
  /** Larger answers are recorded without their body. */
  readonly recordedBodyMaxBytes: number;
  /** Age of a key up to which it is accepted. */
  readonly retentionMs: number;
  /** The open segment is rewritten until it has this size; then another one is opened. */
  readonly segmentFillBytes: number;
  /** Upper bound of a segment's size. */
  readonly segmentMaxBytes: number;
  /** Journal slots of the deployment. */
  readonly slots: number;
}

/** Settings that hold unless the settings file says otherwise. */
export const DEFAULT_CLAIM_SETTINGS: ClaimSettings = {
  backoffMaxMs: 4_000,
  backoffMinMs: 250,
  clockAllowanceMs: 10_000,
  commitBurst: 4,
  commitIntervalMs: 100,
  futureLimitMs: 30_000,
  maxQueuedOperations: 256,
  queueWaitMs: 1_500,
  recordedBodyMaxBytes: 4 * 1024,
  retentionMs: 15 * 60_000,
  segmentFillBytes: 4 * 1024,
  segmentMaxBytes: 64 * 1024,
  slots: 16,
};
