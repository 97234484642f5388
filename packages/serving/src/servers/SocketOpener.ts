import { Socket } from 'node:net';

/**
 * Opens a connection to a backend server. The socket is returned at once and emits `connect` or
 * `error` later.
 */
export type SocketOpener = (host: string, port: number) => Socket;

/**
 * Opens a TCP connection whose sides can end one after the other, so that a response that ends with
 * its connection can be told from one that was reset.
 *
 * @param host - address of the server
 * @param port - port of the server
 * @returns the socket
 */
export const openSocket: SocketOpener = (host, port) => {
  const socket = new Socket({ allowHalfOpen: true });
  socket.setNoDelay(true);
  socket.connect(port, host);
  return socket;
};
