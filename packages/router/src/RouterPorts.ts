import type {
  AttemptNumber,
  EngineId,
  GenerationHomeRecord,
  GenerationId,
  ModelId,
  Refusal,
  RequestId,
  Result,
  TeamId,
} from '@laburnumgap/kernel';
import type { RouteEstimate, RouteRequest } from '@laburnumgap/routing';

/** A request for admission to one engine. */
export interface AdmissionRequest {
  readonly attempt: AttemptNumber;
  readonly engineId: EngineId;
  readonly generationId: GenerationId;
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly preemptions: number;
  readonly prefixHashes: readonly string[];
  /** Lower runs first. */
  readonly priorityClass: number;
  readonly producedTokens: number;
  readonly promptTokens: number;
  readonly requestId: RequestId;
  readonly teamId: TeamId;
  readonly waitBoundMs: number;
  readonly weight: number;
}

/** An event of a scheduler about an admission. */
export type AdmissionEvent =
  | {
      readonly enginePriority: number;
      readonly engineUrl: string;
      readonly kind: 'granted';
      readonly waitedMs: number;
    }
  /** The scheduler is lost; a generation that already runs continues. */
  | { readonly detail: string; readonly kind: 'lost' }
  | { readonly kind: 'preempt'; readonly reason: string }
  | { readonly expectedWaitMs: number; readonly kind: 'queued' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A place in an engine's queue, or memory reserved at the engine. */
export interface Reservation {
  release(): void;
}

/** Progress of a generation, reported to the scheduler of its engine. */
export interface ProgressReport {
  readonly attempt: AttemptNumber;
  readonly engineId: EngineId;
  readonly enginePreempted: boolean;
  readonly finished: boolean;
  readonly generationId: GenerationId;
  readonly producedTokens: number;
}

/** Query for the expected waits of engines before a route is chosen. */
export interface EstimateQuery extends RouteRequest {
  readonly engineIds: readonly EngineId[];
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly teamId: TeamId;
}

/** Port to the schedulers that own engines. */
export interface AdmissionPort {
  admit(request: AdmissionRequest, onEvent: (event: AdmissionEvent) => void): Reservation;
  /** Omits engines whose scheduler does not answer. */
  estimate(query: EstimateQuery): Promise<readonly RouteEstimate[]>;
  reportProgress(reports: readonly ProgressReport[]): void;
}

/** Outcome of a record: superseded when another router or a newer attempt holds the request. */
export type HomeRecordOutcome = 'recorded' | 'superseded' | 'unreachable';

/** The request to take over. */
export interface HomeTakeOverRequest {
  readonly bodyHash: string;
  /** Whether the caller already has tokens, so that only the same generation can be continued. */
  readonly isResume: boolean;
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/** Outcome of a takeover. */
export type HomeTakeOverOutcome =
  | { readonly outcome: 'found'; readonly record: GenerationHomeRecord }
  | { readonly outcome: 'otherBody' | 'otherTeam' | 'unknown' };

/** No home was reachable, or none knew the request and at least one was unreachable. */
export interface HomesUnreachable {
  readonly kind: 'homesUnreachable';
}

/** Port to the homes of requests: the schedulers that keep their generation records. */
export interface RequestHomesPort {
  forget(teamId: TeamId, requestId: RequestId, attempt: AttemptNumber): void;
  record(record: GenerationHomeRecord): Promise<HomeRecordOutcome>;
  takeOver(takeOver: HomeTakeOverRequest): Promise<Result<HomeTakeOverOutcome, HomesUnreachable>>;
  /** Increases whenever the homes of a request may have changed. */
  version(): number;
}
