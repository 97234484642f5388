import type { RequestId, ServerId } from '@laburnumgap/kernel';
import type { EngineTotals } from './EngineLoad.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** A generation that is about to be sent to an engine. */
export interface CapacityRequest {
  /** Unread prompt tokens that its daemon believes to be there before it. */
  readonly believedReadingTokens: number;
  /** Prompt and expected output. */
  readonly plannedTokens: number;
  readonly promptTokens: number;
  readonly requestId: RequestId;
  readonly serverId: ServerId;
  /** Part of the prompt that the engine has to read. */
  readonly unreadTokens: number;
}

/** Share of the memory that is planned for; the rest covers outputs longer than expected. */
const PLANNED_MEMORY_SHARE = 0.95;
/** Unread prompt tokens that a daemon may have missed before another engine is the better one. */
const MISSED_READING_TOKENS = 1_500;

/** What an engine has for one more generation. */
export interface RemainingCapacity {
  readonly fits: boolean;
  /** Without a slot, or memory for its prompt now, it waits for another one to end. */
  readonly isBlocked: boolean;
  /** Tokens that all there would need beyond the memory that is planned for. */
  readonly overrunTokens: number;
}

/**
 * Memory of an engine that is planned for.
 *
 * @param engine - limits of the engine
 * @returns tokens
 */
export function plannableTokens(engine: EngineLimits): number {
  return PLANNED_MEMORY_SHARE * engine.memoryTokens;
}

/**
 * What an engine has for one more generation. An idle one takes any.
 *
 * @param totals - what is there
 * @param wish - the generation
 * @param engine - limits of the engine
 * @returns whether it fits, and by how much not
 */
export function remainingCapacity(
  totals: EngineTotals,
  wish: Pick<CapacityRequest, 'plannedTokens' | 'promptTokens'>,
  engine: EngineLimits,
): RemainingCapacity {
  const limitTokens = plannableTokens(engine);
  const overrunTokens = Math.max(0, totals.plannedTokens + wish.plannedTokens - limitTokens);
  const hasSlot = totals.runs < engine.slots;
  const isBlocked = !hasSlot || totals.usedTokens + wish.promptTokens > limitTokens;
  const fits = totals.runs === 0 || (overrunTokens === 0 && !isBlocked);
  return { fits, isBlocked, overrunTokens };
}

/**
 * Decides whether a generation goes to the engine that its daemon chose. Answers many daemons that
 * choose the same engine between two of each other's reports: the owner of the engine knows what it
 * granted since, and sends away whoever would have chosen another engine with that knowledge.
 *
 * @param wish - the generation and what its daemon believes
 * @param totals - load of the engine with all that was granted and is not reported yet
 * @param engine - limits of the engine
 * @returns whether it goes there
 */
export function grantsCapacity(
  wish: CapacityRequest,
  totals: EngineTotals,
  engine: EngineLimits,
): boolean {
  const missedTokens = totals.readingTokens - wish.believedReadingTokens;
  return remainingCapacity(totals, wish, engine).fits && missedTokens <= MISSED_READING_TOKENS;
}
