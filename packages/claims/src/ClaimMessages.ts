import type { IdempotencyKey, TeamId } from '@laburnumgap/kernel';

/** An answer as the journal keeps it. */
export interface RecordedAnswer {
  /** Base64; absent when the answer was larger than the journal keeps. */
  readonly body?: string;
  /** SHA-256 of a body that is not kept, in hexadecimal. */
  readonly bodySha256?: string;
  readonly contentType: string;
  readonly status: number;
}

/** How a claimed call ended. `notRun` only comes from the holder that decided never to send it. */
export type SettleOutcome =
  | { readonly answer: RecordedAnswer; readonly kind: 'answered' }
  | { readonly kind: 'notRun' }
  | { readonly kind: 'unknown' };

/** Asks for the right to send a call once. */
export interface ClaimOperation {
  /** How long the call may take once it was sent. */
  readonly callDeadlineMs: number;
  /** Hash of service, method, path and body. */
  readonly callHash: string;
  /** Unique for each call of a caller. */
  readonly claimId: string;
  readonly idempotencyKey: IdempotencyKey;
  readonly kind: 'claim';
  readonly operationId: number;
  readonly teamId: TeamId;
}

/** Reports how a claimed call ended. */
export interface SettleOperation {
  readonly claimId: string;
  readonly idempotencyKey: IdempotencyKey;
  readonly kind: 'settle';
  readonly operationId: number;
  readonly outcome: SettleOutcome;
  readonly teamId: TeamId;
}

/** An operation on a journal slot. */
export type SlotOperation = ClaimOperation | SettleOperation;

/** Reply to a claim. */
export type ClaimReply =
  | { readonly answer: RecordedAnswer; readonly kind: 'answered' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'granted' }
  | { readonly kind: 'inFuture' }
  | { readonly kind: 'reused' }
  | { readonly kind: 'running'; readonly retryAfterMs: number }
  | {
      readonly detail: string;
      readonly kind: 'unavailable';
      /** The claim may have been recorded: the asker settles it as not run. */
      readonly mayBeRecorded: boolean;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'unknown' };

/** Reply to a settlement. `recorded` false: ask again. */
export interface SettleReply {
  readonly kind: 'settled';
  readonly recorded: boolean;
}

/** Reply to an operation. */
export type SlotReply = ClaimReply | SettleReply;
