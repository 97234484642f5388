import type { EngineStream } from '@laburnumgap/engine';
import type { GenerationAction, GenerationPlacement } from '@laburnumgap/generation';
import { GenerationTracker } from '@laburnumgap/generation';
import type { EngineStreamEvent, GeneratedToken, Refusal } from '@laburnumgap/kernel';
import { invariant, refusal } from '@laburnumgap/kernel';
import {
  DRAINING_RETRY_MS,
  ENGINE_LEAVING,
  NO_STREAM_INVARIANT,
  PAUSE_CHECK_MS,
} from './RouterConstants.js';
import type { ProgressReport } from './RouterPorts.js';
import { RouterRunAssignment } from './RouterRunAssignment.js';
import { RouterRunMetrics } from './RouterRunMetrics.js';
import type { GenerationRunOptions, HandedOverRun, RunServices } from './RouterRunTypes.js';
import { RouterStreamReader } from './RouterStreamReader.js';

type EndAction = Extract<GenerationAction, { kind: 'end' }>;
type FinishAction = Extract<GenerationAction, { kind: 'finish' }>;
type StopReason = 'callerGone' | 'draining' | 'handedOver';

/** Runs one generation for one caller, over all the attempts that it takes. */
export class RouterGenerationRun {
  private readonly abort = new AbortController();
  private activeMs: number;
  private readonly assignment: RouterRunAssignment;
  private moveOrdered = false;
  private readonly options: GenerationRunOptions;
  private reader: RouterStreamReader | undefined;
  private readonly runMetrics: RouterRunMetrics;
  private readonly services: RunServices;
  private stopReason: StopReason | undefined;
  private readonly tracker: GenerationTracker;
  private unpark: (() => void) | undefined;

