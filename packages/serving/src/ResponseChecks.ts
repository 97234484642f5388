import type { ResponseHead } from './ResponseParser.js';
import type { ResponseMetadata } from './ServingPorts.js';

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;
const MISDIRECTED_STATUS = 421;
/** Statuses by which a caller understands that its request has not run. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the server says that it did not run the request. */
export function isNotExecuted(head: ResponseHead, marks: ResponseMetadata): boolean {
  return marks.notRun || head.status === MISDIRECTED_STATUS;
}

/** Whether a caller would take the status for a promise that nothing ran. */
export function impliesNotExecuted(head: ResponseHead): boolean {
  return NOT_EXECUTED_STATUSES.has(head.status);
}

/** Whether the answer is a server's own: a success bears its stamp, and no body is encoded. */
export function isFromServer(head: ResponseHead, marks: ResponseMetadata): boolean {
  const isSuccess = head.status >= FIRST_SUCCESS_STATUS && head.status <= LAST_SUCCESS_STATUS;
  return !marks.isEncoded && (marks.isStamped || !isSuccess);
}
