import type { EngineLoad } from '@laburnumgap/kernel';
import type { AdmissionReason, AdmissionRequest, ReportedProgress } from './AdmissionTypes.js';
import type { LengthCurve } from './LengthCurve.js';
import { LoadCorrection } from './LoadCorrection.js';
import { OverrunMargin } from './OverrunMargin.js';
import type { PreemptionCandidate, ProgressOutcome } from './RunningGenerations.js';
import { RunningGenerations } from './RunningGenerations.js';
import { chooseVictim } from './VictimChoice.js';

/** Options of an engine's memory. */
export interface EngineMemoryOptions {
  /** Length distribution of a request, as far as it is known. */
  readonly curveOf: (request: AdmissionRequest) => LengthCurve;
  /** When this scheduler began to act for the engine. */
  readonly startedMs: number;
  readonly targetOverrunChance?: number;
}

/** Extra margin while it is not known what runs on the engine. */
const REBUILDING_DEVIATIONS = 2;
/** Routers have reported everything that runs by this time after a takeover. */
const REBUILD_SETTLE_MS = 1_500;
/** Longest time without an event of a scheduler that runs. */
const PAUSE_MS = 5_000;
const REFRESH_INTERVAL_MS = 100;
const QUIET_REFRESH_INTERVAL_MS = 500;
/** Memory of unknown use, as a share, with which the engine still counts as empty. */
const EMPTY_ENGINE_SHARE = 0.1;
const START_PROMPT_TOKENS = 512;
const PROMPT_SMOOTHING = 0.05;

/**
 * What an engine's memory holds and will hold, from grants, routers' reports and the engine's own
 * lagging reports.
 *
 * After a start, a takeover or a pause it is not known what runs. Nothing fits before the engine's
 * first report; the whole difference between that report and the own count is then taken as used,
 * and an extra margin is kept until a report was measured after the routers' reports have come in.
 */
export class EngineMemory {
  readonly running = new RunningGenerations();
  private capacityTokens = 0;
  private readonly correction = new LoadCorrection();
  private readonly curveOf: (request: AdmissionRequest) => LengthCurve;
  private lastEventMs: number;
  private lastLoad: EngineLoad | undefined;
  private readonly margin: OverrunMargin;
  private maxRunning = 0;
  private meanPromptTokens = START_PROMPT_TOKENS;
  private rebuildingSinceMs: number | undefined;
  private refreshedMs: number;
  private unreportedPreemptions = 0;

  constructor(options: EngineMemoryOptions) {
    this.curveOf = options.curveOf;
    this.lastEventMs = options.startedMs;
    this.margin = new OverrunMargin({ targetChance: options.targetOverrunChance });
    this.rebuildingSinceMs = options.startedMs;
    this.refreshedMs = options.startedMs;
  }

  /** Memory of the engine; 0 while it is not known. */
  kvTokensCapacity(): number {
    return this.capacityTokens;
  }

  /** Margin in standard deviations. */
  deviations(): number {
    const extra = this.isRebuilding() ? REBUILDING_DEVIATIONS : 0;
    return this.margin.deviations() + extra;
  }

  /** Tokens held now. */
  heldTokens(): number {
    return this.running.heldTokens() + this.correction.tokens();
  }

  /** Whether it is not known yet what runs on the engine. */
  isRebuilding(): boolean {
    return this.rebuildingSinceMs !== undefined;
  }

  /** When the last event came. */
  latestEventMs(): number {
    return this.lastEventMs;
  }

  /** Highest use of memory to come if the request was admitted now. */
  peakTokens(request: AdmissionRequest, curve: LengthCurve): number {
    const peakTokens = this.running.peakTokens(request, curve, this.deviations());
    return peakTokens + this.correction.tokens();
  }

  /** Whether the request may be admitted now. */
  fits(request: AdmissionRequest, curve: LengthCurve): boolean {
    if (this.capacityTokens === 0 || this.running.size() >= this.maxRunning) {
      return false;
    }
    if (this.running.size() === 0 && this.fitsEmptyEngine(request)) {
      return true;
    }
    const limitTokens = this.capacityTokens - this.correction.tokens();
    return this.running.fits(request, curve, this.deviations(), limitTokens);
  }

  /** Whether the request would fit into the whole memory; true while that is not known. */
  fitsEver(request: AdmissionRequest): boolean {
    const neededTokens = request.promptTokens + request.producedTokens;
    return this.capacityTokens === 0 || neededTokens < this.capacityTokens;
  }

  /** Figures for the decision log. */
  reasonOf(request: AdmissionRequest): AdmissionReason {
    return {
      deviations: Number(this.deviations().toFixed(2)),
      kvTokensCapacity: this.capacityTokens,
      kvTokensPeak: Math.round(this.peakTokens(request, this.curveOf(request))),
      kvTokensUsed: Math.round(this.heldTokens()),
      preemptions: request.preemptions,
    };
  }

