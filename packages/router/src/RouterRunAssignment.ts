import type { GenerationPlacement, GenerationTracker } from '@laburnumgap/generation';
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
import type { GenerationRunOptions, HandedOverRun, EngineLocation } from './RouterRunTypes.js';

/** What an assignment is made with. */
export interface RunAssignmentOptions {
  /** Called when the scheduler wants the memory back. */
  readonly onPreemptionRequested: () => void;
  readonly run: GenerationRunOptions;
  /** Ends a wait for admission. */
  readonly signal: AbortSignal;
  readonly tracker: GenerationTracker;
}

const PRIORITY_CLASSES = { batch: 2, interactive: 0, standard: 1 } as const;

/**
 * Where one generation runs at present: its engine, its reservation there, and the records by
 * which schedulers and homes know of it.
 */
export class RouterRunAssignment {
  private currentEngine: EngineLocation | undefined;
  private recordedHomesVersion = 0;
  private readonly onPreemptionRequested: () => void;
  private readonly prefixHashes: readonly string[];
  private preemptions = 0;
  private readonly promptTokens: number;
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

  /** Takes over what an earlier run of the request left. */
  adopt(earlierRun: HandedOverRun): void {
    this.currentEngine = earlierRun.engine;
    if (earlierRun.reservation) {
      this.setReservation(earlierRun.reservation);
    }
  }

  /** Whether an engine has the generation. */
  isPlaced(): boolean {
    return this.currentEngine !== undefined;
  }

  /** The engine that has the generation. */
  engine(): EngineLocation {
    invariant(this.currentEngine, NO_ENGINE_INVARIANT, 'a placed generation has an engine');
    return this.currentEngine;
  }

  /** Cancels an attempt at the engine, unless a higher one runs there. */
  cancel(attempt: AttemptNumber): void {
    const { generationId, services } = this.run;
    void services.engines.cancel(this.engine().url, generationId, attempt);
  }

  /**
   * Ends the generation for good: its memory is given back at once. The homes keep its record for
   * a caller whose connection broke within the last tokens.
   */
  endGeneration({ forgetAfterMs }: { readonly forgetAfterMs: number }): void {
    const { requestId, services } = this.run;
    const { requestHomes, progressReporter, timers } = services;
    const { teamId } = this;
    const { attempt } = this.tracker;
    if (this.currentEngine) {
      progressReporter.addFinalReport(this.createReport({ finished: true }));
    }
    // Holds nothing of the run, whose texts would else stay in memory until the timer fires.
    const forget = (): void => {
      requestHomes.forget(teamId, requestId, attempt);
    };
    if (forgetAfterMs === 0) {
      forget();
      return;
    }
    timers.after(Math.min(forgetAfterMs, MAX_RECORD_RETENTION_MS), forget);
  }

  /** Leaves the engine, before the next attempt is placed. */
  leaveEngine(nextAttempt: AttemptNumber): void {
    if (this.currentEngine) {
      this.cancel((nextAttempt - 1) as AttemptNumber);
    }
    this.releaseReservation();
    this.currentEngine = undefined;
  }

  /** Notes that the generation was preempted at the engine that has it. */
  notePreempted(byEngine: boolean): void {
    this.preemptions += 1;
    const report = this.createReport({ enginePreempted: byEngine, finished: true });
    this.run.services.progressReporter.addFinalReport(report);
  }

  /** Finds an engine that admits the attempt. */
  async place(
    action: GenerationPlacement,
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

  /** How far the generation is, for the scheduler of its engine. */
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

  /** Refreshes the homes now and then. */
  refreshHomesAtInterval(index: number): void {
    if (index % HOME_REFRESH_INTERVAL_TOKENS === HOME_REFRESH_INTERVAL_TOKENS - 1) {
      void this.recordAtHomes();
    }
  }

  /** Gives the reservation back. */
  releaseReservation(): void {
    this.reservation?.release();
    this.reservation = undefined;
  }

  /** Hands the engine and the reservation on; nothing is left to give back here. */
  handOver(): { readonly engine?: EngineLocation; readonly reservation?: GrantedReservation } {
    const { currentEngine: engine, reservation } = this;
    this.reservation = undefined;
    return { engine, reservation };
  }

  /** Records again when members came or went: the homes may be others now. */
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

  private createPlacementRequest(action: GenerationPlacement): PlacementRequest {
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
