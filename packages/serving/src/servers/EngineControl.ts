import type { BackendServer, ServerHealth } from '@laburnumgap/dispatch';
import type { MonotonicClock } from '@laburnumgap/kernel';
import type { BackendConnection } from './BackendConnection.js';
import { CONTROL_RESPONSE_KEY } from './BackendConnection.js';
import type { BackendConnectionPool } from './BackendConnectionPool.js';
import type { ResponseHead } from './ResponseParser.js';
import type { AccessOptions, ServerAccess, ServerAccessListener } from './ServerAccess.js';
import type { ServerSignals } from './ServerSignals.js';
import { GrowableBuffer } from '../GrowableBuffer.js';
import { CONTROL_TIMEOUT_MS, MAX_CONTROL_RESPONSE_BYTES } from '../ServingConstants.js';
import type { EngineControlRequest, WireProtocol } from '../ServingPorts.js';

/** Outcome of a control request; `unknown` means that the engine may have executed it. */
export type ControlOutcome =
  | { readonly body: Buffer; readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Options of {@link EngineControl}. */
export interface EngineControlOptions {
  readonly clock: MonotonicClock;
  readonly connections: Pick<BackendConnectionPool, 'release'>;
  readonly health: Pick<ServerHealth, 'recordOutcome'>;
  readonly protocol: Pick<WireProtocol, 'parseResponseMetadata'>;
  readonly serverAccess: Pick<ServerAccess, 'acquire' | 'controlDenial'>;
  readonly serverSignals: Pick<ServerSignals, 'evaluate'>;
}

/** Moves of running streams are worth a wait that is short beside the time of a copy. */
const CONTROL_PERMIT_WAIT_MS = 1_000;

/**
 * Sends control requests to engines, except to those that are backing off, and to evacuated ones only
 * what saves a stream that runs there.
 */
export class EngineControl {
  constructor(private readonly options: EngineControlOptions) {}

  /**
   * Sends a control request to an engine.
   *
   * @param server - the engine
   * @param request - the request
   * @param timeoutMs - time limit for the response
   * @param access - what the request is for
   * @returns the outcome; never rejects
   */
  send(
    server: BackendServer,
    request: EngineControlRequest,
    timeoutMs = CONTROL_TIMEOUT_MS,
    access: AccessOptions = {},
  ): Promise<ControlOutcome> {
    const { connections, serverAccess } = this.options;
    return new Promise((resolve) => {
      const denial = serverAccess.controlDenial(server, access);
      if (denial !== undefined) {
        resolve({ kind: 'notSent', reason: denial });
        return;
      }
      const listener: ServerAccessListener = {
        onConnectFailed: (reason) => {
          resolve({ kind: 'notSent', reason });
        },
        onConnected: (connection) => {
          const laterDenial = serverAccess.controlDenial(server, access);
          if (laterDenial !== undefined) {
            connections.release(server, connection);
            resolve({ kind: 'notSent', reason: laterDenial });
            return;
          }
          this.sendOnConnection(server, connection, request, timeoutMs, resolve);
        },
        onLimited: (retryAfterMs) => {
          const reason = `the engine takes no more requests for ${retryAfterMs} ms`;
          resolve({ kind: 'notSent', reason });
        },
      };
      serverAccess.acquire(server, CONTROL_PERMIT_WAIT_MS, listener, access);
    });
  }

  private sendOnConnection(
    server: BackendServer,
    connection: BackendConnection,
    request: EngineControlRequest,
    timeoutMs: number,
    resolve: (outcome: ControlOutcome) => void,
  ): void {
    const { clock, connections, health, protocol, serverSignals } = this.options;
    const body = new GrowableBuffer();
    let responseHead: ResponseHead | undefined;
    const sentMs = clock.nowMs();
    const timer = setTimeout(() => {
      connection.abort();
      resolve({ kind: 'unknown', reason: 'no response before the timeout' });
    }, timeoutMs);
    const onBroken = (reason: string): void => {
      clearTimeout(timer);
      const nowMs = clock.nowMs();
      health.recordOutcome(server.serverId, 'failed', nowMs - sentMs, nowMs);
      resolve({ kind: 'unknown', reason });
    };
    connection.send(
      {
        body: Buffer.from(request.body),
        headers: [['Host', `${server.host}:${server.port}`], ...request.headers],
        method: request.method,
        path: request.path,
        responseKey: CONTROL_RESPONSE_KEY,
      },
      {
        // A second copy of a response to a caller's request can still arrive on this connection.
        accepts: (head) => protocol.parseResponseMetadata(head.headers).requestId === undefined,
        onBody: (chunk) => {
          body.append(chunk);
          if (body.length > MAX_CONTROL_RESPONSE_BYTES) {
            connection.abort();
            onBroken(`the response exceeds ${MAX_CONTROL_RESPONSE_BYTES} bytes`);
          }
        },
        onBroken,
        onEnd: () => {
          clearTimeout(timer);
          connections.release(server, connection);
          resolve({
            body: body.take(),
            kind: 'answered',
            status: responseHead?.status ?? 0,
          });
        },
        onHead: (head) => {
          responseHead = head;
          serverSignals.evaluate(server, head);
        },
      },
    );
  }
}
