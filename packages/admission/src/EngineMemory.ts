import type { EngineLoad } from '@laburnumgap/kernel';
import type { AdmissionReason, AdmissionRequest, ReportedProgress } from './AdmissionTypes.js';
import type { LengthSurvivalCurve } from './LengthSurvivalCurve.js';
import { LoadCorrection } from './LoadCorrection.js';
import { OverrunMargin } from './OverrunMargin.js';
import type { PreemptionCandidate, ProgressOutcome } from './RunningGenerations.js';
import { RunningGenerations } from './RunningGenerations.js';
import { chooseVictim } from './VictimChoice.js';

/** Options of {@link EngineMemory}. */
export interface EngineMemoryOptions {
  /** Returns the survival curve of a request's output length. */
  readonly curveOf: (request: AdmissionRequest) => LengthSurvivalCurve;
  /** When this scheduler became responsible for the engine. */
  readonly startedMs: number;
  /** Acceptable memory overruns per completed generation. */
  readonly targetOverrunRate?: number;
}

/** Additional margin while the set of generations on the engine is not fully known. */
const REBUILDING_DEVIATIONS = 2;
/** Within this time after a takeover, routers have reported all running generations. */
const REBUILD_SETTLE_MS = 1_500;
/**
 * A running scheduler handles events more often than this. A longer gap means that the process was
 * paused.
 */
const PAUSE_THRESHOLD_MS = 5_000;
/** Interval of forecast updates while requests are queued. */
const REFRESH_INTERVAL_MS = 100;
/** Interval of forecast updates while the queue is empty. */
const IDLE_REFRESH_INTERVAL_MS = 500;
/** Largest share of the memory in use by unknown generations for an engine to count as empty. */
const EMPTY_ENGINE_MAX_UNACCOUNTED_SHARE = 0.1;
const INITIAL_MEAN_PROMPT_TOKENS = 512;
const PROMPT_SMOOTHING = 0.05;

/**
 * Tracks and forecasts the KV cache memory of an engine, from grants, the routers' progress reports
 * and the engine's own delayed load reports.
 *
 * After a start, a takeover or a pause of the process, the running generations are not known. The
 * state is then rebuilt: nothing is admitted before the engine's first load report; the full
 * difference between that report and this scheduler's own count is then treated as used; and an
 * additional margin applies until a load report was measured after the routers' reports arrived.
 */
export class EngineMemory {
  readonly running = new RunningGenerations();
  private capacityTokens = 0;
  private readonly correction = new LoadCorrection();
  private readonly curveOf: (request: AdmissionRequest) => LengthSurvivalCurve;
  private lastEventMs: number;
  private lastLoad: EngineLoad | undefined;
  private readonly margin: OverrunMargin;
  private maxRunning = 0;
  /** Smoothed prompt length; stands in for the unknown prompt of an adopted generation. */
  private meanPromptTokens = INITIAL_MEAN_PROMPT_TOKENS;
  /** Engine preemptions reported by routers that no load report has included yet. */
  private preemptionsAheadOfLoad = 0;
  private rebuildingSinceMs: number | undefined;
  private refreshedMs: number;

  constructor(options: EngineMemoryOptions) {
    this.curveOf = options.curveOf;
    this.lastEventMs = options.startedMs;
    this.margin = new OverrunMargin({ targetOverrunRate: options.targetOverrunRate });
    this.rebuildingSinceMs = options.startedMs;
    this.refreshedMs = options.startedMs;
  }

  /** Capacity of the engine's KV cache in tokens; 0 while it is unknown. */
  kvTokensCapacity(): number {
    return this.capacityTokens;
  }

  /** Margin of the forecast in standard deviations. */
  deviations(): number {
    const extraDeviations = this.isRebuilding() ? REBUILDING_DEVIATIONS : 0;
    return this.margin.deviations() + extraDeviations;
  }

  /** Tokens held in the KV cache now, including those of unknown generations. */
  heldTokens(): number {
    return this.running.heldTokens() + this.correction.tokens();
  }

  /** Whether the state is being rebuilt, so that not all running generations are known. */
  isRebuilding(): boolean {
    return this.rebuildingSinceMs !== undefined;
  }

  /** Time of the latest event. */
  latestEventMs(): number {
    return this.lastEventMs;
  }

  /** Peak of the forecast memory use, in tokens, if the request were admitted now. */
  peakTokens(request: AdmissionRequest, curve: LengthSurvivalCurve): number {
    const peakTokens = this.running.peakTokens(request, curve, this.deviations());
    return peakTokens + this.correction.tokens();
  }

  /** Whether the request may be admitted now. */
  fits(request: AdmissionRequest, curve: LengthSurvivalCurve): boolean {
    if (this.capacityTokens === 0 || this.running.size() >= this.maxRunning) {
      return false;
    }
    if (this.running.size() === 0 && this.fitsEmptyEngine(request)) {
      return true;
    }
    const limitTokens = this.capacityTokens - this.correction.tokens();
    return this.running.fits(request, curve, this.deviations(), limitTokens);
  }

  /** Whether the request fits into an empty engine; true while the capacity is unknown. */
  couldEverFit(request: AdmissionRequest): boolean {
    const requiredTokens = request.promptTokens + request.producedTokens;
    return this.capacityTokens === 0 || requiredTokens < this.capacityTokens;
  }

