import type { AttemptNumber, GenerationId } from '@laburnumgap/kernel';
import type { AdmissionRequest, ReportedProgress, ReservationId } from './AdmissionTypes.js';
import type { LengthSurvivalCurve } from './LengthSurvivalCurve.js';
import type { GenerationMemory } from './MemoryForecast.js';
import { MemoryForecast } from './MemoryForecast.js';
import type { VictimCandidate } from './VictimChoice.js';

/** A generation that occupies KV cache memory of the engine. */
export interface RunningGeneration {
  /** Survival curve of the output length. */
  curve: LengthSurvivalCurve;
  /** Preemption was requested; the generation runs until its router has cancelled it. */
  isBeingPreempted: boolean;
  readonly maxTokens: number;
  producedTokens: number;
  readonly promptTokens: number;
  /** When its progress was last reported. */
  reportedMs: number;
  /** Absent for a generation that another scheduler admitted. */
  readonly request?: AdmissionRequest;
}

/** A running generation with the data that decides on its preemption. */
export interface PreemptionCandidate extends VictimCandidate {
  readonly generation: RunningGeneration;
}

/** Effect of a progress report. */
export interface ProgressOutcome {
  readonly generation: RunningGeneration;
  /** Tokens produced since the previous report. */
  readonly newTokens: number;
}

/** Index of the forecast step at which an imminent memory overrun is detected. */
const NEAR_TERM_STEP_INDEX = 3;
/** Adopted generations are removed after this time without a progress report. */
const ADOPTED_TIMEOUT_MS = 3_000;
/** Longest time since the last report over which produced tokens are extrapolated. */
const MAX_EXTRAPOLATION_MS = 2_000;
const INTERVAL_SMOOTHING = 0.1;
const MAX_ENDED_GENERATIONS = 1_024;

/** Tracks the generations that run on one engine and forecasts their memory use. */
export class RunningGenerations {
  /**
   * Recently ended generations, oldest first. The value is undefined once the final progress report
   * has arrived.
   */
  private readonly endedGenerations = new Map<string, RunningGeneration | undefined>();
  private readonly forecast = new MemoryForecast<string>();
  private readonly generations = new Map<string, RunningGeneration>();
  private readonly keyByReservation = new Map<ReservationId, string>();
  private smoothedTokenIntervalMs: number | undefined;

  /** Number of generations that occupy memory. */
  size(): number {
    return this.generations.size;
  }

  /** Number of generations admitted by another scheduler. */
  adoptedCount(): number {
    return this.generations.size - this.keyByReservation.size;
  }

  /** Tokens that the generations hold in the KV cache now. */
  heldTokens(): number {
    return this.forecast.heldTokens();
  }

  /** Tokens expected to be held in the near term, excluding generations that are being preempted. */
  nearTermTokens(): number {
    let expectedTokens = this.forecast.expectedTokens(NEAR_TERM_STEP_INDEX);
    for (const [key, generation] of this.generations) {
      if (generation.isBeingPreempted) {
        expectedTokens -= this.forecast.expectedTokensOf(key, NEAR_TERM_STEP_INDEX);
      }
    }
    return expectedTokens;
  }

  /** Smoothed time between two tokens of a generation; undefined until it was measured. */
  meanTokenIntervalMs(): number | undefined {
    return this.smoothedTokenIntervalMs;
  }

  /** Peak of the forecast memory use, in tokens, if the request were admitted now. */
  peakTokens(request: AdmissionRequest, curve: LengthSurvivalCurve, deviations: number): number {
    return this.forecast.peakTokens(memoryOf(request, curve), deviations);
  }

  /** Whether the request fits into the memory at every forecast step. */
  fits(
    request: AdmissionRequest,
    curve: LengthSurvivalCurve,
    deviations: number,
    limitTokens: number,
  ): boolean {
    return this.forecast.fits(memoryOf(request, curve), deviations, limitTokens);
  }

  /**
   * Ends earlier attempts of a generation. The engine also ends them when the later attempt starts,
   * and the later attempt reuses their memory.
   *
   * @param request - the later attempt
   * @returns whether an earlier attempt was running and not being preempted
   */
  supersede(request: AdmissionRequest): boolean {
    let hadActiveAttempt = false;
    for (let attempt = request.attempt - 1; attempt > 0; attempt -= 1) {
      const key = attemptKey(request.generationId, attempt);
      const generation = this.generations.get(key);
      if (generation) {
        hadActiveAttempt ||= !generation.isBeingPreempted;
        this.endGeneration(key);
      }
    }
    return hadActiveAttempt;
  }

  /** Adds an admitted request to the running generations. */
  start(request: AdmissionRequest, curve: LengthSurvivalCurve, nowMs: number): void {
    const key = attemptKey(request.generationId, request.attempt);
    this.remove(key);
    this.endedGenerations.delete(key);
    const { maxTokens, producedTokens, promptTokens } = request;
    this.generations.set(key, {
      curve,
      isBeingPreempted: false,
      maxTokens,
      producedTokens,
      promptTokens,
      reportedMs: nowMs,
      request,
    });
    this.keyByReservation.set(request.reservationId, key);
    this.updateForecast(key, nowMs);
  }

