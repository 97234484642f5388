import type { StreamCertainty } from '@laburnumgap/dispatch';
import {
  expectedCallMs,
  expectedStreamMs,
  mayBeginBeforeStop,
  MeasuredTimes,
} from '@laburnumgap/dispatch';
import type { MonotonicClock, Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { RoutedCall } from './AdmittedCall.js';
import { untilFinalResponseMs } from './CallDeadlines.js';
import { DEFAULT_RETRY_AFTER_MS, DRAINING_RETRY_AFTER_MS } from '../ServingConstants.js';
import type { ServingLog } from '../ServingLog.js';

/** Options of {@link StopGate}. */
export interface StopGateOptions {
  readonly clock: MonotonicClock;
  /** Whether another daemon of this failure domain accepts new connections. */
  readonly hasDomainSuccessor: () => boolean;
  readonly log: ServingLog;
}

/** Deadlines of a graceful shutdown, in monotonic time. */
export interface DrainDeadlines {
  /** Until this time the load balancer may still send new connections. */
  readonly balancerRemovalMs: number;
  /** Time at which open requests are given up. */
  readonly stopMs: number;
}

/** What the gate has to know of a request. */
export type GatedCall = Pick<RoutedCall, 'arrivedMs' | 'request' | 'route' | 'service'>;

/**
 * Measures how long requests take, and refuses those that would be cut when the daemon stops. Asked when a
 * request arrives, while it waits, and at the last moment before each time that it is sent.
 */
export class StopGate {
  private readonly calls = new MeasuredTimes();
  private deadlines: DrainDeadlines | undefined;
  private readonly firstEvents = new MeasuredTimes();
  private readonly tokens = new MeasuredTimes();

  constructor(private readonly options: StopGateOptions) {}

  /** Begins to refuse requests. */
  close(deadlines: DrainDeadlines): void {
    this.deadlines = deadlines;
  }

  /** Whether the daemon shuts down. */
  isClosing(): boolean {
    return this.deadlines !== undefined;
  }

  /** Records how long a server took for a call that it ran. */
  recordCall({ route }: GatedCall, tookMs: number): void {
    this.calls.record(route.name, tookMs);
  }

  /** Records the time from sending a stream to its first event. */
  recordFirstEvent({ route }: GatedCall, tookMs: number): void {
    this.firstEvents.record(route.name, tookMs);
  }

  /** Records the mean time of an output token in a part of a stream. */
  recordTokens({ route }: GatedCall, tokenMs: number): void {
    this.tokens.record(route.name, tokenMs);
  }

  /** Whether a request may be sent to a server now. */
  mayBegin(call: GatedCall): boolean {
    return this.deadlines === undefined || this.overdueMs(call, this.deadlines) === undefined;
  }

  /**
   * Refusal of a request that must not be sent to a server any more. Logged.
   *
   * @param call - the request
   * @returns undefined when it may be sent
   */
  refusal(call: GatedCall): Refusal | undefined {
    const { deadlines } = this;
    const expectedMs = deadlines && this.overdueMs(call, deadlines);
    if (!deadlines || expectedMs === undefined) {
      return undefined;
    }
    const retryAfterMs = this.retryAfterMs();
    this.options.log.info('request-refused-before-stop', {
      expectedMs: Math.round(expectedMs),
      requestId: call.request.requestId,
      retryAfterMs,
      route: call.route.name,
      untilStopMs: Math.round(deadlines.stopMs - this.options.clock.nowMs()),
    });
    return refusal('DRAINING', 'this daemon is shutting down', retryAfterMs);
  }

  /**
   * Time after which a caller that is refused should come back: at once if another daemon of the domain
   * takes over; otherwise when the load balancer has reacted.
   */
  retryAfterMs(): number {
    if (this.options.hasDomainSuccessor()) {
      return DRAINING_RETRY_AFTER_MS;
    }
    const untilRemovalMs =
      (this.deadlines?.balancerRemovalMs ?? -Infinity) - this.options.clock.nowMs();
    return Math.max(DEFAULT_RETRY_AFTER_MS, Math.ceil(untilRemovalMs));
  }

  /** Time that a request is expected to take if that is too long; undefined when it may begin. */
  private overdueMs(call: GatedCall, deadlines: DrainDeadlines): number | undefined {
    const nowMs = this.options.clock.nowMs();
    const expectedMs = this.expectedMs(call, nowMs, deadlines);
    const mayBegin = mayBeginBeforeStop(expectedMs, {
      untilFinalResponseMs: untilFinalResponseMs(call, nowMs),
      untilStopMs: deadlines.stopMs - nowMs,
    });
    return mayBegin ? undefined : expectedMs;
  }

  private expectedMs(
    { request: { prompt }, route, service }: GatedCall,
    nowMs: number,
    deadlines: DrainDeadlines,
  ): number {
    if (route.kind === 'stream' && service.engine && prompt) {
      return expectedStreamMs({
        certainty: this.certainty(nowMs, deadlines),
        firstEvent: this.firstEvents.of(route.name),
        prompt,
        token: this.tokens.of(route.name),
      });
    }
    return expectedCallMs({
      isRepeatable: route.kind === 'idempotent',
      measured: this.calls.of(route.name),
      targetLatencyMs: route.targetLatencyMs,
    });
  }

  /**
   * Where no other daemon takes a caller, a stream that may be cut is better than none. Later, only
   * connections that were open before the stop bring requests: their callers can open others, and none of
   * their streams may be cut.
   */
  private certainty(nowMs: number, { balancerRemovalMs }: DrainDeadlines): StreamCertainty {
    if (nowMs >= balancerRemovalMs) {
      return 'certain';
    }
    return this.options.hasDomainSuccessor() ? 'usual' : 'likely';
  }
}
