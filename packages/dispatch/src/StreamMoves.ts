import type { RequestId } from '@laburnumgap/kernel';
import type { EngineLimits } from './ServingConfiguration.js';

/** A stream on an engine that leaves. */
export interface LeavingStream {
  readonly expectedRemainingTokens: number;
  readonly requestId: RequestId;
}

/** A stream that ends within this time is left to end where it runs. */
const ENDS_SOON_MS = 100;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;
const MS_PER_S = 1_000;

/**
 * Time to copy tokens over one link.
 *
 * @param tokens - tokens in memory
 * @param engine - link and size of a token
 * @returns milliseconds
 */
export function copyMs(tokens: number, engine: EngineLimits): number {
  const bits = tokens * engine.bytesPerToken * BITS_PER_BYTE;
  return (bits * MS_PER_S) / (engine.linkMbps * BITS_PER_MEGABIT);
}

/**
 * Orders the streams of an engine that leaves: the longest remaining first, because they lose most
 * when the time runs out; those about to end stay.
 *
 * @param streams - streams on the engine
 * @param msPerToken - expected time for one output token
 * @returns the streams to move, first to last
 */
export function orderMoves(
  streams: readonly LeavingStream[],
  msPerToken: number,
): readonly RequestId[] {
  return streams
    .filter((stream) => stream.expectedRemainingTokens * msPerToken > ENDS_SOON_MS)
    .sort((a, b) => b.expectedRemainingTokens - a.expectedRemainingTokens)
    .map(({ requestId }) => requestId);
}
