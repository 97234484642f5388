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
 * @param order - the order
 * @param timeoutMs - bound on the answer
 * @returns how it ended; never rejects
 */
export function sendControlRequest(
  connections: BackendConnectionPool,
  server: BackendServer,
  order: EngineControlRequest,
  timeoutMs = CONTROL_TIMEOUT_MS,
): Promise<ControlOutcome> {
  return new Promise((resolve) => {
    connections.acquire(server, {
      onConnectFailed: (reason) => {
        resolve({ kind: 'notSent', reason });
      },
      onConnected: (connection) => {
        exchange(connections, server, connection, order, timeoutMs, resolve);
      },
    });
  });
}

function exchange(
  connections: BackendConnectionPool,
  server: BackendServer,
  connection: BackendConnection,
  order: EngineControlRequest,
  timeoutMs: number,
  resolve: (outcome: ControlOutcome) => void,
): void {
  const chunks: Buffer[] = [];
  let answer: ResponseHead | undefined;
  const timer = setTimeout(() => {
    connection.abort();
    resolve({ kind: 'unknown', reason: 'no answer in time' });
  }, timeoutMs);
  connection.send(
    {
      body: Buffer.from(order.body),
      headers: [['Host', `${server.host}:${server.port}`], ...order.headers],
      method: order.method,
      path: order.path,
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
        resolve({ body: Buffer.concat(chunks), kind: 'answered', status: answer?.status ?? 0 });
      },
      onHead: (head) => {
        answer = head;
      },
    },
  );
}
