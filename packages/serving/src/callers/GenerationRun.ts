import type {
  BackendServer,
  EngineLimits,
  EngineShare,
  Placement,
  PromptShape,
} from '@laburnumgap/dispatch';
import {
  isFirstEventOverdue,
  isLongStream,
  plannedOutputTokens,
  reservedOutputTokens,
  unreadPromptTokens,
} from '@laburnumgap/dispatch';
import type { MemberId, Refusal, ResultCodeName, ServerId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import { AttemptProgress } from './AttemptProgress.js';
import type { BackendAttempt } from '../servers/BackendAttempt.js';
import {
  connectToServer,
  logWithheld,
  mayStillReceive,
  recordBroken,
  recordOutcome,
  sendAttempt,
} from '../servers/BackendAttempt.js';
import type { BackendConnection } from '../servers/BackendConnection.js';
import { untilFinalResponseMs } from './CallDeadlines.js';
import { EngineSearch } from './EngineSearch.js';
import { EventContinuity } from './EventContinuity.js';
import { EventGaps } from './EventGaps.js';
import type { CompleteEvents } from './EventSplitter.js';
import { EventSplitter, lastEventIdOf } from './EventSplitter.js';
import { rankTargets, urgencyOf } from './GenerationTargets.js';
import { GrowableBuffer } from '../GrowableBuffer.js';
import type { SentGeneration } from '../servers/EngineSpeedCoordinator.js';
import {
  endsWithConnection,
  isFromServer,
  isNotExecuted,
  mayPassOn,
} from '../servers/ResponseChecks.js';
import type { ResponseHead } from '../servers/ResponseParser.js';
import { ResumePosition } from './ResumePosition.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_EVENT_BYTES,
  MAX_FORWARDED_RESPONSE_BYTES,
  MAX_REFUSED_SENDS,
} from '../ServingConstants.js';
import type { ServingContext } from '../ServingContext.js';
import type { RequestUse } from '../servers/ServerAccess.js';
import { StreamPace } from './StreamPace.js';
import type { KvCacheLocation } from '../ServingPorts.js';

const SUCCESS_STATUS = 200;
/** A stopped stream is worth a wait that is well below the time after which its caller gives up. */
const CONTINUATION_PERMIT_WAIT_MS = 1_000;
/** Responses below this status that are no event stream are unusable, and no error to forward. */
const FIRST_REDIRECT_STATUS = 300;
const FIRST_FAILURE_STATUS = 500;
/** Events come in bursts, so that the pace of fewer says little. */
const MIN_PACE_EVENTS = 8;

/** Execution of the generation at one engine. */
interface EngineAttempt extends BackendAttempt {
  /** Body of a response that is not an event stream. */
  readonly errorBody: GrowableBuffer;
  /** Events of this attempt arrived. */
  hasEvents: boolean;
  /** The engine sent events that the caller already has. */
  hasRepeatedEvents: boolean;
  /** The engine continues from a copied KV cache instead of reading the prompt. */
  readonly isContinuation: boolean;
  /** The request was written to the engine, which may have run it. */
  isSent: boolean;
  /** Load of the engine when the run was sent; absent for a continuation. */
  readonly sent: SentGeneration | undefined;
  readonly splitter: EventSplitter;
  /** Bytes of complete events. */
  streamBytes: number;
}

/** Engine at which a stopped stream continues, and the KV cache that it continues from. */
export interface Continuation {
  /** Number of events that the run had made when it was stopped, as far as it is known. */
  readonly eventsMade?: number;
  /** Used when `server` does not accept the continuation. */
  readonly fallback?: Continuation;
  readonly kvSource: KvCacheLocation;
  readonly server: BackendServer;
}

/** State of a run that decides whether and where it is moved. */
export interface RunStatus {
  readonly expectedRemainingTokens: number;
  readonly isMoving: boolean;
  /** Requests like this one may crash engines. */
  readonly isQuarantined: boolean;
  /** Mean time of one output token in this run; undefined until enough events arrived. */
  readonly msPerToken: number | undefined;
  readonly requestId: string;
  readonly server: BackendServer;
  /** Time since the engine sent the last event. */
  readonly sinceLastEventMs: number;
  readonly usedTokens: number;
  /** Daemon that passes the stream on; undefined when it is received directly. */
  readonly via: MemberId | undefined;
}

