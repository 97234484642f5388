import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { fetchHttp } from '../HttpFetch.js';
import type { PeerFetchOptions, PeerTransport, PeerTransportListener } from './PeerTransport.js';
import type { PortOpener } from '../PortOpener.js';

/** Options of {@link PeerSockets}. */
export interface PeerSocketsOptions {
  /** UDP port of the daemons. */
  readonly heartbeatPort: number;
  readonly host: string;
  readonly ports: PortOpener;
  /** TCP port at which daemons serve their state. */
  readonly snapshotPort: number;
}

/** Only completes the target of a request to a URL. */
const BASE_URL = 'http://peer';
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Carries datagrams between daemons over UDP, and requests for their state over HTTP. */
export class PeerSockets implements PeerTransport {
  private isClosed = false;
  private listener: PeerTransportListener | undefined;
  private readonly server: Server;
  private readonly socket: Socket;

  constructor(private readonly options: PeerSocketsOptions) {
    this.socket = createSocket('udp4');
    this.server = createServer((request, response) => {
      const target = request.url ?? '/';
      const body = URL.canParse(target, BASE_URL)
        ? this.listener?.onRequest(new URL(target, BASE_URL))
        : undefined;
      response.writeHead(body ? STATUS_OK : STATUS_NOT_FOUND);
      response.end(body);
    });
  }

  async open(listener: PeerTransportListener): Promise<void> {
    const { heartbeatPort, host, ports, snapshotPort } = this.options;
    this.listener = listener;
    this.socket.on('message', (bytes) => {
      listener.onDatagram(bytes);
    });
    await ports.bind(this.socket, { host, port: heartbeatPort });
    if (this.isClosed) {
      return;
    }
    await ports.listen(this.server, { host, port: snapshotPort });
  }

  async close(): Promise<void> {
    const serverClosed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    // Datagrams leave the process in the next turn of the event loop.
    await new Promise((resolve) => setImmediate(resolve));
    this.isClosed = true;
    await new Promise<void>((resolve) => this.socket.close(resolve));
    await serverClosed;
  }

  send(bytes: Buffer, host: string): void {
    if (this.isClosed) {
      return;
    }
    this.socket.send(bytes, this.options.heartbeatPort, host, () => {
      // Send errors are ignored: the next heartbeat replaces a lost datagram.
    });
  }

  async fetch(
    host: string,
    path: string,
    { maxBytes, timeoutMs }: PeerFetchOptions,
  ): Promise<Result<Buffer, string>> {
    const response = await fetchHttp({
      agent: false,
      host,
      maxBodyBytes: maxBytes,
      method: 'GET',
      path,
      port: this.options.snapshotPort,
      timeoutMs,
    });
    if (!response.ok) {
      return failure(response.error.reason);
    }
    const { body, status } = response.value;
    return status === STATUS_OK ? success(body) : failure(`status ${status}`);
  }
}
