import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineId,
  GeneratedToken,
  GenerationId,
  Refusal,
} from '@laburnumgap/kernel';
import { invariant, refusal, toNumberId } from '@laburnumgap/kernel';
import type { ContinuationPolicy } from './ContinuationPolicy.js';
import { PrefixContinuationPolicy } from './ContinuationPolicy.js';
import type {
  GenerationAction,
  GenerationEvent,
  PlaceAction,
  TokenOutcome,
} from './GenerationActions.js';
import {
  DEFAULT_MAX_FAILURES_WITHOUT_PROGRESS,
  DEFAULT_PLACEMENT_TIMEOUT_MS,
  MAX_PLACEMENT_RETRY_MS,
  MAX_UNANSWERED_STATUS_QUERIES,
  NEGATIVE_INDEX_INVARIANT,
  NO_ATTEMPT_INVARIANT,
  PLACEMENT_RETRY_MS,
} from './GenerationConstants.js';
import type { GenerationTrackerOptions } from './GenerationTrackerOptions.js';
import { earlyEndOf } from './GenerationUtils.js';

/**
 * Follows one generation over all its attempts: which token is taken, and what is done when an
 * engine, a link or a reservation is lost. Pure: time comes in with the events.
 */
export class GenerationTracker {
  private attemptNumber: number;
  private readonly buffered: boolean;
  private engine: EngineId | undefined;
  private readonly excluded = new Set<EngineId>();
  private failuresWithoutProgress = 0;
  private readonly firstWantedIndex: number;
  private readonly generationId: GenerationId;
  private readonly maxFailures: number;
  private readonly patienceMs: number;
  private readonly policy: ContinuationPolicy;
  private searchingSinceMs: number | undefined;
  private started: boolean;
  private readonly texts: string[];
  private unansweredAsks = 0;

  constructor(options: GenerationTrackerOptions) {
    this.attemptNumber = options.startedAttempt ?? 0;
    this.buffered = options.buffered ?? false;
    this.firstWantedIndex = options.resumeFromIndex ?? 0;
    this.generationId = options.generationId;
    this.maxFailures = options.maxFailuresWithoutProgress ?? DEFAULT_MAX_FAILURES_WITHOUT_PROGRESS;
    this.patienceMs = options.placementTimeoutMs ?? DEFAULT_PLACEMENT_TIMEOUT_MS;
    this.policy = options.policy ?? new PrefixContinuationPolicy();
    this.started = this.attemptNumber > 0;
    this.texts = [...(options.knownTexts ?? [])];
    invariant(
      this.firstWantedIndex >= 0,
      NEGATIVE_INDEX_INVARIANT,
      'first wanted index is not negative',
    );
  }

  /** Number of the current attempt; 0 before the first. */
  get attempt(): AttemptNumber {
    return toNumberId(this.attemptNumber);
  }

  /** Index of the next token that is expected from an engine. */
  get nextIndex(): number {
    return this.texts.length;
  }

  /** Tokens that the caller may have. */
  get deliveredTokens(): number {
    if (this.buffered) {
      return 0;
    }
    return Math.max(this.firstWantedIndex, this.texts.length);
  }

  /** Texts of the leading tokens. */
  knownTexts(): readonly string[] {
    return this.texts;
  }

  /** The first placement. */
  placeFirst(): PlaceAction {
    return this.place('first');
  }

  /** Notes that the current attempt is about to be sent to an engine: from now on it may run. */
  recordStart(engineId: EngineId): void {
    this.engine = engineId;
    this.started = true;
    this.searchingSinceMs = undefined;
  }

  /** Judges a token and keeps it when it is the next one. */
  acceptToken(token: GeneratedToken): TokenOutcome {
    invariant(this.attemptNumber > 0, NO_ATTEMPT_INVARIANT, 'an attempt runs');
    if (token.generationId !== this.generationId) {
      return 'foreign';
    }
    if (token.attempt !== this.attemptNumber) {
      return 'stale';
    }
    if (token.index < this.texts.length) {
      return 'duplicate';
    }
    if (token.index > this.texts.length) {
      return 'gap';
    }
    this.texts.push(token.text);
    this.failuresWithoutProgress = 0;
    return token.index < this.firstWantedIndex ? 'held' : 'deliver';
  }

  /** Decides what to do after an event. */
  handleEvent(event: GenerationEvent): GenerationAction {
    switch (event.kind) {
      case 'adopted':
        this.recordStart(event.engineId);
        return this.resume();
      case 'finished':
        return this.onFinished(event);
      case 'lost':
        return this.onLost(event);
      case 'moveOrdered':
      case 'preempted':
        return this.moveOn(event.kind);
      case 'placementFailed':
        return this.onPlacementFailed(event.refusal, event.nowMs);
      case 'sequenceBroken':
        return this.afterFailure(event.detail) ?? this.resume();
      case 'silent':
        return { kind: 'ask' };
      case 'status':
        return this.onStatus(event.status, event.streamOpen);
      case 'statusFailed':
        return this.onStatusFailed(event.detail, event.refused);
    }
  }

