import type { GenerationReader, ReaderEnd, StandinGeneration } from './EngineStandinGeneration.js';
import type { StandinStream } from './StandinServer.js';

const KEEPALIVE_INTERVAL_MS = 500;

/** Options of {@link streamGeneration}. */
export interface GenerationStreamOptions {
  /** Attempt of the caller that reads the stream. */
  readonly attempt: number;
  /** Index of the first token to send. */
  readonly fromIndex: number;
  /** Whether the `freeze` fault is in effect, so that nothing is written. */
  readonly isFrozen: () => boolean;
}

/**
 * Sends a generation's tokens as server-sent events, paused while the socket is not drained.
 *
 * @param generation - the generation
 * @param stream - the open response stream
 * @param options - attempt and index of the first token
 */
export function streamGeneration(
  generation: StandinGeneration,
  stream: StandinStream,
  options: GenerationStreamOptions,
): void {
  const writer = new GenerationStreamWriter(generation, stream, options);
  writer.start();
}

/** Writes one stream of a generation until the generation or the connection ends. */
class GenerationStreamWriter implements GenerationReader {
  readonly attempt: number;
  readonly #generation: StandinGeneration;
  readonly #isFrozen: () => boolean;
  readonly #stream: StandinStream;
  #keepalive: NodeJS.Timeout | undefined;
  #nextIndex: number;
  #isOpen = true;
  #isAwaitingDrain = false;

  constructor(
    generation: StandinGeneration,
    stream: StandinStream,
    options: GenerationStreamOptions,
  ) {
    this.attempt = options.attempt;
    this.#generation = generation;
    this.#isFrozen = options.isFrozen;
    this.#nextIndex = options.fromIndex;
    this.#stream = stream;
  }

  start(): void {
    this.#generation.readers.add(this);
    this.#stream.onClose(() => {
      this.#close();
    });
    this.#stream.onDrain(() => {
      this.#isAwaitingDrain = false;
      this.onProgress();
    });
    this.#keepalive = setInterval(() => {
      if (!this.#isFrozen() && !this.#isAwaitingDrain) {
        this.#stream.write(': keepalive\n\n');
        this.onProgress();
      }
    }, KEEPALIVE_INTERVAL_MS);
    this.onProgress();
  }

  onProgress(): void {
    if (this.#isFrozen()) {
      return;
    }
    while (
      this.#isOpen &&
      !this.#isAwaitingDrain &&
      this.#nextIndex < this.#generation.tokenTexts.length
    ) {
      this.#writeToken();
    }
    if (!this.#isOpen || this.#nextIndex < this.#generation.tokenTexts.length) {
      return;
    }
    if (this.#generation.state === 'finished') {
      this.#finish();
    } else if (this.#generation.isAbandoned) {
      this.onEnd('preempted');
    }
  }

  onEnd(end: ReaderEnd): void {
    if (this.#isOpen) {
      this.#stream.write(`event: ${end}\ndata: {}\n\n`);
      this.#stream.end();
      this.#close();
    }
  }

  #writeToken(): void {
    const { attempt } = this;
    const index = this.#nextIndex;
    const data = {
      attempt,
      generationId: this.#generation.id,
      index,
      text: this.#generation.tokenTexts[index],
    };
    this.#nextIndex += 1;
    this.#isAwaitingDrain = !this.#stream.write(`id: ${index}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  #finish(): void {
    const data = {
      finishReason: this.#generation.finishReason,
      totalTokens: this.#generation.tokenTexts.length,
    };
    this.#stream.write(`event: finished\ndata: ${JSON.stringify(data)}\n\n`);
    this.#stream.end();
    this.#close();
  }

  #close(): void {
    this.#isOpen = false;
    clearInterval(this.#keepalive);
    this.#generation.readers.delete(this);
  }
}
