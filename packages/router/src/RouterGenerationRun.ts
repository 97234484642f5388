import type { GenerationAction, PlaceAction } from '@laburnumgap/generation';
import { GenerationTracker } from '@laburnumgap/generation';
import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { DRAINING_RETRY_MS } from './RouterConstants.js';
import type { ProgressReport } from './RouterPorts.js';
import { RouterRunAssignment } from './RouterRunAssignment.js';
import { RouterRunMetrics } from './RouterRunMetrics.js';
import { RouterRunReading } from './RouterRunReading.js';
import type { GenerationRunOptions, HandedOverRun, RunServices } from './RouterRunTypes.js';
import { SUPERSEDED_END, recordAction } from './RouterRunUtils.js';
import { pause } from './RouterTimers.js';

type EndAction = Extract<GenerationAction, { kind: 'end' }>;
type FinishAction = Extract<GenerationAction, { kind: 'finish' }>;
type StopReason = 'callerGone' | 'draining' | 'handedOver';

/** Runs one generation for one caller, over all the attempts that it takes. */
export class RouterGenerationRun {
  private readonly abort = new AbortController();
  private readonly assignment: RouterRunAssignment;
  private readonly options: GenerationRunOptions;
  private readonly reading: RouterRunReading;
  private readonly runMetrics: RouterRunMetrics;
  private readonly services: RunServices;
  private stopReason: StopReason | undefined;
  private readonly tracker: GenerationTracker;
  private unpark: (() => void) | undefined;

  constructor(options: GenerationRunOptions) {
    const { completion, from, services } = options;
    this.options = options;
    this.runMetrics = new RouterRunMetrics(services.metrics, services.clock.nowMs());
    this.services = services;
    this.tracker = new GenerationTracker({
      buffered: !completion.stream,
      resumeFromIndex: options.firstWantedIndex,
      generationId: options.generationId,
      knownTexts: from?.knownTexts,
      policy: services.policy,
      startedAttempt: from?.attempt,
    });
    this.assignment = new RouterRunAssignment({
      onMoveOrdered: () => {
        this.reading.orderMove();
      },
      run: options,
      signal: this.abort.signal,
      tracker: this.tracker,
    });
    this.reading = new RouterRunReading({
      assignment: this.assignment,
      isStopped: () => this.stopReason !== undefined,
      run: options,
      runMetrics: this.runMetrics,
      tracker: this.tracker,
    });
    if (from) {
      this.assignment.adopt(from);
    }
  }

  /** Whether it goes on with what an earlier connection of the request left. */
  continuesEarlier(): boolean {
    return this.options.from !== undefined;
  }

  /** Ends before it has begun, because another connection of the request is served. */
  giveWay(): void {
    this.options.sink.fail(SUPERSEDED_END.refusal);
    this.options.hold.release();
  }

  /** Ends the run so that another one can go on with the generation. */
  handOver(): HandedOverRun {
    this.stopWith('handedOver');
    return {
      ...this.assignment.handOver(),
      attempt: this.tracker.attempt,
      generationId: this.options.generationId,
      knownTexts: this.tracker.knownTexts(),
      seed: this.options.seed,
    };
  }

  /** Whether the caller is away and the generation is kept for it. */
  isParked(): boolean {
    return this.unpark !== undefined;
  }

  /** Whether it is to end, or has ended, without an answer of its own. */
  isStopped(): boolean {
    return this.stopReason !== undefined;
  }

  /** Closes the caller's connection and leaves the generation running for another router. */
  leaveToOthers(): void {
    this.stopWith('draining');
  }

  /** How far the generation is, for its scheduler. */
  progress(): ProgressReport | undefined {
    return this.assignment.progress();
  }

