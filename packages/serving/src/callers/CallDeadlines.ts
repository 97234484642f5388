import type { AdmittedCall, RoutedCall } from './AdmittedCall.js';
import { RESPONSE_MARGIN_MS } from '../ServingConstants.js';

/** Smallest deadline that is sent to a server. */
const MIN_SERVER_DEADLINE_MS = 1;

/**
 * Time left until the final response must be sent: shortly before the route's timeout or the
 * caller's deadline, whichever is earlier.
 *
 * @param call - the request
 * @param nowMs - monotonic time
 * @returns milliseconds; 0 when the time is over
 */
export function untilFinalResponseMs(
  { arrivedMs, request, route }: Pick<RoutedCall, 'arrivedMs' | 'request' | 'route'>,
  nowMs: number,
): number {
  const timeoutMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
  return Math.max(0, arrivedMs + timeoutMs - RESPONSE_MARGIN_MS - nowMs);
}

/**
 * Deadline that is sent to a server with a request.
 *
 * @param admitted - the request
 * @param nowMs - monotonic time
 * @returns whole milliseconds until the caller's deadline, or the route's timeout without one; at
 *   least 1
 */
export function serverDeadlineMs(admitted: AdmittedCall, nowMs: number): number {
  const { arrivedMs, request, route } = admitted;
  const untilMs = arrivedMs + (request.deadlineMs ?? route.timeoutMs);
  return Math.max(MIN_SERVER_DEADLINE_MS, Math.floor(untilMs - nowMs));
}
