import type { AttemptNumber, FencingNumber, GenerationId, ModelId } from './KernelIds.js';

/** One token of a generation. */
export interface GeneratedToken {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  /** Position within the generation, from 0. */
  readonly index: number;
  readonly text: string;
}

/** Why a generation ended. */
export type FinishReason = 'cancelled' | 'length' | 'stop';

/** A start of a generation on an engine, from the beginning or after a fixed prefix. */
export interface EngineStart {
  readonly attempt: AttemptNumber;
  readonly generationId: GenerationId;
  readonly maxTokens: number;
  readonly model: ModelId;
  /** Texts of the tokens 0 … n-1 that are already fixed; the engine continues at index n. */
  readonly prefix: readonly string[];
  /** Lower runs first. */
  readonly priority: number;
  readonly prompt: string;
  readonly seed: number;
}

/** What an engine's stream delivers. */
export type EngineStreamEvent =
  | { readonly finishReason: FinishReason; readonly kind: 'finished'; readonly totalTokens: number }
  /** The engine ran out of memory, or was told to, and gave the generation up. */
  | { readonly kind: 'preempted' }
  | { readonly kind: 'token'; readonly token: GeneratedToken }
  /** The stream broke or the engine refused it. */
  | { readonly detail: string; readonly kind: 'lost'; readonly reason: EngineLossReason };

/** Why a stream from an engine was lost. */
export type EngineLossReason =
  'connectFailed' | 'protocolViolation' | 'rejected' | 'reset' | 'superseded' | 'unknownGeneration';

/** What an engine says of one generation. */
export interface EngineGenerationStatus {
  readonly attempt: AttemptNumber;
  readonly producedTokens: number;
  readonly state: 'finished' | 'preempted' | 'queued' | 'running' | 'unknown';
}

/** An engine's own report; it lags. */
export interface EngineLoad {
  /** Age of the figures when the report was sent. */
  readonly ageMs: number;
  readonly kvTokensCapacity: number;
  readonly kvTokensUsed: number;
  /** The engine has been told that it will be reclaimed. */
  readonly leaving: boolean;
  readonly maxRunning: number;
  /** Preemptions the engine made by itself since its start. */
  readonly preemptions: number;
  readonly queuedGenerations: number;
  readonly runningGenerations: number;
}

/** A declarative order to an engine. */
export interface EngineOrder {
  readonly adapters: readonly string[];
  readonly fencingNumber: FencingNumber;
  /** Models with their version. */
  readonly models: readonly string[];
  readonly role: 'decode' | 'mixed' | 'prefill';
}

/** What an engine runs, for reading an order back. */
export interface EngineState {
  readonly adapters: readonly string[];
  readonly canContinueFromPrefix: boolean;
  readonly checksFencingNumbers: boolean;
  /** Highest fencing number seen, 0 at the start. */
  readonly fencingNumber: FencingNumber;
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  readonly models: readonly string[];
  readonly role: 'decode' | 'mixed' | 'prefill';
}

/** A change in an engine's prefix cache; published late and with gaps. */
export interface EngineCacheEvent {
  readonly kind: 'evicted' | 'stored';
  /** Hash of the prompt's leading blocks. */
  readonly prefixHash: string;
  readonly sequence: number;
  readonly tokens: number;
}
