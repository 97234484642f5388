import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { closedRefusalOf } from './AdmissionRequests.js';
import type {
  AdmissionAction,
  AdmissionController,
  AdmissionEstimate,
  AdmissionEvent,
  AdmissionRequest,
  AdmissionStatus,
  EngineStopReason,
  ReportedProgress,
  ReservationId,
} from './AdmissionTypes.js';

interface Waiting {
  readonly arrivedMs: number;
  readonly request: AdmissionRequest;
}

interface Running {
  producedTokens: number;
  readonly request: AdmissionRequest;
}

/**
 * The naive policy: first come, first served, admitted while what is in use now fits. It predicts
 * nothing. Differential tests and the policy bench compare the real policy with it.
 */
export class FifoAdmission implements AdmissionController {
  private capacityTokens = 0;
  private draining = false;
  private maxRunning = 0;
  private readonly running = new Map<ReservationId, Running>();
  private stopReason: EngineStopReason | undefined;
  private waiting: Waiting[] = [];

  estimate(): AdmissionEstimate {
    return { acceptsWork: this.closedRefusal() === undefined, waitMs: 0 };
  }

  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    switch (event.kind) {
      case 'arrived':
        return this.arrive(event.request, nowMs);
      case 'draining':
        this.draining = true;
        return this.refuseAll();
      case 'ended':
        this.release(event.reservationId);
        return this.grantWhatFits(nowMs);
      case 'engineStopped':
        this.stopReason = event.reason;
        return this.refuseAll();
      case 'engineUsable':
        this.stopReason = undefined;
        return this.grantWhatFits(nowMs);
      case 'loadReported':
        this.capacityTokens = event.load.kvTokensCapacity;
        this.maxRunning = event.load.maxRunning;
        return this.grantWhatFits(nowMs);
      case 'progressed':
        this.progress(event.progress);
        return this.grantWhatFits(nowMs);
      case 'woke':
        return this.refuseLate(nowMs);
    }
  }

  nextWakeMs(): number | undefined {
    const deadlines = this.waiting.map((entry) => deadlineOf(entry));
    return deadlines.length === 0 ? undefined : Math.min(...deadlines);
  }

  status(): AdmissionStatus {
    return {
      adoptedGenerations: 0,
      kvTokensCapacity: this.capacityTokens,
      kvTokensExpected: this.usedTokens(),
      queuedRequests: this.waiting.length,
      runningReservations: this.running.size,
      state: this.draining ? 'draining' : (this.stopReason ?? 'open'),
    };
  }

  private arrive(request: AdmissionRequest, nowMs: number): readonly AdmissionAction[] {
    const closed = this.closedRefusal();
    if (closed) {
      return [{ kind: 'refuse', reason: {}, refusal: closed, request }];
    }
    this.waiting.push({ arrivedMs: nowMs, request });
    const granted = this.grantWhatFits(nowMs);
    if (granted.some((action) => action.request === request)) {
      return granted;
    }
    return [...granted, { expectedWaitMs: 0, kind: 'queue', reason: {}, request }];
  }

  private closedRefusal(): Refusal | undefined {
    return closedRefusalOf(this.draining, this.stopReason);
  }

  private grantWhatFits(nowMs: number): readonly AdmissionAction[] {
    const late = this.refuseLate(nowMs);
    const granted: AdmissionAction[] = [];
    let first = this.waiting[0];
    while (first && this.fits(first.request)) {
      this.waiting.shift();
      const { arrivedMs, request } = first;
      this.running.set(request.reservationId, { producedTokens: request.producedTokens, request });
      granted.push({
        enginePriority: request.priorityClass,
        kind: 'grant',
        reason: { kvTokensCapacity: this.capacityTokens, kvTokensUsed: this.usedTokens() },
        request,
        waitedMs: nowMs - arrivedMs,
      });
      first = this.waiting[0];
    }
    return [...late, ...granted];
  }

  private fits(request: AdmissionRequest): boolean {
    if (this.stopReason !== undefined || this.running.size >= this.maxRunning) {
      return false;
    }
    const neededTokens = request.promptTokens + request.producedTokens;
    return this.usedTokens() + neededTokens <= this.capacityTokens;
  }

  private usedTokens(): number {
    let usedTokens = 0;
    for (const { producedTokens, request } of this.running.values()) {
      usedTokens += request.promptTokens + producedTokens;
    }
    return usedTokens;
  }

  private progress(progress: ReportedProgress): void {
    for (const [reservationId, entry] of this.running) {
      const { attempt, generationId } = entry.request;
      if (generationId !== progress.generationId || attempt !== progress.attempt) {
        continue;
      }
      entry.producedTokens = Math.max(entry.producedTokens, progress.producedTokens);
      if (progress.finished || progress.enginePreempted) {
        this.running.delete(reservationId);
      }
    }
  }

  private release(reservationId: ReservationId): void {
    this.running.delete(reservationId);
    this.waiting = this.waiting.filter((entry) => entry.request.reservationId !== reservationId);
  }

  private refuseAll(): readonly AdmissionAction[] {
    const closed = this.closedRefusal() ?? refusal('NO_ENGINE', 'the engine takes no work');
    const refused = this.waiting.map(({ request }): AdmissionAction => ({
      kind: 'refuse',
      reason: {},
      refusal: closed,
      request,
    }));
    this.waiting = [];
    return refused;
  }

  private refuseLate(nowMs: number): readonly AdmissionAction[] {
    const late = this.waiting.filter((entry) => deadlineOf(entry) <= nowMs);
    this.waiting = this.waiting.filter((entry) => deadlineOf(entry) > nowMs);
    return late.map(({ request }) => ({
      kind: 'refuse',
      reason: { waitBoundMs: request.waitBoundMs },
      refusal: refusal('DEADLINE_BEFORE_RUN', 'the wait bound passed in the queue'),
      request,
    }));
  }
}

function deadlineOf(entry: Waiting): number {
  return entry.arrivedMs + entry.request.waitBoundMs;
}
