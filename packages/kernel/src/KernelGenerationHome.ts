import type {
  AttemptNumber,
  EngineId,
  GenerationId,
  ModelId,
  RequestId,
  TeamId,
} from './KernelIds.js';

/**
 * Data by which another router can resume a generation. Routers store it at the homes of the request:
 * the schedulers that rank first for it by rendezvous hashing, each in another failure domain.
 */
export interface GenerationHomeRecord {
  readonly attempt: AttemptNumber;
  readonly bodyHash: string;
  /** Highest token index written to the caller's connection, -1 for none. */
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
