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

/** A call that may run once. */
export interface OnceRequest {
  readonly call: PlainCall;
  readonly callHash: string;
  readonly idempotencyKey: IdempotencyKey;
  /** Whether the caller has gone away. */
  isGone(): boolean;
  readonly requestId: RequestId;
  readonly service: string;
  readonly teamId: TeamId;
  readonly timeoutMs: number;
}

/** What the caller gets. */
export type PlainCallOutcome =
  | { readonly answer: PlainAnswer; readonly kind: 'answer' }
  | { readonly kind: 'refusal'; readonly refusal: Refusal };

/** What at-most-once calls are made with. */
export interface PlainCallsOnceOptions {
  readonly clock: MonotonicClock;
  connect(address: string, timeoutMs: number): Promise<Result<Socket, string>>;
  readonly decisions: DecisionSink;
  readonly ledger: LedgerPort;
  newClaimId(): string;
  readonly outliers: Pick<ServerOutlierDetector, 'recordFailure' | 'recordSuccess'>;
  send(options: PlainCallOnceOptions): Promise<Result<PlainAnswer, string>>;
  /** Servers of a service, best first. */
  servers(service: string): readonly KnownServer[];
  readonly settler: Pick<PlainCallSettler, 'settle'>;
  readonly timers: Timers;
}

/** From asking for the claim to sending the call; later the call is not sent any more. */
const SEND_WITHIN_MS = 4_000;
/** Time beyond its own that a call counts as running. */
const DEADLINE_SLACK_MS = 1_000;
/** Longest time for which an answer waits for its record. */
const RECORD_WAIT_MS = 200;
const MAX_CONNECTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Header of an answer that was recorded earlier. */
export const REPLAYED_HEADER = 'idempotency-replayed';

/**
 * Makes calls that run at most once. A call is sent only under a granted claim, once, on a new
 * connection. Whatever ends it before that is settled as not run by this router, which then never
 * sends it; whatever happens after it is answered, or unknown.
 */
export class PlainCallsOnce {
  constructor(private readonly options: PlainCallsOnceOptions) {}

  async run(request: OnceRequest): Promise<PlainCallOutcome> {
    const { clock, ledger } = this.options;
    if (this.options.servers(request.service).length === 0) {
      return refused(refusal('NO_SERVER', 'no server of the service is known', RETRY_AFTER_MS));
    }
    const { callHash, idempotencyKey, teamId, timeoutMs } = request;
    const claimId = this.options.newClaimId();
    const callDeadlineMs = SEND_WITHIN_MS + timeoutMs + DEADLINE_SLACK_MS;
    const claim = { callDeadlineMs, callHash, claimId, idempotencyKey, teamId };
    const sendUntilMs = clock.nowMs() + SEND_WITHIN_MS;
    const reply = await ledger.claim(claim);
    this.record(request, claim, reply.kind);
    if (reply.kind !== 'granted') {
      return this.withoutClaim(claim, reply);
    }
    return this.withClaim(request, claim, sendUntilMs);
  }

  private async withClaim(
    request: OnceRequest,
    claim: RouterClaim,
    sendUntilMs: number,
  ): Promise<PlainCallOutcome> {
    const connection = await this.connect(request);
    if (connection === undefined) {
      const detail = 'no server of the service can be reached';
      return this.notSent(request, claim, refusal('NO_SERVER', detail, RETRY_AFTER_MS));
    }
    const { server, socket } = connection;
    const blocked = this.whyNotSend(request, sendUntilMs);
    if (blocked !== undefined) {
      socket.destroy();
      return this.notSent(request, claim, blocked);
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
      this.record(request, claim, 'outcomeUnknown', result.error);
      return refused(refusal('OUTCOME_UNKNOWN', result.error));
    }
    this.options.outliers.recordSuccess(server.serverId);
    this.record(request, claim, 'answered', `status ${result.value.status}`);
    await this.recordedOrLate(claim, result.value);
    return { answer: result.value, kind: 'answer' };
  }

