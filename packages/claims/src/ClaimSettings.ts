/** Settings of the claims journal. All ledgers of a deployment must have the same `slots`. */
export interface ClaimSettings {
  /** Longest backoff while the platform's key-value service fails. */
  readonly backoffMaxMs: number;
  /** Backoff after the first failure of the service; doubles with each consecutive one. */
  readonly backoffMinMs: number;
  /**
   * Tolerated clock difference between VMs: claims are kept this much longer than `retentionMs`.
   */
  readonly clockAllowanceMs: number;
  /** Writes of a slot that may start without spacing after an idle time. */
  readonly commitBurst: number;
  /** Shortest average interval between the starts of two writes of a slot. */
  readonly commitIntervalMs: number;
  /** How far a key's timestamp may lie in the future. */
  readonly futureLimitMs: number;
  /** Operations that may wait in a slot; further ones are refused. */
  readonly maxQueuedOperations: number;
  /** Longest wait of an operation in its slot; then it is refused. */
  readonly queueWaitMs: number;
  /** Largest body that is recorded; of a larger one, only its SHA-256 is. */
  readonly recordedBodyMaxBytes: number;
  /** Retention window: a key is accepted up to this age of its timestamp. */
  readonly retentionMs: number;
  /** Size from which the open segment is not extended any more and a new one is opened. */
  readonly segmentFillBytes: number;
  /** Largest size of a segment. */
  readonly segmentMaxBytes: number;
  /** Number of journal slots: the partitions of the journal, by hash of the key. */
  readonly slots: number;
}

/** Default settings. */
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
