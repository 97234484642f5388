import type { RequestId } from '@laburnumgap/kernel';
import type { EngineLimits } from './ServingConfiguration.js';

/** A stream on an engine that leaves. */
export interface LeavingStream {
  readonly expectedRemainingTokens: number;
  readonly requestId: RequestId;
  readonly usedTokens: number;
}

/** When a stream's memory is copied away. */
export interface PlannedMove {
  readonly afterMs: number;
  readonly requestId: RequestId;
}

/** What is known of the time that is left. */
export interface MovePlanInput {
  readonly engine: EngineLimits;
  /** Expected time for one output token. */
  readonly msPerToken: number;
  readonly streams: readonly LeavingStream[];
  /** Tokens that other daemons copy from this engine first. */
  readonly tokensBefore: number;
}

/** Time that a copy takes beside its bytes: the calls, and the last piece after the stop. */
const MOVE_OVERHEAD_MS = 30;
/** A stream that ends within this time is left to end where it runs. */
const ENDS_SOON_MS = 300;
const BITS_PER_BYTE = 8;
const MEGABIT = 1_000_000;

/**
 * Time to copy tokens over one link.
 *
 * @param tokens - tokens in memory
 * @param engine - link and size of a token
 * @returns milliseconds
 */
export function copyMs(tokens: number, engine: EngineLimits): number {
  return (tokens * engine.bytesPerToken * BITS_PER_BYTE * 1_000) / (engine.linkMbps * MEGABIT);
}

/**
 * Plans the moves of all streams of this daemon on an engine that leaves. Copies share one link, so
 * they follow each other: a last piece that queued behind another whole copy would stall its stream.
 * The longest remaining streams go first.
 *
 * @param input - the streams and the engine
 * @returns moves with their start times
 */
export function planMoves(input: MovePlanInput): readonly PlannedMove[] {
  const { engine, msPerToken, streams, tokensBefore } = input;
  const moving = streams
    .filter((stream) => stream.expectedRemainingTokens * msPerToken > ENDS_SOON_MS)
    .sort((a, b) => b.expectedRemainingTokens - a.expectedRemainingTokens);
  let afterMs = copyMs(tokensBefore, engine);
  return moving.map(({ requestId, usedTokens }) => {
    const move = { afterMs, requestId };
    afterMs += copyMs(usedTokens, engine) + MOVE_OVERHEAD_MS;
    return move;
  });
}
