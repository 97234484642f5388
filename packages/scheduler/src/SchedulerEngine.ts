import type {
  AdmissionAction,
  AdmissionController,
  AdmissionEstimate,
  AdmissionEstimateQuery,
  AdmissionEvent,
  AdmissionRequest,
  AdmissionStatus,
  ReservationId,
} from '@laburnumgap/admission';
import { PrefixCacheView } from '@laburnumgap/admission';
import type { Actor, ActorSystem } from '@laburnumgap/daemon';
import type { DecisionSink, EngineId, MonotonicClock } from '@laburnumgap/kernel';
import type { Metrics } from '@laburnumgap/telemetry';

/** Callbacks of one reservation; they forward decisions to the router that holds it. */
export interface ReservationListener {
  /** Called for each action that the admission controller decides on the reservation. */
  onAction(action: AdmissionAction): void;
  /** Called when the scheduler drops the reservation; a running generation continues. */
  onEnd(): void;
}

/** Options of {@link SchedulerEngine}. */
export interface SchedulerEngineOptions {
  readonly actors: ActorSystem;
  readonly clock: MonotonicClock;
  readonly controller: AdmissionController;
  readonly decisions: DecisionSink;
  readonly engineId: EngineId;
  readonly metrics: Metrics;
}

type EngineMessage =
  | { readonly event: AdmissionEvent; readonly kind: 'event' }
  | { readonly kind: 'drain'; readonly onDrained: () => void }
  | {
      readonly kind: 'estimate';
      readonly onEstimate: (estimate: AdmissionEstimate) => void;
      readonly query: AdmissionEstimateQuery;
    };

/** Time without reservations and requests after which an engine's state may be dropped. */
const IDLE_TIMEOUT_MS = 60_000;

let actorCount = 0;

/**
 * Admission to one engine: an actor that owns the admission controller, its wake timer and the
 * listeners of its reservations.
 */
export class SchedulerEngine {
  /** Estimated content of the engine's prefix cache. */
  readonly cache = new PrefixCacheView();
  readonly engineId: EngineId;
  private readonly actor: Actor<EngineMessage>;
  private lastUsedAtMs: number;
  private readonly listeners = new Map<ReservationId, ReservationListener>();
  private readonly options: SchedulerEngineOptions;
  private wakeTimer: NodeJS.Timeout | undefined;

  constructor(options: SchedulerEngineOptions) {
    this.engineId = options.engineId;
    this.options = options;
    this.lastUsedAtMs = options.clock.nowMs();
    actorCount += 1;
    this.actor = options.actors.spawn<EngineMessage>(`admission-${actorCount}`, (message) => {
      this.handleMessage(message);
    });
  }

  /** Requests admission; the listener gets every action on the reservation until it is released. */
  admit(request: AdmissionRequest, listener: ReservationListener): void {
    this.lastUsedAtMs = this.options.clock.nowMs();
    this.listeners.set(request.reservationId, listener);
    this.send({ kind: 'arrived', request });
  }

  /** Refuses waiting requests and ends every reservation's stream; resolves when done. */
  drain(): Promise<void> {
    return new Promise((onDrained) => {
      this.actor.send({ kind: 'drain', onDrained });
    });
  }

  /** Estimates the wait for a request without admitting it. */
  estimate(query: AdmissionEstimateQuery): Promise<AdmissionEstimate> {
    this.lastUsedAtMs = this.options.clock.nowMs();
    return new Promise((onEstimate) => {
      this.actor.send({ kind: 'estimate', onEstimate, query });
    });
  }

  /** Whether no router holds a reservation and none has sent a request for a while. */
  isIdle(): boolean {
    const idleMs = this.options.clock.nowMs() - this.lastUsedAtMs;
    return this.listeners.size === 0 && idleMs >= IDLE_TIMEOUT_MS;
  }

  /** Releases a reservation; does nothing if it is already released. */
  release(reservationId: ReservationId): void {
    if (this.listeners.delete(reservationId)) {
      this.send({ kind: 'ended', reservationId });
    }
  }

  /** Queues an event for the admission controller. */
  send(event: AdmissionEvent): void {
    this.actor.send({ event, kind: 'event' });
  }

  /** Figures of the admission controller, for operators. */
  status(): AdmissionStatus {
    return this.options.controller.status(this.options.clock.nowMs());
  }

  /** Stops the wake timer and the actor. */
  stop(): void {
    clearTimeout(this.wakeTimer);
    this.actor.stop();
  }

  private handleMessage(message: EngineMessage): void {
    const { clock, controller } = this.options;
    const nowMs = clock.nowMs();
    if (message.kind === 'estimate') {
      message.onEstimate(controller.estimate(message.query, nowMs));
      return;
    }
    if (message.kind === 'drain') {
      this.handleEvent({ kind: 'draining' }, nowMs);
      this.endAllReservations();
      message.onDrained();
      return;
    }
    this.handleEvent(message.event, nowMs);
    this.scheduleWake(nowMs);
  }

  private endAllReservations(): void {
    const listeners = [...this.listeners.values()];
    this.listeners.clear();
    for (const listener of listeners) {
      listener.onEnd();
    }
  }

  private handleEvent(event: AdmissionEvent, nowMs: number): void {
    const actions = this.options.controller.handle(event, nowMs);
    for (const action of actions) {
      this.applyAction(action);
    }
  }

  private applyAction(action: AdmissionAction): void {
    this.recordDecision(action);
    this.listeners.get(action.request.reservationId)?.onAction(action);
  }

  private recordDecision(action: AdmissionAction): void {
    const { attempt, generationId, requestId, teamId } = action.request;
    const refusal = action.kind === 'refuse' ? action.refusal : undefined;
    const waitedMs = action.kind === 'grant' ? Math.round(action.waitedMs) : undefined;
    this.options.decisions.record({
      decision: DECISION_BY_ACTION[action.kind],
      fields: {
        attempt,
        code: refusal?.code,
        engineId: this.engineId,
        generationId,
        retryAfterMs: refusal?.retryAfterMs,
        teamId,
        waitedMs,
        ...action.reason,
      },
      requestId,
    });
    this.recordMetrics(action);
  }

  private recordMetrics(action: AdmissionAction): void {
    const { metrics } = this.options;
    switch (action.kind) {
      case 'grant':
        metrics.observe('admission.wait_ms', action.waitedMs);
        return;
      case 'preempt':
        metrics.increment('admission.preemptions');
        return;
      case 'queue':
        metrics.increment('admission.queued');
        return;
      case 'refuse':
        metrics.increment('admission.refusals', 1, { code: action.refusal.code });
    }
  }

  private scheduleWake(nowMs: number): void {
    clearTimeout(this.wakeTimer);
    const wakeAtMs = this.options.controller.nextWakeMs();
    if (wakeAtMs === undefined) {
      return;
    }
    const delayMs = Math.max(1, Math.ceil(wakeAtMs - nowMs));
    this.wakeTimer = setTimeout(() => {
      this.send({ kind: 'woke' });
    }, delayMs);
    this.wakeTimer.unref();
  }
}

/** Names of the actions in the decision log. */
const DECISION_BY_ACTION = {
  grant: 'admit',
  preempt: 'preempt',
  queue: 'hold',
  refuse: 'refuse',
} as const;
