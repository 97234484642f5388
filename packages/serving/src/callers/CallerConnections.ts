import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface CallerConnection {
  /** Requests that were not read to their end. */
  arrivingRequests: number;
  /** A response was written to a head that had not ended. */
  isRefused: boolean;
  /** Requests whose response was not handed to the system completely. */
  openRequests: number;
  /** Bytes received when the last request or response ended. */
  usedBytes: number;
}

/**
 * Connections of callers, and which of them can be closed without harm. The HTTP server itself also closes
 * those whose response is not written yet, and takes those that were never used for busy.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(server: Server) {
    server.on('connection', (socket) => {
      this.connections.set(socket, {
        arrivingRequests: 0,
        isRefused: false,
        openRequests: 0,
        usedBytes: 0,
      });
      socket.once('close', () => {
        this.connections.delete(socket);
      });
    });
  }

  /**
   * Counts a request until its response was written.
   *
   * @returns false when its connection was answered before its head had ended: it must not be run
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (!connection || connection.isRefused) {
      return false;
    }
    connection.arrivingRequests += 1;
    connection.openRequests += 1;
    request.once('close', () => {
      connection.arrivingRequests -= 1;
      connection.usedBytes = socket.bytesRead;
    });
    response.once('close', () => {
      connection.openRequests -= 1;
      connection.usedBytes = socket.bytesRead;
    });
    return true;
  }

  /** Connections with a request that has begun to arrive and is not answered completely. */
  busyCount(): number {
    return [...this.connections].filter(([socket, connection]) => !isUnused(socket, connection))
      .length;
  }

  /** Closes the connections without a request. */
  closeUnused(): void {
    for (const [socket, connection] of this.connections) {
      if (isUnused(socket, connection)) {
        socket.destroy();
      }
    }
  }

  /**
   * Answers requests whose head has not arrived completely, and ends their connections.
   *
   * @param response - bytes of the response
   * @returns number of requests
   */
  refuseHeads(response: string): number {
    let count = 0;
    for (const [socket, connection] of this.connections) {
      if (isIdle(connection) && !connection.isRefused && !isUnused(socket, connection)) {
        connection.isRefused = true;
        count += 1;
        socket.end(response);
      }
    }
    return count;
  }
}

function isIdle({ arrivingRequests, openRequests }: CallerConnection): boolean {
  return arrivingRequests === 0 && openRequests === 0;
}

function isUnused(socket: Socket, connection: CallerConnection): boolean {
  return isIdle(connection) && socket.bytesRead === connection.usedBytes;
}
