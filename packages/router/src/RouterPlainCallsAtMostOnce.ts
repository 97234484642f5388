import type { Socket } from 'node:net';
import type { RecordedAnswer } from '@laburnumgap/claims';
import type {
  DecisionSink,
  IdempotencyKey,
  KnownServer,
  MonotonicClock,
  Refusal,
  RequestId,
  Result,
  TeamId,
} from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type {
  PlainAnswer,
  PlainCall,
  PlainCallOnceOptions,
  ServerOutlierDetector,
} from '@laburnumgap/plain-calls';
import { CONNECT_TIMEOUT_MS, MAX_ANSWER_BODY_BYTES } from '@laburnumgap/plain-calls';
import type { LedgerPort, RouterClaim, RouterClaimReply } from './RouterPlainCallsLedger.js';
import { recordAnswer } from './RouterPlainCallsLedger.js';
import type { PlainCallSettler } from './RouterPlainCallsSettler.js';
import type { Timers } from './RouterTimers.js';

/** A call that may run at most once. */
export interface AtMostOnceRequest {
  readonly call: PlainCall;
  readonly callHash: string;
  readonly idempotencyKey: IdempotencyKey;
  /** Whether the caller has disconnected. */
  isCallerDisconnected(): boolean;
  readonly requestId: RequestId;
  readonly service: string;
  readonly teamId: TeamId;
  readonly timeoutMs: number;
}

/** Outcome of a plain call for its caller. */
export type PlainCallOutcome =
  | { readonly answer: PlainAnswer; readonly kind: 'answer' }
  | { readonly kind: 'refusal'; readonly refusal: Refusal };

/** Options of {@link PlainCallsAtMostOnce}. */
export interface PlainCallsAtMostOnceOptions {
  readonly clock: MonotonicClock;
  connect(address: string, timeoutMs: number): Promise<Result<Socket, string>>;
  readonly decisions: DecisionSink;
  readonly ledger: LedgerPort;
  createClaimId(): string;
  readonly outliers: Pick<ServerOutlierDetector, 'recordFailure' | 'recordSuccess'>;
  send(options: PlainCallOnceOptions): Promise<Result<PlainAnswer, string>>;
  /** Servers of a service, best first. */
  servers(service: string): readonly KnownServer[];
  readonly settler: Pick<PlainCallSettler, 'settle'>;
  readonly timers: Timers;
}

/** Longest time from requesting the claim to sending the call; after it the call is not sent. */
const MAX_SEND_DELAY_MS = 4_000;
/** Time added to a call's timeout before its claim stops counting as running. */
const DEADLINE_SLACK_MS = 1_000;
/** Longest time for which an answer is held back until the ledger has recorded it. */
const MAX_RECORD_WAIT_MS = 200;
const MAX_CONNECT_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Header that marks a replayed answer. */
export const REPLAYED_HEADER = 'idempotency-replayed';

/**
 * Makes calls that run at most once. A call is sent only after the ledger has granted its claim,
 * once, on a new connection. If anything prevents sending, the claim is settled as not run and this
 * router never sends the call. Once sent, the claim is settled as answered or as unknown.
 */
export class PlainCallsAtMostOnce {
  constructor(private readonly options: PlainCallsAtMostOnceOptions) {}

  async run(request: AtMostOnceRequest): Promise<PlainCallOutcome> {
    const { clock, ledger } = this.options;
    if (this.options.servers(request.service).length === 0) {
      return refusedOutcome(
        refusal('NO_SERVER', 'no server of the service is known', RETRY_AFTER_MS),
      );
    }
    const { callHash, idempotencyKey, teamId, timeoutMs } = request;
    const claimId = this.options.createClaimId();
    const callDeadlineMs = MAX_SEND_DELAY_MS + timeoutMs + DEADLINE_SLACK_MS;
    const claim = { callDeadlineMs, callHash, claimId, idempotencyKey, teamId };
    const sendDeadlineMs = clock.nowMs() + MAX_SEND_DELAY_MS;
    const reply = await ledger.claim(claim);
    this.recordStep(request, claim, reply.kind);
    if (reply.kind !== 'granted') {
      return this.outcomeWithoutClaim(claim, reply);
    }
    return this.runClaimed(request, claim, sendDeadlineMs);
  }

  private async runClaimed(
    request: AtMostOnceRequest,
    claim: RouterClaim,
    sendDeadlineMs: number,
  ): Promise<PlainCallOutcome> {
    const connection = await this.connect(request);
    if (connection === undefined) {
      const detail = 'no server of the service can be reached';
      return this.settleNotSent(request, claim, refusal('NO_SERVER', detail, RETRY_AFTER_MS));
    }
    const { server, socket } = connection;
    const refusalReason = this.refusalBeforeSend(request, sendDeadlineMs);
    if (refusalReason !== undefined) {
      socket.destroy();
      return this.settleNotSent(request, claim, refusalReason);
    }
    const result = await this.options.send({
      address: server.address,
      call: request.call,
      maxAnswerBytes: MAX_ANSWER_BODY_BYTES,
      socket,
      timeoutMs: request.timeoutMs,
    });
    if (!result.ok) {
      this.options.outliers.recordFailure(server.serverId, this.options.clock.nowMs());
      void this.options.settler.settle(claim, { kind: 'unknown' });
      this.recordStep(request, claim, 'outcomeUnknown', result.error);
      return refusedOutcome(refusal('OUTCOME_UNKNOWN', result.error));
    }
    this.options.outliers.recordSuccess(server.serverId);
    this.recordStep(request, claim, 'answered', `status ${result.value.status}`);
    await this.settleAnswer(claim, result.value);
    return { answer: result.value, kind: 'answer' };
  }

