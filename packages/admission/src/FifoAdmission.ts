import type { Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { unavailableRefusalOf } from './AdmissionRequests.js';
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

interface WaitingRequest {
  readonly arrivedMs: number;
  readonly request: AdmissionRequest;
}

interface RunningRequest {
  producedTokens: number;
  readonly request: AdmissionRequest;
}

/**
 * Baseline policy: first come, first served. Admits a request while its tokens fit next to the
 * tokens in use now, without predicting growth. Differential tests and the policy benchmark compare
 * `EngineAdmission` with it.
 */
export class FifoAdmission implements AdmissionController {
  private capacityTokens = 0;
  private draining = false;
  private maxRunning = 0;
  private readonly running = new Map<ReservationId, RunningRequest>();
  private stopReason: EngineStopReason | undefined;
  private waiting: WaitingRequest[] = [];

  estimate(): AdmissionEstimate {
    return { acceptsWork: this.unavailableRefusal() === undefined, waitMs: 0 };
  }

  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[] {
    switch (event.kind) {
      case 'arrived':
        return this.handleArrival(event.request, nowMs);
      case 'draining':
        this.draining = true;
        return this.refuseQueued();
      case 'ended':
        this.release(event.reservationId);
        return this.grantFitting(nowMs);
      case 'engineStopped':
        this.stopReason = event.reason;
        return this.refuseQueued();
      case 'engineUsable':
        this.stopReason = undefined;
        return this.grantFitting(nowMs);
      case 'loadReported':
        this.capacityTokens = event.load.kvTokensCapacity;
        this.maxRunning = event.load.maxRunning;
        return this.grantFitting(nowMs);
      case 'progressed':
        this.recordProgress(event.progress);
        return this.grantFitting(nowMs);
      case 'woke':
        return this.refuseExpired(nowMs);
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

  private handleArrival(request: AdmissionRequest, nowMs: number): readonly AdmissionAction[] {
    const unavailable = this.unavailableRefusal();
    if (unavailable) {
      return [{ kind: 'refuse', reason: {}, refusal: unavailable, request }];
    }
    this.waiting.push({ arrivedMs: nowMs, request });
    const granted = this.grantFitting(nowMs);
    if (granted.some((action) => action.request === request)) {
      return granted;
    }
    return [...granted, { expectedWaitMs: 0, kind: 'queue', reason: {}, request }];
  }

  private unavailableRefusal(): Refusal | undefined {
    return unavailableRefusalOf(this.draining, this.stopReason);
  }

  private grantFitting(nowMs: number): readonly AdmissionAction[] {
    const expired = this.refuseExpired(nowMs);
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
    return [...expired, ...granted];
  }

  private fits(request: AdmissionRequest): boolean {
    if (this.stopReason !== undefined || this.running.size >= this.maxRunning) {
      return false;
    }
    const requiredTokens = request.promptTokens + request.producedTokens;
    return this.usedTokens() + requiredTokens <= this.capacityTokens;
  }

  private usedTokens(): number {
    let usedTokens = 0;
    for (const { producedTokens, request } of this.running.values()) {
      usedTokens += request.promptTokens + producedTokens;
    }
    return usedTokens;
  }

  private recordProgress(progress: ReportedProgress): void {
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

  private refuseQueued(): readonly AdmissionAction[] {
    const unavailable =
      this.unavailableRefusal() ?? refusal('NO_ENGINE', 'the engine accepts no work');
    const refused = this.waiting.map(({ request }): AdmissionAction => ({
      kind: 'refuse',
      reason: {},
      refusal: unavailable,
      request,
    }));
    this.waiting = [];
    return refused;
  }

  private refuseExpired(nowMs: number): readonly AdmissionAction[] {
    const expired = this.waiting.filter((entry) => deadlineOf(entry) <= nowMs);
    this.waiting = this.waiting.filter((entry) => deadlineOf(entry) > nowMs);
    return expired.map(({ request }) => ({
      kind: 'refuse',
      reason: { waitBoundMs: request.waitBoundMs },
      refusal: refusal('DEADLINE_BEFORE_RUN', 'the wait bound passed before admission'),
      request,
    }));
  }
}

function deadlineOf(entry: WaitingRequest): number {
  return entry.arrivedMs + entry.request.waitBoundMs;
}
