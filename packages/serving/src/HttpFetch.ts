import type { Agent, IncomingHttpHeaders } from 'node:http';
import { request as sendRequest } from 'node:http';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';

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

/** Informational responses that are skipped before the final one; each has at most 16 KiB. */
const MAX_INFORMATIONAL_RESPONSES = 8;

/**
 * Sends a request and reads the complete response. Reaching a limit closes the connection. Node
 * limits the head, the trailers and each chunk head to 16 KiB.
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
}: HttpFetchOptions): Promise<Result<HttpFetchResponse, string>> {
  const headers =
    body === undefined
      ? {}
      : { 'Content-Length': Buffer.byteLength(body), 'Content-Type': 'application/json' };
  return new Promise((resolve) => {
    const fail = (reason: string): void => {
      clearTimeout(timer);
      request.destroy();
      resolve(failure(reason));
    };
    const onError = (error: NodeJS.ErrnoException): void => {
      fail(error.code ?? error.message);
    };
    const request = sendRequest({ agent, headers, host, method, path, port }, (response) => {
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      response.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > maxBodyBytes) {
          fail(`the response exceeds ${maxBodyBytes} bytes`);
        } else {
          chunks.push(chunk);
        }
      });
      response.on('error', onError);
      response.on('end', () => {
        clearTimeout(timer);
        resolve(
          success({
            body: Buffer.concat(chunks),
            headers: response.headers,
            status: response.statusCode ?? 0,
          }),
        );
      });
    });
    let informationalCount = 0;
    request.on('information', () => {
      informationalCount += 1;
      if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
        fail('too many informational responses');
      }
    });
    request.on('error', onError);
    const timer = setTimeout(() => {
      fail('timeout');
    }, timeoutMs);
    request.end(body);
  });
}
