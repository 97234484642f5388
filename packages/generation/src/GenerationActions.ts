import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineId,
  EngineLossReason,
  FinishReason,
  Refusal,
} from '@laburnumgap/kernel';

/** What happened to a generation. */
export type GenerationEvent =
  /** The generation was found at an engine under a new attempt, after another router had it. */
  | { readonly engineId: EngineId; readonly kind: 'adopted' }
  | { readonly finishReason: FinishReason; readonly kind: 'finished'; readonly totalTokens: number }
  | { readonly detail: string; readonly kind: 'lost'; readonly reason: EngineLossReason }
  /** The scheduler in charge wants the memory back. */
  | { readonly kind: 'moveOrdered' }
  | { readonly kind: 'placementFailed'; readonly nowMs: number; readonly refusal: Refusal }
  /** The engine gave the generation up. */
  | { readonly kind: 'preempted' }
  /** Nothing came for longer than usual. */
  | { readonly kind: 'silent' }
  /** A stream broke the order of tokens. */
  | { readonly detail: string; readonly kind: 'sequenceBroken' }
  /** The engine's answer about the generation. */
  | {
      readonly kind: 'status';
      readonly status: EngineGenerationStatus;
      /** Whether the present stream is still open, only silent. */
      readonly streamOpen: boolean;
    }
  /** The engine did not answer on a new connection. */
  | {
      readonly detail: string;
      readonly kind: 'statusFailed';
      /** Whether nobody listens at the engine's address, so that asking again is of no use. */
      readonly refused: boolean;
    };

/** What is to be done next with a generation. */
export type GenerationAction =
  /** Ask the engine, on a new connection, what it knows of the generation. */
  | { readonly kind: 'ask' }
  /** Go on reading the present stream. */
  | { readonly kind: 'await' }
  | { readonly kind: 'end'; readonly refusal: Refusal }
  | { readonly finishReason: FinishReason; readonly kind: 'finish'; readonly totalTokens: number }
  | PlaceAction
  /** Read the same attempt on a new connection. */
  | { readonly attempt: AttemptNumber; readonly fromIndex: number; readonly kind: 'resume' };

/** Find an engine, be admitted there and start the attempt after the prefix. */
export interface PlaceAction {
  readonly attempt: AttemptNumber;
  readonly delayMs: number;
  /** Engines that failed this generation and are avoided while there are others. */
  readonly excludedEngines: readonly EngineId[];
  readonly kind: 'place';
  /** The only engine allowed, where the policy binds the generation to it. */
  readonly onlyEngine?: EngineId;
  readonly prefix: readonly string[];
  readonly reason: string;
}

/** How a token is to be treated. */
export type TokenOutcome =
  /** New, and the caller wants it. */
  | 'deliver'
  /** Seen before. */
  | 'duplicate'
  /** Of another generation. */
  | 'foreign'
  /** Tokens before it are missing. */
  | 'gap'
  /** New here, but the caller has it. */
  | 'held'
  /** Of another attempt. */
  | 'stale';
