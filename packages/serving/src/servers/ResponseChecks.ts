import type { RequestKind } from '@laburnumgap/dispatch';
import { headerValues } from '../HeaderLists.js';
import type { ResponseHead } from './ResponseParser.js';
import type { ResponseMetadata } from '../ServingPorts.js';

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;
const MISDIRECTED_STATUS = 421;
/** Statuses from which callers conclude that their request was not executed. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the server states that it ran the request successfully. */
export function isSuccess({ status }: Pick<ResponseHead, 'status'>): boolean {
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
}

/** Whether another server than the intended one has the address, and did not execute the request. */
export function isMisdirected(head: ResponseHead): boolean {
  return head.status === MISDIRECTED_STATUS;
}

/** Whether the server states that it did not execute the request. */
export function isNotExecuted(head: ResponseHead, metadata: ResponseMetadata): boolean {
  return metadata.notRun || isMisdirected(head);
}

/**
 * Whether a response may be passed on to the caller of a request that its server has run. Callers repeat
 * a request whose status says that it was not executed, which only an idempotent one allows then.
 *
 * @param head - the response
 * @param metadata - what its headers state
 * @param kind - kind of the request
 */
export function mayPassOn(
  head: ResponseHead,
  metadata: ResponseMetadata,
  kind: RequestKind,
): boolean {
  const isRepeatable = kind === 'idempotent' || !NOT_EXECUTED_STATUSES.has(head.status);
  return isRepeatable && isFromServer(head, metadata);
}

/**
 * Whether the response was made by a backend server and not by something in between: a success
 * carries the server's stamp, and the body has no content encoding.
 */
export function isFromServer(head: ResponseHead, metadata: ResponseMetadata): boolean {
  return !metadata.isEncoded && (metadata.isStamped || !isSuccess(head));
}

/** Whether the body has neither a length nor chunks, so that only the end of its connection ends it. */
export function endsWithConnection({ headers }: Pick<ResponseHead, 'headers'>): boolean {
  return (
    headerValues(headers, 'content-length').length === 0 &&
    headerValues(headers, 'transfer-encoding').length === 0
  );
}
