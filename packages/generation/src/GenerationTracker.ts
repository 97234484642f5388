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
import { createEarlyEndRefusal } from './EarlyEndRefusal.js';
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

/**
 * State machine of one generation over all its attempts: decides which tokens are accepted, and
 * what to do when an engine, a connection or a reservation is lost. It has no side effects and no
 * clock; events carry the time.
 */
export class GenerationTracker {
  private attemptNumber: number;
  private readonly buffered: boolean;
  private engine: EngineId | undefined;
  private readonly excluded = new Set<EngineId>();
  private failuresWithoutProgress = 0;
  private readonly generationId: GenerationId;
  private readonly maxFailuresWithoutProgress: number;
  private placementFailingSinceMs: number | undefined;
  private readonly placementTimeoutMs: number;
  private readonly policy: ContinuationPolicy;
  private readonly resumeFromIndex: number;
  private started: boolean;
  private readonly tokenTexts: string[];
  private unansweredStatusQueries = 0;

  constructor(options: GenerationTrackerOptions) {
    this.attemptNumber = options.startedAttempt ?? 0;
    this.buffered = options.buffered ?? false;
    this.resumeFromIndex = options.resumeFromIndex ?? 0;
    this.generationId = options.generationId;
    this.maxFailuresWithoutProgress =
      options.maxFailuresWithoutProgress ?? DEFAULT_MAX_FAILURES_WITHOUT_PROGRESS;
    this.placementTimeoutMs = options.placementTimeoutMs ?? DEFAULT_PLACEMENT_TIMEOUT_MS;
    this.policy = options.policy ?? new PrefixContinuationPolicy();
    this.started = this.attemptNumber > 0;
    this.tokenTexts = [...(options.knownTexts ?? [])];
    invariant(
      this.resumeFromIndex >= 0,
      NEGATIVE_INDEX_INVARIANT,
      'the index to resume from is not negative',
    );
  }

  /** Number of the current attempt; 0 before the first one. */
  get attempt(): AttemptNumber {
    return toNumberId(this.attemptNumber);
  }

  /** Index of the next token expected from the engine. */
  get nextIndex(): number {
    return this.tokenTexts.length;
  }

  /** Number of tokens that the caller may have received. */
  get deliveredTokens(): number {
    if (this.buffered) {
      return 0;
    }
    return Math.max(this.resumeFromIndex, this.tokenTexts.length);
  }

  /** Texts of the tokens received so far. */
  knownTexts(): readonly string[] {
    return this.tokenTexts;
  }

  /** Starts the first attempt. */
  placeFirst(): PlaceAction {
    return this.placeNextAttempt('first');
  }

  /** Records that the current attempt is about to be sent to an engine: from now on it may run. */
  recordStart(engineId: EngineId): void {
    this.engine = engineId;
    this.started = true;
    this.placementFailingSinceMs = undefined;
  }

  /** Classifies a received token, and stores it when it is the next one. */
  acceptToken(token: GeneratedToken): TokenOutcome {
    invariant(this.attemptNumber > 0, NO_ATTEMPT_INVARIANT, 'an attempt runs');
    if (token.generationId !== this.generationId) {
      return 'otherGeneration';
    }
    if (token.attempt !== this.attemptNumber) {
      return 'stale';
    }
    if (token.index < this.tokenTexts.length) {
      return 'duplicate';
    }
    if (token.index > this.tokenTexts.length) {
      return 'gap';
    }
    this.tokenTexts.push(token.text);
    this.failuresWithoutProgress = 0;
    return token.index < this.resumeFromIndex ? 'withheld' : 'deliver';
  }

  /** Updates the state for an event and returns what to do next. */
  handleEvent(event: GenerationEvent): GenerationAction {
    switch (event.kind) {
      case 'adopted':
        this.recordStart(event.engineId);
        return this.resumeAction();
      case 'finished':
        return this.onFinished(event);
      case 'lost':
        return this.onLost(event);
      case 'moveOrdered':
      case 'preempted':
        return this.placeAgain(event.kind);
      case 'placementFailed':
        return this.onPlacementFailed(event.refusal, event.nowMs);
      case 'sequenceBroken':
        return this.recordFailure(event.detail) ?? this.resumeAction();
      case 'silent':
        return { kind: 'ask' };
      case 'status':
        return this.onStatus(event.status, event.streamOpen);
      case 'statusFailed':
        return this.onStatusFailed(event.detail, event.refused);
    }
  }