  constructor(options: GenerationRunOptions) {
    const { completion, from, services } = options;
    this.activeMs = services.clock.nowMs();
    this.options = options;
    this.runMetrics = new RouterRunMetrics(services.metrics, services.clock.nowMs());
    this.services = services;
    this.tracker = new GenerationTracker({
      buffered: !completion.stream,
      firstWantedIndex: options.firstWantedIndex,
      generationId: options.generationId,
      knownTexts: from?.knownTexts,
      policy: services.policy,
      startedAttempt: from?.attempt,
    });
    this.assignment = new RouterRunAssignment({
      onMoveOrdered: () => {
        this.moveOrdered = true;
        this.reader?.interrupt();
      },
      run: options,
      signal: this.abort.signal,
      tracker: this.tracker,
    });
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
      this.closeReader();
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
      this.logAction(action);
      action = await this.perform(action);
    }
    await this.stop(this.stopReason);
  }

  private async begin(): Promise<GenerationAction> {
    await this.deliverKnown();
    if (!this.assignment.isPlaced()) {
      return this.tracker.begin();
    }
    if ((await this.assignment.record()) === 'superseded') {
      return superseded();
    }
    const { engineId } = this.assignment.engine();
    return this.tracker.decide({ engineId, kind: 'adopted' });
  }

  private async deliverKnown(): Promise<void> {
    const { firstWantedIndex, sink } = this.options;
    const texts = this.tracker.knownTexts();
    for (let index = firstWantedIndex; index < texts.length; index += 1) {
      await sink.deliver(index, texts[index] ?? '');
    }
  }

  private perform(action: Exclude<GenerationAction, EndAction | FinishAction>) {
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
    const { engineId, url } = this.assignment.engine();
    const status = await this.services.engines.status(url, this.options.generationId);
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
      this.services.health.suspect(engineId);
    }
    return action;
  }

  private async place(action: GenerationPlacement): Promise<GenerationAction> {
    this.closeReader();
    this.assignment.leave(action.attempt);
    this.moveOrdered = false;
    if (action.delayMs > 0) {
      await this.pause(action.delayMs);
    }
    const placed = await this.assignment.place(action);
    if (placed.ok) {
      this.tracker.noteStarted(this.assignment.engine().engineId);
      return this.start(action, placed.value.enginePriority);
    }
    if (placed.error === 'aborted') {
      return action;
    }
    const nowMs = this.services.clock.nowMs();
    return this.tracker.decide({ kind: 'placementFailed', nowMs, refusal: placed.error });
  }

  private async start(action: GenerationPlacement, priority: number): Promise<GenerationAction> {
    const { completion, generationId, seed } = this.options;
    const { attempt, prefix } = action;
    const { maxTokens, model, prompt } = completion;
    const recorded = this.assignment.record();
    this.open(
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
      return superseded();
    }
    return this.read();
  }

  private resume(fromIndex: number): Promise<GenerationAction> {
    const { generationId } = this.options;
    const { attempt } = this.tracker;
    const { url } = this.assignment.engine();
    this.open(this.services.engines.resume(url, { attempt, fromIndex, generationId }));
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
      if (event.kind === 'token') {
        const action = await this.takeToken(event.token, reader);
        if (action) {
          return action;
        }
      } else if (event.kind === 'preempted') {
        return this.move('preempted');
      } else if (event.kind === 'silent') {
        return this.tracker.decide(event);
      } else if (event.kind !== 'interrupted') {
        this.closeReader();
        this.noteLeaving(event);
        return this.tracker.decide(event);
      }
    }
    return { kind: 'await' };
  }

  private async takeToken(
    token: GeneratedToken,
    reader: RouterStreamReader,
  ): Promise<GenerationAction | undefined> {
    if (await this.wasTakenOver()) {
      this.closeReader();
      return superseded();
    }
    const verdict = this.tracker.take(token);
    if (verdict === 'deliver') {
      this.runMetrics.noteToken(this.services.clock.nowMs(), reader.usualGapMs());
      this.options.hold.charge(1);
      this.assignment.refreshHomes(token.index);
      await this.options.sink.deliver(token.index, token.text);
      return undefined;
    }
    if (verdict === 'gap') {
      this.closeReader();
      const detail = `the engine left out tokens before ${token.index}`;
      return this.tracker.decide({ detail, kind: 'sequenceBroken' });
    }
    return undefined;
  }

  /**
   * After a pause, of the process or of the caller, tokens may be at hand that were read before
   * another router took over: the engine and the homes are asked before any of them is delivered.
   */
  private async wasTakenOver(): Promise<boolean> {
    const pausedMs = this.services.clock.nowMs() - this.activeMs;
    this.activeMs = this.services.clock.nowMs();
    if (pausedMs < PAUSE_CHECK_MS) {
      return false;
    }
    const { url } = this.assignment.engine();
    const status = await this.services.engines.status(url, this.options.generationId);
    if (status.ok && status.value.attempt > this.tracker.attempt) {
      return true;
    }
    return (await this.assignment.record()) === 'superseded';
  }

  private move(kind: 'moveOrdered' | 'preempted'): GenerationAction {
    this.moveOrdered = false;
    this.closeReader();
    this.runMetrics.notePreemption(kind);
    this.assignment.notePreempted(kind === 'preempted');
    return this.tracker.decide({ kind });
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
    this.closeReader();
    if (reason === 'handedOver') {
      this.options.sink.fail(superseded().refusal);
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

  private closeReader(): void {
    this.reader?.close();
    this.reader = undefined;
  }

  private logAction(action: GenerationAction): void {
    if (action.kind === 'await' || (action.kind === 'place' && action.attempt === 1)) {
      return;
    }
    const { attempt, nextIndex } = this.tracker;
    const reason = action.kind === 'place' ? action.reason : undefined;
    this.services.decisions.record({
      decision: action.kind === 'place' ? 'retry' : action.kind,
      fields: { attempt, nextIndex, reason },
      requestId: this.options.requestId,
    });
  }

  private noteLeaving(event: EngineStreamEvent): void {
    if (event.kind === 'lost' && event.detail === ENGINE_LEAVING) {
      this.services.placement.noteLeaving(this.assignment.engine().engineId);
    }
  }

  private open(stream: EngineStream): void {
    this.closeReader();
    const { clock, health, timers } = this.services;
    const gaps = health.gapsOf(this.assignment.engine().engineId);
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

function superseded(): EndAction {
  return { kind: 'end', refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs') };
}
