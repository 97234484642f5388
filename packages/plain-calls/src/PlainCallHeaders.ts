import type { IncomingHttpHeaders } from 'node:http';
import { CONNECTION_HEADERS } from '@laburnumgap/kernel';

/** Hop-by-hop headers, and `host`, which the client sets itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([...CONNECTION_HEADERS, 'host']);

/** Credentials of the caller for this system: servers must not see its API key. */
const CREDENTIAL_HEADERS = new Set(['authorization', 'cookie']);

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Statuses of answers without a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Selects the headers of a caller's request that are forwarded to the server.
 *
 * @param headers - the caller's headers
 * @returns the headers to send, with names in lower case
 */
export function forwardedRequestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, CREDENTIAL_HEADERS);
}

/**
 * Selects the headers of a server's answer that are forwarded to the caller.
 *
 * @param headers - the server's headers
 * @returns the headers to answer with, with names in lower case
 */
export function forwardedAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, NO_HEADERS);
}

/**
 * Checks whether an answer's framing shows where its body ends. Without that, a truncated body
 * can't be told from a complete one.
 *
 * @param status - HTTP status
 * @param headers - the server's headers
 * @returns whether the length of the body is known
 */
export function hasKnownBodyLength(status: number, headers: IncomingHttpHeaders): boolean {
  const isChunked = headers['transfer-encoding']?.toLowerCase().includes('chunked') ?? false;
  return isChunked || headers['content-length'] !== undefined || BODILESS_STATUSES.has(status);
}

function filterHeaders(
  headers: IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): Record<string, string> {
  const connectionOptions = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim()),
  );
  const isHopByHopHeader = (name: string) =>
    HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name);
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (value === undefined || isHopByHopHeader(lower) || dropped.has(lower)) {
      continue;
    }
    kept[lower] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
