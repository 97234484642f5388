import type { BackendServer, HeldCalls } from '@laburnumgap/dispatch';
import { decideHold, placePlainCall } from '@laburnumgap/dispatch';
import type { ResultCodeName, ServerId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import { AttemptProgress } from './AttemptProgress.js';
import type { BackendAttempt } from '../servers/BackendAttempt.js';
import {
  connectToServer,
  logWithheld,
  mayStillReceive,
  recordOutcome,
  sendAttempt,
} from '../servers/BackendAttempt.js';
import type { BackendConnection } from '../servers/BackendConnection.js';
import { untilFinalResponseMs } from './CallDeadlines.js';
import type { CollectedResponse } from '../buffers/CollectedResponse.js';
import type { CallsInFlight } from './CallsInFlight.js';
import { urgencyOf } from './GenerationTargets.js';
import { isFromServer, isNotExecuted, mayPassOn } from '../servers/ResponseChecks.js';
import type { ResponseHead } from '../servers/ResponseParser.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_FORWARDED_RESPONSE_BYTES,
  MAX_REFUSED_SENDS,
  MAX_SCARCE_RESPONSE_BYTES,
} from '../ServingConstants.js';
import type { ServingContext } from '../ServingContext.js';
import type { ResponseMetadata } from '../ServingPorts.js';

const FIRST_FAILURE_STATUS = 500;
/**
 * An idempotent call without a response is retried on another server after this many target
 * latencies.
 */
const ATTEMPT_TIMEOUT_TARGET_LATENCIES = 3;

/** One try of the call at one server, with the response body that is not forwarded yet. */
interface Attempt extends BackendAttempt {
  readonly buffered: CollectedResponse;
  isForwarding: boolean;
  readonly number: number;
  receivedBytes: number;
}

/**
 * Serves one call to a service without model engines. A call that may have run is retried only when
 * its route is idempotent; a call that a server rejected without running it is retried on any
 * route. Both count against the retry budget.
 */
