import { EngineStandinPrefixCache } from './EngineStandinPrefixCache.js';
import type { GenerationStart } from './EngineStandinGeneration.js';
import { StandinGeneration } from './EngineStandinGeneration.js';
import type { OutputLengthRange } from './EngineStandinTokens.js';
import { promptTokens } from './EngineStandinTokens.js';

/** Options of an {@link EngineStandinCore}. */
export interface EngineStandinCoreOptions {
  readonly kvTokensCapacity?: number;
  readonly maxQueued?: number;
  readonly maxRunning?: number;
  readonly outputRange?: OutputLengthRange;
  /** Time to compute one token of a prompt. */
  readonly prefillMsPerToken?: number;
  readonly prefixCacheTokens?: number;
}

/** Why a start or resume is refused. */
export type StandinRefusal =
  'cannotContinue' | 'leaving' | 'queueFull' | 'superseded' | 'unknownGeneration' | 'unknownModel';

/** Figures of a load report. */
export interface StandinLoad {
  readonly kvTokensUsed: number;
  readonly preemptions: number;
  readonly queuedGenerations: number;
  readonly runningGenerations: number;
}

const DEFAULT_KV_TOKENS = 20_000;
const DEFAULT_MAX_QUEUED = 1000;
const DEFAULT_MAX_RUNNING = 16;
const DEFAULT_OUTPUT_RANGE: OutputLengthRange = { maxTokens: 400, minTokens: 20 };
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.02;
const FINISHED_KEPT_MS = 60_000;

/**
 * Continuous batching with limited memory: each step makes one token of every running generation.
 * When memory fills up, the running generation of the lowest priority that was admitted last goes
 * back to the queue and its tokens are computed again later.
 */
export class EngineStandinCore {
  readonly generations = new Map<string, StandinGeneration>();
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  leaving = false;
  preemptions = 0;
  readonly prefixCache: EngineStandinPrefixCache;
  readonly #maxQueued: number;
  readonly #outputRange: OutputLengthRange;
  readonly #prefillMsPerToken: number;
  readonly #queue: StandinGeneration[] = [];
  readonly #running = new Set<StandinGeneration>();
  #admissions = 0;
  #kvTokensUsed = 0;

  constructor(options: EngineStandinCoreOptions = {}) {
    this.kvTokensCapacity = options.kvTokensCapacity ?? DEFAULT_KV_TOKENS;
    this.maxRunning = options.maxRunning ?? DEFAULT_MAX_RUNNING;
    this.prefixCache = new EngineStandinPrefixCache(
      options.prefixCacheTokens ?? this.kvTokensCapacity,
    );
    this.#maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
    this.#outputRange = options.outputRange ?? DEFAULT_OUTPUT_RANGE;
    this.#prefillMsPerToken = options.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get idle(): boolean {
    return this.#running.size === 0 && this.#queue.length === 0;
  }

  get load(): StandinLoad {
    return {
      kvTokensUsed: this.#kvTokensUsed,
      preemptions: this.preemptions,
      queuedGenerations: this.#queue.length,
      runningGenerations: this.#running.size,
    };
  }