  /** Nothing was sent yet: a server that takes no connection is passed over. */
  private async connect(
    request: OnceRequest,
  ): Promise<{ readonly server: KnownServer; readonly socket: Socket } | undefined> {
    for (const server of this.options.servers(request.service).slice(0, MAX_CONNECTS)) {
      const socket = await this.options.connect(server.address, CONNECT_TIMEOUT_MS);
      if (socket.ok) {
        return { server, socket: socket.value };
      }
      this.options.outliers.recordFailure(server.serverId, this.options.clock.nowMs());
    }
    return undefined;
  }

  private notSent(request: OnceRequest, claim: RouterClaim, why: Refusal): PlainCallOutcome {
    this.abandon(claim);
    this.record(request, claim, 'notSent', why.detail);
    return refused(why);
  }

  private whyNotSend(request: OnceRequest, sendUntilMs: number): Refusal | undefined {
    if (this.options.clock.nowMs() >= sendUntilMs) {
      return refusal('DEADLINE_BEFORE_RUN', 'the call was not sent in time', RETRY_AFTER_MS);
    }
    if (request.isGone()) {
      return refusal('DEADLINE_BEFORE_RUN', 'the caller has gone away', RETRY_AFTER_MS);
    }
    return undefined;
  }

  private withoutClaim(
    claim: RouterClaim,
    reply: Exclude<RouterClaimReply, { readonly kind: 'granted' }>,
  ): PlainCallOutcome {
    switch (reply.kind) {
      case 'answered':
        return replayed(reply.answer);
      case 'expired':
        return refused(
          refusal(
            'IDEMPOTENCY_KEY_EXPIRED',
            'this call was not sent; whether an earlier one with the key ran is not known any more',
          ),
        );
      case 'inFuture':
        return refused(refusal('IDEMPOTENCY_KEY_IN_FUTURE', 'the key is stamped too far ahead'));
      case 'lost':
        this.abandon(claim);
        return refused(refusal('CLAIM_UNAVAILABLE', 'no ledger answered', RETRY_AFTER_MS));
      case 'noLedger':
        return refused(refusal('CLAIM_UNAVAILABLE', 'no ledger is known', RETRY_AFTER_MS));
      case 'reused':
        return refused(refusal('IDEMPOTENCY_KEY_REUSED', 'the key was used with another call'));
      case 'running':
        return refused(
          refusal('CLAIM_STILL_RUNNING', 'the first call is running', reply.retryAfterMs),
        );
      case 'unavailable':
        if (reply.mayBeRecorded) {
          this.abandon(claim);
        }
        return refused(refusal('PLATFORM_UNAVAILABLE', reply.detail, reply.retryAfterMs));
      case 'unknown':
        return refused(refusal('OUTCOME_UNKNOWN', 'the first call had no answer'));
    }
  }

  /** Only for a claim whose call was not sent: from here on it never is. */
  private abandon(claim: RouterClaim): void {
    void this.options.settler.settle(claim, { kind: 'notRun' });
  }

  private async recordedOrLate(claim: RouterClaim, answer: PlainAnswer): Promise<void> {
    const outcome = { answer: recordAnswer(answer), kind: 'answered' } as const;
    const settled = this.options.settler.settle(claim, outcome);
    await new Promise<void>((resolve) => {
      const stopTimer = this.options.timers.after(RECORD_WAIT_MS, resolve);
      void settled.then(() => {
        stopTimer();
        resolve();
      });
    });
  }

  private record(request: OnceRequest, claim: RouterClaim, step: string, detail?: string): void {
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

function replayed(answer: RecordedAnswer): PlainCallOutcome {
  if (answer.body === undefined) {
    const detail = `answered with status ${answer.status}, body SHA-256 ${answer.bodySha256}`;
    return refused(refusal('ANSWER_NOT_KEPT', detail));
  }
  const headers: Record<string, string> = { [REPLAYED_HEADER]: 'true' };
  if (answer.contentType !== '') {
    headers['content-type'] = answer.contentType;
  }
  const body = Buffer.from(answer.body, 'base64');
  return { answer: { body, headers, status: answer.status }, kind: 'answer' };
}

function refused(value: Refusal): PlainCallOutcome {
  return { kind: 'refusal', refusal: value };
}
