import type { BackendServer } from './BackendServer.js';
import type { Placement } from './GenerationPlacement.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** What decides whether an engine keeps a copy of a run's memory. */
export interface MemoryCopyInput {
  readonly engine: EngineLimits;
  /** Tokens that the whole run is planned to hold. */
  readonly plannedTokens: number;
  /** Engines beside that of the run, best first. */
  readonly ranked: readonly Placement[];
}

/** Memory that copies leave free at their engine, so that its own runs are never preempted. */
const COPY_MEMORY_SHARE = 0.5;
/** Copies are kept only while all engines together are less full than this. */
const FLEET_MEMORY_SHARE = 0.35;

/**
 * Chooses the engine that keeps a copy of a run's memory as it grows. Answers engines that end without
 * notice. Copies take memory that requests need when load is high, so there are none then.
 *
 * @param input - the engines and the run
 * @returns the engine, or undefined where memory is not spare
 */
export function chooseCopyHolder(input: MemoryCopyInput): BackendServer | undefined {
  const { engine, plannedTokens, ranked } = input;
  if (!engine.canCopy || ranked.length === 0) {
    return undefined;
  }
  const fleetTokens = ranked.reduce((sum, { totals }) => sum + totals.plannedTokens, 0);
  if (fleetTokens > FLEET_MEMORY_SHARE * engine.memoryTokens * ranked.length) {
    return undefined;
  }
  const limitTokens = COPY_MEMORY_SHARE * engine.memoryTokens;
  return ranked.find(({ totals }) => totals.plannedTokens + plannedTokens <= limitTokens)?.server;
}