/** Receives what a {@link GenerationRun} cannot decide by itself. */
export interface GenerationListener {
  onDone(run: GenerationRun): void;
  /** The connection to the engine broke after the first event, and only other daemons reach it. */
  onSevered(run: GenerationRun, server: BackendServer): void;
}

/**
 * Serves one generation: places it on an engine and forwards its server-sent events complete and in
 * order. The run can continue at another engine from a copied KV cache. Without a copy, a stream
 * that fails is aborted, unless its route allows a restart after the last forwarded event.
 */
export class GenerationRun {
  /** Where the run continues when its connection ends and it is not known whether it was stopped. */
  private afterStop: Continuation | undefined;
  private attempt: EngineAttempt | undefined;
  private readonly continuity = new EventContinuity();
  private copyTargetId: ServerId | undefined;
  private readonly deadlineTimer: NodeJS.Timeout;
  private eventCount = 0;
  private readonly eventGaps: EventGaps;
  private readonly excludedServerIds = new Set<ServerId>();
  private firstEventAtMs: number | undefined;
  /** The connection broke, and the run may go on elsewhere. */
  private hasLostStream = false;
  private isDone = false;
  private isMoving = false;
  /** The engine was told to stop the run, and closes its stream before its end when it does. */
  private isStopOrdered = false;
  private lastEventAtMs = 0;
  private moveCount = 0;
  /** Set while waiting for a stopped stream to close before the run continues at another engine. */
  private onStreamClosed: (() => void) | undefined;
  private readonly pace = new StreamPace();
  private refusedSendCount = 0;
  /** Events that engines sent although the caller already had them. */
  private repeatedEvents = 0;
  private readonly resumePosition: ResumePosition;
  private readonly search: EngineSearch;
  private sendCount = 0;
  /** Attempt whose connection ended after the engine was told to stop the run. */
  private unconfirmedEnd: EngineAttempt | undefined;
  /** Daemon through which the run was sent last. */
  private via: MemberId | undefined;

  constructor(
    private readonly context: ServingContext,
    private readonly admitted: AdmittedCall,
    private readonly engineLimits: EngineLimits,
    private readonly prompt: PromptShape,
    private readonly listener: GenerationListener,
  ) {
    this.deadlineTimer = setTimeout(
      () => {
        this.onTimeout();
      },
      untilFinalResponseMs(admitted, context.clock.nowMs()),
    );
    this.eventGaps = new EventGaps({
      arrivedMs: admitted.arrivedMs,
      totalsOf: (serverId, nowMs) => context.load.totals(serverId, nowMs),
    });
    this.resumePosition = new ResumePosition(
      admitted.route.mayRestartStream,
      admitted.request.lastEventId,
    );
    this.search = new EngineSearch(context, {
      admitted,
      onPlaced: (server) => {
        this.startAttempt(server, undefined);
      },
      onDenied: (refused) => {
        this.refuseDenied(refused);
      },
      onRefused: (code, detail, retryAfterMs) => {
        this.refuseNotExecuted(code, detail, retryAfterMs ?? this.defaultRetryAfterMs());
      },
      prompt,
      rank: () => this.rankTargets(this.excludedServerIds),
    });
    admitted.exchange.onDisconnected(() => {
      this.onCallerDisconnected();
    });
    context.retryBudget.recordFirstAttempt(admitted.service.service);
  }

  /** Starts the search for an engine. Must be called once. */
  start(): void {
    this.search.start();
  }

  /**
   * Load that the run puts on its engine and on the engine that receives a copy of its KV cache.
   *
   * @param nowMs - monotonic time
   * @returns one share for each engine; none while the run is at no engine
   */
  shares(nowMs: number): readonly EngineShare[] {
    const share = this.share(nowMs);
    if (!share) {
      return [];
    }
    const { copyTargetId } = this;
    return copyTargetId === undefined ? [share] : [share, { ...share, serverId: copyTargetId }];
  }

  /** State for a move; undefined before the first event, after the end and while at no engine. */
  status(): RunStatus | undefined {
    const { attempt, prompt } = this;
    if (!attempt || this.isDone || this.eventCount === 0) {
      return undefined;
    }
    const producedTokens = this.producedTokens();
    return {
      expectedRemainingTokens: plannedOutputTokens(prompt, producedTokens) - producedTokens,
      isMoving: this.isMoving,
      isQuarantined: this.admitted.pass.refusal() !== undefined,
      msPerToken: this.msPerToken(),
      requestId: this.admitted.request.requestId,
      server: attempt.server,
      sinceLastEventMs: this.silenceMs(),
      usedTokens: prompt.promptTokens + producedTokens,
      via: attempt.connection?.via,
    };
  }

