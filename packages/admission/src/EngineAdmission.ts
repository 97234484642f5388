import type { RandomSource, Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import {
  UNKNOWN_LENGTH_KEY,
  enginePriorityOf,
  expectedWork,
  jitteredRetryAfterMs,
  requestForEstimate,
  unavailableRefusalOf,
} from './AdmissionRequests.js';
import type {
  AdmissionAction,
  AdmissionController,
  AdmissionEstimate,
  AdmissionEstimateQuery,
  AdmissionEvent,
  AdmissionReason,
  AdmissionRequest,
  AdmissionStatus,
  EngineStopReason,
  ReportedProgress,
  ReservationId,
} from './AdmissionTypes.js';
import { DrainRate } from './DrainRate.js';
import { EngineMemory } from './EngineMemory.js';
import type { QueuedRequest } from './FairQueue.js';
import { FairQueue } from './FairQueue.js';
import type { LengthModel } from './LengthModel.js';
import type { LengthSurvivalCurve } from './LengthSurvivalCurve.js';

/** Options of {@link EngineAdmission}. */
export interface EngineAdmissionOptions {
  /** A queued request is promoted by one class for each such fraction of its wait bound. */
  readonly ageingShare?: number;
  /** Output length model, shared by all engines of a scheduler. */
  readonly lengths: LengthModel;
  readonly random: RandomSource;
  /** When this scheduler became responsible for the engine. */
  readonly startedMs: number;
  /** Acceptable memory overruns per completed generation. */
  readonly targetOverrunRate?: number;
}

/** Longest interval between two wake-ups while requests are queued or generations run. */
const TICK_INTERVAL_MS = 250;
/**
 * Without a queue, the estimated wait is the memory utilization, capped below 1 ms so that it never
 * compares as worse than an engine with a queue.
 */
const MAX_UNQUEUED_WAIT_MS = 0.99;

/**
 * Admission control for one engine. Grants KV cache memory so that the rate of running out of
 * memory during decoding stays near a target, queues other requests with weighted fair queuing,
 * refuses a request on arrival when its expected wait exceeds its bound, and preempts only when
 * memory is about to run out nevertheless.
 *
 * Two schedulers that are responsible for the same engine see each other's grants in the engine's
 * load reports and the routers' progress reports. Until then they may admit too much, which costs
 * efficiency but not correctness.
 */
export class EngineAdmission implements AdmissionController {
  private draining = false;
  private readonly drainRate = new DrainRate();
  private readonly lengths: LengthModel;
  private readonly memory: EngineMemory;
  private readonly queue: FairQueue;
  private readonly random: RandomSource;
  private stopReason: EngineStopReason | undefined;

  constructor(options: EngineAdmissionOptions) {
    const { ageingShare, lengths, random, startedMs, targetOverrunRate } = options;
    this.lengths = lengths;
    this.memory = new EngineMemory({
      curveOf: (request) => this.curveOf(request),
      startedMs,
      targetOverrunRate,
    });
    this.queue = new FairQueue({ ageingShare });
    this.random = random;
  }

  /**
   * Estimates the wait for a request. A value below one millisecond is the engine's memory
   * utilization, so that callers prefer the engine with more free memory.
   */
  estimate(query: AdmissionEstimateQuery): AdmissionEstimate {
    const acceptsWork = this.unavailableRefusal() === undefined;
    const request = requestForEstimate(query);
    if (this.queue.size() === 0 && this.memory.fits(request, this.curveOf(request))) {
      const usedShare = this.memory.heldTokens() / this.memory.kvTokensCapacity();
      return { acceptsWork, waitMs: Math.min(MAX_UNQUEUED_WAIT_MS, Math.max(0, usedShare)) };
    }
    return { acceptsWork, waitMs: Math.max(1, this.expectedWaitMs(request)) };
  }

  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    this.memory.recordEventTime(nowMs);
    const actions = [...this.applyEvent(event, nowMs)];
    this.memory.advance(nowMs, this.queue.size() > 0);
    actions.push(
      ...this.refuseExpired(nowMs),
      ...this.preemptVictims(),
      ...this.grantFitting(nowMs),
    );
    this.drainRate.recordWaiting(this.queue.size() > 0, nowMs);
    return actions;
  }

  nextWakeMs(): number | undefined {
    if (this.queue.size() === 0 && this.memory.running.size() === 0) {
      return undefined;
    }
    const deadlineMs = this.queue.nextDeadlineMs() ?? Infinity;
    return Math.min(deadlineMs, this.memory.latestEventMs() + TICK_INTERVAL_MS);
  }

  status(): AdmissionStatus {
    const openState = this.memory.isRebuilding() ? 'rebuilding' : 'open';
    return {
      adoptedGenerations: this.memory.running.adoptedCount(),
      kvTokensCapacity: this.memory.kvTokensCapacity(),
      kvTokensExpected: Math.round(this.memory.heldTokens()),
      queuedRequests: this.queue.size(),
      runningReservations: this.memory.running.size(),
      state: this.draining ? 'draining' : (this.stopReason ?? openState),
    };
  }

  private applyEvent(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    switch (event.kind) {
      case 'arrived':
        return this.handleArrival(event.request, nowMs);
      case 'draining':
        this.draining = true;
        return this.refuseQueued();
      case 'ended':
        this.release(event.reservationId);
        return [];
      case 'engineStopped':
        this.recordEngineStopped(event.reason);
        return this.refuseQueued();
      case 'engineUsable':
        this.recordEngineUsable(nowMs);
        return [];
      case 'loadReported':
        this.memory.recordLoadReport(event.load, nowMs);
        return [];
      case 'progressed':
        this.recordProgress(event.progress, nowMs);
        return [];
      case 'woke':
        return [];
    }
  }

  private handleArrival(request: AdmissionRequest, nowMs: number): readonly AdmissionAction[] {
    const isTakeover = this.memory.running.supersede(request);
    if (isTakeover && !this.draining && this.stopReason !== 'lost') {
      return [this.grant({ arrivedMs: nowMs, request, work: 0 }, nowMs)];
    }
    const refused =
      this.unavailableRefusal() ?? this.tooLargeRefusal(request) ?? this.earlyRefusal(request);
    if (refused) {
      return [this.refuse(request, refused)];
    }
    const curve = this.curveOf(request);
    this.queue.push({ arrivedMs: nowMs, request, work: expectedWork(request, curve) });
    if (this.queue.size() === 1 && this.memory.fits(request, curve)) {
      return [];
    }
    const expectedWaitMs = this.expectedWaitMs(request);
    return [{ expectedWaitMs, kind: 'queue', reason: this.reasonFor(request), request }];
  }

  private unavailableRefusal(): Refusal | undefined {
    return unavailableRefusalOf(this.draining, this.stopReason);
  }

  private tooLargeRefusal(request: AdmissionRequest): Refusal | undefined {
    if (this.memory.couldEverFit(request)) {
      return undefined;
    }
    return refusal('NO_ENGINE', 'the sequence exceeds the KV cache capacity of the engine');
  }

  /**
   * Refuses a request whose expected wait exceeds its bound. A generation that has already started
   * is exempt: it has to be completed.
   */
  private earlyRefusal(request: AdmissionRequest): Refusal | undefined {
    if (request.preemptions > 0 || request.producedTokens > 0) {
      return undefined;
    }
    const waitMs = this.drainRate.waitMs(this.workAhead(request));
    if (waitMs === undefined || waitMs <= request.waitBoundMs) {
      return undefined;
    }
    const retryAfterMs = jitteredRetryAfterMs(waitMs - request.waitBoundMs / 2, this.random);
    return refusal('QUEUE_WAIT_TOO_LONG', 'the expected wait exceeds the wait bound', retryAfterMs);
  }

  private refuse(request: AdmissionRequest, refused: Refusal): AdmissionAction {
    return { kind: 'refuse', reason: this.reasonFor(request), refusal: refused, request };
  }

  private refuseExpired(nowMs: number): readonly AdmissionAction[] {
    return this.queue.removeExpired(nowMs).map(({ request }) => {
      const retryAfterMs = jitteredRetryAfterMs(this.expectedWaitMs(request), this.random);
      const detail = 'the wait bound passed before admission';
      return this.refuse(request, refusal('DEADLINE_BEFORE_RUN', detail, retryAfterMs));
    });
  }

  private refuseQueued(): readonly AdmissionAction[] {
    const unavailable = this.unavailableRefusal();
    const queued = unavailable ? this.queue.removeAll() : [];
    return queued.flatMap(({ request }) => (unavailable ? this.refuse(request, unavailable) : []));
  }

  /** Stops admission. A leaving engine never takes work again; a lost engine may become usable again. */
  private recordEngineStopped(reason: EngineStopReason): void {
    if (this.stopReason !== 'leaving') {
      this.stopReason = reason;
    }
  }

  private recordEngineUsable(nowMs: number): void {
    if (this.stopReason === 'lost') {
      this.stopReason = undefined;
      this.memory.restart(nowMs);
    }
  }

  private recordProgress(report: ReportedProgress, nowMs: number): void {
    const unknownCurve = this.lengths.curveOf(UNKNOWN_LENGTH_KEY);
    const outcome = this.memory.recordProgress(report, unknownCurve, nowMs);
    const request = outcome?.generation.request;
    if (!request) {
      return;
    }
    this.queue.charge(request.teamId, request.weight, outcome.newTokens);
    if (report.finished) {
      this.lengths.observe(request, report.producedTokens);
    }
  }

  private release(reservationId: ReservationId): void {
    if (!this.memory.running.release(reservationId)) {
      this.queue.remove(reservationId);
    }
  }

  private grantFitting(nowMs: number): readonly AdmissionAction[] {
    const granted: AdmissionAction[] = [];
    let first = this.queue.first(nowMs);
    while (first && this.memory.fits(first.request, this.curveOf(first.request))) {
      granted.push(this.grant(first, nowMs));
      first = this.queue.first(nowMs);
    }
    return granted;
  }

  private grant(entry: QueuedRequest, nowMs: number): AdmissionAction {
    const { arrivedMs, request, work } = entry;
    const reason = this.reasonFor(request);
    this.queue.remove(request.reservationId);
    this.queue.charge(request.teamId, request.weight, request.promptTokens);
    this.drainRate.recordServed(work);
    this.memory.start(request, this.curveOf(request), nowMs);
    const enginePriority = enginePriorityOf(request);
    return { enginePriority, kind: 'grant', reason, request, waitedMs: nowMs - arrivedMs };
  }

  private preemptVictims(): readonly AdmissionAction[] {
    const preempted: AdmissionAction[] = [];
    let victim = this.memory.nextVictim();
    while (victim) {
      const { costTokens, expectedRemainingTokens, generation } = victim;
      if (generation.request) {
        const { request } = generation;
        const reason = { ...this.reasonFor(request), costTokens, expectedRemainingTokens };
        preempted.push({ kind: 'preempt', reason, request });
      }
      victim = this.memory.nextVictim();
    }
    return preempted;
  }

  private expectedWaitMs(request: AdmissionRequest): number {
    const drainWaitMs = this.drainRate.waitMs(this.workAhead(request));
    if (drainWaitMs !== undefined) {
      return Math.round(drainWaitMs);
    }
    const { running } = this.memory;
    const remainingTokens = this.curveOf(request).expectedRemainingTokens(0, request.maxTokens);
    const expectedRunMs = remainingTokens * (running.meanTokenIntervalMs() ?? 0);
    return Math.round((expectedRunMs * (this.queue.size() + 1)) / Math.max(1, running.size()));
  }

  private workAhead(request: AdmissionRequest): number {
    const work = expectedWork(request, this.curveOf(request));
    return this.queue.workAhead(request.teamId, request.priorityClass, request.weight, work);
  }

  private curveOf(request: AdmissionRequest): LengthSurvivalCurve {
    return this.lengths.curveOf(request);
  }

  private reasonFor(request: AdmissionRequest): AdmissionReason {
    return { ...this.memory.reasonFor(request), queuedRequests: this.queue.size() };
  }
}