export class PlainCallRun {
  private attempt: Attempt | undefined;
  private attemptCount = 0;
  private attemptTimer: NodeJS.Timeout | undefined;
  private readonly deadlineTimer: NodeJS.Timeout;
  private readonly excludedServerIds = new Set<ServerId>();
  private isDone = false;
  /** Waits for a server with room. */
  private isHeld = false;
  private refusedSendCount = 0;
  private waitTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: ServingContext,
    private readonly admitted: AdmittedCall,
    private readonly callsInFlight: CallsInFlight,
    private readonly heldCalls: HeldCalls,
    private readonly onDone: (run: PlainCallRun) => void,
  ) {
    this.deadlineTimer = setTimeout(
      () => {
        this.onTimeout();
      },
      untilFinalResponseMs(admitted, context.clock.nowMs()),
    );
    admitted.exchange.onDisconnected(() => {
      this.onCallerDisconnected();
    });
    context.retryBudget.recordFirstAttempt(admitted.service.service);
    this.sendToNextServer();
  }

  hasEnded(): boolean {
    return this.isDone;
  }

  /** The daemon stops: the caller gets an answer now, which promises nothing once the call was sent. */
  stop(retryAfterMs: number): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    attempt?.connection?.abort();
    if (attempt) {
      this.detach(attempt, 'gone');
    }
    if (attempt?.isForwarding) {
      this.finish('stopped', attempt);
      this.admitted.exchange.abort();
      return;
    }
    const detail = 'the daemon stops before the server has answered';
    const mayHaveRun = this.attemptCount > this.refusedSendCount;
    this.refuse(mayHaveRun ? 'OUTCOME_UNKNOWN' : 'DRAINING', detail, retryAfterMs);
  }

  private sendToNextServer(): void {
    const { clock, failureDomain, health, randomUnit, serverAccess } = this.context;
    const nowMs = clock.nowMs();
    const refused = this.context.stopGate.refusal(this.admitted);
    if (refused) {
      this.refuseNotExecuted(refused.code, refused.detail, refused.retryAfterMs);
      return;
    }
    const { service } = this.admitted.service;
    const server = placePlainCall({
      callsInFlight: (serverId) => this.callsInFlight.count(serverId),
      excluded: this.excludedServerIds,
      failureDomain,
      health,
      nowMs,
      randomUnit,
      servers: serverAccess.openServers(service),
    });
    if (!server) {
      if (this.wait()) {
        return;
      }
      this.refuseNotExecuted(
        'NO_SERVER',
        serverAccess.evacuationRefusal(service) ?? 'no server of the service accepts new calls',
        this.defaultRetryAfterMs(),
      );
      return;
    }
    this.excludedServerIds.add(server.serverId);
    connectToServer(this.context, this.admitted, server, 0, {
      onConnected: (connection) => {
        this.send(server, connection);
      },
      onLimited: () => {
        // It takes calls again later.
        this.excludedServerIds.delete(server.serverId);
        if (!this.isDone) {
          this.sendToNextServer();
        }
      },
      onQuarantined: (refused) => {
        if (!this.isDone) {
          this.refuseNotExecuted(refused.code, refused.detail, refused.retryAfterMs);
        }
      },
      onUnreachable: () => {
        if (!this.isDone) {
          this.sendToNextServer();
        }
      },
    });
  }

  /**
   * Holds the call back until a brittle or cold server takes one more: they fail when they get too many.
   *
   * @returns whether it waits
   */
  private wait(): boolean {
    const { clock, randomUnit, serverAccess } = this.context;
    const { arrivedMs, request, route, service } = this.admitted;
    const recheckMs = decideHold({
      expectedWaitMs: this.isHeld ? 0 : this.heldCalls.expectedWaitMs(),
      targetLatencyMs: route.targetLatencyMs,
      timeoutMs: Math.min(route.timeoutMs, request.deadlineMs ?? Infinity),
      urgency: urgencyOf(this.admitted),
      waitedMs: clock.nowMs() - arrivedMs,
    });
    if (recheckMs === undefined || !serverAccess.hasRoomSoon(service.service)) {
      return false;
    }
    this.hold(true);
    this.waitTimer = setTimeout(
      () => {
        this.sendToNextServer();
      },
      recheckMs * (1 + randomUnit()),
    );
    return true;
  }

  private hold(isHeld: boolean): void {
    if (isHeld !== this.isHeld) {
      this.isHeld = isHeld;
      if (isHeld) {
        this.heldCalls.add();
      } else {
        this.heldCalls.remove();
      }
    }
  }

  private send(server: BackendServer, connection: BackendConnection): void {
    const { clock, connections } = this.context;
    const { stopGate } = this.context;
    const isRefused = !stopGate.mayBegin(this.admitted);
    if (this.isDone || isRefused || !mayStillReceive(this.context, this.admitted, server)) {
      connections.release(server, connection);
      if (!this.isDone) {
        this.sendToNextServer();
      }
      return;
    }
    const { route } = this.admitted;
    this.heldCalls.recordStarted(clock.nowMs());
    this.hold(false);
    this.attemptCount += 1;
    const attempt: Attempt = {
      buffered: this.admitted.exchange.collect(),
      isForwarding: false,
      number: this.attemptCount,
      progress: new AttemptProgress(clock, this.admitted.pass),
      receivedBytes: 0,
      sentMs: clock.nowMs(),
      server,
    };
    this.attempt = attempt;
    this.callsInFlight.add(server.serverId);
    sendAttempt(
      this.context,
      this.admitted,
      attempt,
      connection,
      {},
      {
        onBody: (chunk) => {
          this.onBodyChunk(attempt, chunk);
        },
        onBroken: (reason) => {
          this.onConnectionBroken(attempt, reason);
        },
        onEnd: () => {
          this.onResponseEnd(attempt);
        },
      },
    );
    if (route.kind === 'idempotent') {
      this.attemptTimer = setTimeout(() => {
        this.onAttemptTimeout(attempt);
      }, route.targetLatencyMs * ATTEMPT_TIMEOUT_TARGET_LATENCIES);
    }
  }

  private onBodyChunk(attempt: Attempt, chunk: Buffer): void {
    const { exchange } = this.admitted;
    attempt.receivedBytes += chunk.length;
    if (attempt.receivedBytes > MAX_FORWARDED_RESPONSE_BYTES) {
      this.onExcess(attempt, MAX_FORWARDED_RESPONSE_BYTES);
      return;
    }
    if (attempt.isForwarding) {
      exchange.forward(chunk, attempt.source);
      return;
    }
    attempt.buffered.append(chunk);
    if (attempt.receivedBytes <= this.maxCollectedBytes(attempt)) {
      return;
    }
    if (!attempt.head || !this.canForward(attempt)) {
      this.onExcess(attempt, MAX_BUFFERED_RESPONSE_BYTES);
      return;
    }
    attempt.isForwarding = true;
    clearTimeout(this.attemptTimer);
    exchange.start(attempt.head);
    exchange.forwardCollected(attempt.buffered, attempt.source);
  }

  /** Where room is scarce, a response is passed on early rather than collected for a retry. */
  private maxCollectedBytes(attempt: Attempt): number {
    return this.admitted.exchange.isRoomScarce() && this.canForward(attempt)
      ? MAX_SCARCE_RESPONSE_BYTES
      : MAX_BUFFERED_RESPONSE_BYTES;
  }

  /** A response that cannot be passed on exceeds what is read of it. */
  private onExcess(attempt: Attempt, maxBytes: number): void {
    const { head, metadata } = attempt;
    attempt.connection?.abort();
    if (head && metadata && isNotExecuted(head, metadata)) {
      this.detach(attempt, 'gone');
      recordOutcome(this.context, attempt, 'failed');
      this.onNotExecuted(attempt, head.status);
      return;
    }
    this.onConnectionBroken(attempt, `the response exceeds ${maxBytes} bytes`);
  }

  private onResponseEnd(attempt: Attempt): void {
    const { head, metadata } = attempt;
    this.detach(attempt, 'reusable');
    if (this.isDone || !head || !metadata) {
      return;
    }
    if (attempt.isForwarding) {
      this.recordDuration(attempt);
      attempt.progress.onComplete();
      this.finish('passed-on', attempt);
      this.admitted.exchange.finish();
      return;
    }
    if (isNotExecuted(head, metadata)) {
      this.onNotExecuted(attempt, head.status);
      return;
    }
    this.recordDuration(attempt);
    attempt.progress.onComplete();
    const isFailure = head.status >= FIRST_FAILURE_STATUS || !isFromServer(head, metadata);
    recordOutcome(this.context, attempt, isFailure ? 'failed' : 'answered');
    if (isFailure && this.takeRetryIfAllowed()) {
      this.retry(attempt, `status ${head.status}`);
      return;
    }
    this.respond(attempt, head, metadata);
  }

  private respond(attempt: Attempt, head: ResponseHead, metadata: ResponseMetadata): void {
    const { exchange } = this.admitted;
    if (!mayPassOn(head, metadata, this.admitted.route.kind)) {
      logWithheld(this.context, this.admitted, attempt);
      this.refuse('UPSTREAM_FAILED', 'the response of the server is not valid');
      return;
    }
    this.finish('answered', attempt);
    exchange.start(head);
    exchange.finish(attempt.buffered.take());
  }

  private onConnectionBroken(attempt: Attempt, reason: string): void {
    this.detach(attempt, 'gone');
    recordOutcome(this.context, attempt, 'failed');
    if (this.isDone) {
      return;
    }
    if (attempt.isForwarding) {
      this.finish('broken-off', attempt);
      this.admitted.exchange.abort();
      return;
    }
    if (this.takeRetryIfAllowed()) {
      this.retry(attempt, reason);
      return;
    }
    this.refuse('OUTCOME_UNKNOWN', `the connection to the server failed: ${reason}`);
  }

  private onNotExecuted(attempt: Attempt, status: number): void {
    const { retryBudget, log } = this.context;
    this.refusedSendCount += 1;
    const mayTryAnother =
      this.refusedSendCount < MAX_REFUSED_SENDS &&
      retryBudget.takeRetry(this.admitted.service.service);
    log.info('call-not-run', {
      requestId: this.admitted.request.requestId,
      serverId: attempt.server.serverId,
      status,
      triesAnother: mayTryAnother,
    });
    if (mayTryAnother) {
      this.sendToNextServer();
      return;
    }
    this.refuseNotExecuted(
      'NO_SERVER',
      'the servers did not accept the call',
      this.defaultRetryAfterMs(),
    );
  }

  private takeRetryIfAllowed(): boolean {
    const { route, service } = this.admitted;
    return (
      route.kind === 'idempotent' &&
      this.attemptCount < route.maxServers &&
      this.hasOtherServer() &&
      this.context.stopGate.mayBegin(this.admitted) &&
      this.context.retryBudget.takeRetry(service.service)
    );
  }

  private hasOtherServer(): boolean {
    const servers = this.context.serverAccess.openServers(this.admitted.service.service);
    return servers.some(({ serverId }) => !this.excludedServerIds.has(serverId));
  }

  private retry(attempt: Attempt, reason: string): void {
    this.context.log.info('call-repeated', {
      attempt: attempt.number,
      requestId: this.admitted.request.requestId,
      serverId: attempt.server.serverId,
      reason,
    });
    this.sendToNextServer();
  }

  private onAttemptTimeout(attempt: Attempt): void {
    if (
      this.isDone ||
      this.attempt !== attempt ||
      attempt.isForwarding ||
      !this.takeRetryIfAllowed()
    ) {
      return;
    }
    this.recordDuration(attempt);
    attempt.connection?.abort();
    this.detach(attempt, 'gone');
    recordOutcome(this.context, attempt, 'failed');
    this.retry(attempt, 'no response before the timeout');
  }

  private onTimeout(): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    if (!attempt && this.attemptCount === 0) {
      this.refuseNotExecuted(
        'NO_SERVER',
        'no server could be reached before the deadline',
        this.defaultRetryAfterMs(),
      );
      return;
    }
    if (attempt) {
      this.recordDuration(attempt);
      attempt.connection?.abort();
      this.detach(attempt, 'gone');
      recordOutcome(this.context, attempt, 'failed');
    }
    if (attempt?.isForwarding) {
      this.finish('deadline', attempt);
      this.admitted.exchange.abort();
      return;
    }
    this.refuse('OUTCOME_UNKNOWN', 'the server did not respond before the deadline');
  }

  private onCallerDisconnected(): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    this.finish(this.admitted.exchange.departure(), attempt);
    if (attempt) {
      attempt.connection?.abort();
      this.detach(attempt, 'gone');
    }
  }

  private canForward(attempt: Attempt): boolean {
    const { head, metadata } = attempt;
    return (
      head !== undefined &&
      metadata !== undefined &&
      !isNotExecuted(head, metadata) &&
      mayPassOn(head, metadata, this.admitted.route.kind)
    );
  }

  private recordDuration({ sentMs }: Attempt): void {
    const { clock, stopGate } = this.context;
    stopGate.recordCall(this.admitted, clock.nowMs() - sentMs);
  }

  private detach(attempt: Attempt, connectionState: 'gone' | 'reusable'): void {
    if (this.attempt !== attempt) {
      return;
    }
    this.attempt = undefined;
    clearTimeout(this.attemptTimer);
    this.callsInFlight.remove(attempt.server.serverId);
    if (connectionState === 'reusable' && attempt.connection) {
      this.context.connections.release(attempt.server, attempt.connection);
    }
  }

  private refuseNotExecuted(
    code: ResultCodeName,
    detail: string,
    retryAfterMs: number | undefined,
  ): void {
    const hasRun = this.attemptCount > this.refusedSendCount;
    this.refuse(hasRun ? 'UPSTREAM_FAILED' : code, detail, retryAfterMs);
  }

  private defaultRetryAfterMs(): number {
    const { service } = this.admitted.service;
    return this.context.serverAccess.openAgainAfterMs(service) ?? DEFAULT_RETRY_AFTER_MS;
  }

  private refuse(code: ResultCodeName, detail: string, retryAfterMs?: number): void {
    this.finish(code, this.attempt);
    this.admitted.exchange.refuse(refusal(code, detail, retryAfterMs));
  }

  private finish(outcome: string, attempt: Attempt | undefined): void {
    this.isDone = true;
    this.onDone(this);
    this.stopTimers();
    const { request, route, arrivedMs } = this.admitted;
    const tookMs = Math.round(this.context.clock.nowMs() - arrivedMs);
    this.context.log.info('call-ended', {
      attempts: this.attemptCount,
      outcome,
      requestId: request.requestId,
      route: route.name,
      serverId: attempt?.server.serverId,
      status: attempt?.head?.status,
      tookMs,
      via: attempt?.connection?.via,
    });
  }

  private stopTimers(): void {
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.attemptTimer);
    clearTimeout(this.waitTimer);
    this.hold(false);
  }
}
