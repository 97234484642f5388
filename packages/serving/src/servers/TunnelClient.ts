import { request as sendRequest } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { TunnelFailure, TunnelPeer } from '@laburnumgap/dispatch';
import type { MonotonicClock, Result, ServerId } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { startResponseTimeout } from '../ResponseTimeout.js';

/** Options of {@link openTunnel}. */
export interface TunnelOptions {
  readonly clock: MonotonicClock;
  /** Address of this daemon, by which the others know it. */
  readonly ownHost: string;
  /** Daemon that passes the connection on. */
  readonly peer: TunnelPeer;
  readonly serverId: ServerId;
  /** TCP port at which daemons pass connections on. */
  readonly tunnelPort: number;
}

/** Response header in which a daemon says why it does not pass a connection on. */
export const TUNNEL_FAILURE_HEADER = 'tunnel-failure';
/** More than a daemon takes to find that it does not reach a server either. */
const TUNNEL_TIMEOUT_MS = 300;
const STATUS_OK = 200;
const FAILURES: ReadonlySet<string> = new Set<TunnelFailure>(['busy', 'refused', 'unanswered']);

/**
 * Opens a connection to a server through another daemon, by an HTTP CONNECT request.
 *
 * @param options - the server and the daemon
 * @returns the socket, connected to the server; or why there is none. Never rejects
 */
export function openTunnel({
  clock,
  ownHost,
  peer,
  serverId,
  tunnelPort,
}: TunnelOptions): Promise<Result<Socket, TunnelFailure>> {
  return new Promise((resolve) => {
    const end = (result: Result<Socket, TunnelFailure>): void => {
      cancelTimeout();
      resolve(result);
    };
    const request = sendRequest({
      createConnection: () =>
        connect({
          allowHalfOpen: true,
          host: peer.host,
          localAddress: ownHost,
          noDelay: true,
          port: tunnelPort,
        }),
      headers: { Host: peer.host },
      method: 'CONNECT',
      path: serverId,
    });
    const cancelTimeout = startResponseTimeout(clock, TUNNEL_TIMEOUT_MS, () => {
      request.destroy();
      end(failure('silent'));
    });
    request.on('error', () => {
      // The daemon does not run, or ended before it answered.
      end(failure('silent'));
    });
    request.on('connect', (response, socket: Socket) => {
      if (response.statusCode === STATUS_OK) {
        end(success(socket));
        return;
      }
      socket.destroy();
      const reason = response.headers[TUNNEL_FAILURE_HEADER];
      end(failure(isFailure(reason) ? reason : 'unavailable'));
    });
    request.end();
  });
}

function isFailure(value: unknown): value is TunnelFailure {
  return typeof value === 'string' && FAILURES.has(value);
}