  private afterFailure(detail: string): GenerationAction | undefined {
    this.failuresWithoutProgress += 1;
    if (this.failuresWithoutProgress <= this.maxFailures) {
      return undefined;
    }
    return { kind: 'end', refusal: this.earlyEnd(detail) };
  }

  private dropUndelivered(): void {
    if (!this.policy.keepsUndelivered) {
      this.texts.length = 0;
    }
  }

  private earlyEnd(detail: string, retryAfterMs?: number): Refusal {
    return earlyEndOf(this.deliveredTokens, detail, retryAfterMs);
  }

  private giveEngineUp(detail: string): GenerationAction {
    const ended = this.afterFailure(detail);
    if (ended) {
      return ended;
    }
    if (this.engine !== undefined) {
      this.excluded.add(this.engine);
    }
    if (!this.mayMove()) {
      return { kind: 'end', refusal: this.earlyEnd(`the engine is lost (${detail})`) };
    }
    this.dropUndelivered();
    return this.place(detail);
  }

  private mayMove(): boolean {
    return this.policy.mayUseOtherEngine({
      deliveredTokens: this.deliveredTokens,
      knownTokens: this.texts.length,
    });
  }

  /** Readmission after a preemption: any engine, or the same one where the policy binds it. */
  private moveOn(reason: string): GenerationAction {
    if (this.mayMove()) {
      this.dropUndelivered();
    }
    return this.place(reason);
  }

  private onFinished(event: Extract<GenerationEvent, { kind: 'finished' }>): GenerationAction {
    if (event.finishReason === 'cancelled') {
      return this.giveEngineUp('the engine cancelled the generation');
    }
    if (event.totalTokens !== this.texts.length) {
      const detail = `the engine counts ${event.totalTokens} tokens, ${this.texts.length} came`;
      return this.afterFailure(detail) ?? this.resume();
    }
    return {
      finishReason: event.finishReason,
      kind: 'finish',
      totalTokens: event.totalTokens,
    };
  }

  private onLost(event: Extract<GenerationEvent, { kind: 'lost' }>): GenerationAction {
    switch (event.reason) {
      case 'superseded':
      case 'reset':
      case 'connectFailed':
      case 'protocolViolation':
        return this.afterFailure(event.detail) ?? { kind: 'ask' };
      case 'unknownGeneration':
      case 'rejected':
        return this.giveEngineUp(event.detail);
    }
  }

  private onPlacementFailed(reason: Refusal, nowMs: number): GenerationAction {
    if (!this.started) {
      return { kind: 'end', refusal: reason };
    }
    this.searchingSinceMs ??= nowMs;
    if (nowMs - this.searchingSinceMs >= this.patienceMs) {
      return { kind: 'end', refusal: this.earlyEnd(reason.detail, reason.retryAfterMs) };
    }
    this.excluded.clear();
    const delayMs = Math.min(reason.retryAfterMs ?? PLACEMENT_RETRY_MS, MAX_PLACEMENT_RETRY_MS);
    return { ...this.placement('placementFailed'), delayMs };
  }

  private onStatus(status: EngineGenerationStatus, streamOpen: boolean): GenerationAction {
    this.unansweredAsks = 0;
    if (status.state === 'unknown') {
      return this.giveEngineUp('the engine does not know the generation');
    }
    if (status.attempt > this.attemptNumber) {
      return { kind: 'end', refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs') };
    }
    if (status.attempt < this.attemptNumber) {
      return this.giveEngineUp('the engine runs an older attempt');
    }
    if (status.state === 'preempted') {
      return this.moveOn('preempted');
    }
    const nothingMissing = status.producedTokens <= this.texts.length;
    if (streamOpen && nothingMissing && status.state !== 'finished') {
      return { kind: 'await' };
    }
    return this.resume();
  }

  private onStatusFailed(detail: string, refused: boolean): GenerationAction {
    this.unansweredAsks += 1;
    if (!refused && this.unansweredAsks < MAX_UNANSWERED_STATUS_QUERIES) {
      return { kind: 'ask' };
    }
    this.unansweredAsks = 0;
    return this.giveEngineUp(detail);
  }

  private place(reason: string): PlaceAction {
    this.attemptNumber += 1;
    return this.placement(reason);
  }

  private placement(reason: string): PlaceAction {
    return {
      attempt: this.attempt,
      delayMs: 0,
      excludedEngines: [...this.excluded],
      kind: 'place',
      onlyEngine: this.started && !this.mayMove() ? this.engine : undefined,
      prefix: [...this.texts],
      reason,
    };
  }

  private resume(): GenerationAction {
    return { attempt: this.attempt, fromIndex: this.texts.length, kind: 'resume' };
  }
}
