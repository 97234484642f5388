import type {
  AttemptNumber,
  Branded,
  EngineLoad,
  GenerationId,
  ModelId,
  Refusal,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';

/** Id of a reservation of an engine's memory. Each reservation belongs to one stream of a router. */
export type ReservationId = Branded<string, 'ReservationId'>;

/** A request for admission to one engine. */
export interface AdmissionRequest {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  /** The caller's limit on the output length; a weak predictor of the actual length. */
  readonly maxTokens: number;
  readonly model: ModelId;
  /** How often the generation has been preempted. */
  readonly preemptions: number;
  /** Lower values run first. */
  readonly priorityClass: number;
  /** Tokens produced by earlier attempts, which are part of the prefix. */
  readonly producedTokens: number;
  readonly promptTokens: number;
  readonly requestId: RequestId;
  readonly reservationId: ReservationId;
  readonly teamId: TeamId;
  /** Longest time that the request may be queued. */
  readonly waitBoundMs: number;
  /** Share of the engine that the team is entitled to, relative to other teams. */
  readonly weight: number;
}

/** Progress of a generation, as reported by the router that streams it. */
export interface ReportedProgress {
  readonly attempt: AttemptNumber;
  /** The engine preempted the generation on its own. */
  readonly enginePreempted: boolean;
  readonly finished: boolean;
  readonly generationId: GenerationId;
  /** All tokens of the generation so far, including earlier attempts. */
  readonly producedTokens: number;
}

/**
 * Why an engine is given no new work: it announced that it shuts down (`leaving`), or it does not
 * respond or is no longer registered (`lost`).
 */
export type EngineStopReason = 'leaving' | 'lost';

/** Input event of an admission controller. */
export type AdmissionEvent =
  | { readonly kind: 'arrived'; readonly request: AdmissionRequest }
  /** This scheduler is shutting down: nothing more is granted. */
  | { readonly kind: 'draining' }
  /** The router's stream ended, for any reason. */
  | { readonly kind: 'ended'; readonly reservationId: ReservationId }
  | { readonly kind: 'engineStopped'; readonly reason: EngineStopReason }
  /** The engine responds again. */
  | { readonly kind: 'engineUsable' }
  | { readonly kind: 'loadReported'; readonly load: EngineLoad }
  | { readonly kind: 'progressed'; readonly progress: ReportedProgress }
  /** The time returned by `nextWakeMs` has been reached. */
  | { readonly kind: 'woke' };

/** Data behind a decision, for the decision log. Keys carry their unit. */
export type AdmissionReason = Readonly<Record<string, boolean | number | string | undefined>>;

/** Output action of an admission controller. Actions are to be performed in order. */
export type AdmissionAction = {
  readonly reason: AdmissionReason;
  readonly request: AdmissionRequest;
} & (
  | { readonly enginePriority: number; readonly kind: 'grant'; readonly waitedMs: number }
  | { readonly expectedWaitMs: number; readonly kind: 'queue' }
  /** The generation has to give up its memory: its router cancels it and requests admission again. */
  | { readonly kind: 'preempt' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
);

/** A router's query for the expected wait, sent before it requests admission. */
export interface AdmissionEstimateQuery {
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly teamId: TeamId;
}

/** Whether an engine accepts a request, and its expected wait. */
export interface AdmissionEstimate {
  readonly acceptsWork: boolean;
  readonly waitMs: number;
}

/** State of an admission controller, for operators. */
export interface AdmissionStatus {
  readonly adoptedGenerations: number;
  readonly kvTokensCapacity: number;
  readonly kvTokensExpected: number;
  readonly queuedRequests: number;
  readonly runningReservations: number;
  readonly state: 'draining' | 'leaving' | 'lost' | 'open' | 'rebuilding';
}

/** Decides on admission to one engine. It has no clock: the time is passed as an argument. */
export interface AdmissionController {
  estimate(query: AdmissionEstimateQuery, nowMs: number): AdmissionEstimate;
  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[];
  /** Time at which the `woke` event is due, or undefined if none is needed. */
  nextWakeMs(): number | undefined;
  status(nowMs: number): AdmissionStatus;
}
