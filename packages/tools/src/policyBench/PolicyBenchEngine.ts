import type { EngineLoad } from '@laburnumgap/kernel';

/** A generation that the fake engine queues or runs. */
export interface FakeGeneration {
  readonly id: string;
  readonly lengthTokens: number;
  readonly priority: number;
  producedTokens: number;
  readonly promptTokens: number;
}

/** Result of one step of the fake engine. */
export interface FakeStep {
  readonly finished: readonly FakeGeneration[];
  readonly preempted: readonly FakeGeneration[];
  readonly produced: readonly FakeGeneration[];
  readonly stepMs: number;
}

/** Capacity of the fake engine. */
export interface FakeEngineOptions {
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
}

/** A running generation and its remaining prefill. */
interface Slot {
  readonly admissionOrder: number;
  readonly generation: FakeGeneration;
  prefillTokens: number;
}

interface LoadSample {
  readonly atMs: number;
  readonly load: EngineLoad;
}

/** Duration of a step with an empty batch. */
export const FAKE_STEP_BASE_MS = 18;
/** Additional step duration for each generation in the batch. */
export const FAKE_STEP_PER_GENERATION_MS = 0.25;
const PREFILL_MS_PER_TOKEN = 0.03;
/** Budget of prompt tokens that one step prefills alongside decoding. */
const PREFILL_TOKENS_PER_STEP = 512;
const LOAD_REPORT_DELAY_MS = 1_000;
const MAX_LOAD_SAMPLES = 256;

/**
 * An in-process simulation of a model engine with continuous batching, chunked prefill and bounded
 * KV memory. When memory is full, the engine preempts the most recently admitted generation of the
 * lowest priority, returns it to the queue and recomputes its tokens.
 */
export class FakeEngine {
  /** Number of preemptions since the start. */
  preemptions = 0;
  private admissions = 0;
  private readonly options: FakeEngineOptions;
  private queue: FakeGeneration[] = [];
  private readonly samples: LoadSample[] = [];
  private slots: Slot[] = [];

  constructor(options: FakeEngineOptions) {
    this.options = options;
  }

  /** Returns whether no generation is running or queued. */
  isIdle(): boolean {
    return this.slots.length === 0 && this.queue.length === 0;
  }

  /** Removes a generation from the batch and the queue. */
  cancel(id: string): void {
    this.slots = this.slots.filter((slot) => slot.generation.id !== id);
    this.queue = this.queue.filter((generation) => generation.id !== id);
  }

  /** Queues a generation behind those of the same or a more urgent priority. */
  start(generation: FakeGeneration): void {
    const insertionIndex = this.queue.findIndex((queued) => queued.priority > generation.priority);
    this.queue.splice(insertionIndex < 0 ? this.queue.length : insertionIndex, 0, generation);
  }

  /** Returns the load as it was one report delay ago, because real load reports are stale. */
  load(nowMs: number): EngineLoad {
    const sample = this.samples.findLast(({ atMs }) => atMs <= nowMs - LOAD_REPORT_DELAY_MS);
    const load = sample?.load ?? this.measure();
    return { ...load, ageMs: sample ? nowMs - sample.atMs : 0 };
  }

  /** Admits queued generations, runs prefill and decodes one token per prefilled generation. */
  step(nowMs: number): FakeStep {
    this.admit();
    const prefillTokens = this.prefill();
    const preempted: FakeGeneration[] = [];
    const produced: FakeGeneration[] = [];
    for (const slot of [...this.slots]) {
      if (slot.prefillTokens === 0 && this.ensureFreeMemory(slot, preempted)) {
        slot.generation.producedTokens += 1;
        produced.push(slot.generation);
      }
    }
    const stepMs =
      FAKE_STEP_BASE_MS +
      FAKE_STEP_PER_GENERATION_MS * this.slots.length +
      PREFILL_MS_PER_TOKEN * prefillTokens;
    const finished = produced.filter(
      (generation) => generation.producedTokens >= generation.lengthTokens,
    );
    for (const generation of finished) {
      this.cancel(generation.id);
    }
    this.recordLoadSample(nowMs);
    return { finished, preempted, produced, stepMs };
  }

  private admit(): void {
    let first = this.queue[0];
    while (first && this.slots.length < this.options.maxRunning && this.fits(first)) {
      this.queue.shift();
      this.admissions += 1;
      const prefillTokens = first.promptTokens + first.producedTokens;
      this.slots.push({ admissionOrder: this.admissions, generation: first, prefillTokens });
      first = this.queue[0];
    }
  }

  private fits(generation: FakeGeneration): boolean {
    const neededTokens = generation.promptTokens + generation.producedTokens + 1;
    return this.usedTokens() + neededTokens <= this.options.kvTokensCapacity;
  }

  private recordLoadSample(nowMs: number): void {
    const last = this.samples.at(-1);
    if (last && nowMs - last.atMs < LOAD_REPORT_DELAY_MS / 10) {
      return;
    }
    this.samples.push({ atMs: nowMs, load: this.measure() });
    if (this.samples.length > MAX_LOAD_SAMPLES) {
      this.samples.shift();
    }
  }

  private ensureFreeMemory(slot: Slot, preempted: FakeGeneration[]): boolean {
    if (!this.slots.includes(slot)) {
      return false;
    }
    while (this.usedTokens() >= this.options.kvTokensCapacity) {
      const victim = this.chooseVictim();
      this.preempt(victim);
      preempted.push(victim.generation);
      if (victim === slot) {
        return false;
      }
    }
    return true;
  }

  private measure(): EngineLoad {
    return {
      ageMs: 0,
      kvTokensCapacity: this.options.kvTokensCapacity,
      kvTokensUsed: this.usedTokens(),
      leaving: false,
      maxRunning: this.options.maxRunning,
      preemptions: this.preemptions,
      queuedGenerations: this.queue.length,
      runningGenerations: this.slots.length,
    };
  }

  private preempt(victim: Slot): void {
    this.preemptions += 1;
    this.slots = this.slots.filter((slot) => slot !== victim);
    this.start(victim.generation);
  }

  private prefill(): number {
    let remainingTokens = PREFILL_TOKENS_PER_STEP;
    for (const slot of this.slots) {
      const tokens = Math.min(remainingTokens, slot.prefillTokens);
      slot.prefillTokens -= tokens;
      remainingTokens -= tokens;
    }
    return PREFILL_TOKENS_PER_STEP - remainingTokens;
  }

  private usedTokens(): number {
    return this.slots.reduce(
      (sum, { generation }) => sum + generation.promptTokens + generation.producedTokens,
      0,
    );
  }

  private chooseVictim(): Slot {
    return this.slots.reduce((worst, slot) => {
      if (slot.generation.priority !== worst.generation.priority) {
        return slot.generation.priority > worst.generation.priority ? slot : worst;
      }
      return slot.admissionOrder > worst.admissionOrder ? slot : worst;
    });
  }
}
