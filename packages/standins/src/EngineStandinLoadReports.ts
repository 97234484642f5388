import type { EngineStandinCore, StandinLoad } from './EngineStandinCore.js';

interface TimedLoad {
  readonly atMs: number;
  readonly load: StandinLoad;
}

const MAX_SAMPLES = 2000;

/** Load reports of a stand-in engine; they can be made to lag. */
export class EngineStandinLoadReports {
  readonly #core: EngineStandinCore;
  readonly #samples: TimedLoad[] = [];

  constructor(core: EngineStandinCore) {
    this.#core = core;
  }

  /** Keeps the figures of now. */
  sample(nowMs: number): void {
    this.#samples.push({ atMs: nowMs, load: this.#core.load });
    if (this.#samples.length > MAX_SAMPLES) {
      this.#samples.shift();
    }
  }

  /** The report as it is published now. */
  report(nowMs: number, lagMs: number): object {
    const seen = this.#samples.findLast((timed) => timed.atMs <= nowMs - lagMs);
    const latest = { atMs: nowMs, load: this.#core.load };
    const { atMs, load } = seen ?? this.#samples[0] ?? latest;
    return {
      ageMs: Math.round(nowMs - atMs),
      kvTokensCapacity: this.#core.kvTokensCapacity,
      leaving: this.#core.leaving,
      maxRunning: this.#core.maxRunning,
      ...load,
    };
  }
}