  /** Adds a generation that another scheduler admitted. */
  adopt(
    progress: ReportedProgress,
    promptTokens: number,
    curve: LengthSurvivalCurve,
    nowMs: number,
  ): void {
    const key = attemptKey(progress.generationId, progress.attempt);
    if (this.endedGenerations.has(key)) {
      return;
    }
    this.generations.set(key, {
      curve,
      isBeingPreempted: false,
      maxTokens: Infinity,
      producedTokens: progress.producedTokens,
      promptTokens,
      reportedMs: nowMs,
    });
    this.updateForecast(key, nowMs);
  }

  /**
   * Applies a progress report. Returns undefined for a generation that is not running, except for the
   * first final report of a generation whose stream has ended.
   */
  recordProgress(report: ReportedProgress, nowMs: number): ProgressOutcome | undefined {
    const key = attemptKey(report.generationId, report.attempt);
    const generation = this.generations.get(key);
    if (!generation) {
      return this.recordFinalReport(key, report);
    }
    const newTokens = Math.max(0, report.producedTokens - generation.producedTokens);
    this.updateTokenInterval(nowMs - generation.reportedMs, newTokens);
    generation.producedTokens += newTokens;
    generation.reportedMs = nowMs;
    if (report.finished || report.enginePreempted) {
      this.endGeneration(key);
      this.endedGenerations.set(key, undefined);
    }
    return { generation, newTokens };
  }

  /** Ends the generation of a reservation. Returns false if none is running under it. */
  release(reservationId: ReservationId): boolean {
    const key = this.keyByReservation.get(reservationId);
    if (key === undefined) {
      return false;
    }
    this.endGeneration(key);
    return true;
  }

  /** Removes adopted generations for which progress reports have stopped. */
  expireAdopted(nowMs: number): void {
    for (const [key, generation] of this.generations) {
      if (!generation.request && nowMs - generation.reportedMs >= ADOPTED_TIMEOUT_MS) {
        this.endGeneration(key);
      }
    }
  }

  /** Recomputes the forecast for the current time with the latest survival curves. */
  refresh(nowMs: number, curveOf: (request: AdmissionRequest) => LengthSurvivalCurve): void {
    for (const [key, generation] of this.generations) {
      if (generation.request) {
        generation.curve = curveOf(generation.request);
      }
      this.updateForecast(key, nowMs);
    }
  }

  /** Generations admitted by this scheduler that are not being preempted yet. */
  preemptionCandidates(): readonly PreemptionCandidate[] {
    const candidates: PreemptionCandidate[] = [];
    for (const generation of this.generations.values()) {
      const { curve, maxTokens, producedTokens, promptTokens, request } = generation;
      if (!request || generation.isBeingPreempted) {
        continue;
      }
      candidates.push({
        costTokens: promptTokens + producedTokens,
        expectedRemainingTokens: curve.expectedRemainingTokens(producedTokens, maxTokens),
        generation,
        preemptions: request.preemptions,
        priorityClass: request.priorityClass,
      });
    }
    return candidates;
  }

  /** Routers send reports in batches, so the final report may arrive after the stream has ended. */
  private recordFinalReport(key: string, report: ReportedProgress): ProgressOutcome | undefined {
    const generation = this.endedGenerations.get(key);
    if (!generation || !report.finished) {
      return undefined;
    }
    this.endedGenerations.set(key, undefined);
    const newTokens = Math.max(0, report.producedTokens - generation.producedTokens);
    return { generation, newTokens };
  }

  private endGeneration(key: string): void {
    const generation = this.generations.get(key);
    this.remove(key);
    this.endedGenerations.set(key, generation);
    if (this.endedGenerations.size > MAX_ENDED_GENERATIONS) {
      const oldest = this.endedGenerations.keys().next();
      this.endedGenerations.delete(oldest.value ?? '');
    }
  }

  private updateForecast(key: string, nowMs: number): void {
    const generation = this.generations.get(key);
    if (!generation) {
      return;
    }
    const { curve, maxTokens, promptTokens } = generation;
    const producedTokens = generation.producedTokens + this.unreportedTokens(generation, nowMs);
    const heldTokens = promptTokens + producedTokens;
    this.forecast.put(key, { curve, heldTokens, maxTokens, producedTokens });
  }

  private updateTokenInterval(elapsedMs: number, newTokens: number): void {
    if (newTokens === 0 || elapsedMs <= 0) {
      return;
    }
    const measuredMs = elapsedMs / newTokens;
    const previousMs = this.smoothedTokenIntervalMs ?? measuredMs;
    this.smoothedTokenIntervalMs = previousMs + INTERVAL_SMOOTHING * (measuredMs - previousMs);
  }

  private remove(key: string): void {
    const reservationId = this.generations.get(key)?.request?.reservationId;
    if (reservationId !== undefined) {
      this.keyByReservation.delete(reservationId);
    }
    this.generations.delete(key);
    this.forecast.remove(key);
  }

  private unreportedTokens(generation: RunningGeneration, nowMs: number): number {
    if (this.smoothedTokenIntervalMs === undefined) {
      return 0;
    }
    const elapsedMs = Math.min(nowMs - generation.reportedMs, MAX_EXTRAPOLATION_MS);
    return Math.max(0, Math.floor(elapsedMs / this.smoothedTokenIntervalMs));
  }
}

function memoryOf(request: AdmissionRequest, curve: LengthSurvivalCurve): GenerationMemory {
  const { maxTokens, producedTokens, promptTokens } = request;
  return { curve, heldTokens: promptTokens + producedTokens, maxTokens, producedTokens };
}

function attemptKey(generationId: GenerationId, attempt: AttemptNumber | number): string {
  return `${generationId}/${attempt}`;
}
