import type { GenerationAction, PlaceAction } from '@laburnumgap/generation';
import { GenerationTracker } from '@laburnumgap/generation';
import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { DRAINING_RETRY_MS } from './RouterConstants.js';
import type { ProgressReport } from './RouterPorts.js';
import { RouterRunAssignment } from './RouterRunAssignment.js';
import { RouterRunMetrics } from './RouterRunMetrics.js';
import { RouterTokenRelay } from './RouterTokenRelay.js';
import type { GenerationRunOptions, HandedOverRun, RunServices } from './RouterRunTypes.js';
import { SUPERSEDED_END, recordAction } from './RouterRunUtils.js';
import { pause } from './RouterTimers.js';

type EndAction = Extract<GenerationAction, { kind: 'end' }>;
type FinishAction = Extract<GenerationAction, { kind: 'finish' }>;
type StopReason = 'callerDisconnected' | 'draining' | 'handedOver';

/**
 * Runs one generation for one caller. It performs the actions that the generation tracker decides:
 * placing an attempt at an engine, relaying its tokens, resuming or moving it after a failure.
 */
export class RouterGenerationRun {
  private readonly abortController = new AbortController();
  private readonly assignment: RouterRunAssignment;
  private endReconnectWait: (() => void) | undefined;
  private readonly options: GenerationRunOptions;
  private readonly runMetrics: RouterRunMetrics;
  private readonly services: RunServices;
  private stopReason: StopReason | undefined;
  private readonly tokenRelay: RouterTokenRelay;
  private readonly tracker: GenerationTracker;

  constructor(options: GenerationRunOptions) {
    const { completion, earlierRun, services } = options;
    this.options = options;
    this.runMetrics = new RouterRunMetrics(services.metrics, services.clock.nowMs());
    this.services = services;
    this.tracker = new GenerationTracker({
      buffered: !completion.stream,
      resumeFromIndex: options.resumeFromIndex,
      generationId: options.generationId,
      knownTexts: earlierRun?.knownTexts,
      policy: services.policy,
      startedAttempt: earlierRun?.attempt,
    });
    this.assignment = new RouterRunAssignment({
      onPreemptionRequested: () => {
        this.tokenRelay.requestPreemption();
      },
      run: options,
      signal: this.abortController.signal,
      tracker: this.tracker,
    });
    this.tokenRelay = new RouterTokenRelay({
      assignment: this.assignment,
      isStopped: () => this.stopReason !== undefined,
      run: options,
      runMetrics: this.runMetrics,
      tracker: this.tracker,
    });
    if (earlierRun) {
      this.assignment.adopt(earlierRun);
    }
  }

  /** Whether this run continues the generation of an earlier connection of the request. */
  continuesEarlierRun(): boolean {
    return this.options.earlierRun !== undefined;
  }

  /** Refuses the caller before the run starts: another connection of the request is being served. */
  rejectAsSuperseded(): void {
    this.options.sink.fail(SUPERSEDED_END.refusal);
    this.options.quotaGrant.release();
  }

  /** Stops the run and returns the state that the next run needs to continue the generation. */
  handOver(): HandedOverRun {
    this.requestStop('handedOver');
    return {
      ...this.assignment.handOver(),
      attempt: this.tracker.attempt,
      generationId: this.options.generationId,
      knownTexts: this.tracker.knownTexts(),
      seed: this.options.seed,
    };
  }

  /** Whether the caller has disconnected and the generation is kept until it reconnects. */
  isAwaitingReconnect(): boolean {
    return this.endReconnectWait !== undefined;
  }

  /** Whether the run was stopped before it could answer completely. */
  isStopped(): boolean {
    return this.stopReason !== undefined;
  }

  /** Closes the caller's connection and leaves the generation running for another router. */
  detach(): void {
    this.requestStop('draining');
  }

  /** Progress of the generation for the scheduler of its engine, undefined while it is not placed. */
  progressReport(): ProgressReport | undefined {
    return this.assignment.progressReport();
  }

  /** Resolves once the answer is complete, the generation has failed or the run was stopped. */
  async run(): Promise<void> {
    const { quotaGrant, sink } = this.options;
    sink.onDisconnect(() => {
      this.requestStop('callerDisconnected');
    });
    if (sink.isDisconnected()) {
      this.requestStop('callerDisconnected');
    }
    const removeSource = this.services.progressReporter.addSource(this);
    try {
      await this.performUntilEnd();
    } finally {
      removeSource();
      this.tokenRelay.close();
      this.assignment.releaseReservation();
      this.runMetrics.reportTotals();
      quotaGrant.release();
    }
  }

  private async performUntilEnd(): Promise<void> {
    let action = await this.firstAction();
    while (this.stopReason === undefined) {
      if (action.kind === 'end') {
        this.fail(action.refusal);
        return;
      }
      if (action.kind === 'finish') {
        this.finish(action);
        return;
      }
      recordAction(this.services.decisions, action, this.tracker, this.options.requestId);
      action = await this.perform(action);
    }
    await this.endStopped(this.stopReason);
  }

