import { PREFILL_TOKENS_PER_MS } from './EngineLoad.js';

/** Size of a generation, and how long its caller waits. */
export interface GenerationSize {
  /** Time after which a caller that received nothing gives up. */
  readonly callerTimeoutMs: number;
  /** Expected output. */
  readonly outputTokens: number;
  readonly promptTokens: number;
  readonly targetLatencyMs: number;
}

/** An output token is worth as much to the caller as this many prompt tokens. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/** Decoding on an engine with several runs: events of 4 tokens took 40 to 51 ms. */
const DECODE_MS_PER_TOKEN = 11;
/** One step of an engine that decodes other runs beside the prefill. */
const FIRST_EVENT_MARGIN_MS = 200;

/**
 * Estimates the value of a generation to its caller from its size.
 *
 * @param size - the generation
 * @returns value, in prompt tokens
 */
export function generationValue({ outputTokens, promptTokens }: GenerationSize): number {
  return promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens;
}

/**
 * Value of a generation for the capacity that it takes: KV cache over the time that it is held.
 *
 * @param size - the generation
 * @returns value for each token and millisecond
 */
export function valueForCapacity(size: GenerationSize): number {
  const { outputTokens, promptTokens } = size;
  const heldMs = promptTokens / PREFILL_TOKENS_PER_MS + outputMs(size);
  return generationValue(size) / Math.max(1, (promptTokens + outputTokens) * heldMs);
}

/**
 * Estimates how much of its value a generation keeps when it starts later than its target: little
 * where the caller waits for a short output with a tight target, more where most of the time that the
 * caller spends is the output itself.
 *
 * @param size - the generation
 * @returns share of the value, from 0 to 1
 */
export function lateValueShare(size: GenerationSize): number {
  const durationMs = outputMs(size);
  return durationMs / Math.max(1, durationMs + size.callerTimeoutMs);
}

/**
 * Time that a generation has until it must be sent to be on time.
 *
 * @param size - the generation
 * @param waitedMs - time since its arrival
 * @returns milliseconds; negative when it is late
 */
export function onTimeSlackMs(
  { promptTokens, targetLatencyMs }: GenerationSize,
  waitedMs: number,
): number {
  const firstEventMs = promptTokens / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MARGIN_MS;
  return targetLatencyMs - firstEventMs - waitedMs;
}

function outputMs({ outputTokens }: GenerationSize): number {
  return outputTokens * DECODE_MS_PER_TOKEN;
}
