import type { EngineStandinCore, StandinLoad } from './EngineStandinCore.js';

interface LoadSample {
  readonly atMs: number;
  readonly load: StandinLoad;
}

/** History for the `lag` fault: 100 s at one sample every 50 ms. */
const MAX_SAMPLES = 2000;

/** Samples the load of a stand-in engine and reports it, with a configurable lag. */
export class EngineStandinLoadReports {
  readonly #core: EngineStandinCore;
  readonly #samples: LoadSample[] = [];

  constructor(core: EngineStandinCore) {
    this.#core = core;
  }

  /** Records the current load. */
  sample(nowMs: number): void {
    this.#samples.push({ atMs: nowMs, load: this.#core.load });
    if (this.#samples.length > MAX_SAMPLES) {
      this.#samples.shift();
    }
  }

  /**
   * Builds the load report.
   *
   * @param nowMs - time of the call
   * @param lagMs - minimum age of the figures; the oldest sample is used when none is old enough
   * @returns the report, as the protocol has it
   */
  report(nowMs: number, lagMs: number): object {
    const published = this.#samples.findLast((sample) => sample.atMs <= nowMs - lagMs);
    const current = { atMs: nowMs, load: this.#core.load };
    const { atMs, load } = published ?? this.#samples[0] ?? current;
    return {
      ageMs: Math.round(nowMs - atMs),
      kvTokensCapacity: this.#core.kvTokensCapacity,
      leaving: this.#core.leaving,
      maxRunning: this.#core.maxRunning,
      ...load,
    };
  }
}
