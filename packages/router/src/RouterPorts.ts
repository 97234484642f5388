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

/** What a scheduler says of an admission. */
export type AdmissionEvent =
  | {
      readonly enginePriority: number;
      readonly engineUrl: string;
      readonly kind: 'granted';
      readonly waitedMs: number;
    }
  /** The scheduler is gone; a generation that runs goes on. */
  | { readonly detail: string; readonly kind: 'lost' }
  | { readonly kind: 'preempt'; readonly reason: string }
  | { readonly expectedWaitMs: number; readonly kind: 'queued' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A place in an engine's queue or memory. */
export interface Reservation {
  /** Gives it back. */
  release(): void;
}

/** What a generation has produced so far. */
export interface ProgressReport {
  readonly attempt: AttemptNumber;
  readonly engineId: EngineId;
  readonly enginePreempted: boolean;
  readonly finished: boolean;
  readonly generationId: GenerationId;
  readonly producedTokens: number;
}

/** What engines are asked about before a route is chosen. */
export interface EstimateQuery extends RouteRequest {
  readonly engineIds: readonly EngineId[];
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly teamId: TeamId;
}

/** Port to the schedulers in charge of engines. */
export interface AdmissionPort {
  admit(request: AdmissionRequest, onEvent: (event: AdmissionEvent) => void): Reservation;
  /** Engines of which the scheduler does not answer are left out. */
  estimate(query: EstimateQuery): Promise<readonly RouteEstimate[]>;
  reportProgress(reports: readonly ProgressReport[]): void;
}

/** Outcome of a record: superseded when a home knows a newer holder. */
export type HomeRecordOutcome = 'recorded' | 'superseded' | 'unreachable';

/** Whose request is taken over. */
export interface HomeTakeOverRequest {
  readonly bodyHash: string;
  /** Whether the caller has tokens of the generation, so that a new one will not do. */
  readonly isResume: boolean;
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/** Outcome of a takeover. */
export type HomeTakeOverOutcome =
  | { readonly outcome: 'found'; readonly record: GenerationHomeRecord }
  | { readonly outcome: 'otherBody' | 'otherTeam' | 'unknown' };

/** No home could be asked, or none knew the request and one could not be asked. */
export interface HomesUnreachable {
  readonly kind: 'homesUnreachable';
}

/** Port to the homes of requests. */
export interface RequestHomesPort {
  forget(teamId: TeamId, requestId: RequestId, attempt: AttemptNumber): void;
  record(record: GenerationHomeRecord): Promise<HomeRecordOutcome>;
  takeOver(takeOver: HomeTakeOverRequest): Promise<Result<HomeTakeOverOutcome, HomesUnreachable>>;
  /** Grows whenever the homes of a request may have changed. */
  version(): number;
}