  /** Excludes the current engine and places the generation elsewhere, or ends it. */
  private abandonEngine(detail: string): GenerationAction {
    const ended = this.recordFailure(detail);
    if (ended) {
      return ended;
    }
    if (this.engine !== undefined) {
      this.excluded.add(this.engine);
    }
    if (!this.mayUseOtherEngine()) {
      return { kind: 'end', refusal: this.earlyEndRefusal(`the engine is lost (${detail})`) };
    }
    this.discardUndelivered();
    return this.placeNextAttempt(detail);
  }

  private discardUndelivered(): void {
    if (!this.policy.keepsUndelivered) {
      this.tokenTexts.length = 0;
    }
  }

  private earlyEndRefusal(detail: string, retryAfterMs?: number): Refusal {
    return createEarlyEndRefusal(this.deliveredTokens, detail, retryAfterMs);
  }

  private mayUseOtherEngine(): boolean {
    return this.policy.mayUseOtherEngine({
      deliveredTokens: this.deliveredTokens,
      knownTokens: this.tokenTexts.length,
    });
  }

  private onFinished(event: Extract<GenerationEvent, { kind: 'finished' }>): GenerationAction {
    if (event.finishReason === 'cancelled') {
      return this.abandonEngine('the engine cancelled the generation');
    }
    if (event.totalTokens !== this.tokenTexts.length) {
      const detail = `the engine counts ${event.totalTokens} tokens, received ${this.tokenTexts.length}`;
      return this.recordFailure(detail) ?? this.resumeAction();
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
        return this.recordFailure(event.detail) ?? { kind: 'ask' };
      case 'unknownGeneration':
      case 'rejected':
        return this.abandonEngine(event.detail);
    }
  }

  private onPlacementFailed(reason: Refusal, nowMs: number): GenerationAction {
    if (!this.started) {
      return { kind: 'end', refusal: reason };
    }
    this.placementFailingSinceMs ??= nowMs;
    if (nowMs - this.placementFailingSinceMs >= this.placementTimeoutMs) {
      return { kind: 'end', refusal: this.earlyEndRefusal(reason.detail, reason.retryAfterMs) };
    }
    this.excluded.clear();
    const delayMs = Math.min(reason.retryAfterMs ?? PLACEMENT_RETRY_MS, MAX_PLACEMENT_RETRY_MS);
    return { ...this.placeAction('placementFailed'), delayMs };
  }

  private onStatus(status: EngineGenerationStatus, streamOpen: boolean): GenerationAction {
    this.unansweredStatusQueries = 0;
    if (status.state === 'unknown') {
      return this.abandonEngine('the engine does not know the generation');
    }
    if (status.attempt > this.attemptNumber) {
      return { kind: 'end', refusal: refusal('ATTEMPT_SUPERSEDED', 'a newer attempt runs') };
    }
    if (status.attempt < this.attemptNumber) {
      return this.abandonEngine('the engine runs an older attempt');
    }
    if (status.state === 'preempted') {
      return this.placeAgain('preempted');
    }
    const hasAllProduced = status.producedTokens <= this.tokenTexts.length;
    if (streamOpen && hasAllProduced && status.state !== 'finished') {
      return { kind: 'await' };
    }
    return this.resumeAction();
  }

  private onStatusFailed(detail: string, refused: boolean): GenerationAction {
    this.unansweredStatusQueries += 1;
    if (!refused && this.unansweredStatusQueries < MAX_UNANSWERED_STATUS_QUERIES) {
      return { kind: 'ask' };
    }
    this.unansweredStatusQueries = 0;
    return this.abandonEngine(detail);
  }

  private placeAction(reason: string): PlaceAction {
    return {
      attempt: this.attempt,
      delayMs: 0,
      excludedEngines: [...this.excluded],
      kind: 'place',
      onlyEngine: this.started && !this.mayUseOtherEngine() ? this.engine : undefined,
      prefix: [...this.tokenTexts],
      reason,
    };
  }

  /** Places a preempted generation on any engine, or on the same one where the policy requires. */
  private placeAgain(reason: string): GenerationAction {
    if (this.mayUseOtherEngine()) {
      this.discardUndelivered();
    }
    return this.placeNextAttempt(reason);
  }

  private placeNextAttempt(reason: string): PlaceAction {
    this.attemptNumber += 1;
    return this.placeAction(reason);
  }

  /** Counts a failure; returns the action that ends the generation after too many of them. */
  private recordFailure(detail: string): GenerationAction | undefined {
    this.failuresWithoutProgress += 1;
    if (this.failuresWithoutProgress <= this.maxFailuresWithoutProgress) {
      return undefined;
    }
    return { kind: 'end', refusal: this.earlyEndRefusal(detail) };
  }

  private resumeAction(): GenerationAction {
    return { attempt: this.attempt, fromIndex: this.tokenTexts.length, kind: 'resume' };
  }
}
