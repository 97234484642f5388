import type { BackendServer } from '@laburnumgap/dispatch';
import type { BackendConnection } from './BackendConnection.js';
import type { BackendConnectionPool } from './BackendConnectionPool.js';
import type { ResponseHead } from './ResponseParser.js';
import { CONTROL_TIMEOUT_MS } from './ServingConstants.js';
import type { EngineControlRequest } from './ServingPorts.js';

/** How an order at an engine ended. */
export type ControlOutcome =
  | { readonly body: Buffer; readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Gives an order to an engine.
 *
 * @param connections - connections to servers
 * @param server - the engine
 * @param request - the order
 * @param timeoutMs - bound on the answer
 * @returns how it ended; never rejects
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
    resolve({ kind: 'unknown', reason: 'no answer in time' });
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
