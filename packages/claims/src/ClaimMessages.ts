import type { IdempotencyKey, TeamId } from '@laburnumgap/kernel';

/** A server's answer as stored in the journal. */
export interface RecordedAnswer {
  /** Body in base64; absent when it exceeds `recordedBodyMaxBytes`. */
  readonly body?: string;
  /** SHA-256 of a body that is not stored, in hexadecimal. */
  readonly bodySha256?: string;
  readonly contentType: string;
  readonly status: number;
}

/**
 * Outcome of a claimed call. `notRun` is only reported by the router that holds the claim, after it
 * decided never to send the call.
 */
export type SettleOutcome =
  | { readonly answer: RecordedAnswer; readonly kind: 'answered' }
  | { readonly kind: 'notRun' }
  | { readonly kind: 'unknown' };

/**
 * Claims an idempotency key: the sender of a granted claim may send the call, once. At most one
 * claim holds a key at a time.
 */
export interface ClaimOperation {
  /**
   * Time in milliseconds, from the grant on, after which the outcome of the call counts as unknown.
   */
  readonly callDeadlineMs: number;
  /** Hash of service, method, path and body; a reused key with another hash is refused. */
  readonly callHash: string;
  /** Unique for each request of a caller; the same when a router sends a claim again. */
  readonly claimId: string;
  readonly idempotencyKey: IdempotencyKey;
  readonly kind: 'claim';
  /** Number of the operation in its ledger process. */
  readonly operationId: number;
  readonly teamId: TeamId;
}

/** Records the outcome of a claimed call. */
export interface SettleOperation {
  readonly claimId: string;
  readonly idempotencyKey: IdempotencyKey;
  readonly kind: 'settle';
  /** Number of the operation in its ledger process. */
  readonly operationId: number;
  readonly outcome: SettleOutcome;
  readonly teamId: TeamId;
}

/** An operation on a journal slot. */
export type SlotOperation = ClaimOperation | SettleOperation;

/** Reply to a claim. */
export type ClaimReply =
  /** The call was answered before. */
  | { readonly answer: RecordedAnswer; readonly kind: 'answered' }
  /** The key is older than the retention window, or its entries may have been deleted. */
  | { readonly kind: 'expired' }
  /** The claim holds the key: the call may be sent, once. */
  | { readonly kind: 'granted' }
  /** The key's timestamp lies too far in the future. */
  | { readonly kind: 'inFuture' }
  /** The key was used with another call. */
  | { readonly kind: 'reused' }
  /** Another claim holds the key, and its call may still be running. */
  | { readonly kind: 'running'; readonly retryAfterMs: number }
  /** The claim could not be decided or recorded. */
  | {
      readonly detail: string;
      readonly kind: 'unavailable';
      /** The claim may have been recorded: the router must settle it as not run. */
      readonly mayBeRecorded: boolean;
      readonly retryAfterMs: number;
    }
  /** The call may have run, and its outcome is not known. */
  | { readonly kind: 'unknown' };

/** Reply to a settlement. When `recorded` is false, the settlement must be sent again. */
export interface SettleReply {
  readonly kind: 'settled';
  readonly recorded: boolean;
}

/** Reply to an operation on a journal slot. */
export type SlotReply = ClaimReply | SettleReply;