  private msPerToken(): number | undefined {
    const { eventCount, firstEventAtMs, lastEventAtMs } = this;
    if (firstEventAtMs === undefined || eventCount < MIN_PACE_EVENTS) {
      return undefined;
    }
    return (lastEventAtMs - firstEventAtMs) / ((eventCount - 1) * this.engineLimits.tokensPerEvent);
  }

  /** Time since the last event; an engine is not silent while its events are not read. */
  private silenceMs(): number {
    const nowMs = this.context.clock.nowMs();
    if (this.admitted.exchange.isSourcePaused()) {
      this.lastEventAtMs = nowMs;
    }
    return nowMs - this.lastEventAtMs;
  }

  /** Engine that the run was sent to, also before its first event; undefined when there is none. */
  serverId(): ServerId | undefined {
    return this.attempt?.server.serverId;
  }

  /** Whether events of an engine arrive, or will once it has accepted the run. */
  hasStream(): boolean {
    return this.attempt !== undefined && !this.hasLostStream;
  }

  /** Marks the start or end of a move. Only one move of a run is active at a time. */
  setMoving(moving: boolean): void {
    this.isMoving = moving;
  }

  /**
   * Marks that the engine is told to stop the run. From then on the end of a connection is not the end of
   * a stream without framing.
   *
   * @param afterStop - where the run continues when its connection ends before it is known whether the
   *   engine has stopped it
   */
  orderStop(afterStop: Continuation): void {
    this.afterStop = afterStop;
    this.isStopOrdered = true;
  }

  /** Whether an order to stop the run was neither withdrawn nor followed by a continuation. */
  isStopOpen(): boolean {
    return this.isStopOrdered;
  }

  /**
   * Marks that the engine did not stop the run. If its connection has ended, the stream is complete,
   * unless the engine has ended as well.
   */
  async withdrawStop(): Promise<void> {
    const attempt = this.unconfirmedEnd;
    this.afterStop = undefined;
    this.isStopOrdered = false;
    this.unconfirmedEnd = undefined;
    if (!attempt || this.isDone) {
      return;
    }
    const isRunning = await this.context.connections.isServerRunning(attempt.server, this.via);
    if (isRunning && !this.hasEnded()) {
      this.complete(attempt);
    }
  }

  /** Sets the engine that receives a copy of the run's KV cache; undefined when there is none. */
  setCopyTarget(serverId: ServerId | undefined): void {
    this.copyTargetId = serverId;
    this.context.publishLoad();
  }

  hasEnded(): boolean {
    return this.isDone;
  }

  /**
   * Ranks the engines for this run.
   *
   * @param excluded - engines that must not be used
   * @param moveFrom - for a move, the engine that the KV cache is copied from
   * @returns the engines, best first
   */
  rankTargets(excluded: ReadonlySet<ServerId>, moveFrom?: BackendServer): readonly Placement[] {
    const { engineLimits, prompt, admitted } = this;
    return rankTargets(this.context, {
      admitted,
      engineLimits,
      excluded,
      moveFrom,
      prompt,
    });
  }

  /**
   * Calls the listener when the stream of the stopped run has closed, immediately if it already
   * has.
   *
   * @param listener - called when the old engine sends no more events; undefined removes the
   *   listener
   */
  whenStreamClosed(listener: (() => void) | undefined): void {
    if (this.hasStream()) {
      this.onStreamClosed = listener;
    } else {
      listener?.();
    }
  }

  /** Continues the run at another engine. The old engine must not work on it any more. */
  continueAt(continuation: Continuation): void {
    this.onStreamClosed = undefined;
    if (this.isDone) {
      return;
    }
    this.abortAttempt();
    this.moveCount += 1;
    this.startAttempt(continuation.server, continuation);
  }

  /**
   * Handles a stream whose connection has ended. Continues it from the copy that {@link orderStop} named,
   * if the engine may have stopped it; otherwise fails it.
   *
   * @param reason - cause, for the log and the refusal
   */
  continueOrFail(reason: string): void {
    if (this.afterStop) {
      this.continueAt(this.afterStop);
    } else {
      this.fail(reason);
    }
  }

