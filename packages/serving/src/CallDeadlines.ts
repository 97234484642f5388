import type { AdmittedCall } from './AdmittedCall.js';
import { RESPONSE_MARGIN_MS } from './ServingConstants.js';

/** Least time that is passed on to a server. */
const MIN_SERVER_DEADLINE_MS = 1;

/**
 * Time until a request has its final answer: before the route's timeout and before the caller gives
 * up.
 *
 * @param admitted - the request
 * @param nowMs - monotonic time
 * @returns milliseconds, 0 when it is due
 */
export function untilFinalResponseMs(admitted: AdmittedCall, nowMs: number): number {
  const { arrivedMs, request, route } = admitted;
  const boundMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
  return Math.max(0, arrivedMs + boundMs - RESPONSE_MARGIN_MS - nowMs);
}

/**
 * Time that a server may work on a request.
 *
 * @param admitted - the request
 * @param nowMs - monotonic time
 * @returns milliseconds, whole, never more than the caller waits
 */
export function serverDeadlineMs(admitted: AdmittedCall, nowMs: number): number {
  const { arrivedMs, request, route } = admitted;
  const untilMs = arrivedMs + (request.deadlineMs ?? route.timeoutMs);
  return Math.max(MIN_SERVER_DEADLINE_MS, Math.floor(untilMs - nowMs));
}
