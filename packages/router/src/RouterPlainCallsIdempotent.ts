import type {
  DecisionSink,
  KnownServer,
  MonotonicClock,
  RequestId,
  Result,
  ServerId,
  TeamId,
} from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { RetryBudget } from '@laburnumgap/dispatch';
import type {
  CallLatencyEstimator,
  PlainAnswer,
  PlainCall,
  PlainCallFailure,
  ServerOutlierDetector,
} from '@laburnumgap/plain-calls';
import type { PlainCallOutcome } from './RouterPlainCallsAtMostOnce.js';
import type { Timers } from './RouterTimers.js';

/** An idempotent call, which may be repeated. */
export interface IdempotentRequest {
  readonly call: PlainCall;
  /** Whether the call only reads, so that it may be hedged. */
  readonly isLookup: boolean;
  /** Service, method and path pattern; calls of one name are expected to take similarly long. */
  readonly name: string;
  readonly requestId: RequestId;
  readonly service: string;
  readonly teamId: TeamId;
  readonly timeoutMs: number;
}

/** One attempt of a call at a server. */
export interface PlainCallAttempt {
  readonly address: string;
  readonly call: PlainCall;
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
}

/** Options of {@link PlainCallsIdempotent}. */
export interface PlainCallsIdempotentOptions {
  readonly budget: RetryBudget;
  /** Calls in flight by server. */
  readonly callsInFlight: Map<ServerId, number>;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly latency: CallLatencyEstimator;
  readonly outliers: ServerOutlierDetector;
  send(request: PlainCallAttempt): Promise<Result<PlainAnswer, PlainCallFailure>>;
  /** Servers of a service, best first. */
  servers(service: string): readonly KnownServer[];
  readonly timers: Timers;
}

type AttemptResult = Result<PlainAnswer, PlainCallFailure>;

const MAX_ATTEMPTS = 3;
/** Hedge delay as a share of the call's timeout while too few latencies were observed. */
const DEFAULT_HEDGE_DELAY_SHARE = 0.5;
const RETRY_AFTER_MS = 1_000;
const RETRIED_STATUSES = new Set([502, 503, 504]);

/**
 * Makes idempotent calls. A failed call is retried at another server, and a slow lookup is hedged:
 * sent a second time while the first attempt runs. Both stay within the team's retry budget and the
 * call's timeout. The hedge uses a connection of its own even at the same server, because the
 * connection of the first attempt may have gone silent.
 */
export class PlainCallsIdempotent {
  constructor(private readonly options: PlainCallsIdempotentOptions) {}

  async run(request: IdempotentRequest): Promise<PlainCallOutcome> {
    const { budget, clock } = this.options;
    const servers = this.options.servers(request.service);
    if (servers.length === 0) {
      const noServer = refusal('NO_SERVER', 'no server of the service is known', RETRY_AFTER_MS);
      return { kind: 'refusal', refusal: noServer };
    }
    budget.recordFirstAttempt(request.teamId);
    const run = new IdempotentCallRun(
      this.options,
      request,
      servers,
      clock.nowMs() + request.timeoutMs,
    );
    return run.outcome();
  }
}

/** The attempts of one call. */
class IdempotentCallRun {
  private readonly abortControllers = new Set<AbortController>();
  private attempts = 0;
  private attemptsInFlight = 0;
  private lastResult: AttemptResult | undefined;
  private mayHaveRun = false;

  constructor(
    private readonly options: PlainCallsIdempotentOptions,
    private readonly request: IdempotentRequest,
    private readonly servers: readonly KnownServer[],
    private readonly deadlineMs: number,
  ) {}

  outcome(): Promise<PlainCallOutcome> {
    return new Promise((resolve) => {
      const finish = (outcome: PlainCallOutcome): void => {
        stopHedge?.();
        resolve(outcome);
        for (const abortController of this.abortControllers) {
          abortController.abort();
        }
      };
      const stopHedge = this.scheduleHedge(finish);
      this.startAttempt('first', finish);
    });
  }

  private scheduleHedge(finish: (outcome: PlainCallOutcome) => void): (() => void) | undefined {
    if (!this.request.isLookup) {
      return undefined;
    }
    const { name, timeoutMs } = this.request;
    const hedgeDelayMs =
      this.options.latency.slowThresholdMs(name) ?? timeoutMs * DEFAULT_HEDGE_DELAY_SHARE;
    return this.options.timers.after(hedgeDelayMs, () => {
      if (this.attemptsInFlight === 1 && this.takeRetry()) {
        this.startAttempt('hedge', finish);
      }
    });
  }

  private takeRetry(): boolean {
    const { budget, clock } = this.options;
    const isInTime = clock.nowMs() < this.deadlineMs;
    return this.attempts < MAX_ATTEMPTS && isInTime && budget.takeRetry(this.request.teamId);
  }

  private startAttempt(
    kind: 'first' | 'hedge' | 'retry',
    finish: (outcome: PlainCallOutcome) => void,
  ): void {
    const server = this.servers[this.attempts % this.servers.length];
    if (server === undefined) {
      return;
    }
    this.attempts += 1;
    this.attemptsInFlight += 1;
    this.recordAttempt(kind, server);
    void this.sendTo(server).then((result) => {
      this.attemptsInFlight -= 1;
      this.lastResult = result;
      if (result.ok && !RETRIED_STATUSES.has(result.value.status)) {
        finish({ answer: result.value, kind: 'answer' });
        return;
      }
      if (this.attemptsInFlight > 0) {
        return;
      }
      if (this.takeRetry()) {
        this.startAttempt('retry', finish);
        return;
      }
      finish(this.failureOutcome());
    });
  }

  private async sendTo(server: KnownServer): Promise<AttemptResult> {
    const { callsInFlight, clock, latency, outliers } = this.options;
    const { serverId } = server;
    const abortController = new AbortController();
    this.abortControllers.add(abortController);
    callsInFlight.set(serverId, (callsInFlight.get(serverId) ?? 0) + 1);
    const startedMs = clock.nowMs();
    const result = await this.options.send({
      address: server.address,
      call: this.request.call,
      signal: abortController.signal,
      timeoutMs: Math.max(1, this.deadlineMs - startedMs),
    });
    this.abortControllers.delete(abortController);
    this.mayHaveRun ||= result.ok || result.error.mayHaveRun;
    const calls = (callsInFlight.get(serverId) ?? 1) - 1;
    callsInFlight.set(serverId, calls);
    if (calls === 0) {
      callsInFlight.delete(serverId);
    }
    if (result.ok && !RETRIED_STATUSES.has(result.value.status)) {
      outliers.recordSuccess(serverId);
      latency.recordDuration(this.request.name, clock.nowMs() - startedMs);
    } else if (!abortController.signal.aborted) {
      outliers.recordFailure(serverId, clock.nowMs());
    }
    return result;
  }

  private failureOutcome(): PlainCallOutcome {
    if (this.lastResult?.ok) {
      return { answer: this.lastResult.value, kind: 'answer' };
    }
    const detail = this.lastResult?.error.detail ?? 'no server was tried';
    const code = this.mayHaveRun ? 'UPSTREAM_FAILED' : 'NO_SERVER';
    return { kind: 'refusal', refusal: refusal(code, detail, RETRY_AFTER_MS) };
  }

  private recordAttempt(kind: string, server: KnownServer): void {
    const { name, requestId, teamId } = this.request;
    this.options.decisions.record({
      decision: kind === 'first' ? 'route' : 'retry',
      fields: { call: name, kind, serverId: server.serverId, team: teamId, tries: this.attempts },
      requestId,
    });
  }
}