  /**
   * Handles a stream that cannot continue: restarts it where the route and the retry budget allow
   * it, otherwise aborts it, or refuses the request when nothing was forwarded.
   *
   * @param reason - cause, for the log and the refusal
   */
  fail(reason: string): void {
    if (this.isDone) {
      return;
    }
    const { attempt } = this;
    this.abortAttempt();
    if (this.restart(attempt?.server.serverId, reason)) {
      return;
    }
    if (this.admitted.exchange.hasStarted()) {
      this.finish(`broken-off: ${reason}`);
      this.admitted.exchange.abort();
      return;
    }
    this.refuse('OUTCOME_UNKNOWN', `the engine's stream failed: ${reason}`);
  }

  /** Refuses a request that still waits for an engine when it would not end before the daemon stops. */
  refuseIfLate(): void {
    const { admitted, context } = this;
    const isWaiting = !this.attempt && !this.isMoving && !admitted.exchange.hasStarted();
    const refused = isWaiting && !this.isDone ? context.stopGate.refusal(admitted) : undefined;
    if (refused) {
      this.refuseNotExecuted(refused.code, refused.detail, refused.retryAfterMs);
    }
  }

  /** The daemon stops: the caller gets an answer now, or sees that the stream is not complete. */
  stop(retryAfterMs: number): void {
    if (this.isDone) {
      return;
    }
    this.abortAttempt();
    if (this.admitted.exchange.hasStarted()) {
      this.finish('stopped');
      this.admitted.exchange.abort();
      return;
    }
    this.refuseNotExecuted('DRAINING', 'the daemon stops before the first event', retryAfterMs);
  }

  /** Sends the stream to another engine if its route and the retry budget allow it. */
  private restart(failedServerId: ServerId | undefined, reason: string): boolean {
    const { request, route, service } = this.admitted;
    const mayRestart =
      route.mayRestartStream &&
      this.sendCount < route.maxServers &&
      this.context.retryBudget.takeRetry(service.service);
    if (!mayRestart) {
      return false;
    }
    this.context.log.info('stream-restarted', {
      events: this.eventCount,
      reason,
      requestId: request.requestId,
      serverId: failedServerId,
    });
    if (failedServerId !== undefined) {
      this.excludedServerIds.add(failedServerId);
    }
    this.searchOn();
    return true;
  }

  private searchOn(): void {
    if (this.eventCount > 0) {
      this.search.startAgain();
    } else {
      this.search.start();
    }
  }

  private share(nowMs: number): EngineShare | undefined {
    const { attempt, prompt } = this;
    if (!attempt) {
      return undefined;
    }
    const producedTokens = this.producedTokens();
    const readingTokens =
      this.eventCount > 0 || attempt.isContinuation
        ? 0
        : unreadPromptTokens(prompt.promptTokens, nowMs - attempt.sentMs);
    const isOverdue = isFirstEventOverdue({
      hasEvent: this.eventCount > 0,
      sinceSentMs: nowMs - attempt.sentMs,
    });
    const { maxEventGapMs } = this.admitted.route;
    const stream = { engine: this.engineLimits, maxEventGapMs, producedTokens, prompt };
    return {
      ...(isLongStream(stream) && { longRuns: 1 }),
      ...(isOverdue && { overdueRuns: 1 }),
      plannedTokens: prompt.promptTokens + reservedOutputTokens(prompt, producedTokens),
      readingTokens,
      runs: 1,
      serverId: attempt.server.serverId,
      usedTokens: prompt.promptTokens + producedTokens,
    };
  }

  private producedTokens(): number {
    return this.eventCount * this.engineLimits.tokensPerEvent;
  }

  private startAttempt(server: BackendServer, continuation: Continuation | undefined): void {
    const { clock, publishLoad, cachedPrefixes, engineSpeeds } = this.context;
    const nowMs = clock.nowMs();
    const counter = this.admitted.exchange.countCollected();
    const attempt: EngineAttempt = {
      errorBody: new GrowableBuffer(counter),
      hasEvents: false,
      hasRepeatedEvents: false,
      isContinuation: continuation !== undefined,
      isSent: false,
      progress: new AttemptProgress(clock, this.admitted.pass),
      sent: continuation ? undefined : engineSpeeds.noteSent(server, this.prompt),
      sentMs: nowMs,
      server,
      splitter: new EventSplitter(counter),
      streamBytes: 0,
    };
    this.attempt = attempt;
    this.hasLostStream = false;
    this.afterStop = undefined;
    this.isStopOrdered = false;
    this.unconfirmedEnd = undefined;
    this.continuity.join(this.resumePosition.restartAfter());
    cachedPrefixes.recordPrompt(this.prompt.parts, server.serverId, nowMs);
    publishLoad();
    const maxPermitWaitMs = continuation ? CONTINUATION_PERMIT_WAIT_MS : 0;
    connectToServer(this.context, this.admitted, server, maxPermitWaitMs, {
      onConnected: (connection) => {
        this.send(attempt, connection, continuation);
      },
      onLimited: (retryAfterMs) => {
        this.onLimited(attempt, continuation, retryAfterMs);
      },
      onQuarantined: (refused) => {
        this.onDenied(attempt, refused);
      },
      onUnreachable: (reason) => {
        this.onNotStarted(attempt, continuation, reason);
      },
    });
  }

