import type { AnswerHead } from './AnswerParser.js';
import type { ResponseMetadata } from './ServingPorts.js';

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;
const MISDIRECTED_STATUS = 421;
/** Statuses by which a caller understands that its request has not run. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the server says that it did not run the request. */
export function saysNotRun(head: AnswerHead, marks: ResponseMetadata): boolean {
  return marks.notRun || head.status === MISDIRECTED_STATUS;
}

/** Whether a caller would take the status for a promise that nothing ran. */
export function isPromise(head: AnswerHead): boolean {
  return PROMISE_STATUSES.has(head.status);
}

/** Whether the answer is a server's own: a success bears its stamp, and no body is encoded. */
export function isGenuine(head: AnswerHead, marks: ResponseMetadata): boolean {
  const isSuccess = head.status >= FIRST_SUCCESS_STATUS && head.status <= LAST_SUCCESS_STATUS;
  return !marks.isEncoded && (marks.isStamped || !isSuccess);
}
