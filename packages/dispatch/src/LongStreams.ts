import { plannedOutputTokens } from './PlannedOutput.js';
import type { PromptShape } from './PromptShape.js';
import type { EngineLimits } from './ServingConfiguration.js';

/** A generation as far as the length of its stream is concerned. */
export interface StreamShape {
  readonly engine: EngineLimits;
  /** Longest gap between two events that its route allows; 0 for none. */
  readonly maxEventGapMs: number;
  /** Output tokens so far. */
  readonly producedTokens: number;
  readonly prompt: PromptShape;
}

/** With fewer events to come, a stream ends before many prompts can be prefilled beside it. */
const LONG_STREAM_EVENTS = 20;

/**
 * Events that a stream is expected to deliver from now on.
 *
 * @param stream - the generation
 * @returns number of events, at least 0
 */
export function expectedRemainingEvents({ engine, producedTokens, prompt }: StreamShape): number {
  const remaining = plannedOutputTokens(prompt, producedTokens) - producedTokens;
  return Math.max(0, remaining) / engine.tokensPerEvent;
}

/**
 * Whether a stream is exposed to late events for long: its route limits the gap between two events, and
 * many are still to come.
 *
 * @param stream - the generation
 * @returns whether it counts as a long run of its engine
 */
export function isLongStream(stream: StreamShape): boolean {
  return stream.maxEventGapMs > 0 && expectedRemainingEvents(stream) >= LONG_STREAM_EVENTS;
}
