import type { RequestId } from '@laburnumgap/kernel';
import type { EngineLimits } from './ServingConfiguration.js';

/** A stream on an engine that is leaving. */
export interface LeavingStream {
  readonly expectedRemainingTokens: number;
  readonly requestId: RequestId;
}

/** A stream to move to another engine. */
export interface SelectedMove {
  /** Whether the stream is likely to end before its engine stops. */
  readonly endsSoon: boolean;
  readonly requestId: RequestId;
}

/** A stream that is expected to end within this time is not moved. */
const MIN_REMAINING_MS = 100;
/** Engines keep serving for about this long after they announced to leave. */
const ENGINE_STOP_DELAY_MS = 1_500;
/** Both times are estimates: an engine can serve longer than it has to, and a run can be slower. */
const STAY_TOLERANCE_MS = 500;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;
const MS_PER_S = 1_000;

/**
 * Time to copy the KV cache of tokens over one link.
 *
 * @param tokens - tokens in the KV cache
 * @param engine - link bandwidth and bytes per token
 * @returns milliseconds
 */
export function copyDurationMs(tokens: number, engine: EngineLimits): number {
  const bits = tokens * engine.bytesPerToken * BITS_PER_BYTE;
  return (bits * MS_PER_S) / (engine.linkMbps * BITS_PER_MEGABIT);
}

/** A run on a leaving engine, before it is stopped for a move. */
export interface RunBeforeStop {
  /** Whether the engine will still take the run back if no other has room for it. */
  readonly canReturn: boolean;
  /** Time for which the engine is certain to serve on. */
  readonly engineRemainingMs: number;
  /** Expected time until the run ends where it is. */
  readonly runRemainingMs: number;
}

/**
 * Whether a run is stopped for a move. A run that no engine would take after the stop is better left where
 * it is, if it is expected to end before its engine does, or about then.
 *
 * @param run - the run
 * @returns false when it stays where it is for now
 */
export function mayStopForMove({
  canReturn,
  engineRemainingMs,
  runRemainingMs,
}: RunBeforeStop): boolean {
  return canReturn || runRemainingMs > engineRemainingMs + STAY_TOLERANCE_MS;
}

/**
 * Selects the streams to move away from a leaving engine; streams that are about to end stay.
 *
 * @param streams - streams on the engine
 * @param msPerToken - expected time for one output token
 * @returns the streams to move, and whether each is likely to end before its engine stops
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
    .filter(({ remainingMs }) => remainingMs > MIN_REMAINING_MS)
    .map(({ remainingMs, requestId }) => ({
      endsSoon: remainingMs < ENGINE_STOP_DELAY_MS,
      requestId,
    }));
}