  /** Starts a generation; a higher attempt replaces a lower one. */
  start(start: GenerationStart, nowMs: number): StandinGeneration | StandinRefusal {
    const known = this.generations.get(start.generationId);
    if (known && known.attempt >= start.attempt) {
      return 'superseded';
    }
    if (this.leaving) {
      return 'leaving';
    }
    if (this.#queue.length >= this.#maxQueued) {
      return 'queueFull';
    }
    if (known) {
      known.supersede(start.attempt);
      this.#remove(known);
    }
    const generation = new StandinGeneration(start, this.#outputRange);
    this.generations.set(generation.id, generation);
    this.#enqueue(generation);
    this.#admit(nowMs);
    return generation;
  }

  /** Finds a generation for a reader of an attempt. */
  resume(id: string, attempt: number): StandinGeneration | StandinRefusal {
    const generation = this.generations.get(id);
    if (!generation) {
      return 'unknownGeneration';
    }
    if (attempt < generation.attempt) {
      return 'superseded';
    }
    generation.supersede(attempt);
    return generation;
  }

  /** Cancels a generation; returns false when a higher attempt runs. */
  cancel(id: string, attempt: number, nowMs: number): boolean {
    const generation = this.generations.get(id);
    if (!generation) {
      return true;
    }
    if (attempt < generation.attempt) {
      return false;
    }
    if (generation.state !== 'finished') {
      generation.finishReason = 'cancelled';
      this.#finish(generation, nowMs);
      this.#admit(nowMs);
    }
    return true;
  }

  /** Gives a generation up for good, as an engine does that is told to. */
  giveUp(generation: StandinGeneration, nowMs: number): void {
    this.preemptions += 1;
    this.#remove(generation);
    generation.state = 'preempted';
    generation.givenUp = true;
    generation.finishedAtMs = nowMs;
    generation.notify();
    this.#admit(nowMs);
  }

  /** Makes one token of every generation that decodes; returns those that made one. */
  step(nowMs: number): readonly StandinGeneration[] {
    this.#admit(nowMs);
    const decoding = [...this.#running].filter((generation) => generation.decodesFromMs <= nowMs);
    const produced: StandinGeneration[] = [];
    for (const generation of decoding) {
      if (this.#running.has(generation) && this.#makeRoomFor(generation, nowMs)) {
        generation.produce();
        this.#kvTokensUsed += 1;
        produced.push(generation);
      }
    }
    for (const generation of produced.filter((made) => made.complete)) {
      this.#finish(generation, nowMs);
    }
    this.#forget(nowMs);
    return produced;
  }

  /**
   * Preempts until one more token fits; returns whether the generation itself still runs. A
   * generation that fills the whole memory ends.
   */
  #makeRoomFor(generation: StandinGeneration, nowMs: number): boolean {
    while (this.#kvTokensUsed >= this.kvTokensCapacity) {
      if (this.#running.size === 1) {
        generation.finishReason = 'length';
        this.#finish(generation, nowMs);
        generation.notify();
        return false;
      }
      const victim = this.#victim();
      this.#preempt(victim);
      if (victim === generation) {
        return false;
      }
    }
    return true;
  }

  #victim(): StandinGeneration {
    const [first, ...rest] = [...this.#running] as [StandinGeneration, ...StandinGeneration[]];
    return rest.reduce((worst, candidate) => {
      if (candidate.priority !== worst.priority) {
        return candidate.priority > worst.priority ? candidate : worst;
      }
      return candidate.admissionNumber > worst.admissionNumber ? candidate : worst;
    }, first);
  }

  #preempt(victim: StandinGeneration): void {
    this.preemptions += 1;
    this.#leaveBatch(victim);
    victim.state = 'preempted';
    this.#enqueue(victim);
  }

  #enqueue(generation: StandinGeneration): void {
    const later = this.#queue.findIndex((queued) => queued.priority > generation.priority);
    this.#queue.splice(later === -1 ? this.#queue.length : later, 0, generation);
  }

  #admit(nowMs: number): void {
    while (this.#running.size < this.maxRunning) {
      const next = this.#queue[0];
      if (!next || !this.#fits(next)) {
        return;
      }
      this.#queue.shift();
      this.#run(next, nowMs);
    }
  }

  #fits(generation: StandinGeneration): boolean {
    const needed = this.#kvTokensUsed + generation.kvTokens + 1;
    return needed <= this.kvTokensCapacity || this.#running.size === 0;
  }

  #run(generation: StandinGeneration, nowMs: number): void {
    if (generation.complete) {
      this.#finish(generation, nowMs);
      return;
    }
    const { prompt } = generation.source;
    generation.cachedTokens = this.prefixCache.use(prompt, nowMs);
    const uncached = promptTokens(prompt) - generation.cachedTokens + generation.texts.length;
    generation.decodesFromMs = nowMs + Math.max(0, uncached) * this.#prefillMsPerToken;
    this.#admissions += 1;
    generation.admissionNumber = this.#admissions;
    generation.state = 'running';
    this.#running.add(generation);
    this.#kvTokensUsed += generation.kvTokens;
  }

  #finish(generation: StandinGeneration, nowMs: number): void {
    this.#remove(generation);
    generation.state = 'finished';
    generation.finishedAtMs = nowMs;
  }

  #remove(generation: StandinGeneration): void {
    this.#leaveBatch(generation);
    const queuedAt = this.#queue.indexOf(generation);
    if (queuedAt !== -1) {
      this.#queue.splice(queuedAt, 1);
    }
  }

  #leaveBatch(generation: StandinGeneration): void {
    if (this.#running.delete(generation)) {
      this.#kvTokensUsed -= generation.kvTokens;
    }
  }

  #forget(nowMs: number): void {
    for (const [id, generation] of this.generations) {
      const ended = generation.finishedAtMs > 0;
      if (ended && generation.finishedAtMs + FINISHED_KEPT_MS <= nowMs) {
        this.generations.delete(id);
      }
    }
  }
}