  private send(
    attempt: EngineAttempt,
    connection: BackendConnection,
    continuation: Continuation | undefined,
  ): void {
    const { connections } = this.context;
    if (this.isDone || this.attempt !== attempt) {
      connections.release(attempt.server, connection);
      return;
    }
    const use = continuation ? useOf(continuation) : 'newRun';
    if (!mayStillReceive(this.context, this.admitted, attempt.server, use)) {
      connections.release(attempt.server, connection);
      this.onNotStarted(attempt, continuation, 'the server accepts no new requests');
      return;
    }
    const refused = continuation ? undefined : this.context.stopGate.refusal(this.admitted);
    if (refused) {
      connections.release(attempt.server, connection);
      this.onDenied(attempt, refused);
      return;
    }
    attempt.isSent = true;
    this.sendCount += continuation ? 0 : 1;
    this.via = connection.via;
    sendAttempt(
      this.context,
      this.admitted,
      attempt,
      connection,
      {
        kvSource: continuation?.kvSource,
        lastEventId: continuation
          ? this.resumePosition.continueAfter()
          : this.resumePosition.restartAfter(),
        urgency: urgencyOf(this.admitted),
      },
      {
        onBody: (chunk) => {
          this.onBodyChunk(attempt, continuation, chunk);
        },
        onBroken: (reason) => {
          this.onConnectionBroken(attempt, reason);
        },
        onEnd: () => {
          this.onResponseEnd(attempt, continuation);
        },
        isEndDecided: () => this.isEndDecided(attempt),
      },
    );
  }

  private onBodyChunk(
    attempt: EngineAttempt,
    continuation: Continuation | undefined,
    chunk: Buffer,
  ): void {
    if (this.attempt !== attempt || this.isDone) {
      return;
    }
    if (!isEventStream(attempt)) {
      attempt.errorBody.append(chunk);
      if (attempt.errorBody.length > MAX_BUFFERED_RESPONSE_BYTES) {
        this.onExcess(attempt, continuation, MAX_BUFFERED_RESPONSE_BYTES);
      }
      return;
    }
    const events = attempt.splitter.push(chunk);
    attempt.streamBytes += events?.bytes.length ?? 0;
    if (attempt.streamBytes > MAX_FORWARDED_RESPONSE_BYTES) {
      this.onExcess(attempt, continuation, MAX_FORWARDED_RESPONSE_BYTES);
      return;
    }
    if (attempt.splitter.pendingBytes() > MAX_EVENT_BYTES) {
      this.onExcess(attempt, continuation, MAX_EVENT_BYTES);
      return;
    }
    if (events) {
      this.onEvents(attempt, events);
    }
  }

  private onEvents(attempt: EngineAttempt, received: CompleteEvents): void {
    const { accepted, droppedCount, fault } = this.continuity.check(received);
    if (droppedCount > 0 && !attempt.hasRepeatedEvents) {
      attempt.hasRepeatedEvents = true;
      this.context.log.warn('events-repeated', {
        requestId: this.admitted.request.requestId,
        serverId: attempt.server.serverId,
      });
    }
    this.repeatedEvents += droppedCount;
    if (accepted && attempt.head) {
      this.forwardEvents(attempt, attempt.head, accepted);
    }
    if (fault !== undefined) {
      attempt.connection?.abort();
      this.onConnectionBroken(attempt, fault);
    }
  }

