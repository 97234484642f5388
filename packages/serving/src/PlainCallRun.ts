import type { BackendServer } from '@laburnumgap/dispatch';
import { placePlainCall } from '@laburnumgap/dispatch';
import type { ResultCodeName, ServerId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import type { BackendAttempt } from './BackendAttempt.js';
import { recordOutcome, connectToServer, sendAttempt } from './BackendAttempt.js';
import type { BackendConnection } from './BackendConnection.js';
import { untilFinalResponseMs } from './CallDeadlines.js';
import type { CallsInFlight } from './CallsInFlight.js';
import { isFromServer, impliesNotExecuted, isNotExecuted } from './ResponseChecks.js';
import type { ResponseHead } from './ResponseParser.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_REFUSED_SENDS,
} from './ServingConstants.js';
import type { ServingContext } from './ServingContext.js';
import type { ResponseMetadata } from './ServingPorts.js';

const FIRST_FAILURE_STATUS = 500;
/** An idempotent call is tried elsewhere after this many target latencies without an answer. */
const PATIENCE_TARGETS = 3;

interface Attempt extends BackendAttempt {
  readonly chunks: Buffer[];
  heldBytes: number;
  isPassedOn: boolean;
  readonly number: number;
}

/**
 * One call to a plain service. Only an idempotent call is sent again after it may have run; any call
 * is sent again, within the budget of repeats, after a server said that it did not run it.
 */
