/** A run on a modelled engine. */
export interface ModelRun {
  readonly onEvent: (nowMs: number) => void;
  readonly outputTokens: number;
  producedTokens: number;
  readonly promptTokens: number;
  unreadTokens: number;
}

/** Options of {@link UnevenEngineModel}. */
export interface EngineModelOptions {
  readonly memoryTokens: number;
  /** Random number in [0, 1) for a span of time; the same for the same span. */
  readonly randomOfSpan: (span: number) => number;
  /** Time of a step against an engine of usual speed; may change. */
  relativeTime: number;
  readonly slots: number;
  readonly tokensPerEvent: number;
}

const CHUNK_TOKENS = 112;
const STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const CHUNK_TOKENS_PER_MS = 14;
const SLOW_SPAN_MS = 600;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;

/**
 * Model of an engine that works in steps: each step decodes one token of each run and prefills up to a
 * chunk of the waiting prompts, in order of arrival. In slow spans a step takes longer.
 */
export class UnevenEngineModel {
  private decoding: ModelRun[] = [];
  private waiting: ModelRun[] = [];

  constructor(readonly options: EngineModelOptions) {}

  add(run: ModelRun): void {
    this.waiting.push(run);
  }

  /** Removes all runs, as in a restart. */
  clear(): void {
    this.decoding = [];
    this.waiting = [];
  }

  isIdle(): boolean {
    return this.decoding.length === 0 && this.waiting.length === 0;
  }

  /** Time of the step that begins now; its effects come with {@link finishStep} at its end. */
  stepMs(nowMs: number): number {
    const { randomOfSpan, relativeTime } = this.options;
    const isSlow = randomOfSpan(Math.floor(nowMs / SLOW_SPAN_MS)) < SLOW_SHARE;
    const chunkMs = this.nextChunk() / CHUNK_TOKENS_PER_MS;
    const usualMs = STEP_MS + STEP_MS_PER_RUN * this.decoding.length + chunkMs;
    return usualMs * relativeTime * (isSlow ? SLOW_FACTOR : 1);
  }

  finishStep(nowMs: number): void {
    const { tokensPerEvent } = this.options;
    for (const run of this.decoding) {
      run.producedTokens += 1;
      const isLast = run.producedTokens >= run.outputTokens;
      if (isLast || run.producedTokens % tokensPerEvent === 0) {
        run.onEvent(nowMs);
      }
    }
    this.decoding = this.decoding.filter((run) => run.producedTokens < run.outputTokens);
    this.prefill(this.nextChunk());
    this.preempt();
  }

  private nextChunk(): number {
    const unreadTokens = this.admitted().reduce((sum, run) => sum + run.unreadTokens, 0);
    return Math.min(CHUNK_TOKENS, unreadTokens);
  }

  /** Waiting runs for which there are slots and memory, in order. */
  private admitted(): readonly ModelRun[] {
    const { memoryTokens, slots } = this.options;
    let freeTokens = memoryTokens - this.usedTokens();
    let freeSlots = slots - this.decoding.length;
    const admitted: ModelRun[] = [];
    for (const run of this.waiting) {
      freeTokens -= run.promptTokens + run.producedTokens;
      freeSlots -= 1;
      if (freeTokens < 0 || freeSlots < 0) {
        break;
      }
      admitted.push(run);
    }
    return admitted;
  }

  private prefill(chunkTokens: number): void {
    let remaining = chunkTokens;
    for (const run of this.admitted()) {
      const tokens = Math.min(remaining, run.unreadTokens);
      run.unreadTokens -= tokens;
      remaining -= tokens;
      if (run.unreadTokens > 0) {
        return;
      }
      this.waiting.shift();
      this.decoding.push(run);
    }
  }

  /** Without memory for the outputs, the latest run is read again later. */
  private preempt(): void {
    while (this.usedTokens() > this.options.memoryTokens) {
      const run = this.decoding.pop();
      if (!run) {
        return;
      }
      run.unreadTokens = run.promptTokens + run.producedTokens;
      this.waiting.unshift(run);
    }
  }

  private usedTokens(): number {
    return this.decoding.reduce((sum, run) => sum + run.promptTokens + run.producedTokens, 0);
  }
}