  /** Counts an admitted request as running. */
  start(request: AdmissionRequest, curve: LengthCurve, nowMs: number): void {
    this.running.start(request, curve, nowMs);
    const change = request.promptTokens - this.meanPromptTokens;
    this.meanPromptTokens += PROMPT_SMOOTHING * change;
  }

  /** Notes that time has passed, which shows whether this process was paused. */
  noteTime(nowMs: number): void {
    if (nowMs - this.lastEventMs >= PAUSE_MS) {
      this.restart(nowMs);
    }
    this.lastEventMs = nowMs;
  }

  /** Forgets what is known of the engine until its next report. */
  restart(nowMs: number): void {
    this.capacityTokens = 0;
    this.rebuildingSinceMs = nowMs;
  }

  /** Takes the engine's report. */
  noteLoad(load: EngineLoad, nowMs: number): void {
    this.capacityTokens = load.kvTokensCapacity;
    this.maxRunning = load.maxRunning;
    this.correction.report(load, nowMs, this.isRebuilding());
    this.noteEnginePreemptions(load);
    this.lastLoad = load;
    const settledMs = (this.rebuildingSinceMs ?? nowMs) + REBUILD_SETTLE_MS;
    if (nowMs - load.ageMs >= settledMs) {
      this.rebuildingSinceMs = undefined;
    }
  }

  /**
   * Takes a router's report. A generation that is not known was admitted by another scheduler and
   * counts from now on.
   *
   * @param report - the report
   * @param curve - length distribution for a generation that is not known
   * @param nowMs - the time
   * @returns what grew, or undefined for a generation that was not known
   */
  noteProgress(
    report: ReportedProgress,
    curve: LengthCurve,
    nowMs: number,
  ): ProgressOutcome | undefined {
    const outcome = this.running.progress(report, nowMs);
    if (!outcome) {
      this.adopt(report, curve, nowMs);
      return undefined;
    }
    if (report.enginePreempted) {
      this.unreportedPreemptions += 1;
      this.margin.noteOverrun(this.lastEventMs);
    } else if (report.finished) {
      this.margin.noteEnd();
    }
    return outcome;
  }

  /**
   * Brings the forecast up to the time; called after each event.
   *
   * @param nowMs - the time
   * @param isAwaited - whether requests wait for the outcome
   */
  advance(nowMs: number, isAwaited: boolean): void {
    const intervalMs = isAwaited ? REFRESH_INTERVAL_MS : QUIET_REFRESH_INTERVAL_MS;
    if (nowMs - this.refreshedMs >= intervalMs) {
      this.refreshedMs = nowMs;
      this.running.expireAdopted(nowMs);
      this.running.refresh(nowMs, this.curveOf);
    }
    this.correction.sample(this.running.heldTokens(), nowMs);
  }

  /** The generation to preempt because memory is about to run out, if it is. */
  nextVictim(): PreemptionCandidate | undefined {
    if (!this.isAboutToOverflow()) {
      return undefined;
    }
    const victim = chooseVictim(this.running.candidates());
    if (victim) {
      victim.generation.isBeingPreempted = true;
      this.margin.noteOverrun(this.lastEventMs);
    }
    return victim;
  }

  private adopt(report: ReportedProgress, curve: LengthCurve, nowMs: number): void {
    if (!report.finished && !report.enginePreempted) {
      this.running.adopt(report, this.meanPromptTokens, curve, nowMs);
    }
  }

  private fitsEmptyEngine(request: AdmissionRequest): boolean {
    const neededTokens = request.promptTokens + request.producedTokens;
    const unknownTokens = this.correction.tokens();
    const isEmpty = unknownTokens <= EMPTY_ENGINE_SHARE * this.capacityTokens;
    return isEmpty && unknownTokens + neededTokens < this.capacityTokens;
  }

  /** The engine holds generations back already, and the forecast says that it goes on so. */
  private isAboutToOverflow(): boolean {
    const isHeldBack = (this.lastLoad?.queuedGenerations ?? 0) > 0;
    if (this.capacityTokens === 0 || !isHeldBack) {
      return false;
    }
    return this.running.nearTokens() + this.correction.tokens() > this.capacityTokens;
  }

  /** Counts preemptions of the engine that no router reported. */
  private noteEnginePreemptions(load: EngineLoad): void {
    const before = this.lastLoad?.preemptions ?? load.preemptions;
    const reported = Math.max(0, load.preemptions - before);
    for (let count = this.unreportedPreemptions; count < reported; count += 1) {
      this.margin.noteOverrun(this.lastEventMs);
    }
    this.unreportedPreemptions = Math.max(0, this.unreportedPreemptions - reported);
  }
}
