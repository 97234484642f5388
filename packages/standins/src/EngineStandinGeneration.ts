import type { FinishReason } from '@laburnumgap/kernel';
import type { OutputLengthRange, TokenSource } from './EngineStandinTokens.js';
import { countPromptTokens, outputLength, tokenText } from './EngineStandinTokens.js';

/** Parameters of a generation, as the call that starts it sends them. */
export interface GenerationRequest extends TokenSource {
  readonly attempt: number;
  readonly generationId: string;
  readonly maxTokens: number;
  readonly prefix: readonly string[];
  readonly priority: number;
}

/** Event that ends a reader's stream. */
export type ReaderEnd = 'finished' | 'preempted' | 'superseded';

/** Receives the progress of a generation, for one open stream. */
export interface GenerationReader {
  readonly attempt: number;
  /** Called once when the reader's stream ends before the generation has finished. */
  onEnd(end: ReaderEnd): void;
  /** Called when there may be new tokens or a new state. */
  onProgress(): void;
}

/** State of a generation, as the engine reports it. */
export type GenerationState = 'finished' | 'preempted' | 'queued' | 'running';

/** A generation of a stand-in engine: its parameters, its tokens so far and its readers. */
export class StandinGeneration {
  attempt: number;
  /** Prompt tokens that were found in the prefix cache at the latest admission. */
  cachedTokens = 0;
  finishedAtMs = 0;
  finishReason: FinishReason = 'stop';
  /** Time at which the prefill is done and decoding starts or continues. */
  prefillEndsAtMs = 0;
  /** Whether the engine preempted the generation without queueing it again. */
  isAbandoned = false;
  readonly id: string;
  /** Sequence number of the latest admission to the running batch. */
  admissionNumber = 0;
  readonly maxTokens: number;
  readonly priority: number;
  readonly readers = new Set<GenerationReader>();
  readonly source: TokenSource;
  state: GenerationState = 'queued';
  readonly totalTokens: number;
  /** Text of each token by index, beginning with the prefix as the request gave it. */
  readonly tokenTexts: string[];
  /** Whether a fault with `afterTokens` has already been triggered by this generation. */
  hasTriggeredFault = false;

  constructor(request: GenerationRequest, range: OutputLengthRange) {
    this.attempt = request.attempt;
    this.id = request.generationId;
    this.maxTokens = request.maxTokens;
    this.priority = request.priority;
    this.source = { model: request.model, prompt: request.prompt, seed: request.seed };
    this.tokenTexts = [...request.prefix];
    const naturalLength = outputLength(this.source, range);
    this.totalTokens = Math.min(naturalLength, request.maxTokens);
    this.finishReason = naturalLength > request.maxTokens ? 'length' : 'stop';
  }

  /** Tokens that the generation occupies in the KV cache while it runs. */
  get kvTokens(): number {
    return countPromptTokens(this.source.prompt) + this.tokenTexts.length;
  }

  /** Whether the generation has all of its tokens. */
  get isComplete(): boolean {
    return this.tokenTexts.length >= this.totalTokens;
  }

  /** Appends the next token. */
  generateToken(): void {
    this.tokenTexts.push(tokenText(this.source, this.tokenTexts.length));
  }

  /** Notifies every reader that there may be new tokens or a new state. */
  notifyReaders(): void {
    for (const reader of [...this.readers]) {
      reader.onProgress();
    }
  }

  /** Raises the attempt and ends the streams of readers of lower attempts. */
  supersede(attempt: number): void {
    this.attempt = attempt;
    for (const reader of [...this.readers]) {
      if (reader.attempt < attempt) {
        this.readers.delete(reader);
        reader.onEnd('superseded');
      }
    }
  }
}
