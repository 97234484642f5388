import type { RandomSource, Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import {
  UNKNOWN_LENGTH_KEY,
  closedRefusalOf,
  enginePriorityOf,
  jitteredRetryMs,
  requestOfQuery,
  workOf,
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
import type { LengthCurve } from './LengthCurve.js';
import type { LengthModel } from './LengthModel.js';

/** What the admission of an engine is built from. */
export interface EngineAdmissionOptions {
  readonly ageingShare?: number;
  /** Shared by all engines of a scheduler. */
  readonly lengths: LengthModel;
  readonly random: RandomSource;
  /** When this scheduler began to act for the engine. */
  readonly startedMs: number;
  readonly targetOverrunChance?: number;
}

const TICK_MS = 250;
/** A wait below one millisecond stands for the use of an engine that has no queue. */
const MAX_UNQUEUED_WAIT_MS = 0.99;

/**
 * Admission to one engine. Grants memory so that the chance of running out in the middle of
 * decoding stays near a target, queues the rest by weighted fair service, refuses early what would
 * wait too long, and preempts only when memory is about to run out in spite of that.
 *
 * Two schedulers that both act for an engine see each other's grants in the engine's reports and
 * the routers' progress; until then they may admit too much, which costs efficiency only.
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
    const { ageingShare, lengths, random, startedMs, targetOverrunChance } = options;
    this.lengths = lengths;
    this.memory = new EngineMemory({
      curveOf: (request) => this.curveOf(request),
      startedMs,
      targetOverrunChance,
    });
    this.queue = new FairQueue({ ageingShare });
    this.random = random;
  }

  /** A wait below one millisecond is the engine's use of memory: the emptier engine is better. */
  estimate(query: AdmissionEstimateQuery): AdmissionEstimate {
    const acceptsWork = this.closedRefusal() === undefined;
    const request = requestOfQuery(query);
    if (this.queue.size() === 0 && this.memory.fits(request, this.curveOf(request))) {
      const share = this.memory.heldTokens() / this.memory.kvTokensCapacity();
      return { acceptsWork, waitMs: Math.min(MAX_UNQUEUED_WAIT_MS, Math.max(0, share)) };
    }
    return { acceptsWork, waitMs: Math.max(1, this.expectedWaitMs(request)) };
  }

  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    this.memory.noteTime(nowMs);
    const actions = [...this.take(event, nowMs)];
    this.memory.advance(nowMs, this.queue.size() > 0);
    actions.push(...this.refuseLate(nowMs), ...this.preempt(), ...this.grantWhatFits(nowMs));
    this.drainRate.noteWaiting(this.queue.size() > 0, nowMs);
    return actions;
  }

  nextWakeMs(): number | undefined {
    if (this.queue.size() === 0 && this.memory.running.size() === 0) {
      return undefined;
    }
    const deadlineMs = this.queue.nextDeadlineMs() ?? Infinity;
    return Math.min(deadlineMs, this.memory.latestEventMs() + TICK_MS);
  }

  status(): AdmissionStatus {
    const usable = this.memory.isRebuilding() ? 'rebuilding' : 'open';
    return {
      adoptedGenerations: this.memory.running.adoptedCount(),
      kvTokensCapacity: this.memory.kvTokensCapacity(),
      kvTokensExpected: Math.round(this.memory.heldTokens()),
      queuedRequests: this.queue.size(),
      runningReservations: this.memory.running.size(),
      state: this.draining ? 'draining' : (this.stopReason ?? usable),
    };
  }

  private take(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    switch (event.kind) {
      case 'arrived':
        return this.arrive(event.request, nowMs);
      case 'draining':
        this.draining = true;
        return this.refuseQueued();
      case 'ended':
        this.release(event.reservationId);
        return [];
      case 'engineStopped':
        this.noteStopped(event.reason);
        return this.refuseQueued();
      case 'engineUsable':
        this.noteUsable(nowMs);
        return [];
      case 'loadReported':
        this.memory.noteLoad(event.load, nowMs);
        return [];
      case 'progressed':
        this.noteProgress(event.progress, nowMs);
        return [];
      case 'woke':
        return [];
    }
  }

  private arrive(request: AdmissionRequest, nowMs: number): readonly AdmissionAction[] {
    const isTakeover = this.memory.running.supersede(request);
    if (isTakeover && !this.draining && this.stopReason !== 'lost') {
      return [this.grant({ arrivedMs: nowMs, request, work: 0 }, nowMs)];
    }
    const refused = this.closedRefusal() ?? this.tooLarge(request) ?? this.earlyRefusal(request);
    if (refused) {
      return [this.refuse(request, refused)];
    }
    const curve = this.curveOf(request);
    this.queue.push({ arrivedMs: nowMs, request, work: workOf(request, curve) });
    if (this.queue.size() === 1 && this.memory.fits(request, curve)) {
      return [];
    }
    const expectedWaitMs = this.expectedWaitMs(request);
    return [{ expectedWaitMs, kind: 'queue', reason: this.reasonOf(request), request }];
  }

  private closedRefusal(): Refusal | undefined {
    return closedRefusalOf(this.draining, this.stopReason);
  }

  private tooLarge(request: AdmissionRequest): Refusal | undefined {
    if (this.memory.fitsEver(request)) {
      return undefined;
    }
    return refusal('NO_ENGINE', 'the prompt does not fit into the memory of the engine');
  }

  /** A generation that has begun is never refused early: it must arrive. */
  private earlyRefusal(request: AdmissionRequest): Refusal | undefined {
    if (request.preemptions > 0 || request.producedTokens > 0) {
      return undefined;
    }
    const waitMs = this.drainRate.waitMs(this.workAhead(request));
    if (waitMs === undefined || waitMs <= request.waitBoundMs) {
      return undefined;
    }
    const retryAfterMs = jitteredRetryMs(waitMs - request.waitBoundMs / 2, this.random);
    return refusal('QUEUE_WAIT_TOO_LONG', 'the queue is longer than the wait bound', retryAfterMs);
  }

  private refuse(request: AdmissionRequest, refused: Refusal): AdmissionAction {
    return { kind: 'refuse', reason: this.reasonOf(request), refusal: refused, request };
  }

  private refuseLate(nowMs: number): readonly AdmissionAction[] {
    return this.queue.removeLate(nowMs).map(({ request }) => {
      const retryAfterMs = jitteredRetryMs(this.expectedWaitMs(request), this.random);
      const detail = 'the wait bound passed in the queue';
      return this.refuse(request, refusal('DEADLINE_BEFORE_RUN', detail, retryAfterMs));
    });
  }

  private refuseQueued(): readonly AdmissionAction[] {
    const closed = this.closedRefusal();
    const queued = closed ? this.queue.removeAll() : [];
    return queued.flatMap(({ request }) => (closed ? this.refuse(request, closed) : []));
  }

  /** A leaving engine stays closed; one that was lost may come back. */
  private noteStopped(reason: EngineStopReason): void {
    if (this.stopReason !== 'leaving') {
      this.stopReason = reason;
    }
  }

  private noteUsable(nowMs: number): void {
    if (this.stopReason === 'lost') {
      this.stopReason = undefined;
      this.memory.restart(nowMs);
    }
  }

  private noteProgress(report: ReportedProgress, nowMs: number): void {
    const unknownCurve = this.lengths.curveOf(UNKNOWN_LENGTH_KEY);
    const outcome = this.memory.noteProgress(report, unknownCurve, nowMs);
    const request = outcome?.generation.request;
    if (!request) {
      return;
    }
    this.queue.charge(request.teamId, request.weight, outcome.grewTokens);
    if (report.finished) {
      this.lengths.observe(request, report.producedTokens);
    }
  }

  private release(reservationId: ReservationId): void {
    if (!this.memory.running.release(reservationId)) {
      this.queue.remove(reservationId);
    }
  }

  private grantWhatFits(nowMs: number): readonly AdmissionAction[] {
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
    const reason = this.reasonOf(request);
    this.queue.remove(request.reservationId);
    this.queue.charge(request.teamId, request.weight, request.promptTokens);
    this.drainRate.noteServed(work);
    this.memory.start(request, this.curveOf(request), nowMs);
    const enginePriority = enginePriorityOf(request);
    return { enginePriority, kind: 'grant', reason, request, waitedMs: nowMs - arrivedMs };
  }

  private preempt(): readonly AdmissionAction[] {
    const preempted: AdmissionAction[] = [];
    let victim = this.memory.nextVictim();
    while (victim) {
      const { costTokens, expectedRemainingTokens, generation } = victim;
      if (generation.request) {
        const { request } = generation;
        const reason = { ...this.reasonOf(request), costTokens, expectedRemainingTokens };
        preempted.push({ kind: 'preempt', reason, request });
      }
      victim = this.memory.nextVictim();
    }
    return preempted;
  }

  private expectedWaitMs(request: AdmissionRequest): number {
    const measuredMs = this.drainRate.waitMs(this.workAhead(request));
    if (measuredMs !== undefined) {
      return Math.round(measuredMs);
    }
    const { running } = this.memory;
    const remainingTokens = this.curveOf(request).expectedRemaining(0, request.maxTokens);
    const turnoverMs = remainingTokens * (running.intervalMs() ?? 0);
    return Math.round((turnoverMs * (this.queue.size() + 1)) / Math.max(1, running.size()));
  }

  private workAhead(request: AdmissionRequest): number {
    const work = workOf(request, this.curveOf(request));
    return this.queue.workAhead(request.teamId, request.priorityClass, request.weight, work);
  }

  private curveOf(request: AdmissionRequest): LengthCurve {
    return this.lengths.curveOf(request);
  }

  private reasonOf(request: AdmissionRequest): AdmissionReason {
    return { ...this.memory.reasonOf(request), queuedRequests: this.queue.size() };
  }
}