  /** Runs until the answer has ended, or the caller or the generation is gone. */
  async run(): Promise<void> {
    const { hold, sink } = this.options;
    sink.onGone(() => {
      this.stopWith('callerGone');
    });
    if (sink.isGone()) {
      this.stopWith('callerGone');
    }
    const unfollow = this.services.progress.follow(this);
    try {
      await this.runToEnd();
    } finally {
      unfollow();
      this.reading.close();
      this.assignment.release();
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
        this.finish(action);
        return;
      }
      recordAction(this.services.decisions, action, this.tracker, this.options.requestId);
      action = await this.perform(action);
    }
    await this.stop(this.stopReason);
  }

  private async begin(): Promise<GenerationAction> {
    await this.reading.deliverKnown();
    if (!this.assignment.isPlaced()) {
      return this.tracker.placeFirst();
    }
    if ((await this.assignment.record()) === 'superseded') {
      return SUPERSEDED_END;
    }
    const { engineId } = this.assignment.engine();
    return this.tracker.handleEvent({ engineId, kind: 'adopted' });
  }

  private perform(action: Exclude<GenerationAction, EndAction | FinishAction>) {
    switch (action.kind) {
      case 'ask':
        return this.reading.ask();
      case 'await':
        return this.reading.read();
      case 'place':
        return this.place(action);
      case 'resume':
        return this.resume(action.fromIndex);
    }
  }

  private async place(action: PlaceAction): Promise<GenerationAction> {
    this.reading.close();
    this.assignment.leave(action.attempt);
    this.reading.forgetMove();
    await pause(this.services.timers, action.delayMs, this.abort.signal);
    const placed = await this.assignment.place(action);
    if (placed.ok) {
      this.tracker.recordStart(this.assignment.engine().engineId);
      return this.start(action, placed.value.enginePriority);
    }
    if (placed.error === 'aborted') {
      return action;
    }
    const nowMs = this.services.clock.nowMs();
    return this.tracker.handleEvent({ kind: 'placementFailed', nowMs, refusal: placed.error });
  }

  private async start(action: PlaceAction, priority: number): Promise<GenerationAction> {
    const { completion, generationId, seed } = this.options;
    const { attempt, prefix } = action;
    const { maxTokens, model, prompt } = completion;
    const recorded = this.assignment.record();
    this.reading.open(
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
    return this.reading.read();
  }

  private resume(fromIndex: number): Promise<GenerationAction> {
    const { generationId } = this.options;
    const { attempt } = this.tracker;
    const { url } = this.assignment.engine();
    this.reading.open(this.services.engines.resume(url, { attempt, fromIndex, generationId }));
    return this.reading.read();
  }

  private finish(action: FinishAction): void {
    const { contract, sink } = this.options;
    sink.finish(action.finishReason, action.totalTokens);
    this.assignment.end({ forgetAfterMs: contract.reconnectGraceMs });
  }

  private fail(refused: Refusal): void {
    const { contract, requestId, sink } = this.options;
    const fields = { detail: refused.detail, name: refused.code };
    this.services.decisions.record({ decision: 'refuse', fields, requestId });
    this.services.metrics.increment('refusals', 1, { code: refused.code });
    sink.fail(refused);
    if (refused.code !== 'ATTEMPT_SUPERSEDED') {
      this.assignment.end({ forgetAfterMs: contract.reconnectGraceMs });
    }
  }

  private async stop(reason: StopReason): Promise<void> {
    this.reading.close();
    if (reason === 'handedOver') {
      this.options.sink.fail(SUPERSEDED_END.refusal);
      return;
    }
    if (reason === 'draining') {
      await this.leave();
      return;
    }
    if (this.assignment.isPlaced()) {
      await this.park();
    }
  }

  /** Brings the homes up to date and closes, so that the caller finds its answer elsewhere. */
  private async leave(): Promise<void> {
    const { sink } = this.options;
    if (this.assignment.isPlaced()) {
      await this.assignment.record();
      sink.abandon();
      return;
    }
    if (this.tracker.attempt > 1) {
      sink.abandon();
      return;
    }
    sink.fail(refusal('DRAINING', 'this router is shutting down', DRAINING_RETRY_MS));
  }

  /** Keeps the generation for a caller that may come back, then gives it up. */
  private async park(): Promise<void> {
    const { contract, requestId } = this.options;
    const recorded = this.assignment.record();
    if (this.services.isDraining()) {
      await recorded;
      return;
    }
    await new Promise<void>((resolve) => {
      const stopTimer = this.services.timers.after(contract.reconnectGraceMs, resolve);
      this.unpark = () => {
        stopTimer();
        resolve();
      };
    });
    if (this.stopReason !== 'callerGone') {
      return;
    }
    const { attempt } = this.tracker;
    const { engineId } = this.assignment.engine();
    const fields = { attempt, engineId };
    this.services.decisions.record({ decision: 'cancel', fields, requestId });
    this.assignment.cancel(attempt);
    this.assignment.end({ forgetAfterMs: 0 });
  }

  private stopWith(reason: StopReason): void {
    if (this.stopReason !== undefined && reason === 'callerGone') {
      return;
    }
    this.stopReason = reason;
    this.abort.abort();
    this.reading.interrupt();
    this.options.sink.interrupt();
    this.unpark?.();
  }
}
