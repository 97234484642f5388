import type { CallStart } from './CallStart.js';
import { ANSWER_MARGIN_MS } from './ServingConstants.js';

/** Least time that is passed on to a server. */
const MIN_PASSED_MS = 1;

/**
 * When a request has its final answer: before the route's timeout and before the caller gives up.
 *
 * @param start - the request
 * @returns monotonic time
 */
export function finalAnswerAtMs(start: CallStart): number {
  const { arrivedMs, call, route } = start;
  return arrivedMs + Math.min(route.timeoutMs, call.deadlineMs ?? Infinity) - ANSWER_MARGIN_MS;
}

/**
 * Time that a server may work on a request.
 *
 * @param start - the request
 * @param nowMs - monotonic time
 * @returns milliseconds, whole, never more than the caller waits
 */
export function timeLeftMs(start: CallStart, nowMs: number): number {
  const { arrivedMs, call, route } = start;
  const untilMs = arrivedMs + (call.deadlineMs ?? route.timeoutMs);
  return Math.max(MIN_PASSED_MS, Math.floor(untilMs - nowMs));
}
