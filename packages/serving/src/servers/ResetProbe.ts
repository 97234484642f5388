import type { Socket } from 'node:net';

/** Empty line, which HTTP receivers skip between messages. */
const RESET_PROBE = '\r\n';

/**
 * Tells a reset from a regular end, after a socket has emitted `end`: Node reports a reset that arrives
 * together with data as an end. A write distinguishes them, since it fails on a connection that was
 * reset.
 *
 * @param socket - connection to an HTTP server, of which this side is still open
 * @param onResult - called with whether the connection was reset
 */
export function probeReset(socket: Socket, onResult: (wasReset: boolean) => void): void {
  socket.write(RESET_PROBE, (error) => {
    onResult(error !== undefined && error !== null);
  });
}
