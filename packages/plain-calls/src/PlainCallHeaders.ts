import type { IncomingHttpHeaders } from 'node:http';
import { CONNECTION_HEADERS } from '@laburnumgap/kernel';

/** Headers that hold for one connection, or that the sender sets itself. */
const SENDER_HEADERS: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, 'host']);

/** A caller's key opens its contract; servers never see it. */
const CALLER_SECRET_HEADERS = new Set(['authorization', 'cookie']);

const NO_HEADERS: ReadonlySet<string> = new Set();

const BODILESS_STATUS = new Set([204, 304]);

/**
 * Selects the headers of a caller's request that a server gets.
 *
 * @param headers - the caller's headers
 * @returns the headers to send
 */
export function forwardedRequestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  return withoutHeaders(headers, CALLER_SECRET_HEADERS);
}

/**
 * Selects the headers of a server's answer that the caller gets.
 *
 * @param headers - the server's headers
 * @returns the headers to answer with
 */
export function forwardedAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  return withoutHeaders(headers, NO_HEADERS);
}

/**
 * Tells whether the end of an answer's body can be told from a lost connection.
 *
 * @param status - HTTP status
 * @param headers - the server's headers
 * @returns whether it can
 */
export function hasKnownLength(status: number, headers: IncomingHttpHeaders): boolean {
  const isChunked = headers['transfer-encoding']?.toLowerCase().includes('chunked') ?? false;
  return isChunked || headers['content-length'] !== undefined || BODILESS_STATUS.has(status);
}

function withoutHeaders(
  headers: IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): Record<string, string> {
  const named = new Set((headers.connection ?? '').split(',').map((name) => name.trim()));
  const isConnectionHeader = (name: string) => SENDER_HEADERS.has(name) || named.has(name);
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (value === undefined || isConnectionHeader(lower) || dropped.has(lower)) {
      continue;
    }
    kept[lower] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
