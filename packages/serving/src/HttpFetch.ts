import type { Agent, IncomingHttpHeaders } from 'node:http';
import { request as sendRequest } from 'node:http';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { GrowableBuffer } from './GrowableBuffer.js';
import { isHeaderWord } from './HeaderLists.js';
import { ResponseOverhead } from './servers/ResponseOverhead.js';

/** Options of {@link fetchHttp}. */
export interface HttpFetchOptions {
  /** Connections to reuse; `false` opens one for this request. */
  readonly agent: Agent | false;
  /** JSON text; undefined for a request without a body. */
  readonly body?: string;
  readonly host: string;
  /** Longest response body that is read. */
  readonly maxBodyBytes: number;
  readonly method: string;
  readonly path: string;
  readonly port: number;
  /** Time limit for the complete response. */
  readonly timeoutMs: number;
}

/** A complete response. */
export interface HttpFetchResponse {
  readonly body: Buffer;
  readonly headers: IncomingHttpHeaders;
  readonly status: number;
}

/** Why there is no complete response. */
export type HttpFetchError =
  | { readonly kind: 'tooLarge'; readonly reason: string }
  | { readonly kind: 'unreachable'; readonly reason: string };

/**
 * Sends a request and reads the complete response. Reaching a limit closes the connection.
 *
 * @param options - the request and its limits
 * @returns the response, or why there is none; never rejects
 */
export function fetchHttp({
  agent,
  body,
  host,
  maxBodyBytes,
  method,
  path,
  port,
  timeoutMs,
}: HttpFetchOptions): Promise<Result<HttpFetchResponse, HttpFetchError>> {
  const headers =
    body === undefined
      ? {}
      : { 'Content-Length': Buffer.byteLength(body), 'Content-Type': 'application/json' };
  if (!isHeaderWord(host)) {
    return Promise.resolve(failure({ kind: 'unreachable', reason: 'the host is invalid' }));
  }
  return new Promise((resolve) => {
    const overhead = new ResponseOverhead();
    const onBytes = (chunk: Buffer): void => {
      overhead.addReceived(chunk.length);
      const excess = overhead.findExcess();
      if (excess !== undefined) {
        fail({ kind: 'unreachable', reason: excess });
      }
    };
    const end = (result: Result<HttpFetchResponse, HttpFetchError>): void => {
      clearTimeout(timer);
      request.socket?.off('data', onBytes);
      resolve(result);
    };
    const fail = (error: HttpFetchError): void => {
      request.destroy();
      end(failure(error));
    };
    const onError = (error: NodeJS.ErrnoException): void => {
      fail({ kind: 'unreachable', reason: error.code ?? error.message });
    };
    const request = sendRequest({ agent, headers, host, method, path, port }, (response) => {
      const received = new GrowableBuffer();
      response.on('data', (chunk: Buffer) => {
        overhead.addBody(chunk.length);
        if (received.length + chunk.length > maxBodyBytes) {
          fail({ kind: 'tooLarge', reason: `the response exceeds ${maxBodyBytes} bytes` });
        } else {
          received.append(chunk);
        }
      });
      response.on('error', onError);
      response.on('end', () => {
        end(
          success({
            body: received.take(),
            headers: response.headers,
            status: response.statusCode ?? 0,
          }),
        );
      });
    });
    request.on('socket', (socket) => {
      socket.on('data', onBytes);
    });
    request.on('error', onError);
    const timer = setTimeout(() => {
      fail({ kind: 'unreachable', reason: 'timeout' });
    }, timeoutMs);
    request.end(body);
  });
}