  private async firstAction(): Promise<GenerationAction> {
    await this.tokenRelay.deliverKnownTokens();
    if (!this.assignment.isPlaced()) {
      return this.tracker.placeFirst();
    }
    if ((await this.assignment.recordAtHomes()) === 'superseded') {
      return SUPERSEDED_END;
    }
    const { engineId } = this.assignment.engine();
    return this.tracker.handleEvent({ engineId, kind: 'adopted' });
  }

  private perform(action: Exclude<GenerationAction, EndAction | FinishAction>) {
    switch (action.kind) {
      case 'ask':
        return this.tokenRelay.queryStatus();
      case 'await':
        return this.tokenRelay.relayTokens();
      case 'place':
        return this.placeAttempt(action);
      case 'resume':
        return this.resumeAttempt(action.fromIndex);
    }
  }

  private async placeAttempt(action: PlaceAction): Promise<GenerationAction> {
    this.tokenRelay.close();
    this.assignment.leaveEngine(action.attempt);
    this.tokenRelay.clearPreemption();
    await pause(this.services.timers, action.delayMs, this.abortController.signal);
    const placement = await this.assignment.place(action);
    if (placement.ok) {
      this.tracker.recordStart(this.assignment.engine().engineId);
      return this.startAttempt(action, placement.value.enginePriority);
    }
    if (placement.error === 'aborted') {
      return action;
    }
    const nowMs = this.services.clock.nowMs();
    return this.tracker.handleEvent({ kind: 'placementFailed', nowMs, refusal: placement.error });
  }

  private async startAttempt(action: PlaceAction, priority: number): Promise<GenerationAction> {
    const { completion, generationId, seed } = this.options;
    const { attempt, prefix } = action;
    const { maxTokens, model, prompt } = completion;
    const recorded = this.assignment.recordAtHomes();
    this.tokenRelay.open(
      this.services.engines.start(this.assignment.engine().url, {
        attempt,
        generationId,
        maxTokens,
        model,
        prefix,
        priority,
        prompt,
        seed,
      }),
    );
    if ((await recorded) === 'superseded') {
      this.assignment.cancel(attempt);
      return SUPERSEDED_END;
    }
    return this.tokenRelay.relayTokens();
  }

  private resumeAttempt(fromIndex: number): Promise<GenerationAction> {
    const { generationId } = this.options;
    const { attempt } = this.tracker;
    const { url } = this.assignment.engine();
    this.tokenRelay.open(this.services.engines.resume(url, { attempt, fromIndex, generationId }));
    return this.tokenRelay.relayTokens();
  }

  private finish(action: FinishAction): void {
    const { contract, sink } = this.options;
    sink.finish(action.finishReason, action.totalTokens);
    this.assignment.endGeneration({ forgetAfterMs: contract.reconnectGraceMs });
  }

  private fail(cause: Refusal): void {
    const { contract, requestId, sink } = this.options;
    const fields = { detail: cause.detail, name: cause.code };
    this.services.decisions.record({ decision: 'refuse', fields, requestId });
    this.services.metrics.increment('refusals', 1, { code: cause.code });
    sink.fail(cause);
    if (cause.code !== 'ATTEMPT_SUPERSEDED') {
      this.assignment.endGeneration({ forgetAfterMs: contract.reconnectGraceMs });
    }
  }

  private async endStopped(reason: StopReason): Promise<void> {
    this.tokenRelay.close();
    if (reason === 'handedOver') {
      this.options.sink.fail(SUPERSEDED_END.refusal);
      return;
    }
    if (reason === 'draining') {
      await this.disconnectForDrain();
      return;
    }
    if (this.assignment.isPlaced()) {
      await this.awaitReconnect();
    }
  }

  /** Updates the home records and disconnects, so that the caller resumes at another router. */
  private async disconnectForDrain(): Promise<void> {
    const { sink } = this.options;
    if (this.assignment.isPlaced()) {
      await this.assignment.recordAtHomes();
      sink.disconnect();
      return;
    }
    if (this.tracker.attempt > 1) {
      sink.disconnect();
      return;
    }
    sink.fail(refusal('DRAINING', 'this router is shutting down', DRAINING_RETRY_MS));
  }

  /** Keeps the generation for the reconnect grace period of the contract, then cancels it. */
  private async awaitReconnect(): Promise<void> {
    const { contract, requestId } = this.options;
    const recorded = this.assignment.recordAtHomes();
    if (this.services.isDraining()) {
      await recorded;
      return;
    }
    await new Promise<void>((resolve) => {
      const stopTimer = this.services.timers.after(contract.reconnectGraceMs, resolve);
      this.endReconnectWait = () => {
        stopTimer();
        resolve();
      };
    });
    if (this.stopReason !== 'callerDisconnected') {
      return;
    }
    const { attempt } = this.tracker;
    const { engineId } = this.assignment.engine();
    const fields = { attempt, engineId };
    this.services.decisions.record({ decision: 'cancel', fields, requestId });
    this.assignment.cancel(attempt);
    this.assignment.endGeneration({ forgetAfterMs: 0 });
  }

  private requestStop(reason: StopReason): void {
    if (this.stopReason !== undefined && reason === 'callerDisconnected') {
      return;
    }
    this.stopReason = reason;
    this.abortController.abort();
    this.tokenRelay.interrupt();
    this.options.sink.interruptDelivery();
    this.endReconnectWait?.();
  }
}
