import type { Socket } from 'node:net';
import { connect as connectTcp } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { buildConnector } from 'undici';

const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };

/**
 * Opens a new connection to a server. Nothing of a call is sent on it yet.
 *
 * @param address - base URL of the server
 * @param timeoutMs - longest wait
 * @returns the connected socket, or why there is none
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
      fail('no connection in time');
    }, timeoutMs);
    const fail = (detail: string): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(failure(detail));
    };
    const onError = (error: Error): void => {
      fail(error.message);
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
 * Creates a connector that gives one connection once; a client that asks for another gets none.
 *
 * @param socket - the connection
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
    // The client does not resume when it is called back before its connector has returned.
    queueMicrotask(() => {
      callback(null, socket);
    });
  };
}