  private forwardEvents(
    attempt: EngineAttempt,
    head: ResponseHead,
    accepted: CompleteEvents,
  ): void {
    const { bytes, events } = accepted;
    const { exchange } = this.admitted;
    if (!exchange.hasStarted()) {
      exchange.start(withoutContentLength(head));
    }
    if (this.eventCount === 0) {
      this.firstEventAtMs = this.context.clock.nowMs();
      this.context.publishLoad();
    }
    this.learnSpeed(attempt, events.length);
    this.eventCount += events.length;
    this.lastEventAtMs = this.context.clock.nowMs();
    this.resumePosition.advance(lastEventIdOf(accepted));
    exchange.forward(bytes, attempt.source);
  }

  private learnSpeed(attempt: EngineAttempt, eventCount: number): void {
    const { clock, engineSpeeds, stopGate } = this.context;
    const { hasEvents, sent, server } = attempt;
    const nowMs = clock.nowMs();
    const gapMs = this.eventGaps.recordEvents(server.serverId, nowMs);
    attempt.hasEvents = true;
    if (hasEvents && gapMs !== undefined) {
      engineSpeeds.recordEvents(server, gapMs, eventCount);
      this.learnPace(this.pace.add(gapMs, eventCount * this.engineLimits.tokensPerEvent));
    } else if (sent) {
      engineSpeeds.recordFirstEvent(sent);
      stopGate.recordFirstEvent(this.admitted, nowMs - attempt.sentMs);
    }
  }

  private learnPace(tokenMs: number | undefined): void {
    if (tokenMs !== undefined) {
      this.context.stopGate.recordTokens(this.admitted, tokenMs);
    }
  }

  /** A response or a single event exceeds what is read of it. */
  private onExcess(
    attempt: EngineAttempt,
    continuation: Continuation | undefined,
    maxBytes: number,
  ): void {
    const { connection, head, metadata } = attempt;
    const reason = `the engine sent more than ${maxBytes} bytes`;
    connection?.abort();
    const isRefused = head && metadata && isNotExecuted(head, metadata);
    if (isRefused || (continuation && !isEventStream(attempt))) {
      recordOutcome(this.context, attempt, 'failed');
      this.onNotStarted(attempt, continuation, reason);
      return;
    }
    this.onConnectionBroken(attempt, reason);
  }

  private onResponseEnd(attempt: EngineAttempt, continuation: Continuation | undefined): void {
    const { head, metadata, server } = attempt;
    if (attempt.connection) {
      this.context.connections.release(server, attempt.connection);
    }
    if (this.attempt !== attempt || this.isDone || !head || !metadata) {
      return;
    }
    if (isEventStream(attempt)) {
      this.onStreamEnd(attempt, continuation);
      return;
    }
    if (isNotExecuted(head, metadata) || continuation) {
      this.onNotStarted(attempt, continuation, `status ${head.status}`);
      return;
    }
    recordOutcome(this.context, attempt, 'failed');
    this.attempt = undefined;
    const isServerFailure = head.status >= FIRST_FAILURE_STATUS || !isFromServer(head, metadata);
    if (isServerFailure && this.restart(server.serverId, `status ${head.status}`)) {
      return;
    }
    if (this.admitted.exchange.hasStarted()) {
      this.finish(`broken-off: status ${head.status}`);
      this.admitted.exchange.abort();
      return;
    }
    const { kind } = this.admitted.route;
    if (!mayPassOn(head, metadata, kind) || head.status < FIRST_REDIRECT_STATUS) {
      logWithheld(this.context, this.admitted, attempt);
      this.refuse('OUTCOME_UNKNOWN', `the engine answered with status ${head.status}`);
      return;
    }
    this.finish(`status ${head.status}`);
    this.admitted.exchange.start(head);
    this.admitted.exchange.finish(attempt.errorBody.take());
  }

  private onStreamEnd(attempt: EngineAttempt, continuation: Continuation | undefined): void {
    const { exchange } = this.admitted;
    if (attempt.splitter.pendingBytes() > 0) {
      recordBroken(this.context, this.admitted, attempt);
      this.onConnectionBroken(attempt, 'the stream ended in the middle of an event');
      return;
    }
    const isUnframed = attempt.head !== undefined && endsWithConnection(attempt.head);
    if (this.isStopOrdered && isUnframed) {
      this.unconfirmedEnd = attempt;
      this.onConnectionBroken(attempt, 'the connection ended after the run was told to stop');
      return;
    }
    if (this.continuity.isShortOf(continuation?.eventsMade ?? 0)) {
      recordBroken(this.context, this.admitted, attempt);
      this.onConnectionBroken(attempt, 'the stream ended before the last event of its run');
      return;
    }
    if (!attempt.hasEvents && !this.mayEndWithoutEvent(isUnframed)) {
      recordBroken(this.context, this.admitted, attempt);
      this.onConnectionBroken(attempt, 'the stream ended without an event');
      return;
    }
    if (!exchange.hasStarted() && attempt.head) {
      // The caller already has the last event.
      exchange.start(withoutContentLength(attempt.head));
    }
    this.complete(attempt);
  }

