import type { AttemptNumber, GenerationId } from '@laburnumgap/kernel';
import type { AdmissionRequest, ReportedProgress, ReservationId } from './AdmissionTypes.js';
import type { LengthCurve } from './LengthCurve.js';
import type { MemoryHold } from './MemoryForecast.js';
import { MemoryForecast } from './MemoryForecast.js';
import type { VictimCandidate } from './VictimChoice.js';

/** A generation that holds memory of the engine. */
export interface RunningGeneration {
  curve: LengthCurve;
  isBeingPreempted: boolean;
  readonly maxTokens: number;
  producedTokens: number;
  readonly promptTokens: number;
  /** When its progress was last reported. */
  reportedMs: number;
  /** Absent for a generation that another scheduler admitted. */
  readonly request?: AdmissionRequest;
}

/** A running generation with its preemption figures. */
export interface PreemptionCandidate extends VictimCandidate {
  readonly generation: RunningGeneration;
}

/** What a progress report changed. */
export interface ProgressOutcome {
  readonly generation: RunningGeneration;
  readonly grewTokens: number;
}

/** Index of the forecast step that says whether memory is about to run out. */
const NEAR_STEP = 3;
/** Adopted generations without reports are forgotten after this time. */
const ADOPTED_TIMEOUT_MS = 3_000;
const MAX_EXTRAPOLATION_MS = 2_000;
const INTERVAL_SMOOTHING = 0.1;
const MAX_ENDED_KEPT = 1_024;

/** The generations that run on one engine, with the forecast of the memory they hold. */
export class RunningGenerations {
  /** Generations that ended; those whose last report is still to come keep what is known. */
  private readonly ended = new Map<string, RunningGeneration | undefined>();
  private readonly forecast = new MemoryForecast<string>();
  private readonly generations = new Map<string, RunningGeneration>();
  private readonly keysOfReservations = new Map<ReservationId, string>();
  private tokenIntervalMs: number | undefined;

  /** Number of generations that hold memory. */
  size(): number {
    return this.generations.size;
  }

  /** Number of generations admitted by another scheduler. */
  adoptedCount(): number {
    return this.generations.size - this.keysOfReservations.size;
  }

  /** Tokens that the generations hold now. */
  heldTokens(): number {
    return this.forecast.heldTokens();
  }

  /** Tokens they will hold shortly, without those that are being preempted. */
  nearTokens(): number {
    let nearTokens = this.forecast.expectedTokens(NEAR_STEP);
    for (const [key, generation] of this.generations) {
      if (generation.isBeingPreempted) {
        nearTokens -= this.forecast.expectedTokensOf(key, NEAR_STEP);
      }
    }
    return nearTokens;
  }

  /** Time between tokens of one generation, once it was seen. */
  intervalMs(): number | undefined {
    return this.tokenIntervalMs;
  }

  /** Highest memory use to come if the request was admitted now. */
  peakTokens(request: AdmissionRequest, curve: LengthCurve, deviations: number): number {
    return this.forecast.peakTokens(holdOf(request, curve), deviations);
  }

  /** Whether the request fits into the memory, now and later. */
  fits(
    request: AdmissionRequest,
    curve: LengthCurve,
    deviations: number,
    limitTokens: number,
  ): boolean {
    return this.forecast.fits(holdOf(request, curve), deviations, limitTokens);
  }

  /**
   * Ends lower attempts of a generation. The engine ends them too when the higher one starts, which
   * goes on with the same memory.
   *
   * @param request - the higher attempt
   * @returns whether a lower one ran that was not to be preempted
   */
  supersede(request: AdmissionRequest): boolean {
    let ran = false;
    for (let attempt = request.attempt - 1; attempt > 0; attempt -= 1) {
      const key = keyOf(request.generationId, attempt);
      const generation = this.generations.get(key);
      if (generation) {
        ran ||= !generation.isBeingPreempted;
        this.end(key);
      }
    }
    return ran;
  }

  /** Counts an admitted request as running. */
  start(request: AdmissionRequest, curve: LengthCurve, nowMs: number): void {
    const key = keyOf(request.generationId, request.attempt);
    this.remove(key);
    this.ended.delete(key);
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
    this.keysOfReservations.set(request.reservationId, key);
    this.forecastOne(key, nowMs);
  }

