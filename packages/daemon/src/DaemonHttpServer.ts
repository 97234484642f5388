import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { parseSocketAddress } from '@laburnumgap/kernel';

/** Stage of the life cycle of a daemon. */
export type DaemonStage = 'draining' | 'ready' | 'starting';

/** Handles the requests that are not health checks. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Options of {@link startHttpServer}. */
export interface HttpServerOptions {
  /** Host and port to listen on; with port 0 the operating system picks a free port. */
  readonly address: string;
  /** Handles requests other than `/healthz` and `/readyz`; without it they get 404. */
  readonly handler?: HttpHandler;
  /** Returns the current stage, for the health checks. */
  readonly stage: () => DaemonStage;
}

/** A running HTTP server. */
export interface HttpServer {
  /** Host and port that the server listens on. */
  readonly address: string;
  /** Closes the port and every connection. */
  destroy(): void;
  /** Stops accepting connections and closes idle ones; resolves when the last one has closed. */
  drain(): Promise<void>;
}

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_HEADERS = 100;

/**
 * Starts the HTTP server of a daemon. `/healthz` returns 200 while the process responds; `/readyz`
 * returns 200 only while the daemon accepts new work.
 *
 * @param options - address, stage and handler of other requests
 * @returns the running server
 * @throws when the address cannot be bound
 */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
    },
    (request, response) => {
      if (answerHealthCheck(request, response, options.stage())) {
        return;
      }
      if (options.handler) {
        options.handler(request, response);
        return;
      }
      response.writeHead(404).end();
    },
  );
  server.maxHeadersCount = MAX_HEADERS;
  const address = await listen(server, options.address);
  return {
    address,
    destroy: () => {
      server.close();
      server.closeAllConnections();
    },
    drain: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}

function answerHealthCheck(
  request: IncomingMessage,
  response: ServerResponse,
  stage: DaemonStage,
): boolean {
  if (request.url === '/healthz') {
    response.writeHead(200, { 'content-type': 'text/plain' }).end(`${stage}\n`);
    return true;
  }
  if (request.url === '/readyz') {
    const status = stage === 'ready' ? 200 : 503;
    response.writeHead(status, { 'content-type': 'text/plain' }).end(`${stage}\n`);
    return true;
  }
  return false;
}

function listen(server: Server, address: string): Promise<string> {
  const { host, port } = parseSocketAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: host.replace(/^\[|\]$/g, ''), port }, () => {
      server.off('error', reject);
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound ? bound.port : port;
      resolve(`${host}:${boundPort}`);
    });
  });
}
