import type { StandinGeneration } from './EngineStandinGeneration.js';
import type { Fault } from './StandinFaults.js';

/** A fault that waits until a generation has made some number of tokens. */
export type TriggeredFault = Extract<Fault, { kind: 'kill' | 'preempt' | 'silent' }>;

/** Faults of a stand-in engine that wait for tokens. Each fires once. */
export class EngineStandinTriggers {
  #waiting: TriggeredFault[] = [];

  /** Takes a fault that waits for tokens; returns whether it is one. */
  add(fault: Fault): boolean {
    const waits =
      fault.kind === 'preempt' ||
      ((fault.kind === 'kill' || fault.kind === 'silent') && fault.afterTokens !== undefined);
    if (waits) {
      this.#waiting.push(fault);
    }
    return waits;
  }

  clear(): void {
    this.#waiting = [];
  }

  /** Fires the faults that generations meet which have just made a token. */
  fire(
    produced: readonly StandinGeneration[],
    run: (fault: TriggeredFault, generation: StandinGeneration) => void,
  ): void {
    for (const fault of [...this.#waiting]) {
      const met = produced.find((generation) => meets(generation, fault));
      if (met) {
        met.triggered = true;
        this.#waiting = this.#waiting.filter((other) => other !== fault);
        run(fault, met);
      }
    }
  }
}

function meets(generation: StandinGeneration, fault: TriggeredFault): boolean {
  return (
    generation.texts.length >= (fault.afterTokens ?? 0) &&
    generation.state === 'running' &&
    !generation.triggered
  );
}