  /** Counts a generation as running that another scheduler admitted. */
  adopt(progress: ReportedProgress, promptTokens: number, curve: LengthCurve, nowMs: number): void {
    const key = keyOf(progress.generationId, progress.attempt);
    if (this.ended.has(key)) {
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
    this.forecastOne(key, nowMs);
  }

  /** Takes a report; undefined for a generation that is not known to run. */
  progress(report: ReportedProgress, nowMs: number): ProgressOutcome | undefined {
    const key = keyOf(report.generationId, report.attempt);
    const generation = this.generations.get(key);
    if (!generation) {
      return this.lastReport(key, report);
    }
    const grewTokens = Math.max(0, report.producedTokens - generation.producedTokens);
    this.learnInterval(nowMs - generation.reportedMs, grewTokens);
    generation.producedTokens += grewTokens;
    generation.reportedMs = nowMs;
    if (report.finished || report.enginePreempted) {
      this.end(key);
      this.ended.set(key, undefined);
    }
    return { generation, grewTokens };
  }

  /** Ends a reservation; false when it did not run. */
  release(reservationId: ReservationId): boolean {
    const key = this.keysOfReservations.get(reservationId);
    if (key === undefined) {
      return false;
    }
    this.end(key);
    return true;
  }

  /** Forgets adopted generations that nobody reports any more. */
  expireAdopted(nowMs: number): void {
    for (const [key, generation] of this.generations) {
      if (!generation.request && nowMs - generation.reportedMs >= ADOPTED_TIMEOUT_MS) {
        this.end(key);
      }
    }
  }

  /** Brings the forecast up to the time, and to what was learned of lengths since. */
  refresh(nowMs: number, curveOf: (request: AdmissionRequest) => LengthCurve): void {
    for (const [key, generation] of this.generations) {
      if (generation.request) {
        generation.curve = curveOf(generation.request);
      }
      this.forecastOne(key, nowMs);
    }
  }

  /** Generations that could be preempted. */
  candidates(): readonly PreemptionCandidate[] {
    const candidates: PreemptionCandidate[] = [];
    for (const generation of this.generations.values()) {
      const { curve, maxTokens, producedTokens, promptTokens, request } = generation;
      if (!request || generation.isBeingPreempted) {
        continue;
      }
      candidates.push({
        costTokens: promptTokens + producedTokens,
        expectedRemainingTokens: curve.expectedRemaining(producedTokens, maxTokens),
        generation,
        preemptions: request.preemptions,
        priorityClass: request.priorityClass,
      });
    }
    return candidates;
  }

  /** Routers send reports in batches, so the last one may come after the end of the stream. */
  private lastReport(key: string, report: ReportedProgress): ProgressOutcome | undefined {
    const generation = this.ended.get(key);
    if (!generation || !report.finished) {
      return undefined;
    }
    this.ended.set(key, undefined);
    const grewTokens = Math.max(0, report.producedTokens - generation.producedTokens);
    return { generation, grewTokens };
  }

  private end(key: string): void {
    const generation = this.generations.get(key);
    this.remove(key);
    this.ended.set(key, generation);
    if (this.ended.size > MAX_ENDED_KEPT) {
      const oldest = this.ended.keys().next();
      this.ended.delete(oldest.value ?? '');
    }
  }

  private forecastOne(key: string, nowMs: number): void {
    const generation = this.generations.get(key);
    if (!generation) {
      return;
    }
    const { curve, maxTokens, promptTokens } = generation;
    const producedTokens = generation.producedTokens + this.unreportedTokens(generation, nowMs);
    const heldTokens = promptTokens + producedTokens;
    this.forecast.put(key, { curve, heldTokens, maxTokens, producedTokens });
  }

  private learnInterval(passedMs: number, grewTokens: number): void {
    if (grewTokens === 0 || passedMs <= 0) {
      return;
    }
    const measuredMs = passedMs / grewTokens;
    const knownMs = this.tokenIntervalMs ?? measuredMs;
    this.tokenIntervalMs = knownMs + INTERVAL_SMOOTHING * (measuredMs - knownMs);
  }

  private remove(key: string): void {
    const reservationId = this.generations.get(key)?.request?.reservationId;
    if (reservationId !== undefined) {
      this.keysOfReservations.delete(reservationId);
    }
    this.generations.delete(key);
    this.forecast.remove(key);
  }

  private unreportedTokens(generation: RunningGeneration, nowMs: number): number {
    if (this.tokenIntervalMs === undefined) {
      return 0;
    }
    const passedMs = Math.min(nowMs - generation.reportedMs, MAX_EXTRAPOLATION_MS);
    return Math.max(0, Math.floor(passedMs / this.tokenIntervalMs));
  }
}

function holdOf(request: AdmissionRequest, curve: LengthCurve): MemoryHold {
  const { maxTokens, producedTokens, promptTokens } = request;
  return { curve, heldTokens: promptTokens + producedTokens, maxTokens, producedTokens };
}

function keyOf(generationId: GenerationId, attempt: AttemptNumber | number): string {
  return `${generationId}/${attempt}`;
}
