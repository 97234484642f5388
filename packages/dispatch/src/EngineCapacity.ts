import type { RequestId, ServerId } from '@laburnumgap/kernel';
import type { EngineTotals } from './EngineLoad.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** Priority of a generation in a shortage. */
export interface CapacityPriority {
  /** Its rank holds less than its guaranteed share of the capacity. */
  readonly isGuaranteed?: boolean;
  /** What frees next is kept for it, since smaller generations would always take it. */
  readonly isHeld?: boolean;
  /** Rank of the team or route; 0 is the most urgent. */
  readonly rank: number;
  /** Time until it must be sent to be on time; negative when it is late. */
  readonly slackMs: number;
}

/** Capacity of an engine that is kept for others. */
export interface CapacityReserve {
  readonly runs: number;
  readonly tokens: number;
}

/** Request for capacity at an engine, for one generation that is about to be sent there. */
export interface CapacityRequest {
  /** Unread prompt tokens that the requesting daemon counts at the engine already. */
  readonly believedReadingTokens: number;
  /** 1 for a long stream; absent for others. */
  readonly longRuns?: number;
  /** Unread tokens unknown to the daemon above which it prefers another engine; 1,500 where absent. */
  readonly maxUnseenTokens?: number;
  /** Prompt tokens and planned output tokens. */
  readonly plannedTokens: number;
  /** Absent where daemons do not share a shortage, and from daemons of earlier builds. */
  readonly priority?: CapacityPriority;
  readonly promptTokens: number;
  readonly requestId: RequestId;
  readonly serverId: ServerId;
  /** Prompt tokens that the engine has to prefill, since they are not in its prefix cache. */
  readonly unreadTokens: number;
}

/** Fraction of the KV cache that is planned for; the rest covers outputs longer than expected. */
const PLANNABLE_MEMORY_FRACTION = 0.95;
/** With more unread tokens than this unknown to the daemon, another engine is the better choice. */
const MAX_UNSEEN_TOKENS = 1_500;
/** The same in time, where prefills gather at slow engines so that there is less time to spare. */
const MAX_UNSEEN_MS = 30;
const NO_RESERVE: CapacityReserve = { runs: 0, tokens: 0 };

/** Whether an engine has capacity for one more generation. */
export interface RemainingCapacity {
  readonly fits: boolean;
  /** No free slot, or no KV cache for the prompt: the generation would wait for another to end. */
  readonly isBlocked: boolean;
  /** Tokens by which the planned load would exceed the plannable KV cache. */
  readonly overrunTokens: number;
}

/**
 * KV cache capacity of an engine that placement may plan with.
 *
 * @param engine - limits of the engine
 * @returns tokens
 */
export function plannableTokens(engine: EngineLimits): number {
  return PLANNABLE_MEMORY_FRACTION * engine.memoryTokens;
}

/**
 * Unread tokens unknown to a daemon above which it prefers another engine, where engines differ in speed.
 *
 * @param prefillTokensPerMs - learned speed of the engine
 * @returns tokens
 */
export function maxUnseenTokensAt(prefillTokensPerMs: number): number {
  return Math.round(MAX_UNSEEN_MS * prefillTokensPerMs);
}

/**
 * Checks an engine's remaining capacity for one more generation. An idle engine takes any.
 *
 * @param totals - current load of the engine
 * @param request - size of the generation
 * @param engine - limits of the engine
 * @returns whether it fits, and the overrun in tokens
 */
export function remainingCapacity(
  totals: EngineTotals,
  request: Pick<CapacityRequest, 'plannedTokens' | 'promptTokens'>,
  engine: EngineLimits,
): RemainingCapacity {
  const limitTokens = plannableTokens(engine);
  const overrunTokens = Math.max(0, totals.plannedTokens + request.plannedTokens - limitTokens);
  const hasSlot = totals.runs < engine.slots;
  const isBlocked = !hasSlot || totals.usedTokens + request.promptTokens > limitTokens;
  const fits = totals.runs === 0 || (overrunTokens === 0 && !isBlocked);
  return { fits, isBlocked, overrunTokens };
}

/**
 * Decides, at the owner of an engine, whether a generation may be sent to the engine that its
 * daemon chose. Between two load reports many daemons may choose the same engine; the owner knows
 * what it granted since, and refuses those that would have chosen another engine with that
 * knowledge.
 *
 * @param request - the generation, and the load that its daemon assumed
 * @param totals - load of the engine, including grants that are not reported yet
 * @param engine - limits of the engine
 * @param reserve - capacity that is kept for more urgent generations; none by default
 * @returns whether the capacity is granted
 */
export function grantsCapacity(
  request: CapacityRequest,
  totals: EngineTotals,
  engine: EngineLimits,
  reserve: CapacityReserve = NO_RESERVE,
): boolean {
  const unseenTokens = totals.readingTokens - request.believedReadingTokens;
  const maxUnseenTokens = request.maxUnseenTokens ?? MAX_UNSEEN_TOKENS;
  return !lacksCapacity(request, totals, engine, reserve) && unseenTokens <= maxUnseenTokens;
}

/**
 * Whether an engine lacks capacity for a request, as opposed to being busy with prompts that the
 * requesting daemon did not know of.
 *
 * @param request - the generation
 * @param totals - load of the engine
 * @param engine - limits of the engine
 * @param reserve - capacity that is kept for more urgent generations; none by default
 */
export function lacksCapacity(
  request: CapacityRequest,
  totals: EngineTotals,
  engine: EngineLimits,
  reserve: CapacityReserve = NO_RESERVE,
): boolean {
  const reserved = {
    ...totals,
    plannedTokens: totals.plannedTokens + reserve.tokens,
    runs: totals.runs + reserve.runs,
    usedTokens: totals.usedTokens + reserve.tokens,
  };
  return !remainingCapacity(reserved, request, engine).fits;
}
