import type { AttemptNumber, FencingNumber, GenerationId, ModelId } from './KernelIds.js';

/** One token of a generation. */
export interface GeneratedToken {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  /** Position in the generation, from 0. */
  readonly index: number;
  readonly text: string;
}

/** Why a generation ended. */
export type FinishReason = 'cancelled' | 'length' | 'stop';

/** Request to start a generation on an engine, from its first token or after a given prefix. */
export interface EngineStartRequest {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  readonly maxTokens: number;
  readonly model: ModelId;
  /** Texts of the tokens 0 … n-1 that were already generated; the engine continues at index n. */
  readonly prefix: readonly string[];
  /** Generations with lower numbers run first. */
  readonly priority: number;
  readonly prompt: string;
  readonly seed: number;
}

/** Event of an engine's generation stream. */
export type EngineStreamEvent =
  | { readonly finishReason: FinishReason; readonly kind: 'finished'; readonly totalTokens: number }
  /** The engine dropped the generation because it ran out of memory or was ordered to. */
  | { readonly kind: 'preempted' }
  | { readonly kind: 'token'; readonly token: GeneratedToken }
  /** The stream broke or the engine rejected it. */
  | { readonly detail: string; readonly kind: 'lost'; readonly reason: EngineStreamLossReason };

/** Why a stream ended without a final event of the engine. */
export type EngineStreamLossReason =
  'connectFailed' | 'protocolViolation' | 'rejected' | 'reset' | 'superseded' | 'unknownGeneration';

/** State of one generation, as reported by its engine. */
export interface EngineGenerationStatus {
  readonly attempt: AttemptNumber;
  readonly producedTokens: number;
  readonly state: 'finished' | 'preempted' | 'queued' | 'running' | 'unknown';
}

/** Load report of an engine. The figures lag behind the actual load. */
export interface EngineLoad {
  /** Age of the figures at the time the report was sent. */
  readonly ageMs: number;
  readonly kvTokensCapacity: number;
  readonly kvTokensUsed: number;
  /** The platform has announced that it will reclaim the server of the engine. */
  readonly leaving: boolean;
  readonly maxRunning: number;
  /** Preemptions that the engine decided on itself since its start. */
  readonly preemptions: number;
  readonly queuedGenerations: number;
  readonly runningGenerations: number;
}

/** Declarative order to an engine: the state that it is to reach. */
export interface EngineOrder {
  readonly adapters: readonly string[];
  readonly fencingNumber: FencingNumber;
  /** Model names with their versions. */
  readonly models: readonly string[];
  readonly role: 'decode' | 'mixed' | 'prefill';
}

/** Current state of an engine, for checking whether an order was carried out. */
export interface EngineState {
  readonly adapters: readonly string[];
  readonly canContinueFromPrefix: boolean;
  readonly checksFencingNumbers: boolean;
  /** Highest fencing number received, 0 after a start. */
  readonly fencingNumber: FencingNumber;
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  readonly models: readonly string[];
  readonly role: 'decode' | 'mixed' | 'prefill';
}

/** Change of an engine's prefix cache. Events may arrive late, and some may be missing. */
export interface EngineCacheEvent {
  readonly kind: 'evicted' | 'stored';
  /** Hash of the leading blocks of the prompt. */
  readonly prefixHash: string;
  readonly sequence: number;
  readonly tokens: number;
}
