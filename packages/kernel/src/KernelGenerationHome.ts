import type {
  AttemptNumber,
  EngineId,
  GenerationId,
  ModelId,
  RequestId,
  TeamId,
} from './KernelIds.js';

/** Where a generation can be found again, as routers record it at the homes of its request. */
export interface GenerationHomeRecord {
  readonly attempt: AttemptNumber;
  readonly bodyHash: string;
  /** Highest token index handed to the caller's connection, -1 for none. */
  readonly deliveredIndex: number;
  readonly engineId: EngineId;
  readonly engineUrl: string;
  readonly generationId: GenerationId;
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly prompt: string;
  readonly requestId: RequestId;
  readonly seed: number;
  readonly streamed: boolean;
  readonly teamId: TeamId;
}