  /** Returns the data of an admission decision, for the decision log. */
  reasonFor(request: AdmissionRequest): AdmissionReason {
    return {
      deviations: Number(this.deviations().toFixed(2)),
      kvTokensCapacity: this.capacityTokens,
      kvTokensPeak: Math.round(this.peakTokens(request, this.curveOf(request))),
      kvTokensUsed: Math.round(this.heldTokens()),
      preemptions: request.preemptions,
    };
  }

  /** Adds an admitted request to the running generations. */
  start(request: AdmissionRequest, curve: LengthSurvivalCurve, nowMs: number): void {
    this.running.start(request, curve, nowMs);
    const changeTokens = request.promptTokens - this.meanPromptTokens;
    this.meanPromptTokens += PROMPT_SMOOTHING * changeTokens;
  }

  /** Records the time of an event, and starts a rebuild if the process was paused before it. */
  recordEventTime(nowMs: number): void {
    if (nowMs - this.lastEventMs >= PAUSE_THRESHOLD_MS) {
      this.restart(nowMs);
    }
    this.lastEventMs = nowMs;
  }

  /** Starts to rebuild the state: nothing is admitted until the engine's next load report. */
  restart(nowMs: number): void {
    this.capacityTokens = 0;
    this.rebuildingSinceMs = nowMs;
  }

  /** Applies a load report of the engine. */
  recordLoadReport(load: EngineLoad, nowMs: number): void {
    this.capacityTokens = load.kvTokensCapacity;
    this.maxRunning = load.maxRunning;
    this.correction.recordReport(load, nowMs, this.isRebuilding());
    this.recordEnginePreemptions(load);
    this.lastLoad = load;
    const rebuiltAfterMs = (this.rebuildingSinceMs ?? nowMs) + REBUILD_SETTLE_MS;
    if (nowMs - load.ageMs >= rebuiltAfterMs) {
      this.rebuildingSinceMs = undefined;
    }
  }

  /**
   * Applies a router's progress report. An unknown generation was admitted by another scheduler; it
   * is adopted, so that its memory is counted from now on.
   *
   * @param report - the report
   * @param curve - survival curve for an unknown generation
   * @param nowMs - the current time
   * @returns the effect of the report, or undefined for an unknown generation
   */
  recordProgress(
    report: ReportedProgress,
    curve: LengthSurvivalCurve,
    nowMs: number,
  ): ProgressOutcome | undefined {
    const outcome = this.running.recordProgress(report, nowMs);
    if (!outcome) {
      this.adopt(report, curve, nowMs);
      return undefined;
    }
    if (report.enginePreempted) {
      this.preemptionsAheadOfLoad += 1;
      this.margin.recordOverrun(this.lastEventMs);
    } else if (report.finished) {
      this.margin.recordCompletion();
    }
    return outcome;
  }

  /**
   * Updates the forecast if its update interval has passed. Called after each event.
   *
   * @param nowMs - the current time
   * @param hasQueuedRequests - whether requests are queued, which makes updates more frequent
   */
  advance(nowMs: number, hasQueuedRequests: boolean): void {
    const intervalMs = hasQueuedRequests ? REFRESH_INTERVAL_MS : IDLE_REFRESH_INTERVAL_MS;
    if (nowMs - this.refreshedMs >= intervalMs) {
      this.refreshedMs = nowMs;
      this.running.expireAdopted(nowMs);
      this.running.refresh(nowMs, this.curveOf);
    }
    this.correction.recordSample(this.running.heldTokens(), nowMs);
  }

  /**
   * Selects a generation to preempt, marks it as being preempted and records an overrun. Returns
   * undefined if memory is not about to run out or every candidate is protected.
   */
  nextVictim(): PreemptionCandidate | undefined {
    if (!this.isAboutToOverflow()) {
      return undefined;
    }
    const victim = chooseVictim(this.running.preemptionCandidates());
    if (victim) {
      victim.generation.isBeingPreempted = true;
      this.margin.recordOverrun(this.lastEventMs);
    }
    return victim;
  }

  private adopt(report: ReportedProgress, curve: LengthSurvivalCurve, nowMs: number): void {
    if (!report.finished && !report.enginePreempted) {
      this.running.adopt(report, this.meanPromptTokens, curve, nowMs);
    }
  }

  private fitsEmptyEngine(request: AdmissionRequest): boolean {
    const requiredTokens = request.promptTokens + request.producedTokens;
    const unaccountedTokens = this.correction.tokens();
    const isEmpty = unaccountedTokens <= EMPTY_ENGINE_MAX_UNACCOUNTED_SHARE * this.capacityTokens;
    return isEmpty && unaccountedTokens + requiredTokens < this.capacityTokens;
  }

  /** Whether the engine already queues generations and the forecast exceeds its capacity. */
  private isAboutToOverflow(): boolean {
    const isEngineQueueing = (this.lastLoad?.queuedGenerations ?? 0) > 0;
    if (this.capacityTokens === 0 || !isEngineQueueing) {
      return false;
    }
    return this.running.nearTermTokens() + this.correction.tokens() > this.capacityTokens;
  }

  /** Records an overrun for each preemption by the engine that no router has reported. */
  private recordEnginePreemptions(load: EngineLoad): void {
    const previousPreemptions = this.lastLoad?.preemptions ?? load.preemptions;
    const newPreemptions = Math.max(0, load.preemptions - previousPreemptions);
    for (let count = this.preemptionsAheadOfLoad; count < newPreemptions; count += 1) {
      this.margin.recordOverrun(this.lastEventMs);
    }
    this.preemptionsAheadOfLoad = Math.max(0, this.preemptionsAheadOfLoad - newPreemptions);
  }
}
