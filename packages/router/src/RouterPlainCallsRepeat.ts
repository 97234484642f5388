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
import type { PlainCallOutcome } from './RouterPlainCallsOnce.js';
import type { Timers } from './RouterTimers.js';

/** A call that may be repeated. */
export interface RepeatRequest {
  readonly call: PlainCall;
  /** Lookups may be hedged. */
  readonly isLookup: boolean;
  /** Service, method and path pattern: calls of one name take about as long. */
  readonly name: string;
  readonly requestId: RequestId;
  readonly service: string;
  readonly teamId: TeamId;
  readonly timeoutMs: number;
}

/** One try of a call at a server. */
export interface PlainCallTry {
  readonly address: string;
  readonly call: PlainCall;
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
}

/** What calls that may be repeated are made with. */
export interface PlainCallsRepeatOptions {
  readonly budget: RetryBudget;
  /** Calls in flight by server. */
  readonly callsInFlight: Map<ServerId, number>;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly latency: CallLatencyEstimator;
  readonly outliers: ServerOutlierDetector;
  send(request: PlainCallTry): Promise<Result<PlainAnswer, PlainCallFailure>>;
  /** Servers of a service, best first. */
  servers(service: string): readonly KnownServer[];
  readonly timers: Timers;
}

type TryResult = Result<PlainAnswer, PlainCallFailure>;

const MAX_TRIES = 3;
/** While it is not known from when on a call is slow, this share of its time counts as slow. */
const UNKNOWN_SLOW_SHARE = 0.5;
const RETRY_AFTER_MS = 1_000;
const RETRIED_STATUS = new Set([502, 503, 504]);

/**
 * Makes calls that may be repeated: on another server after a failure, and a second time beside
 * the first when a lookup is slow; both within the team's retry budget and the call's time. The
 * second one has a connection of its own also at the same server: the first may have gone silent.
 */
export class PlainCallsRepeat {
  constructor(private readonly options: PlainCallsRepeatOptions) {}

  async run(request: RepeatRequest): Promise<PlainCallOutcome> {
    const { budget, clock } = this.options;
    const servers = this.options.servers(request.service);
    if (servers.length === 0) {
      const none = refusal('NO_SERVER', 'no server of the service is known', RETRY_AFTER_MS);
      return { kind: 'refusal', refusal: none };
    }
    budget.recordFirstAttempt(request.teamId);
    const run = new RepeatRun(this.options, request, servers, clock.nowMs() + request.timeoutMs);
    return run.outcome();
  }
}

/** The tries of one call. */
class RepeatRun {
  private readonly aborts = new Set<AbortController>();
  private isSent = false;
  private last: TryResult | undefined;
  private running = 0;
  private tries = 0;

  constructor(
    private readonly options: PlainCallsRepeatOptions,
    private readonly request: RepeatRequest,
    private readonly servers: readonly KnownServer[],
    private readonly deadlineMs: number,
  ) {}

  outcome(): Promise<PlainCallOutcome> {
    return new Promise((resolve) => {
      const finish = (outcome: PlainCallOutcome): void => {
        stopHedge?.();
        resolve(outcome);
        for (const abort of this.aborts) {
          abort.abort();
        }
      };
      const stopHedge = this.armHedge(finish);
      this.startTry('first', finish);
    });
  }

  private armHedge(finish: (outcome: PlainCallOutcome) => void): (() => void) | undefined {
    if (!this.request.isLookup) {
      return undefined;
    }
    const { name, timeoutMs } = this.request;
    const slowMs = this.options.latency.slowThresholdMs(name) ?? timeoutMs * UNKNOWN_SLOW_SHARE;
    return this.options.timers.after(slowMs, () => {
      if (this.running === 1 && this.mayTryAgain()) {
        this.startTry('hedge', finish);
      }
    });
  }

  private mayTryAgain(): boolean {
    const { budget, clock } = this.options;
    const isInTime = clock.nowMs() < this.deadlineMs;
    return this.tries < MAX_TRIES && isInTime && budget.takeRetry(this.request.teamId);
  }

  private startTry(
    kind: 'first' | 'hedge' | 'retry',
    finish: (outcome: PlainCallOutcome) => void,
  ): void {
    const server = this.servers[this.tries % this.servers.length];
    if (server === undefined) {
      return;
    }
    this.tries += 1;
    this.running += 1;
    this.recordTry(kind, server);
    void this.tryAt(server).then((result) => {
      this.running -= 1;
      this.last = result;
      if (result.ok && !RETRIED_STATUS.has(result.value.status)) {
        finish({ answer: result.value, kind: 'answer' });
        return;
      }
      if (this.running > 0) {
        return;
      }
      if (this.mayTryAgain()) {
        this.startTry('retry', finish);
        return;
      }
      finish(this.failed());
    });
  }

  private async tryAt(server: KnownServer): Promise<TryResult> {
    const { callsInFlight, clock, latency, outliers } = this.options;
    const { serverId } = server;
    const abort = new AbortController();
    this.aborts.add(abort);
    callsInFlight.set(serverId, (callsInFlight.get(serverId) ?? 0) + 1);
    const startedMs = clock.nowMs();
    const result = await this.options.send({
      address: server.address,
      call: this.request.call,
      signal: abort.signal,
      timeoutMs: Math.max(1, this.deadlineMs - startedMs),
    });
    this.aborts.delete(abort);
    this.isSent ||= result.ok || result.error.mayHaveRun;
    const calls = (callsInFlight.get(serverId) ?? 1) - 1;
    callsInFlight.set(serverId, calls);
    if (calls === 0) {
      callsInFlight.delete(serverId);
    }
    if (result.ok && !RETRIED_STATUS.has(result.value.status)) {
      outliers.recordSuccess(serverId);
      latency.recordDuration(this.request.name, clock.nowMs() - startedMs);
    } else if (!abort.signal.aborted) {
      outliers.recordFailure(serverId, clock.nowMs());
    }
    return result;
  }

  private failed(): PlainCallOutcome {
    if (this.last?.ok) {
      return { answer: this.last.value, kind: 'answer' };
    }
    const detail = this.last?.error.detail ?? 'no server was tried';
    const code = this.isSent ? 'UPSTREAM_FAILED' : 'NO_SERVER';
    return { kind: 'refusal', refusal: refusal(code, detail, RETRY_AFTER_MS) };
  }

  private recordTry(kind: string, server: KnownServer): void {
    const { name, requestId, teamId } = this.request;
    this.options.decisions.record({
      decision: kind === 'first' ? 'route' : 'retry',
      fields: { call: name, kind, serverId: server.serverId, team: teamId, tries: this.tries },
      requestId,
    });
  }
}
