import type { RequestId } from '@laburnumgap/kernel';
import type { EngineLimits } from './ServingConfiguration.js';

/** A stream on an engine that leaves. */
export interface LeavingStream {
  readonly expectedRemainingTokens: number;
  readonly requestId: RequestId;
}

/** A stream that is to be moved. */
export interface SelectedMove {
  readonly endsSoon: boolean;
  readonly requestId: RequestId;
}

/** A stream that ends within this time is left to end where it runs. */
const ENDS_AT_ONCE_MS = 100;
/** Engines serve on for about this long after they said that they leave. */
const ENDS_SOON_MS = 1_500;
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
export function copyDurationMs(tokens: number, engine: EngineLimits): number {
  const bits = tokens * engine.bytesPerToken * BITS_PER_BYTE;
  return (bits * MS_PER_S) / (engine.linkMbps * BITS_PER_MEGABIT);
}

/**
 * Selects the streams of an engine that leaves which are moved; those about to end stay.
 *
 * @param streams - streams on the engine
 * @param msPerToken - expected time for one output token
 * @returns the streams to move, and whether each may end before its engine does
 */
export function selectMoves(
  streams: readonly LeavingStream[],
  msPerToken: number,
): readonly SelectedMove[] {
  return streams
    .map(({ expectedRemainingTokens, requestId }) => ({
      remainingMs: expectedRemainingTokens * msPerToken,
      requestId,
    }))
    .filter(({ remainingMs }) => remainingMs > ENDS_AT_ONCE_MS)
    .map(({ remainingMs, requestId }) => ({ endsSoon: remainingMs < ENDS_SOON_MS, requestId }));
}
