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

/** One reservation of an engine's memory, held by one stream of a router. */
export type ReservationId = Branded<string, 'ReservationId'>;

/** A request for admission to one engine. */
export interface AdmissionRequest {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  /** The caller's bound; says little about the length. */
  readonly maxTokens: number;
  readonly model: ModelId;
  /** How often the generation was preempted before. */
  readonly preemptions: number;
  /** Lower runs first. */
  readonly priorityClass: number;
  /** Tokens of earlier attempts, which are part of the prefix. */
  readonly producedTokens: number;
  readonly promptTokens: number;
  readonly requestId: RequestId;
  readonly reservationId: ReservationId;
  readonly teamId: TeamId;
  readonly waitBoundMs: number;
  readonly weight: number;
}

/** What a router reports of a generation that it streams. */
export interface ReportedProgress {
  readonly attempt: AttemptNumber;
  /** The engine was seen to give the generation up by itself. */
  readonly enginePreempted: boolean;
  readonly finished: boolean;
  readonly generationId: GenerationId;
  /** All tokens of the generation so far, earlier attempts included. */
  readonly producedTokens: number;
}

/** Why an engine gets no new work. */
export type EngineStopReason = 'leaving' | 'lost';

/** What an admission kernel is told. */
export type AdmissionEvent =
  | { readonly kind: 'arrived'; readonly request: AdmissionRequest }
  /** This scheduler shuts down: nothing more is granted. */
  | { readonly kind: 'draining' }
  /** The router's stream ended, for whatever reason. */
  | { readonly kind: 'ended'; readonly reservationId: ReservationId }
  | { readonly kind: 'engineStopped'; readonly reason: EngineStopReason }
  /** The engine answers again. */
  | { readonly kind: 'engineUsable' }
  | { readonly kind: 'loadReported'; readonly load: EngineLoad }
  | { readonly kind: 'progressed'; readonly progress: ReportedProgress }
  /** The time asked for by `nextWakeMs` has come. */
  | { readonly kind: 'woke' };

/** Figures behind an action, for the decision log; keys carry their unit. */
export type AdmissionReason = Readonly<Record<string, boolean | number | string | undefined>>;

/** What the owner of an admission kernel has to do, in order. */
export type AdmissionAction = {
  readonly reason: AdmissionReason;
  readonly request: AdmissionRequest;
} & (
  | { readonly enginePriority: number; readonly kind: 'grant'; readonly waitedMs: number }
  | { readonly expectedWaitMs: number; readonly kind: 'queue' }
  /** The generation is to be moved: its router cancels it and asks again. */
  | { readonly kind: 'preempt' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
);

/** What a router wants to know before it asks for admission. */
export interface AdmissionEstimateQuery {
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly teamId: TeamId;
}

/** Expected service of an engine. */
export interface AdmissionEstimate {
  readonly acceptsWork: boolean;
  readonly waitMs: number;
}

/** Figures of an admission kernel, for operators. */
export interface AdmissionStatus {
  readonly adoptedGenerations: number;
  readonly kvTokensCapacity: number;
  readonly kvTokensExpected: number;
  readonly queuedRequests: number;
  readonly runningReservations: number;
  readonly state: 'draining' | 'leaving' | 'lost' | 'open' | 'rebuilding';
}

/** Decides who may use one engine. Pure: all time comes in as an argument. */
export interface AdmissionController {
  estimate(query: AdmissionEstimateQuery, nowMs: number): AdmissionEstimate;
  handle(event: AdmissionEvent, nowMs: number): readonly AdmissionAction[];
  /** When `woke` is due, or undefined for never. */
  nextWakeMs(): number | undefined;
  status(nowMs: number): AdmissionStatus;
}
