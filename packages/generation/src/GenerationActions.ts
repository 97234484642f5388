import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineId,
  EngineStreamLossReason,
  FinishReason,
  Refusal,
} from '@laburnumgap/kernel';

/** An event in the life of a generation, input of the tracker. */
export type GenerationEvent =
  /** The router took over a generation that runs at an engine, under a new attempt. */
  | { readonly engineId: EngineId; readonly kind: 'adopted' }
  | { readonly finishReason: FinishReason; readonly kind: 'finished'; readonly totalTokens: number }
  | { readonly detail: string; readonly kind: 'lost'; readonly reason: EngineStreamLossReason }
  /** The scheduler of the engine ordered the generation away, to free its KV cache. */
  | { readonly kind: 'moveOrdered' }
  | { readonly kind: 'placementFailed'; readonly nowMs: number; readonly refusal: Refusal }
  /** The engine preempted the generation. */
  | { readonly kind: 'preempted' }
  /** No event arrived within the suspicion timeout. */
  | { readonly kind: 'silent' }
  /** A stream skipped a token. */
  | { readonly detail: string; readonly kind: 'sequenceBroken' }
  /** The engine answered a status query. */
  | {
      readonly kind: 'status';
      readonly status: EngineGenerationStatus;
      /** Whether the current stream is still open, though silent. */
      readonly streamOpen: boolean;
    }
  /** The engine did not answer a status query on a new connection. */
  | {
      readonly detail: string;
      readonly kind: 'statusFailed';
      /** Whether the connection was refused, so that another query is of no use. */
      readonly refused: boolean;
    };

/** What the router is to do next with a generation. */
export type GenerationAction =
  /** Query the status of the generation from its engine, on a new connection. */
  | { readonly kind: 'ask' }
  /** Keep reading the current stream. */
  | { readonly kind: 'await' }
  | { readonly kind: 'end'; readonly refusal: Refusal }
  | { readonly finishReason: FinishReason; readonly kind: 'finish'; readonly totalTokens: number }
  | PlaceAction
  /** Read the same attempt again, on a new connection. */
  | { readonly attempt: AttemptNumber; readonly fromIndex: number; readonly kind: 'resume' };

/** Find an engine, get admission there and start an attempt that continues after the prefix. */
export interface PlaceAction {
  readonly attempt: AttemptNumber;
  readonly delayMs: number;
  /** Engines that failed this generation; they are avoided while there are others. */
  readonly excludedEngines: readonly EngineId[];
  readonly kind: 'place';
  /** The only allowed engine, where the continuation policy binds the generation to it. */
  readonly onlyEngine?: EngineId;
  readonly prefix: readonly string[];
  readonly reason: string;
}

/** How a received token is to be handled. */
export type TokenOutcome =
  /** New and to be sent to the caller. */
  | 'deliver'
  /** Received before. */
  | 'duplicate'
  /** Tokens before it are missing. */
  | 'gap'
  /** Belongs to another generation. */
  | 'otherGeneration'
  /** Belongs to another attempt. */
  | 'stale'
  /** New to this process, but the caller has received it already. */
  | 'withheld';
