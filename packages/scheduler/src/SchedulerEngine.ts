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

/** The router's side of one reservation. */
export interface ReservationListener {
  /** The scheduler gives the reservation up; a generation that runs goes on. */
  end(): void;
  /** Takes what was decided. */
  perform(action: AdmissionAction): void;
}

/** What an engine's admission is built from. */
export interface SchedulerEngineOptions {
  readonly actors: ActorSystem;
  readonly clock: MonotonicClock;
  readonly controller: AdmissionController;
  readonly decisions: DecisionSink;
  readonly engineId: EngineId;
  readonly metrics: Metrics;
}

type EngineMessage =
  | { readonly done: () => void; readonly kind: 'drain' }
  | { readonly event: AdmissionEvent; readonly kind: 'event' }
  | {
      readonly answer: (estimate: AdmissionEstimate) => void;
      readonly kind: 'estimate';
      readonly query: AdmissionEstimateQuery;
    };

const UNUSED_AFTER_MS = 60_000;

let actorCount = 0;

/** One engine's admission: an actor that owns the kernel, its wake timer and its listeners. */
export class SchedulerEngine {
  /** What the engine's prefix cache probably holds. */
  readonly cache = new PrefixCacheView();
  readonly engineId: EngineId;
  private readonly actor: Actor<EngineMessage>;
  private readonly listeners = new Map<ReservationId, ReservationListener>();
  private readonly options: SchedulerEngineOptions;
  private usedMs: number;
  private wakeTimer: NodeJS.Timeout | undefined;

  constructor(options: SchedulerEngineOptions) {
    this.engineId = options.engineId;
    this.options = options;
    this.usedMs = options.clock.nowMs();
    actorCount += 1;
    this.actor = options.actors.spawn<EngineMessage>(`admission-${actorCount}`, (message) => {
      this.receive(message);
    });
  }

  /** Asks for admission; the listener gets every action on the reservation until it is released. */
  admit(request: AdmissionRequest, listener: ReservationListener): void {
    this.usedMs = this.options.clock.nowMs();
    this.listeners.set(request.reservationId, listener);
    this.send({ kind: 'arrived', request });
  }

  /** Refuses what waits and ends every stream; resolves when that is done. */
  drain(): Promise<void> {
    return new Promise((done) => {
      this.actor.send({ done, kind: 'drain' });
    });
  }

  estimate(query: AdmissionEstimateQuery): Promise<AdmissionEstimate> {
    this.usedMs = this.options.clock.nowMs();
    return new Promise((answer) => {
      this.actor.send({ answer, kind: 'estimate', query });
    });
  }

  /** Whether no router holds a stream here, or has asked for anything lately. */
  isUnused(): boolean {
    const idleMs = this.options.clock.nowMs() - this.usedMs;
    return this.listeners.size === 0 && idleMs >= UNUSED_AFTER_MS;
  }

  release(reservationId: ReservationId): void {
    if (this.listeners.delete(reservationId)) {
      this.send({ kind: 'ended', reservationId });
    }
  }

  send(event: AdmissionEvent): void {
    this.actor.send({ event, kind: 'event' });
  }

  status(): AdmissionStatus {
    return this.options.controller.status(this.options.clock.nowMs());
  }

  stop(): void {
    clearTimeout(this.wakeTimer);
    this.actor.stop();
  }

  private receive(message: EngineMessage): void {
    const { clock, controller } = this.options;
    const nowMs = clock.nowMs();
    if (message.kind === 'estimate') {
      message.answer(controller.estimate(message.query, nowMs));
      return;
    }
    if (message.kind === 'drain') {
      this.handle({ kind: 'draining' }, nowMs);
      this.endAll();
      message.done();
      return;
    }
    this.handle(message.event, nowMs);
    this.setWakeTimer(nowMs);
  }

  private endAll(): void {
    const listeners = [...this.listeners.values()];
    this.listeners.clear();
    for (const listener of listeners) {
      listener.end();
    }
  }

  private handle(event: AdmissionEvent, nowMs: number): void {
    const actions = this.options.controller.handle(event, nowMs);
    for (const action of actions) {
      this.perform(action);
    }
  }

  private perform(action: AdmissionAction): void {
    this.record(action);
    this.listeners.get(action.request.reservationId)?.perform(action);
  }

  private record(action: AdmissionAction): void {
    const { attempt, generationId, requestId, teamId } = action.request;
    const refused = action.kind === 'refuse' ? action.refusal : undefined;
    const waitedMs = action.kind === 'grant' ? Math.round(action.waitedMs) : undefined;
    this.options.decisions.record({
      decision: DECISION_OF_ACTION[action.kind],
      fields: {
        attempt,
        code: refused?.code,
        engineId: this.engineId,
        generationId,
        retryAfterMs: refused?.retryAfterMs,
        teamId,
        waitedMs,
        ...action.reason,
      },
      requestId,
    });
    this.measure(action);
  }

  private measure(action: AdmissionAction): void {
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

  private setWakeTimer(nowMs: number): void {
    clearTimeout(this.wakeTimer);
    const wakeMs = this.options.controller.nextWakeMs();
    if (wakeMs === undefined) {
      return;
    }
    const delayMs = Math.max(1, Math.ceil(wakeMs - nowMs));
    this.wakeTimer = setTimeout(() => {
      this.send({ kind: 'woke' });
    }, delayMs);
    this.wakeTimer.unref();
  }
}

const DECISION_OF_ACTION = {
  grant: 'admit',
  preempt: 'preempt',
  queue: 'hold',
  refuse: 'refuse',
} as const;
