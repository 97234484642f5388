import type { StandinGeneration } from './EngineStandinGeneration.js';
import type { Fault } from './StandinFaults.js';

/** A fault that takes effect once a running generation has a given number of tokens. */
export type TriggeredFault = Extract<Fault, { kind: 'kill' | 'preempt' | 'silent' }>;

/** Pending faults of a stand-in engine that a token count triggers. Each is triggered once. */
export class TokenCountTriggers {
  #pending: TriggeredFault[] = [];

  /** Adds a fault if a token count triggers it; returns whether it was added. */
  add(fault: Fault): boolean {
    const needsTokenCount =
      fault.kind === 'preempt' ||
      ((fault.kind === 'kill' || fault.kind === 'silent') && fault.afterTokens !== undefined);
    if (needsTokenCount) {
      this.#pending.push(fault);
    }
    return needsTokenCount;
  }

  /** Drops every pending fault. */
  clear(): void {
    this.#pending = [];
  }

  /**
   * Triggers the pending faults whose token count a generation has reached.
   *
   * @param produced - generations that have just got a token
   * @param run - carries out a triggered fault
   */
  fire(
    produced: readonly StandinGeneration[],
    run: (fault: TriggeredFault, generation: StandinGeneration) => void,
  ): void {
    for (const fault of [...this.#pending]) {
      const match = produced.find((generation) => triggers(generation, fault));
      if (match) {
        match.hasTriggeredFault = true;
        this.#pending = this.#pending.filter((other) => other !== fault);
        run(fault, match);
      }
    }
  }
}

function triggers(generation: StandinGeneration, fault: TriggeredFault): boolean {
  return (
    generation.tokenTexts.length >= (fault.afterTokens ?? 0) &&
    generation.state === 'running' &&
    !generation.hasTriggeredFault
  );
}