  /**
   * Whether a stream without an event can be one whose caller already has the last event. A server that
   * closes after its head looks the same, unless the framing of the response says that it is complete.
   */
  private mayEndWithoutEvent(isUnframed: boolean): boolean {
    const goesOn = this.resumePosition.restartAfter() !== undefined;
    return goesOn && (!isUnframed || this.hasAllTokens());
  }

  /**
   * Whether it does not depend on the state of the engine what the end of its connection means: an event is
   * not complete, the response to the order to stop decides, or no event can follow.
   */
  private isEndDecided({ splitter }: EngineAttempt): boolean {
    return splitter.pendingBytes() > 0 || this.isStopOrdered || this.hasAllTokens();
  }

  /** Whether no event can follow, since each carries a token at least. */
  private hasAllTokens(): boolean {
    return this.eventCount >= this.prompt.maxOutputTokens;
  }

  private complete(attempt: EngineAttempt): void {
    attempt.progress.onComplete();
    this.learnPace(this.pace.end());
    recordOutcome(this.context, attempt, 'answered');
    this.attempt = undefined;
    this.finish('answered');
    this.admitted.exchange.finish();
  }

  private onConnectionBroken(attempt: EngineAttempt, reason: string): void {
    if (this.attempt !== attempt || this.isDone) {
      return;
    }
    attempt.splitter.discardPartialEvent();
    attempt.connection = undefined;
    if (this.onStreamClosed) {
      const listener = this.onStreamClosed;
      this.onStreamClosed = undefined;
      this.attempt = undefined;
      listener();
      return;
    }
    if (this.isMoving) {
      // The result of the move decides whether the run continues; otherwise StreamMover fails it.
      this.attempt = undefined;
      return;
    }
    if (this.afterStop) {
      this.continueAt(this.afterStop);
      return;
    }
    recordOutcome(this.context, attempt, 'failed');
    if (this.eventCount > 0 && this.admitted.exchange.hasStarted()) {
      void this.examineBroken(attempt, reason);
      return;
    }
    this.fail(reason);
  }

  /** On a severed path the run may go on through another daemon; otherwise the stream has failed. */
  private async examineBroken(attempt: EngineAttempt, reason: string): Promise<void> {
    const { server } = attempt;
    this.hasLostStream = true;
    this.isMoving = true;
    const reachability = await this.context.dialer.examine(server);
    this.isMoving = false;
    if (this.attempt !== attempt || this.isDone) {
      return;
    }
    if (reachability === 'severed') {
      this.listener.onSevered(this, server);
    } else {
      this.fail(reason);
    }
  }

  /** Requests like this one crash engines, or the daemon stops: the run ends, wherever it was to be sent. */
  private onDenied(attempt: EngineAttempt, refused: Refusal): void {
    if (this.attempt !== attempt || this.isDone) {
      return;
    }
    this.attempt = undefined;
    this.refuseDenied(refused);
  }

  private refuseDenied({ code, detail, retryAfterMs }: Refusal): void {
    this.refuseNotExecuted(code, detail, retryAfterMs);
  }

  /** Searches for another engine, which can also end in this one once it takes requests again. */
  private onLimited(
    attempt: EngineAttempt,
    continuation: Continuation | undefined,
    retryAfterMs: number,
  ): void {
    if (continuation) {
      this.onNotStarted(attempt, continuation, `no permit within ${retryAfterMs} ms`);
    } else if (this.attempt === attempt && !this.isDone) {
      this.attempt = undefined;
      this.context.publishLoad();
      this.search.start();
    }
  }

