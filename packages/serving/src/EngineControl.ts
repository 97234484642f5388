import type { BackendServer } from '@laburnumgap/dispatch';
import type { BackendConnection } from './BackendConnection.js';
import type { BackendConnectionPool } from './BackendConnectionPool.js';
import type { ResponseHead } from './ResponseParser.js';
import { CONTROL_TIMEOUT_MS } from './ServingConstants.js';
import type { EngineControlRequest } from './ServingPorts.js';

/** Outcome of a control request; `unknown` means that the engine may have executed it. */
export type ControlOutcome =
  | { readonly body: Buffer; readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Sends a control request to an engine.
 *
 * @param connections - connection pool
 * @param server - the engine
 * @param request - the request
 * @param timeoutMs - time limit for the response
 * @returns the outcome; never rejects
 */
export function sendControlRequest(
  connections: BackendConnectionPool,
  server: BackendServer,
  request: EngineControlRequest,
  timeoutMs = CONTROL_TIMEOUT_MS,
): Promise<ControlOutcome> {
  return new Promise((resolve) => {
    connections.acquire(server, {
      onConnectFailed: (reason) => {
        resolve({ kind: 'notSent', reason });
      },
      onConnected: (connection) => {
        sendOnConnection(connections, server, connection, request, timeoutMs, resolve);
      },
    });
  });
}

function sendOnConnection(
  connections: BackendConnectionPool,
  server: BackendServer,
  connection: BackendConnection,
  request: EngineControlRequest,
  timeoutMs: number,
  resolve: (outcome: ControlOutcome) => void,
): void {
  const chunks: Buffer[] = [];
  let responseHead: ResponseHead | undefined;
  const timer = setTimeout(() => {
    connection.abort();
    resolve({ kind: 'unknown', reason: 'no response before the timeout' });
  }, timeoutMs);
  connection.send(
    {
      body: Buffer.from(request.body),
      headers: [['Host', `${server.host}:${server.port}`], ...request.headers],
      method: request.method,
      path: request.path,
    },
    {
      accepts: () => true,
      onBody: (chunk) => {
        chunks.push(chunk);
      },
      onBroken: (reason) => {
        clearTimeout(timer);
        resolve({ kind: 'unknown', reason });
      },
      onEnd: () => {
        clearTimeout(timer);
        connections.release(server, connection);
        resolve({
          body: Buffer.concat(chunks),
          kind: 'answered',
          status: responseHead?.status ?? 0,
        });
      },
      onHead: (head) => {
        responseHead = head;
      },
    },
  );
}
