import { EngineStandinPrefixCache } from './EngineStandinPrefixCache.js';
import type { GenerationRequest } from './EngineStandinGeneration.js';
import { StandinGeneration } from './EngineStandinGeneration.js';
import type { OutputLengthRange } from './EngineStandinTokens.js';
import { countPromptTokens } from './EngineStandinTokens.js';

/** Options of an {@link EngineStandinCore}. */
export interface EngineStandinCoreOptions {
  /** Size of the KV cache in tokens. */
  readonly kvTokensCapacity?: number;
  /** Queued generations above which new ones are refused with `queueFull`. */
  readonly maxQueued?: number;
  /** Largest number of generations in the running batch. */
  readonly maxRunning?: number;
  /** Range from which the output lengths are drawn. */
  readonly outputRange?: OutputLengthRange;
  /** Prefill time for each prompt token that is not in the prefix cache. */
  readonly prefillMsPerToken?: number;
  /** Size of the prefix cache in tokens; as large as the KV cache by default. */
  readonly prefixCacheTokens?: number;
}

/** Reason why the engine refuses to start or resume a generation. */
export type EngineRefusal =
  'cannotContinue' | 'leaving' | 'queueFull' | 'superseded' | 'unknownGeneration' | 'unknownModel';

/** Load figures that the engine publishes in its load report. */
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
/** Time for which a generation that has ended stays readable. */
const FINISHED_RETENTION_MS = 60_000;

/**
 * Simulates continuous batching with a KV cache of limited size. Each step decodes one token of
 * every running generation. When the KV cache is full, the most recently admitted of the running
 * generations with the lowest priority is preempted: it returns to the queue, and its tokens are
 * recomputed when it is admitted again. A lower number means a higher priority.
 */
export class EngineStandinCore {
  /** Generations by id, including those that ended recently. */
  readonly generations = new Map<string, StandinGeneration>();
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  /** Whether the engine is about to leave and refuses new generations. */
  leaving = false;
  /** Number of preemptions since the start. */
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

  /** Number of running generations. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Whether no generation is running or queued. */
  get isIdle(): boolean {
    return this.#running.size === 0 && this.#queue.length === 0;
  }

  /** Current load figures. */
  get load(): StandinLoad {
    return {
      kvTokensUsed: this.#kvTokensUsed,
      preemptions: this.preemptions,
      queuedGenerations: this.#queue.length,
      runningGenerations: this.#running.size,
    };
  }

  /**
   * Queues a generation. A higher attempt replaces a lower attempt of the same generation.
   *
   * @param request - the generation to start
   * @param nowMs - time of the call
   * @returns the generation, or why it was refused
   */
  start(request: GenerationRequest, nowMs: number): StandinGeneration | EngineRefusal {
    const existing = this.generations.get(request.generationId);
    if (existing && existing.attempt >= request.attempt) {
      return 'superseded';
    }
    if (this.leaving) {
      return 'leaving';
    }
    if (this.#queue.length >= this.#maxQueued) {
      return 'queueFull';
    }
    if (existing) {
      existing.supersede(request.attempt);
      this.#remove(existing);
    }
    const generation = new StandinGeneration(request, this.#outputRange);
    this.generations.set(generation.id, generation);
    this.#enqueue(generation);
    this.#admitQueued(nowMs);
    return generation;
  }

  /**
   * Finds a generation whose stream a caller resumes. Streams of lower attempts end.
   *
   * @param id - id of the generation
   * @param attempt - attempt of the caller
   * @returns the generation, or why it was refused
   */
  resume(id: string, attempt: number): StandinGeneration | EngineRefusal {
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

  /**
   * Cancels a generation. An unknown generation counts as cancelled.
   *
   * @param id - id of the generation
   * @param attempt - attempt of the caller
   * @param nowMs - time of the call
   * @returns false when a higher attempt of the generation exists
   */
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
      this.#admitQueued(nowMs);
    }
    return true;
  }

  /** Preempts a generation without queueing it again, so that its streams end as preempted. */
  abandon(generation: StandinGeneration, nowMs: number): void {
    this.preemptions += 1;
    this.#remove(generation);
    generation.state = 'preempted';
    generation.isAbandoned = true;
    generation.finishedAtMs = nowMs;
    generation.notifyReaders();
    this.#admitQueued(nowMs);
  }

