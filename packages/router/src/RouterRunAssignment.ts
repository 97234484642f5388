import type { PlaceAction, GenerationTracker } from '@laburnumgap/generation';
import type { AttemptNumber, Refusal, Result, TeamId } from '@laburnumgap/kernel';
import { failure, invariant, success, toId } from '@laburnumgap/kernel';
import { prefixHashesOf, promptTokensOf } from '@laburnumgap/routing';
import type { GrantedReservation } from './RouterAdmissionWait.js';
import { HOME_REFRESH_TOKENS, MAX_RECORD_KEPT_MS, NO_ENGINE_INVARIANT } from './RouterConstants.js';
import type { PlacementRequest } from './RouterPlacement.js';
import type { HomeRecorded, ProgressReport } from './RouterPorts.js';
import type { GenerationRunOptions, HandedOverRun, RunEngine } from './RouterRunTypes.js';

/** What an assignment is made with. */
export interface RunAssignmentOptions {
  /** Called when the scheduler wants the memory back. */
  readonly onMoveOrdered: () => void;
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
  private current: RunEngine | undefined;
  private homesVersion = 0;
  private readonly onMoveOrdered: () => void;
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
    this.onMoveOrdered = options.onMoveOrdered;
    this.prefixHashes = prefixHashesOf(completion.prompt);
    this.promptTokens = promptTokensOf(completion.prompt);
    this.run = options.run;
    this.signal = options.signal;
    this.teamId = toId(contract.team);
    this.tracker = options.tracker;
  }

  /** Takes over what an earlier run of the request left. */
  adopt(from: HandedOverRun): void {
    this.current = from.engine;
    if (from.reservation) {
      this.hold(from.reservation);
    }
  }

  /** Whether an engine has the generation. */
  isPlaced(): boolean {
    return this.current !== undefined;
  }

  /** The engine that has the generation. */
  engine(): RunEngine {
    invariant(this.current, NO_ENGINE_INVARIANT, 'a placed generation has an engine');
    return this.current;
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
  end({ forgetAfterMs }: { readonly forgetAfterMs: number }): void {
    const { requestId, services } = this.run;
    const { homes, progress, timers } = services;
    const { teamId } = this;
    const { attempt } = this.tracker;
    if (this.current) {
      progress.noteEnded(this.report({ finished: true }));
    }
    // Holds nothing of the run, whose texts would else stay in memory until the timer fires.
    const forget = (): void => {
      homes.forget(teamId, requestId, attempt);
    };
    if (forgetAfterMs === 0) {
      forget();
      return;
    }
    timers.after(Math.min(forgetAfterMs, MAX_RECORD_KEPT_MS), forget);
  }

  /** Leaves the engine, before the next attempt is placed. */
  leave(nextAttempt: AttemptNumber): void {
    if (this.current) {
      this.cancel((nextAttempt - 1) as AttemptNumber);
    }
    this.release();
    this.current = undefined;
  }

  /** Notes that the generation was preempted at the engine that has it. */
  notePreempted(byEngine: boolean): void {
    this.preemptions += 1;
    const report = this.report({ enginePreempted: byEngine, finished: true });
    this.run.services.progress.noteEnded(report);
  }

  /** Finds an engine that admits the attempt. */
  async place(
    action: PlaceAction,
  ): Promise<Result<{ enginePriority: number }, Refusal | 'aborted'>> {
    const placed = await this.run.services.placement.place(this.placementRequest(action));
    if (!placed.ok) {
      return failure(placed.error.kind === 'aborted' ? 'aborted' : placed.error.refusal);
    }
    const { engineId, engineUrl, reservation } = placed.value;
    this.current = { engineId, url: engineUrl };
    this.hold(reservation);
    return success({ enginePriority: reservation.enginePriority });
  }

  /** How far the generation is, for the scheduler of its engine. */
  progress(): ProgressReport | undefined {
    this.followHomes();
    return this.current ? this.report({ finished: false }) : undefined;
  }

  /** Records the attempt at the request's homes. */
  record(): Promise<HomeRecorded> {
    const { completion, generationId, requestId, seed, services } = this.run;
    const { engineId, url } = this.engine();
    this.homesVersion = services.homes.version();
    return services.homes.record({
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
  refreshHomes(index: number): void {
    if (index % HOME_REFRESH_TOKENS === HOME_REFRESH_TOKENS - 1) {
      void this.record();
    }
  }

  /** Gives the reservation back. */
  release(): void {
    this.reservation?.release();
    this.reservation = undefined;
  }

  /** Hands the engine and the reservation on; nothing is left to give back here. */
  handOver(): { readonly engine?: RunEngine; readonly reservation?: GrantedReservation } {
    const { current, reservation } = this;
    this.reservation = undefined;
    return { engine: current, reservation };
  }

  /** Records again when members came or went: the homes may be others now. */
  private followHomes(): void {
    if (this.current && this.homesVersion !== this.run.services.homes.version()) {
      void this.record();
    }
  }

  private hold(reservation: GrantedReservation): void {
    this.reservation = reservation;
    reservation.onMoveOrdered(() => {
      if (this.reservation === reservation) {
        this.onMoveOrdered();
      }
    });
  }

  private placementRequest(action: PlaceAction): PlacementRequest {
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

  private report(state: {
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