  /** The engine did not start the run: nothing was sent, or it rejected the request. */
  private onNotStarted(
    attempt: EngineAttempt,
    continuation: Continuation | undefined,
    reason: string,
  ): void {
    if (this.attempt !== attempt || this.isDone) {
      return;
    }
    this.attempt = undefined;
    this.context.publishLoad();
    if (continuation) {
      this.context.log.warn('continuation-refused', {
        reason,
        requestId: this.admitted.request.requestId,
        serverId: attempt.server.serverId,
      });
      if (continuation.fallback) {
        this.startAttempt(continuation.fallback.server, continuation.fallback);
      } else {
        this.fail(reason);
      }
      return;
    }
    this.excludedServerIds.add(attempt.server.serverId);
    if (!attempt.isSent) {
      this.searchOn();
      return;
    }
    this.refusedSendCount += 1;
    const mayTryAnother =
      this.refusedSendCount < MAX_REFUSED_SENDS &&
      this.context.retryBudget.takeRetry(this.admitted.service.service);
    if (mayTryAnother) {
      this.search.start();
      return;
    }
    const detail = `the engines did not accept the request: ${reason}`;
    this.refuseNotExecuted('NO_ENGINE', detail, this.defaultRetryAfterMs());
  }

  private onTimeout(): void {
    if (this.isDone) {
      return;
    }
    this.abortAttempt();
    if (this.admitted.exchange.hasStarted()) {
      this.finish('deadline');
      this.admitted.exchange.abort();
      return;
    }
    if (this.sendCount > this.refusedSendCount) {
      this.refuse('OUTCOME_UNKNOWN', 'the engine did not respond before the deadline');
      return;
    }
    const detail = 'no engine could be reached before the deadline';
    this.refuseNotExecuted('NO_ENGINE', detail, this.defaultRetryAfterMs());
  }

  private onCallerDisconnected(): void {
    if (this.isDone) {
      return;
    }
    this.abortAttempt();
    this.finish(this.admitted.exchange.departure());
  }

  private abortAttempt(): void {
    const { attempt } = this;
    this.attempt = undefined;
    attempt?.connection?.abort();
  }

  private refuseNotExecuted(
    code: ResultCodeName,
    detail: string,
    retryAfterMs: number | undefined,
  ): void {
    const mayHaveRun = this.sendCount > this.refusedSendCount;
    this.refuse(mayHaveRun ? 'OUTCOME_UNKNOWN' : code, detail, retryAfterMs);
  }

  private defaultRetryAfterMs(): number {
    const { service } = this.admitted.service;
    return this.context.serverAccess.openAgainAfterMs(service) ?? DEFAULT_RETRY_AFTER_MS;
  }

  private refuse(code: ResultCodeName, detail: string, retryAfterMs?: number): void {
    this.finish(code, retryAfterMs);
    this.admitted.exchange.refuse(refusal(code, detail, retryAfterMs));
  }

  private finish(outcome: string, retryAfterMs?: number): void {
    this.isDone = true;
    clearTimeout(this.deadlineTimer);
    this.search.stop();
    const { arrivedMs, request, route } = this.admitted;
    const nowMs = this.context.clock.nowMs();
    const longestGap = this.eventGaps.longest();
    if (longestGap) {
      this.context.metrics.observe('engine_longest_event_gap_ms', longestGap.gapMs, {
        serverId: longestGap.serverId,
      });
    }
    this.context.log.info('generation-ended', {
      events: this.eventCount,
      firstEventAfterMs:
        this.firstEventAtMs === undefined ? undefined : Math.round(this.firstEventAtMs - arrivedMs),
      longestGapAtMs: longestGap && Math.round(longestGap.endedAfterMs),
      longestGapMs: longestGap && Math.round(longestGap.gapMs),
      longestGapReadingTokens: longestGap && Math.round(longestGap.totals.readingTokens),
      longestGapRuns: longestGap?.totals.runs,
      longestGapServerId: longestGap?.serverId,
      moves: this.moveCount,
      outcome,
      repeatedEvents: this.repeatedEvents || undefined,
      requestId: request.requestId,
      retryAfterMs,
      route: route.name,
      serverId: this.attempt?.server.serverId,
      tookMs: Math.round(nowMs - arrivedMs),
      via: this.via,
    });
    this.listener.onDone(this);
    this.context.publishLoad();
  }
}

function useOf({ kvSource, server }: Continuation): RequestUse {
  const isKept = kvSource.host === server.host && kvSource.port === server.port;
  return isKept ? 'return' : 'continuation';
}

function isEventStream(attempt: EngineAttempt): boolean {
  const { head, metadata } = attempt;
  return head?.status === SUCCESS_STATUS && metadata !== undefined && isFromServer(head, metadata);
}

/**
 * Removes Content-Length: the length of a stream that may continue at another engine is unknown.
 */
function withoutContentLength(head: ResponseHead): ResponseHead {
  const headers = head.headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  return { ...head, headers };
}
