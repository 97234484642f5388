import type { Socket } from 'node:net';
import { connect as connectTcp } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { buildConnector } from 'undici';

const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };

/**
 * Opens a new TCP or TLS connection to a server, without sending anything of a call.
 *
 * @param address - base URL of the server
 * @param timeoutMs - longest wait for the connection
 * @returns the connected socket, or the reason of the failure
 */
export function openPlainConnection(
  address: string,
  timeoutMs: number,
): Promise<Result<Socket, string>> {
  return new Promise((resolve) => {
    const url = new URL(address);
    const host = url.hostname.replace(/^\[|\]$/g, '');
    const port = url.port === '' ? (DEFAULT_PORTS[url.protocol] ?? 0) : Number(url.port);
    const isTls = url.protocol === 'https:';
    const socket = isTls ? connectTls({ host, port }) : connectTcp({ host, port });
    socket.setNoDelay(true);
    const timer = setTimeout(() => {
      failConnect('the connection timed out');
    }, timeoutMs);
    const failConnect = (detail: string): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(failure(detail));
    };
    const onError = (error: Error): void => {
      failConnect(error.message);
    };
    socket.once('error', onError);
    socket.once(isTls ? 'secureConnect' : 'connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      resolve(success(socket));
    });
  });
}

/**
 * Creates an undici connector that hands out a connection once; later requests for one fail.
 *
 * @param socket - the open connection
 * @returns the connector
 */
export function createSingleUseConnector(socket: Socket): buildConnector.connector {
  let isUsed = false;
  return (_options, callback) => {
    if (isUsed) {
      callback(new Error('the connection of this call is gone'), null);
      return;
    }
    isUsed = true;
    // undici does not start sending when the callback is called before the connector returns.
    queueMicrotask(() => {
      callback(null, socket);
    });
  };
}
