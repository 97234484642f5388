import type { RequestId, ServerId } from '@laburnumgap/kernel';
import type { EngineTotals } from './EngineLoad.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** A generation that is about to be sent to an engine. */
export interface RoomWish {
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
 * Whether an engine has a slot and memory for one more generation. An idle one takes any.
 *
 * @param totals - what is there
 * @param wish - the generation
 * @param engine - limits of the engine
 * @returns whether it fits
 */
export function hasRoom(
  totals: EngineTotals,
  wish: Pick<RoomWish, 'plannedTokens' | 'promptTokens'>,
  engine: EngineLimits,
): boolean {
  const limitTokens = plannableTokens(engine);
  if (totals.runs === 0) {
    return true;
  }
  return (
    totals.runs < engine.slots &&
    totals.plannedTokens + wish.plannedTokens <= limitTokens &&
    totals.usedTokens + wish.promptTokens <= limitTokens
  );
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
export function grantsRoom(wish: RoomWish, totals: EngineTotals, engine: EngineLimits): boolean {
  const missedTokens = totals.readingTokens - wish.believedReadingTokens;
  return hasRoom(totals, wish, engine) && missedTokens <= MISSED_READING_TOKENS;
}
