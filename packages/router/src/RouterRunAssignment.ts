import type { PlaceAction, GenerationTracker } from '@laburnumgap/generation';
import type { AttemptNumber, Refusal, Result, TeamId } from '@laburnumgap/kernel';
import { failure, invariant, success, toId } from '@laburnumgap/kernel';
import { prefixHashesOf, promptTokensOf } from '@laburnumgap/routing';
import type { GrantedReservation } from './RouterAdmissionWait.js';
import {
  HOME_REFRESH_INTERVAL_TOKENS,
  MAX_RECORD_RETENTION_MS,
  NO_ENGINE_INVARIANT,
} from './RouterConstants.js';
import type { PlacementRequest } from './RouterPlacement.js';
import type { HomeRecordOutcome, ProgressReport } from './RouterPorts.js';
import type { EngineLocation, GenerationRunOptions, HandedOverRun } from './RouterRunTypes.js';

/** Options of a {@link RouterRunAssignment}. */
export interface RunAssignmentOptions {
  /** Called when the scheduler reclaims the memory of the generation. */
  readonly onPreemptionRequested: () => void;
  readonly run: GenerationRunOptions;
  /** Aborts a pending admission. */
  readonly signal: AbortSignal;
  readonly tracker: GenerationTracker;
}

const PRIORITY_CLASSES = { batch: 2, interactive: 0, standard: 1 } as const;

/**
 * The engine that currently runs one generation, its reservation there, and the reports and records
 * that schedulers and request homes keep of it.
 */
export class RouterRunAssignment {
  private currentEngine: EngineLocation | undefined;
  private readonly onPreemptionRequested: () => void;
  private preemptions = 0;
  private readonly prefixHashes: readonly string[];
  private readonly promptTokens: number;
  private recordedHomesVersion = 0;
  private reservation: GrantedReservation | undefined;
  private readonly run: GenerationRunOptions;
  private readonly signal: AbortSignal;
  private readonly teamId: TeamId;
  private readonly tracker: GenerationTracker;

  constructor(options: RunAssignmentOptions) {
    const { completion, contract } = options.run;
    this.onPreemptionRequested = options.onPreemptionRequested;
    this.prefixHashes = prefixHashesOf(completion.prompt);
    this.promptTokens = promptTokensOf(completion.prompt);
    this.run = options.run;
    this.signal = options.signal;
    this.teamId = toId(contract.team);
    this.tracker = options.tracker;
  }

  /** Takes over the engine and the reservation of an earlier run of the request. */
  adopt(earlierRun: HandedOverRun): void {
    this.currentEngine = earlierRun.engine;
    if (earlierRun.reservation) {
      this.setReservation(earlierRun.reservation);
    }
  }

  /** Whether an engine is assigned. */
  isPlaced(): boolean {
    return this.currentEngine !== undefined;
  }

  /** The assigned engine; throws while none is. */
  engine(): EngineLocation {
    invariant(this.currentEngine, NO_ENGINE_INVARIANT, 'a placed generation has an engine');
    return this.currentEngine;
  }

  /** Cancels an attempt at the engine; the engine ignores this if a higher attempt runs there. */
  cancel(attempt: AttemptNumber): void {
    const { generationId, services } = this.run;
    void services.engines.cancel(this.engine().url, generationId, attempt);
  }

  /**
   * Ends the generation. The scheduler learns at once that its memory is free. The homes keep the
   * record for `forgetAfterMs`, so that a caller whose connection broke within the last tokens can
   * still fetch them.
   */
  endGeneration({ forgetAfterMs }: { readonly forgetAfterMs: number }): void {
    const { requestId, services } = this.run;
    const { progressReporter, requestHomes, timers } = services;
    const { teamId } = this;
    const { attempt } = this.tracker;
    if (this.currentEngine) {
      progressReporter.addFinalReport(this.createReport({ finished: true }));
    }
    // Must not capture the run: its texts would stay in memory until the timer fires.
    const forget = (): void => {
      requestHomes.forget(teamId, requestId, attempt);
    };
    if (forgetAfterMs === 0) {
      forget();
      return;
    }
    timers.after(Math.min(forgetAfterMs, MAX_RECORD_RETENTION_MS), forget);
  }