  /**
   * Runs one decoding step: one token for every running generation whose prefill is done.
   *
   * @param nowMs - time of the step
   * @returns the generations that got a token
   */
  step(nowMs: number): readonly StandinGeneration[] {
    this.#admitQueued(nowMs);
    const decoding = [...this.#running].filter((generation) => generation.prefillEndsAtMs <= nowMs);
    const produced: StandinGeneration[] = [];
    for (const generation of decoding) {
      if (this.#running.has(generation) && this.#freeMemoryFor(generation, nowMs)) {
        generation.generateToken();
        this.#kvTokensUsed += 1;
        produced.push(generation);
      }
    }
    for (const generation of produced.filter((candidate) => candidate.isComplete)) {
      this.#finish(generation, nowMs);
    }
    this.#removeExpired(nowMs);
    return produced;
  }

  /**
   * Preempts generations until one more token fits into the KV cache. A generation that fills the
   * KV cache by itself finishes with the reason `length`.
   *
   * @returns whether the generation is still running
   */
  #freeMemoryFor(generation: StandinGeneration, nowMs: number): boolean {
    while (this.#kvTokensUsed >= this.kvTokensCapacity) {
      if (this.#running.size === 1) {
        generation.finishReason = 'length';
        this.#finish(generation, nowMs);
        generation.notifyReaders();
        return false;
      }
      const victim = this.#selectPreemptionVictim();
      this.#preempt(victim);
      if (victim === generation) {
        return false;
      }
    }
    return true;
  }

  #selectPreemptionVictim(): StandinGeneration {
    const [first, ...rest] = [...this.#running] as [StandinGeneration, ...StandinGeneration[]];
    return rest.reduce((victim, candidate) => {
      if (candidate.priority !== victim.priority) {
        return candidate.priority > victim.priority ? candidate : victim;
      }
      return candidate.admissionNumber > victim.admissionNumber ? candidate : victim;
    }, first);
  }

  #preempt(victim: StandinGeneration): void {
    this.preemptions += 1;
    this.#removeFromBatch(victim);
    victim.state = 'preempted';
    this.#enqueue(victim);
  }

  #enqueue(generation: StandinGeneration): void {
    const insertAt = this.#queue.findIndex((queued) => queued.priority > generation.priority);
    this.#queue.splice(insertAt === -1 ? this.#queue.length : insertAt, 0, generation);
  }

  #admitQueued(nowMs: number): void {
    while (this.#running.size < this.maxRunning) {
      const next = this.#queue[0];
      if (!next || !this.#hasMemoryFor(next)) {
        return;
      }
      this.#queue.shift();
      this.#startRunning(next, nowMs);
    }
  }

  #hasMemoryFor(generation: StandinGeneration): boolean {
    const neededTokens = this.#kvTokensUsed + generation.kvTokens + 1;
    return neededTokens <= this.kvTokensCapacity || this.#running.size === 0;
  }

  #startRunning(generation: StandinGeneration, nowMs: number): void {
    if (generation.isComplete) {
      this.#finish(generation, nowMs);
      return;
    }
    const { prompt } = generation.source;
    generation.cachedTokens = this.prefixCache.lookUpAndStore(prompt, nowMs);
    const uncachedTokens =
      countPromptTokens(prompt) - generation.cachedTokens + generation.tokenTexts.length;
    generation.prefillEndsAtMs = nowMs + Math.max(0, uncachedTokens) * this.#prefillMsPerToken;
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
    this.#removeFromBatch(generation);
    const queueIndex = this.#queue.indexOf(generation);
    if (queueIndex !== -1) {
      this.#queue.splice(queueIndex, 1);
    }
  }

  #removeFromBatch(generation: StandinGeneration): void {
    if (this.#running.delete(generation)) {
      this.#kvTokensUsed -= generation.kvTokens;
    }
  }

  #removeExpired(nowMs: number): void {
    for (const [id, generation] of this.generations) {
      const hasEnded = generation.finishedAtMs > 0;
      if (hasEnded && generation.finishedAtMs + FINISHED_RETENTION_MS <= nowMs) {
        this.generations.delete(id);
      }
    }
  }
}