export class PlainCallRun {
  private attempt: Attempt | undefined;
  private attempts = 0;
  private readonly excluded = new Set<ServerId>();
  private isDone = false;
  private patienceTimer: NodeJS.Timeout | undefined;
  private refusedSends = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly context: ServingContext,
    private readonly start: AdmittedCall,
    private readonly calls: CallsInFlight,
    private readonly onDone: () => void,
  ) {
    this.timer = setTimeout(
      () => {
        this.timedOut();
      },
      untilFinalResponseMs(start, context.clock.nowMs()),
    );
    start.exchange.onDisconnected(() => {
      this.callerLeft();
    });
    context.retryBudget.firstTry(start.service.service);
    this.sendSomewhere();
  }

  private sendSomewhere(): void {
    const { clock, failureDomain, health, randomUnit, registry } = this.context;
    const server = placePlainCall({
      callsInFlight: (serverId) => this.calls.count(serverId),
      excluded: this.excluded,
      failureDomain,
      health,
      nowMs: clock.nowMs(),
      randomUnit,
      servers: registry.usable(this.start.service.service),
    });
    if (!server) {
      this.refuseNotRun('NO_SERVER', 'no server of the service takes the call');
      return;
    }
    this.excluded.add(server.serverId);
    connectToServer(this.context, this.start, server, {
      onConnected: (connection) => {
        this.send(server, connection);
      },
      onUnreachable: () => {
        if (!this.isDone) {
          this.sendSomewhere();
        }
      },
    });
  }

  private send(server: BackendServer, connection: BackendConnection): void {
    const { clock, connections: connections } = this.context;
    if (this.isDone || this.context.registry.get(server.serverId)?.leaving !== false) {
      connections.release(server, connection);
      if (!this.isDone) {
        this.sendSomewhere();
      }
      return;
    }
    const { route } = this.start;
    this.attempts += 1;
    const attempt: Attempt = {
      chunks: [],
      heldBytes: 0,
      isPassedOn: false,
      number: this.attempts,
      sentMs: clock.nowMs(),
      server,
    };
    this.attempt = attempt;
    this.calls.started(server.serverId);
    sendAttempt(
      this.context,
      this.start,
      attempt,
      connection,
      {},
      {
        onBody: (chunk) => {
          this.bodyCame(attempt, chunk);
        },
        onBroken: (reason) => {
          this.broke(attempt, reason);
        },
        onEnd: () => {
          this.ended(attempt);
        },
      },
    );
    if (route.kind === 'idempotent') {
      this.patienceTimer = setTimeout(() => {
        this.lostPatience(attempt);
      }, route.targetLatencyMs * PATIENCE_TARGETS);
    }
  }

  private bodyCame(attempt: Attempt, chunk: Buffer): void {
    const { exchange } = this.start;
    if (!attempt.isPassedOn) {
      attempt.chunks.push(chunk);
      attempt.heldBytes += chunk.length;
      if (attempt.heldBytes <= MAX_BUFFERED_RESPONSE_BYTES || !this.mayPassOn(attempt)) {
        return;
      }
      attempt.isPassedOn = true;
      this.stopTimers();
      if (attempt.head) {
        exchange.start(attempt.head);
      }
      exchange.forward(Buffer.concat(attempt.chunks.splice(0)), attempt.connection);
      return;
    }
    exchange.forward(chunk, attempt.connection);
  }

  private ended(attempt: Attempt): void {
    const { head, metadata: marks } = attempt;
    this.leave(attempt, 'reusable');
    if (this.isDone || !head || !marks) {
      return;
    }
    if (attempt.isPassedOn) {
      this.finish('passed-on', attempt);
      this.start.exchange.finish();
      return;
    }
    if (isNotExecuted(head, marks)) {
      this.refusedByServer(attempt, head.status);
      return;
    }
    const isFailure = head.status >= FIRST_FAILURE_STATUS || !isFromServer(head, marks);
    recordOutcome(this.context, attempt, isFailure ? 'failed' : 'answered');
    if (isFailure && this.mayRepeat()) {
      this.repeat(attempt, `status ${head.status}`);
      return;
    }
    this.answer(attempt, head, marks);
  }

  private answer(attempt: Attempt, head: ResponseHead, marks: ResponseMetadata): void {
    const { exchange, route } = this.start;
    if (!isFromServer(head, marks) || (impliesNotExecuted(head) && route.kind === 'once')) {
      this.refuse('UPSTREAM_FAILED', 'the answer of the server is not usable');
      return;
    }
    this.finish('answered', attempt);
    exchange.start(head);
    exchange.finish(Buffer.concat(attempt.chunks));
  }

  private broke(attempt: Attempt, reason: string): void {
    this.leave(attempt, 'gone');
    recordOutcome(this.context, attempt, 'failed');
    if (this.isDone) {
      return;
    }
    if (attempt.isPassedOn) {
      this.finish('broken-off', attempt);
      this.start.exchange.abort();
      return;
    }
    if (this.mayRepeat()) {
      this.repeat(attempt, reason);
      return;
    }
    this.refuse('OUTCOME_UNKNOWN', `the connection to the server broke: ${reason}`);
  }

  private refusedByServer(attempt: Attempt, status: number): void {
    const { retryBudget: budget, log } = this.context;
    this.refusedSends += 1;
    const mayTryAnother =
      this.refusedSends < MAX_REFUSED_SENDS && budget.takeRetry(this.start.service.service);
    log.info('call-not-run', {
      requestId: this.start.request.requestId,
      serverId: attempt.server.serverId,
      status,
      triesAnother: mayTryAnother,
    });
    if (mayTryAnother) {
      this.sendSomewhere();
      return;
    }
    this.refuseNotRun('NO_SERVER', 'the servers are full');
  }

  private mayRepeat(): boolean {
    const { route, service } = this.start;
    return (
      route.kind === 'idempotent' &&
      this.attempts < route.maxServers &&
      this.context.retryBudget.takeRetry(service.service)
    );
  }

  private repeat(attempt: Attempt, reason: string): void {
    this.context.log.info('call-repeated', {
      attempt: attempt.number,
      requestId: this.start.request.requestId,
      serverId: attempt.server.serverId,
      reason,
    });
    this.sendSomewhere();
  }

  private lostPatience(attempt: Attempt): void {
    if (this.isDone || this.attempt !== attempt || attempt.isPassedOn || !this.mayRepeat()) {
      return;
    }
    attempt.connection?.abort();
    this.leave(attempt, 'gone');
    recordOutcome(this.context, attempt, 'failed');
    this.repeat(attempt, 'no answer in time');
  }

  private timedOut(): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    if (!attempt && this.attempts === 0) {
      this.refuseNotRun('NO_SERVER', 'no server was reached in time');
      return;
    }
    if (attempt) {
      attempt.connection?.abort();
      this.leave(attempt, 'gone');
      recordOutcome(this.context, attempt, 'failed');
    }
    this.refuse('OUTCOME_UNKNOWN', 'the server did not answer in time');
  }

  private callerLeft(): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    this.finish('caller-left', attempt);
    if (attempt) {
      attempt.connection?.abort();
      this.leave(attempt, 'gone');
    }
  }

  private mayPassOn(attempt: Attempt): boolean {
    const { head, metadata: marks } = attempt;
    return head !== undefined && marks !== undefined && !marks.notRun && isFromServer(head, marks);
  }

  private leave(attempt: Attempt, connectionState: 'gone' | 'reusable'): void {
    if (this.attempt !== attempt) {
      return;
    }
    this.attempt = undefined;
    clearTimeout(this.patienceTimer);
    this.calls.finished(attempt.server.serverId);
    if (connectionState === 'reusable' && attempt.connection) {
      this.context.connections.release(attempt.server, attempt.connection);
    }
  }

  private refuseNotRun(code: ResultCodeName, detail: string): void {
    const hasRun = this.attempts > this.refusedSends;
    this.refuse(hasRun ? 'UPSTREAM_FAILED' : code, detail, DEFAULT_RETRY_AFTER_MS);
  }

  private refuse(code: ResultCodeName, detail: string, retryAfterMs?: number): void {
    this.finish(code, this.attempt);
    this.start.exchange.refuse(refusal(code, detail, retryAfterMs));
  }

  private finish(outcome: string, attempt: Attempt | undefined): void {
    this.isDone = true;
    this.onDone();
    this.stopTimers();
    const { request: call, route, arrivedMs } = this.start;
    const tookMs = Math.round(this.context.clock.nowMs() - arrivedMs);
    this.context.log.info('call-ended', {
      attempts: this.attempts,
      outcome,
      requestId: call.requestId,
      route: route.name,
      serverId: attempt?.server.serverId,
      status: attempt?.head?.status,
      tookMs,
    });
  }

  private stopTimers(): void {
    clearTimeout(this.timer);
    clearTimeout(this.patienceTimer);
  }
}