  /** Cancels the current attempt and releases its reservation before the next attempt is placed. */
  leaveEngine(nextAttempt: AttemptNumber): void {
    if (this.currentEngine) {
      this.cancel((nextAttempt - 1) as AttemptNumber);
    }
    this.releaseReservation();
    this.currentEngine = undefined;
  }

  /** Reports a preemption, decided by the engine itself or by its scheduler. */
  recordPreempted(byEngine: boolean): void {
    this.preemptions += 1;
    const report = this.createReport({ enginePreempted: byEngine, finished: true });
    this.run.services.progressReporter.addFinalReport(report);
  }

  /** Assigns an engine whose scheduler admits the attempt. */
  async place(
    action: PlaceAction,
  ): Promise<Result<{ enginePriority: number }, Refusal | 'aborted'>> {
    const placement = await this.run.services.placement.place(this.createPlacementRequest(action));
    if (!placement.ok) {
      return failure(placement.error.kind === 'aborted' ? 'aborted' : placement.error.refusal);
    }
    const { engineId, engineUrl, reservation } = placement.value;
    this.currentEngine = { engineId, url: engineUrl };
    this.setReservation(reservation);
    return success({ enginePriority: reservation.enginePriority });
  }

  /** Progress for the scheduler of the engine; updates the homes first if they may have changed. */
  progressReport(): ProgressReport | undefined {
    this.recordIfHomesChanged();
    return this.currentEngine ? this.createReport({ finished: false }) : undefined;
  }

  /** Records the attempt at the request's homes. */
  recordAtHomes(): Promise<HomeRecordOutcome> {
    const { completion, generationId, requestId, seed, services } = this.run;
    const { engineId, url } = this.engine();
    this.recordedHomesVersion = services.requestHomes.version();
    return services.requestHomes.record({
      attempt: this.tracker.attempt,
      bodyHash: completion.bodyHash,
      deliveredIndex: this.tracker.deliveredTokens - 1,
      engineId,
      engineUrl: url,
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

  /** Refreshes the home records once every {@link HOME_REFRESH_INTERVAL_TOKENS} tokens. */
  refreshHomesAtInterval(index: number): void {
    if (index % HOME_REFRESH_INTERVAL_TOKENS === HOME_REFRESH_INTERVAL_TOKENS - 1) {
      void this.recordAtHomes();
    }
  }

  releaseReservation(): void {
    this.reservation?.release();
    this.reservation = undefined;
  }

  /** Transfers the engine and the reservation to the next run, which must release the latter. */
  handOver(): { readonly engine?: EngineLocation; readonly reservation?: GrantedReservation } {
    const { currentEngine: engine, reservation } = this;
    this.reservation = undefined;
    return { engine, reservation };
  }

  /** Records the attempt again after a membership change, which may have changed the homes. */
  private recordIfHomesChanged(): void {
    if (
      this.currentEngine &&
      this.recordedHomesVersion !== this.run.services.requestHomes.version()
    ) {
      void this.recordAtHomes();
    }
  }

  private setReservation(reservation: GrantedReservation): void {
    this.reservation = reservation;
    reservation.onPreemptionRequested(() => {
      if (this.reservation === reservation) {
        this.onPreemptionRequested();
      }
    });
  }

  private createPlacementRequest(action: PlaceAction): PlacementRequest {
    const { completion, contract, generationId, requestId } = this.run;
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
      signal: this.signal,
      teamId: this.teamId,
      waitBoundMs: contract.waitBoundMs,
      weight: contract.scheduling.weight,
    };
  }

  private createReport(state: {
    readonly enginePreempted?: boolean;
    readonly finished: boolean;
  }): ProgressReport {
    return {
      attempt: this.tracker.attempt,
      engineId: this.engine().engineId,
      enginePreempted: state.enginePreempted ?? false,
      finished: state.finished,
      generationId: this.run.generationId,
      producedTokens: this.tracker.nextIndex,
    };
  }
}
