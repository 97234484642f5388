import type { FinishReason } from '@laburnumgap/kernel';
import type { OutputLengthRange, TokenSource } from './EngineStandinTokens.js';
import { outputLength, promptTokens, tokenText } from './EngineStandinTokens.js';

/** Body of a start. */
export interface GenerationStart extends TokenSource {
  readonly attempt: number;
  readonly generationId: string;
  readonly maxTokens: number;
  readonly prefix: readonly string[];
  readonly priority: number;
}

/** How a reader's stream ends. */
export type ReaderEnd = 'finished' | 'preempted' | 'superseded';

/** Reads a generation's tokens from an index on. */
export interface GenerationReader {
  readonly attempt: number;
  /** Called once when the reader's stream ends before the generation does. */
  onEnd(end: ReaderEnd): void;
  /** Called when there may be more to read. */
  onProgress(): void;
}

/** State of a generation of an engine. */
export type GenerationState = 'finished' | 'preempted' | 'queued' | 'running';

/** One generation of a stand-in engine. */
export class StandinGeneration {
  attempt: number;
  /** Prompt tokens that are in the prefix cache. */
  cachedTokens = 0;
  finishedAtMs = 0;
  finishReason: FinishReason = 'stop';
  /** When the prompt has been computed and decoding goes on. */
  decodesFromMs = 0;
  /** The engine gave the generation up for good. */
  givenUp = false;
  readonly id: string;
  /** Order of the latest admission to the running batch. */
  admissionNumber = 0;
  readonly maxTokens: number;
  readonly priority: number;
  readonly readers = new Set<GenerationReader>();
  readonly source: TokenSource;
  state: GenerationState = 'queued';
  readonly totalTokens: number;
  /** Texts by index; those of the prefix are as they were given. */
  readonly texts: string[];
  /** Whether a fault that waits for a number of tokens has met this generation. */
  triggered = false;

  constructor(start: GenerationStart, range: OutputLengthRange) {
    this.attempt = start.attempt;
    this.id = start.generationId;
    this.maxTokens = start.maxTokens;
    this.priority = start.priority;
    this.source = { model: start.model, prompt: start.prompt, seed: start.seed };
    this.texts = [...start.prefix];
    const unbounded = outputLength(this.source, range);
    this.totalTokens = Math.min(unbounded, start.maxTokens);
    this.finishReason = unbounded > start.maxTokens ? 'length' : 'stop';
  }

  /** Memory that the generation takes while it runs. */
  get kvTokens(): number {
    return promptTokens(this.source.prompt) + this.texts.length;
  }

  get complete(): boolean {
    return this.texts.length >= this.totalTokens;
  }

  /** Makes the next token. */
  produce(): void {
    this.texts.push(tokenText(this.source, this.texts.length));
  }

  /** Tells every reader that there may be more. */
  notify(): void {
    for (const reader of [...this.readers]) {
      reader.onProgress();
    }
  }

  /** Ends the streams of readers of lower attempts. */
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
