import type { Contract } from '@laburnumgap/contracts';
import type { EngineStream, EngineStreamClient } from '@laburnumgap/engine';
import type {
  ContinuationPolicy,
  GenerationAction,
  GenerationPlacement,
} from '@laburnumgap/generation';
import { GenerationTracker } from '@laburnumgap/generation';
import type {
  AttemptNumber,
  DecisionSink,
  EngineId,
  GenerationId,
  MonotonicClock,
  Refusal,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { invariant, refusal, toId } from '@laburnumgap/kernel';
import { prefixHashesOf, promptTokensOf } from '@laburnumgap/routing';
import type { Log, Metrics } from '@laburnumgap/telemetry';
import type { GrantedReservation } from './RouterAdmissionWait.js';
import type { CallerSink } from './RouterCallerSink.js';
import type { CompletionRequest } from './RouterCompletionRequest.js';
import { DRAINING_RETRY_MS, HOME_REFRESH_TOKENS, NO_STREAM_INVARIANT } from './RouterConstants.js';
import type { RouterEngineHealth } from './RouterEngineHealth.js';
import type { RouterPlacement } from './RouterPlacement.js';
import type { HomeRecorded, ProgressReport, RequestHomes } from './RouterPorts.js';
import type { RouterProgress } from './RouterProgress.js';
import type { QuotaHold } from './RouterQuota.js';
import { RouterRunMetrics } from './RouterRunMetrics.js';
import { RouterStreamReader } from './RouterStreamReader.js';
import type { Timers } from './RouterTimers.js';

/** What all generations of a router are run with. */
export interface RunServices {
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly engines: EngineStreamClient;
  readonly health: RouterEngineHealth;
  readonly homes: RequestHomes;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly placement: RouterPlacement;
  readonly policy: ContinuationPolicy;
  readonly progress: RouterProgress;
  readonly timers: Timers;
}

/** An engine with its address. */
export interface RunEngine {
  readonly engineId: EngineId;
  readonly url: string;
}

/** A generation's state as one run hands it to the next. */
export interface HandedOverRun {
  readonly attempt: AttemptNumber;
  /** The engine that runs it, if it was started. */
  readonly engine?: RunEngine;
  readonly generationId: GenerationId;
  readonly knownTexts: readonly string[];
  readonly reservation?: GrantedReservation;
  readonly seed: number;
}

/** Options of a run. */
export interface GenerationRunOptions {
  readonly completion: CompletionRequest;
  readonly contract: Contract;
  readonly firstWantedIndex: number;
  /** What an earlier run of the same request left; its attempt is the one to go on with. */
  readonly from?: HandedOverRun;
  readonly generationId: GenerationId;
  readonly hold: QuotaHold;
  readonly requestId: RequestId;
  readonly seed: number;
  readonly services: RunServices;
  readonly sink: CallerSink;
}

type StopReason = 'callerGone' | 'draining' | 'handedOver';

const PRIORITY_CLASSES = { batch: 2, interactive: 0, standard: 1 } as const;

/** Runs one generation for one caller, over all the attempts that it takes. */
export class RouterGenerationRun {
  private readonly abort = new AbortController();
  private engine: RunEngine | undefined;
  private homesVersion = 0;
  private moveOrdered = false;
  private readonly options: GenerationRunOptions;
  private preemptions = 0;
  private readonly prefixHashes: readonly string[];
  private readonly promptTokens: number;
  private reader: RouterStreamReader | undefined;
  private reservation: GrantedReservation | undefined;
  private readonly runMetrics: RouterRunMetrics;
  private readonly services: RunServices;
  private stopReason: StopReason | undefined;
  private readonly teamId: TeamId;
  private readonly tracker: GenerationTracker;
  private unpark: (() => void) | undefined;

  constructor(options: GenerationRunOptions) {
    const { completion, contract, from, services } = options;
    this.options = options;
    this.prefixHashes = prefixHashesOf(completion.prompt);
    this.promptTokens = promptTokensOf(completion.prompt);
    this.runMetrics = new RouterRunMetrics(services.metrics, services.clock.nowMs());
    this.services = services;
    this.teamId = toId(contract.team);
    this.tracker = new GenerationTracker({
      buffered: !completion.stream,
      firstWantedIndex: options.firstWantedIndex,
      generationId: options.generationId,
      knownTexts: from?.knownTexts,
      policy: services.policy,
      startedAttempt: from?.attempt,
    });
    this.engine = from?.engine;
    if (from?.reservation) {
      this.hold(from.reservation);
    }
  }

  /** Ends the run so that another one can go on with the generation. */
  handOver(): HandedOverRun {
    const { reservation } = this;
    this.reservation = undefined;
    this.stopWith('handedOver');
    return {
      attempt: this.tracker.attempt,
      engine: this.engine,
      generationId: this.options.generationId,
      knownTexts: this.tracker.knownTexts(),
      reservation,
      seed: this.options.seed,
    };
  }

  /** Closes the caller's connection and leaves the generation running for another router. */
  leaveToOthers(): void {
    this.stopWith('draining');
  }

  /** How far the generation is, for its scheduler. */
  progress(): ProgressReport | undefined {
    if (!this.engine) {
      return undefined;
    }
    return this.report(this.engine, { finished: false });
  }

  /** Runs until the answer has ended, or the caller or the generation is gone. */
  async run(): Promise<void> {
    const { hold, services, sink } = this.options;
    sink.onGone(() => {
      this.stopWith('callerGone');
    });
    if (sink.isGone()) {
      this.stopWith('callerGone');
    }
    const unfollow = services.progress.follow(this);
    try {
      await this.runToEnd();
    } finally {
      unfollow();
      this.closeReader();
      this.releaseReservation();
      this.runMetrics.end();
      hold.release();
    }
  }

  private async runToEnd(): Promise<void> {
    let action = await this.begin();
    while (this.stopReason === undefined) {
      if (action.kind === 'end') {
        this.fail(action.refusal);
        return;
      }
      if (action.kind === 'finish') {
        this.options.sink.finish(action.finishReason, action.totalTokens);
        this.end();
        return;
      }
      action = await this.perform(action);
    }
    await this.stop(this.stopReason);
  }

  private async begin(): Promise<GenerationAction> {
    await this.deliverKnown();
    if (!this.engine) {
      return this.tracker.begin();
    }
    if ((await this.record()) === 'superseded') {
      return superseded();
    }
    return this.tracker.decide({ engineId: this.engine.engineId, kind: 'adopted' });
  }

  private async deliverKnown(): Promise<void> {
    const { firstWantedIndex, sink } = this.options;
    const texts = this.tracker.knownTexts();
    for (let index = firstWantedIndex; index < texts.length; index += 1) {
      await sink.deliver(index, texts[index] ?? '');
    }
  }

  private perform(
    action: Exclude<GenerationAction, { kind: 'end' | 'finish' }>,
  ): Promise<GenerationAction> {
    this.logAction(action);
    switch (action.kind) {
      case 'ask':
        return this.ask();
      case 'await':
        return this.read();
      case 'place':
        return this.place(action);
      case 'resume':
        return this.resume(action.fromIndex);
    }
  }

  private async ask(): Promise<GenerationAction> {
    const { engine } = this;
    invariant(engine, NO_STREAM_INVARIANT, 'a placed generation has an engine');
    const { engines, health } = this.services;
    const status = await engines.status(engine.url, this.options.generationId);
    if (this.reader?.hasArrived()) {
      return { kind: 'await' };
    }
    if (status.ok) {
      const streamOpen = this.reader !== undefined;
      return this.tracker.decide({ kind: 'status', status: status.value, streamOpen });
    }
    const { detail, refused } = status.error;
    const action = this.tracker.decide({ detail, kind: 'statusFailed', refused });
    if (action.kind !== 'ask') {
      health.suspect(engine.engineId);
    }
    return action;
  }

  private async place(action: GenerationPlacement): Promise<GenerationAction> {
    this.leaveEngine(action.attempt);
    if (action.delayMs > 0) {
      await this.pause(action.delayMs);
    }
    const placed = await this.services.placement.place(this.placementRequest(action));
    if (!placed.ok) {
      if (placed.error.kind === 'aborted') {
        return action;
      }
      const nowMs = this.services.clock.nowMs();
      const { refusal: refused } = placed.error;
      return this.tracker.decide({ kind: 'placementFailed', nowMs, refusal: refused });
    }
    const { engineId, engineUrl, reservation } = placed.value;
    this.engine = { engineId, url: engineUrl };
    this.hold(reservation);
    this.tracker.noteStarted(engineId);
    return this.start(action, reservation.enginePriority);
  }

  private async start(action: GenerationPlacement, priority: number): Promise<GenerationAction> {
    const { completion, generationId, seed } = this.options;
    invariant(this.engine, NO_STREAM_INVARIANT, 'a placed generation has an engine');
    const recorded = this.record();
    this.open(
      this.services.engines.start(this.engine.url, {
        attempt: action.attempt,
        generationId,
        maxTokens: completion.maxTokens,
        model: completion.model,
        prefix: action.prefix,
        priority,
        prompt: completion.prompt,
        seed,
      }),
    );
    if ((await recorded) === 'superseded') {
      this.cancelAtEngine(this.engine, action.attempt);
      return superseded();
    }
    return this.read();
  }

  private resume(fromIndex: number): Promise<GenerationAction> {
    const { engine } = this;
    invariant(engine, NO_STREAM_INVARIANT, 'a placed generation has an engine');
    const { generationId } = this.options;
    const { attempt } = this.tracker;
    this.open(this.services.engines.resume(engine.url, { attempt, fromIndex, generationId }));
    return this.read();
  }

  private async read(): Promise<GenerationAction> {
    const { reader } = this;
    invariant(reader, NO_STREAM_INVARIANT, 'a stream is open');
    while (this.stopReason === undefined) {
      if (this.moveOrdered) {
        return this.move('moveOrdered');
      }
      const event = await reader.next();
      switch (event.kind) {
        case 'token': {
          const action = await this.takeToken(event.token, reader);
          if (action) {
            return action;
          }
          break;
        }
        case 'interrupted':
          break;
        case 'silent':
          return this.tracker.decide(event);
        case 'preempted':
          return this.move('preempted');
        case 'finished':
        case 'lost':
          this.closeReader();
          return this.tracker.decide(event);
      }
    }
    return { kind: 'await' };
  }

  private async takeToken(
    token: Parameters<GenerationTracker['take']>[0],
    reader: RouterStreamReader,
  ): Promise<GenerationAction | undefined> {
    const verdict = this.tracker.take(token);
    if (verdict === 'deliver') {
      this.runMetrics.noteToken(this.services.clock.nowMs(), reader.usualGapMs());
      this.options.hold.charge(1);
      this.refreshHomes(token.index);
      await this.options.sink.deliver(token.index, token.text);
      return undefined;
    }
    if (verdict === 'foreign' || verdict === 'gap') {
      this.closeReader();
      const detail = `the engine sent token ${token.index} out of order (${verdict})`;
      return this.tracker.decide({ detail, kind: 'sequenceBroken' });
    }
    return undefined;
  }

  private move(kind: 'moveOrdered' | 'preempted'): GenerationAction {
    this.moveOrdered = false;
    this.closeReader();
    this.preemptions += 1;
    this.runMetrics.notePreemption(kind);
    if (this.engine) {
      const enginePreempted = kind === 'preempted';
      this.services.progress.noteEnded(
        this.report(this.engine, { enginePreempted, finished: true }),
      );
    }
    return this.tracker.decide({ kind });
  }

  private async stop(reason: StopReason): Promise<void> {
    this.closeReader();
    if (reason === 'handedOver') {
      this.options.sink.fail(superseded().refusal);
      return;
    }
    if (reason === 'draining') {
      await this.leave();
      return;
    }
    if (this.engine) {
      await this.park();
    }
  }

  /** Brings the homes up to date and closes, so that the caller finds its answer elsewhere. */
  private async leave(): Promise<void> {
    const { sink } = this.options;
    if (this.tracker.attempt <= 1 && !this.engine) {
      sink.fail(refusal('DRAINING', 'this router is shutting down', DRAINING_RETRY_MS));
      return;
    }
    if (this.engine) {
      await this.record();
    }
    sink.abandon();
  }

  /** Keeps the generation for a caller that may come back, then gives it up. */
  private async park(): Promise<void> {
    const { contract } = this.options;
    void this.record();
    await new Promise<void>((resolve) => {
      const stopTimer = this.services.timers.after(contract.reconnectGraceMs, resolve);
      this.unpark = () => {
        stopTimer();
        resolve();
      };
    });
    if (this.stopReason === 'callerGone' && this.engine) {
      this.services.decisions.record({
        decision: 'cancel',
        fields: { attempt: this.tracker.attempt, engineId: this.engine.engineId },
        requestId: this.options.requestId,
      });
      this.cancelAtEngine(this.engine, this.tracker.attempt);
      this.end();
    }
  }

  private cancelAtEngine(engine: RunEngine, attempt: AttemptNumber): void {
    void this.services.engines.cancel(engine.url, this.options.generationId, attempt);
  }

  private closeReader(): void {
    this.reader?.close();
    this.reader = undefined;
  }

  /** Ends the generation for good: its memory and its records are given back. */
  private end(): void {
    const { requestId } = this.options;
    const { attempt } = this.tracker;
    if (this.engine) {
      this.services.progress.noteEnded(this.report(this.engine, { finished: true }));
    }
    this.services.homes.forget(this.teamId, requestId, attempt);
  }

  private fail(refused: Refusal): void {
    const { requestId, sink } = this.options;
    this.services.decisions.record({
      decision: 'refuse',
      fields: { detail: refused.detail, name: refused.code },
      requestId,
    });
    this.services.metrics.increment('refusals', 1, { code: refused.code });
    sink.fail(refused);
    if (refused.code !== 'ATTEMPT_SUPERSEDED') {
      this.end();
    }
  }

  private hold(reservation: GrantedReservation): void {
    this.reservation = reservation;
    reservation.onMoveOrdered(() => {
      this.moveOrdered = true;
      this.reader?.interrupt();
    });
  }

  private leaveEngine(nextAttempt: AttemptNumber): void {
    const { engine } = this;
    this.closeReader();
    this.releaseReservation();
    this.engine = undefined;
    if (engine) {
      this.cancelAtEngine(engine, (nextAttempt - 1) as AttemptNumber);
    }
  }

  private logAction(action: GenerationAction): void {
    if (action.kind === 'await' || (action.kind === 'place' && action.attempt === 1)) {
      return;
    }
    this.services.decisions.record({
      decision: action.kind === 'place' ? 'retry' : action.kind,
      fields: {
        attempt: this.tracker.attempt,
        engineId: this.engine?.engineId,
        nextIndex: this.tracker.nextIndex,
        reason: action.kind === 'place' ? action.reason : undefined,
      },
      requestId: this.options.requestId,
    });
  }

  private open(stream: EngineStream): void {
    this.closeReader();
    const { clock, health, timers } = this.services;
    invariant(this.engine, NO_STREAM_INVARIANT, 'a placed generation has an engine');
    const gaps = health.gapsOf(this.engine.engineId);
    this.reader = new RouterStreamReader({ clock, gaps, stream, timers });
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const stopTimer = this.services.timers.after(delayMs, resolve);
      this.abort.signal.addEventListener('abort', () => {
        stopTimer();
        resolve();
      });
    });
  }

  private placementRequest(action: GenerationPlacement): Parameters<RouterPlacement['place']>[0] {
    const { completion, contract, generationId, requestId } = this.options;
    return {
      attempt: action.attempt,
      excludedEngines: action.excludedEngines,
      generationId,
      maxTokens: completion.maxTokens,
      model: completion.model,
      onlyEngine: action.onlyEngine,
      preemptions: this.preemptions,
      prefixHashes: this.prefixHashes,
      priorityClass: PRIORITY_CLASSES[contract.scheduling.class],
      producedTokens: action.prefix.length,
      promptTokens: this.promptTokens,
      requestId,
      signal: this.abort.signal,
      teamId: this.teamId,
      waitBoundMs: contract.waitBoundMs,
      weight: contract.scheduling.weight,
    };
  }

  private record(): Promise<HomeRecorded> {
    const { completion, generationId, requestId, seed } = this.options;
    const { engine } = this;
    invariant(engine, NO_STREAM_INVARIANT, 'a placed generation has an engine');
    this.homesVersion = this.services.homes.version();
    return this.services.homes.record({
      attempt: this.tracker.attempt,
      bodyHash: completion.bodyHash,
      deliveredIndex: this.tracker.deliveredTokens - 1,
      engineId: engine.engineId,
      engineUrl: engine.url,
      generationId,
      maxTokens: completion.maxTokens,
      model: completion.model,
      prompt: completion.prompt,
      requestId,
      seed,
      streamed: completion.stream,
      teamId: this.teamId,
    });
  }

  private refreshHomes(index: number): void {
    const moved = this.homesVersion !== this.services.homes.version();
    if (moved || index % HOME_REFRESH_TOKENS === HOME_REFRESH_TOKENS - 1) {
      void this.record();
    }
  }

  private releaseReservation(): void {
    this.reservation?.release();
    this.reservation = undefined;
    this.moveOrdered = false;
  }

  private report(
    engine: RunEngine,
    state: { readonly enginePreempted?: boolean; readonly finished: boolean },
  ): ProgressReport {
    return {
      attempt: this.tracker.attempt,
      engineId: engine.engineId,
      enginePreempted: state.enginePreempted ?? false,
      finished: state.finished,
      generationId: this.options.generationId,
      producedTokens: this.tracker.nextIndex,
    };
  }

  private stopWith(reason: StopReason): void {
    if (this.stopReason !== undefined && reason === 'callerGone') {
      return;
    }
    this.stopReason = reason;
    this.abort.abort();
    this.reader?.interrupt();
    this.unpark?.();
  }
}

function superseded(): Extract<GenerationAction, { kind: 'end' }> {
  return { kind: 'end', refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs') };
}