  /** Tries the next server if one refuses the connection, which is safe: nothing was sent yet. */
  private async connect(
    request: AtMostOnceRequest,
  ): Promise<{ readonly server: KnownServer; readonly socket: Socket } | undefined> {
    for (const server of this.options.servers(request.service).slice(0, MAX_CONNECT_ATTEMPTS)) {
      const socket = await this.options.connect(server.address, CONNECT_TIMEOUT_MS);
      if (socket.ok) {
        return { server, socket: socket.value };
      }
      this.options.outliers.recordFailure(server.serverId, this.options.clock.nowMs());
    }
    return undefined;
  }

  private settleNotSent(
    request: AtMostOnceRequest,
    claim: RouterClaim,
    reason: Refusal,
  ): PlainCallOutcome {
    this.settleNotRun(claim);
    this.recordStep(request, claim, 'notSent', reason.detail);
    return refusedOutcome(reason);
  }

  private refusalBeforeSend(
    request: AtMostOnceRequest,
    sendDeadlineMs: number,
  ): Refusal | undefined {
    if (this.options.clock.nowMs() >= sendDeadlineMs) {
      return refusal('DEADLINE_BEFORE_RUN', 'the call was not sent in time', RETRY_AFTER_MS);
    }
    if (request.isCallerDisconnected()) {
      return refusal('DEADLINE_BEFORE_RUN', 'the caller disconnected', RETRY_AFTER_MS);
    }
    return undefined;
  }

  private outcomeWithoutClaim(
    claim: RouterClaim,
    reply: Exclude<RouterClaimReply, { readonly kind: 'granted' }>,
  ): PlainCallOutcome {
    switch (reply.kind) {
      case 'answered':
        return replayedOutcome(reply.answer);
      case 'expired':
        return refusedOutcome(
          refusal(
            'IDEMPOTENCY_KEY_EXPIRED',
            'this call was not sent; whether an earlier one with the key ran is no longer known',
          ),
        );
      case 'inFuture':
        return refusedOutcome(
          refusal('IDEMPOTENCY_KEY_IN_FUTURE', 'the timestamp of the key is too far in the future'),
        );
      case 'lost':
        this.settleNotRun(claim);
        return refusedOutcome(refusal('CLAIM_UNAVAILABLE', 'no ledger answered', RETRY_AFTER_MS));
      case 'noLedger':
        return refusedOutcome(refusal('CLAIM_UNAVAILABLE', 'no ledger is known', RETRY_AFTER_MS));
      case 'reused':
        return refusedOutcome(
          refusal('IDEMPOTENCY_KEY_REUSED', 'the key was used with another call'),
        );
      case 'running':
        return refusedOutcome(
          refusal('CLAIM_STILL_RUNNING', 'the first call is running', reply.retryAfterMs),
        );
      case 'unavailable':
        if (reply.mayBeRecorded) {
          this.settleNotRun(claim);
        }
        return refusedOutcome(refusal('PLATFORM_UNAVAILABLE', reply.detail, reply.retryAfterMs));
      case 'unknown':
        return refusedOutcome(
          refusal('OUTCOME_UNKNOWN', 'the outcome of the first call is unknown'),
        );
    }
  }

  /** Only for a claim whose call was not sent, and must not be sent afterwards. */
  private settleNotRun(claim: RouterClaim): void {
    void this.options.settler.settle(claim, { kind: 'notRun' });
  }

  private async settleAnswer(claim: RouterClaim, answer: PlainAnswer): Promise<void> {
    const outcome = { answer: recordAnswer(answer), kind: 'answered' } as const;
    const settled = this.options.settler.settle(claim, outcome);
    await new Promise<void>((resolve) => {
      const stopTimer = this.options.timers.after(MAX_RECORD_WAIT_MS, resolve);
      void settled.then(() => {
        stopTimer();
        resolve();
      });
    });
  }

  private recordStep(
    request: AtMostOnceRequest,
    claim: RouterClaim,
    step: string,
    detail?: string,
  ): void {
    this.options.decisions.record({
      decision: 'callOnce',
      fields: {
        claimId: claim.claimId,
        detail,
        idempotencyKey: claim.idempotencyKey,
        service: request.service,
        step,
        team: claim.teamId,
      },
      requestId: request.requestId,
    });
  }
}

function replayedOutcome(answer: RecordedAnswer): PlainCallOutcome {
  if (answer.body === undefined) {
    const detail = `answered with status ${answer.status}, body SHA-256 ${answer.bodySha256}`;
    return refusedOutcome(refusal('ANSWER_NOT_KEPT', detail));
  }
  const headers: Record<string, string> = { [REPLAYED_HEADER]: 'true' };
  if (answer.contentType !== '') {
    headers['content-type'] = answer.contentType;
  }
  const body = Buffer.from(answer.body, 'base64');
  return { answer: { body, headers, status: answer.status }, kind: 'answer' };
}

function refusedOutcome(value: Refusal): PlainCallOutcome {
  return { kind: 'refusal', refusal: value };
}
