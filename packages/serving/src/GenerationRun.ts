import type {
  BackendServer,
  EngineLimits,
  EngineShare,
  Placement,
  PromptShape,
} from '@laburnumgap/dispatch';
import { plannedOutputTokens, reservedOutputTokens, unreadTokens } from '@laburnumgap/dispatch';
import type { ResultCodeName, ServerId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import type { BackendAttempt } from './BackendAttempt.js';
import { recordOutcome, connectToServer, sendAttempt } from './BackendAttempt.js';
import type { BackendConnection } from './BackendConnection.js';
import { untilFinalResponseMs } from './CallDeadlines.js';
import { EngineSearch } from './EngineSearch.js';
import { EventSplitter } from './EventSplitter.js';
import { rankTargets, urgencyOf } from './GenerationTargets.js';
import { isFromServer, impliesNotExecuted, isNotExecuted } from './ResponseChecks.js';
import type { ResponseHead } from './ResponseParser.js';
import { DEFAULT_RETRY_AFTER_MS, MAX_REFUSED_SENDS } from './ServingConstants.js';
import type { ServingContext } from './ServingContext.js';
import type { KvCacheLocation } from './ServingPorts.js';

const SUCCESS_STATUS = 200;
/** Below it an answer that is no stream is no failure either, and of no use. */
const FIRST_REDIRECT_STATUS = 300;

/** A run at one engine. */
interface Leg extends BackendAttempt {
  readonly resumes: boolean;
  readonly splitter: EventSplitter;
}

/** Where a stream goes on. */
export interface Continuation {
  readonly from: KvCacheLocation;
  /** Tried when the first target does not take it. */
  readonly otherwise?: Continuation;
  readonly server: BackendServer;
}

/** Where the run is, for the moves. */
export interface RunPosition {
  readonly expectedRemainingTokens: number;
  readonly isMoving: boolean;
  readonly requestId: string;
  readonly server: BackendServer;
  /** Time since the last event. */
  readonly silentMs: number;
  readonly usedTokens: number;
}

/**
 * One generation: placed once, its events passed on whole and in order. It may go on at another
 * engine from copied memory as the same run. Without such memory a stream that broke is broken off,
 * unless its route lets it start anew after its last event.
 */
export class GenerationRun {
  private copyTargetId: ServerId | undefined;
  private events = 0;
  private readonly excluded = new Set<ServerId>();
  private firstEventMs: number | undefined;
  private isDone = false;
  private lastEventId: string | undefined;
  private lastEventMs = 0;
  private leg: Leg | undefined;
  private moves = 0;
  /** Set while the run is stopped at one engine to go on at another. */
  private onLegClosed: (() => void) | undefined;
  private refusedSends = 0;
  private readonly search: EngineSearch;
  private sends = 0;
  private readonly timer: NodeJS.Timeout;
  private moving = false;

  constructor(
    private readonly context: ServingContext,
    private readonly start: AdmittedCall,
    private readonly engine: EngineLimits,
    private readonly prompt: PromptShape,
    private readonly onDone: (run: GenerationRun) => void,
  ) {
    this.timer = setTimeout(
      () => {
        this.timedOut();
      },
      untilFinalResponseMs(start, context.clock.nowMs()),
    );
    this.search = new EngineSearch(context, {
      onPlaced: (server) => {
        this.sendTo(server, undefined);
      },
      onRefused: (code, detail, retryAfterMs) => {
        this.refuseNotRun(code, detail, retryAfterMs);
      },
      prompt,
      rank: () => this.rankTargets(this.excluded),
      start,
    });
    start.exchange.onDisconnected(() => {
      this.callerLeft();
    });
    context.retryBudget.firstTry(start.service.service);
  }

  /** Places the run, or refuses it. Called once. */
  begin(): void {
    this.search.begin();
  }

  /** What the run holds at its engine, and at the one to which its memory is copied. */
  shares(nowMs: number): readonly EngineShare[] {
    const share = this.share(nowMs);
    if (!share) {
      return [];
    }
    const { copyTargetId } = this;
    return copyTargetId === undefined ? [share] : [share, { ...share, serverId: copyTargetId }];
  }

  /** Where the run is, or undefined when it can't be moved. */
  position(): RunPosition | undefined {
    const { leg, prompt } = this;
    if (!leg || this.isDone || this.events === 0) {
      return undefined;
    }
    const producedTokens = this.producedTokens();
    return {
      expectedRemainingTokens: plannedOutputTokens(prompt, producedTokens) - producedTokens,
      isMoving: this.moving,
      requestId: this.start.request.requestId,
      server: leg.server,
      silentMs: this.context.clock.nowMs() - this.lastEventMs,
      usedTokens: prompt.promptTokens + producedTokens,
    };
  }

  /** Engine at which the run is, also before its first event. */
  serverId(): ServerId | undefined {
    return this.leg?.server.serverId;
  }

  /** Marks the begin or the end of a move, so that there is one at a time. */
  setMoving(moving: boolean): void {
    this.moving = moving;
  }

  /** Notes the engine that holds a copy of the run's memory; undefined when none does. */
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
   * @param without - engines that are not to be taken
   * @param moveFrom - the engine that the run's memory comes from, for a move
   * @returns the engines, best first
   */
  rankTargets(without: ReadonlySet<ServerId>, moveFrom?: BackendServer): readonly Placement[] {
    const { engine, prompt, start } = this;
    return rankTargets(this.context, { engine, moveFrom, prompt, start, without });
  }

  /**
   * Calls back once the stream of the stopped run has closed, or at once when it has.
   *
   * @param listener - told when no further event comes from the old engine; undefined ends the wait
   */
  whenLegClosed(listener: (() => void) | undefined): void {
    if (this.leg) {
      this.onLegClosed = listener;
    } else {
      listener?.();
    }
  }

  /** Goes on at another engine. The old one must have stopped. */
  continueAt(continuation: Continuation): void {
    this.onLegClosed = undefined;
    if (this.isDone) {
      return;
    }
    this.dropLeg();
    this.moves += 1;
    this.sendTo(continuation.server, continuation);
  }

  /** Ends a stream that can't go on. */
  breakOff(reason: string): void {
    if (this.isDone) {
      return;
    }
    this.dropLeg();
    const { route } = this.start;
    const mayRestart = route.mayRestartStream && this.events > 0 && this.sends < route.maxServers;
    if (mayRestart && this.context.retryBudget.takeRetry(this.start.service.service)) {
      this.context.log.info('stream-restarted', {
        events: this.events,
        reason,
        requestId: this.start.request.requestId,
      });
      this.search.begin();
      return;
    }
    if (this.start.exchange.hasStarted()) {
      this.finish(`broken-off: ${reason}`);
      this.start.exchange.abort();
      return;
    }
    this.refuse('OUTCOME_UNKNOWN', `the engine's stream broke: ${reason}`);
  }

  private share(nowMs: number): EngineShare | undefined {
    const { leg, prompt } = this;
    if (!leg) {
      return undefined;
    }
    const producedTokens = this.producedTokens();
    const reading =
      this.events > 0 || leg.resumes ? 0 : unreadTokens(prompt.promptTokens, nowMs - leg.sentMs);
    return {
      plannedTokens: prompt.promptTokens + reservedOutputTokens(prompt, producedTokens),
      readingTokens: reading,
      runs: 1,
      serverId: leg.server.serverId,
      usedTokens: prompt.promptTokens + producedTokens,
    };
  }

  private producedTokens(): number {
    return this.events * this.engine.tokensPerEvent;
  }

  private sendTo(server: BackendServer, continuation: Continuation | undefined): void {
    const { clock, publishLoad: noteLoadChanged, prefixes } = this.context;
    const nowMs = clock.nowMs();
    const leg: Leg = {
      resumes: continuation !== undefined,
      sentMs: nowMs,
      server,
      splitter: new EventSplitter(),
    };
    this.leg = leg;
    prefixes.note(this.prompt.parts, server.serverId, nowMs);
    noteLoadChanged();
    connectToServer(this.context, this.start, server, {
      onConnected: (connection) => {
        this.send(leg, connection, continuation);
      },
      onUnreachable: (reason) => {
        this.notTaken(leg, continuation, reason);
      },
    });
  }

  private send(
    leg: Leg,
    connection: BackendConnection,
    continuation: Continuation | undefined,
  ): void {
    const { connections: connections, registry } = this.context;
    if (this.isDone || this.leg !== leg) {
      connections.release(leg.server, connection);
      return;
    }
    if (!continuation && registry.get(leg.server.serverId)?.leaving !== false) {
      connections.release(leg.server, connection);
      this.notTaken(leg, continuation, 'the server leaves');
      return;
    }
    const { request: call } = this.start;
    this.sends += continuation ? 0 : 1;
    const lastEventId = this.lastEventId ?? call.lastEventId;
    sendAttempt(
      this.context,
      this.start,
      leg,
      connection,
      {
        kvSource: continuation?.from,
        lastEventId: continuation || this.events > 0 ? (lastEventId ?? '0') : undefined,
        urgency: urgencyOf(this.start),
      },
      {
        onBody: (chunk) => {
          this.bodyCame(leg, chunk);
        },
        onBroken: (reason) => {
          this.broke(leg, reason);
        },
        onEnd: () => {
          this.ended(leg, continuation);
        },
      },
    );
  }

  private bodyCame(leg: Leg, chunk: Buffer): void {
    if (this.leg !== leg || this.isDone || !isStream(leg)) {
      return;
    }
    const whole = leg.splitter.push(chunk);
    if (!whole || !leg.head) {
      return;
    }
    const { exchange } = this.start;
    if (!exchange.hasStarted()) {
      exchange.start(withoutLength(leg.head));
    }
    if (this.events === 0) {
      this.firstEventMs = this.context.clock.nowMs();
      this.context.publishLoad();
    }
    this.events += whole.count;
    this.lastEventMs = this.context.clock.nowMs();
    this.lastEventId = whole.lastEventId ?? this.lastEventId;
    exchange.forward(whole.bytes, leg.connection);
  }

  private ended(leg: Leg, continuation: Continuation | undefined): void {
    const { head, metadata: marks, server } = leg;
    if (leg.connection) {
      this.context.connections.release(server, leg.connection);
    }
    if (this.leg !== leg || this.isDone || !head || !marks) {
      return;
    }
    if (isStream(leg)) {
      this.streamEnded(leg);
      return;
    }
    if (isNotExecuted(head, marks) || continuation) {
      this.notTaken(leg, continuation, `status ${head.status}`);
      return;
    }
    recordOutcome(this.context, leg, 'failed');
    this.leg = undefined;
    if (impliesNotExecuted(head) || marks.isEncoded || head.status < FIRST_REDIRECT_STATUS) {
      this.refuse('OUTCOME_UNKNOWN', `the engine answered with status ${head.status}`);
      return;
    }
    this.finish(`status ${head.status}`);
    this.start.exchange.start(head);
    this.start.exchange.finish();
  }

  private streamEnded(leg: Leg): void {
    if (leg.splitter.pendingBytes() > 0 || !this.start.exchange.hasStarted()) {
      this.broke(leg, 'the stream ended inside an event');
      return;
    }
    recordOutcome(this.context, leg, 'answered');
    this.leg = undefined;
    this.finish('answered');
    this.start.exchange.finish();
  }

  private broke(leg: Leg, reason: string): void {
    if (this.leg !== leg || this.isDone) {
      return;
    }
    leg.splitter.reset();
    leg.connection = undefined;
    if (this.onLegClosed) {
      const listener = this.onLegClosed;
      this.onLegClosed = undefined;
      this.leg = undefined;
      listener();
      return;
    }
    if (this.moving) {
      // The move's answer says whether the run goes on; the mover ends the stream otherwise.
      this.leg = undefined;
      return;
    }
    recordOutcome(this.context, leg, 'failed');
    this.breakOff(reason);
  }

  /** The engine did not begin: nothing was sent, or it said so. */
  private notTaken(leg: Leg, continuation: Continuation | undefined, reason: string): void {
    if (this.leg !== leg || this.isDone) {
      return;
    }
    this.leg = undefined;
    this.context.publishLoad();
    if (continuation) {
      this.context.log.warn('continuation-refused', {
        reason,
        requestId: this.start.request.requestId,
        serverId: leg.server.serverId,
      });
      if (continuation.otherwise) {
        this.sendTo(continuation.otherwise.server, continuation.otherwise);
      } else {
        this.breakOff(reason);
      }
      return;
    }
    this.excluded.add(leg.server.serverId);
    if (this.sends === this.refusedSends) {
      this.search.begin();
      return;
    }
    this.refusedSends += 1;
    const mayTryAnother =
      this.refusedSends < MAX_REFUSED_SENDS &&
      this.context.retryBudget.takeRetry(this.start.service.service);
    if (mayTryAnother) {
      this.search.begin();
      return;
    }
    this.refuseNotRun('NO_ENGINE', `the engines are full: ${reason}`);
  }

  private timedOut(): void {
    if (this.isDone) {
      return;
    }
    this.dropLeg();
    if (this.start.exchange.hasStarted()) {
      this.finish('deadline');
      this.start.exchange.abort();
      return;
    }
    if (this.sends > this.refusedSends) {
      this.refuse('OUTCOME_UNKNOWN', 'the engine did not answer in time');
      return;
    }
    this.refuseNotRun('NO_ENGINE', 'no engine was reached in time');
  }

  private callerLeft(): void {
    if (this.isDone) {
      return;
    }
    this.dropLeg();
    this.finish('caller-left');
  }

  private dropLeg(): void {
    const { leg } = this;
    this.leg = undefined;
    leg?.connection?.abort();
  }

  private refuseNotRun(
    code: ResultCodeName,
    detail: string,
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
  ): void {
    const mayHaveRun = this.sends > this.refusedSends;
    this.refuse(mayHaveRun ? 'OUTCOME_UNKNOWN' : code, detail, retryAfterMs);
  }

  private refuse(code: ResultCodeName, detail: string, retryAfterMs?: number): void {
    this.finish(code, retryAfterMs);
    this.start.exchange.refuse(refusal(code, detail, retryAfterMs));
  }

  private finish(outcome: string, retryAfterMs?: number): void {
    this.isDone = true;
    clearTimeout(this.timer);
    this.search.stop();
    const { arrivedMs, request: call, route } = this.start;
    const nowMs = this.context.clock.nowMs();
    this.context.log.info('generation-ended', {
      events: this.events,
      firstEventAfterMs:
        this.firstEventMs === undefined ? undefined : Math.round(this.firstEventMs - arrivedMs),
      moves: this.moves,
      outcome,
      requestId: call.requestId,
      retryAfterMs,
      route: route.name,
      serverId: this.leg?.server.serverId,
      tookMs: Math.round(nowMs - arrivedMs),
    });
    this.onDone(this);
    this.context.publishLoad();
  }
}

function isStream(leg: Leg): boolean {
  const { head, metadata: marks } = leg;
  return head?.status === SUCCESS_STATUS && marks !== undefined && isFromServer(head, marks);
}

/** A stream that goes on elsewhere has no length that is known ahead. */
function withoutLength(head: ResponseHead): ResponseHead {
  const headers = head.headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  return { ...head, headers };
}
