import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { BackendServer, ServerRegistry, TunnelFailure } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { HeldOutput } from '../buffers/HeldOutput.js';
import type { ReaderBuffers } from '../buffers/ReaderBuffers.js';
import type { PortOpener } from '../PortOpener.js';
import { probeReset } from './ResetProbe.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';
import type { SocketOpener } from './SocketOpener.js';
import { openSocket } from './SocketOpener.js';
import { TUNNEL_FAILURE_HEADER } from './TunnelClient.js';

/** Options of {@link TunnelServer}. */
export interface TunnelServerOptions {
  /** Buffers for ends that read slowly; without them, the other end is paused instead. */
  readonly buffers?: ReaderBuffers;
  readonly clock: MonotonicClock;
  readonly host: string;
  /** Whether the failure domain of a server is evacuated; false by default. */
  readonly isEvacuated?: (server: BackendServer) => boolean;
  /** Whether this daemon shuts down. */
  readonly isDraining: () => boolean;
  /** Whether another daemon has this address. */
  readonly isMemberHost: (host: string) => boolean;
  /** Whether this daemon knows that it does not reach a server itself. */
  readonly isSevered: (serverId: ServerId) => boolean;
  readonly log: ServingLog;
  readonly openSocket?: SocketOpener;
  readonly port: number;
  readonly registry: Pick<ServerRegistry, 'get' | 'isBackingOff'>;
}

/** A connection between another daemon and a server. */
interface Tunnel {
  readonly client: Socket;
  readonly clientHost: string;
  readonly server: Socket;
  readonly serverId: ServerId;
}

/** Connections passed on at once; each takes two descriptors. */
const MAX_TUNNELS = 256;
/** Below the time after which the other daemon asks a third one. */
const CONNECT_TIMEOUT_MS = 200;
const STATUS_METHOD_NOT_ALLOWED = 405;

/**
 * Passes connections of other daemons to servers on, while they cannot reach the servers themselves.
 * The other daemon decides everything about its requests; this one only connects to servers that are
 * registered, on behalf of daemons that it knows.
 */
export class TunnelServer {
  private readonly server: Server;
  private readonly tunnels = new Set<Tunnel>();

  constructor(private readonly options: TunnelServerOptions) {
    this.server = createServer((_request, response) => {
      response.writeHead(STATUS_METHOD_NOT_ALLOWED);
      response.end();
    });
    this.server.on('connect', (request: IncomingMessage) => {
      this.onConnect(request, request.socket);
    });
  }

  /** Starts listening. Rejects when the address cannot be bound. */
  listen(ports: PortOpener): Promise<void> {
    const { host, port } = this.options;
    return ports.listen(this.server, { host, port });
  }

  /** Closes the port and all tunnels; resolves when the port is free. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    for (const { client, server } of this.tunnels) {
      client.resetAndDestroy();
      server.destroy();
    }
    await closed;
  }

  /** Number of open tunnels. */
  openCount(): number {
    return this.tunnels.size;
  }

  /** Hosts of the daemons that have a tunnel to a server. */
  clientHosts(serverId: ServerId): readonly string[] {
    const hosts = [...this.tunnels]
      .filter((tunnel) => tunnel.serverId === serverId)
      .map(({ clientHost }) => clientHost);
    return [...new Set(hosts)];
  }

  private onConnect(request: IncomingMessage, client: Socket): void {
    const clientHost = client.remoteAddress ?? '';
    client.on('error', () => {
      // Followed by `close`, which ends the tunnel.
    });
    if (!this.options.isMemberHost(clientHost)) {
      this.options.log.warn('tunnel-denied', { host: clientHost });
      client.destroy();
      return;
    }
    const entry = this.options.registry.get(toId<ServerId>(request.url ?? ''));
    const reason = this.reasonToDecline(entry?.server, clientHost);
    if (!entry || reason) {
      decline(client, reason ?? 'unavailable');
      return;
    }
    this.connect(client, clientHost, entry.server);
  }

  private reasonToDecline(
    server: BackendServer | undefined,
    clientHost: string,
  ): TunnelFailure | undefined {
    const { clock, isDraining, isSevered, log, registry } = this.options;
    if (!server || isDraining() || registry.isBackingOff(server.serverId, clock.nowMs())) {
      return 'unavailable';
    }
    if (this.options.isEvacuated?.(server)) {
      log.info('tunnel-to-evacuated-server', { host: clientHost, serverId: server.serverId });
      return 'unavailable';
    }
    if (isSevered(server.serverId)) {
      return 'unanswered';
    }
    return this.tunnels.size < MAX_TUNNELS ? undefined : 'busy';
  }

  private connect(client: Socket, clientHost: string, backend: BackendServer): void {
    const { clock, log } = this.options;
    const { serverId } = backend;
    const server = (this.options.openSocket ?? openSocket)(backend.host, backend.port);
    const tunnel = { client, clientHost, server, serverId };
    this.tunnels.add(tunnel);
    let isOpen = false;
    const fail = (reason: TunnelFailure): void => {
      cancelTimeout();
      if (!isOpen) {
        server.destroy();
        decline(client, reason);
      }
    };
    const cancelTimeout = startResponseTimeout(clock, CONNECT_TIMEOUT_MS, () => {
      fail('unanswered');
    });
    server.once('error', (error: NodeJS.ErrnoException) => {
      fail(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered');
    });
    server.once('close', () => {
      cancelTimeout();
      if (!isOpen || client.destroyed) {
        this.tunnels.delete(tunnel);
      }
    });
    client.once('close', () => {
      server.destroy();
      this.tunnels.delete(tunnel);
    });
    server.once('connect', () => {
      cancelTimeout();
      isOpen = true;
      client.write('HTTP/1.1 200 OK\r\n\r\n');
      passOn(tunnel, this.options.buffers);
      log.info('tunnel-opened', { host: clientHost, serverId, tunnels: this.tunnels.size });
    });
  }
}

function decline(client: Socket, reason: TunnelFailure): void {
  const head = 'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0';
  client.write(`${head}\r\n${TUNNEL_FAILURE_HEADER}: ${reason}\r\n\r\n`);
  // Does not wait for the other daemon, which may stand still.
  client.destroySoon();
}

/**
 * Passes data on in both directions. The end of the server's data reaches the client as an end only if
 * it was one: a response can end with its connection, and one that was reset must not look complete.
 */
function passOn({ client, server, serverId }: Tunnel, buffers: ReaderBuffers | undefined): void {
  const abort = (): void => {
    client.resetAndDestroy();
    server.destroy();
  };
  const pipe = (from: Socket, to: Socket): (() => void) =>
    buffers
      ? pipeThroughBuffers(from, to, { abort, buffers, serverId })
      : pipeWithBackpressure(from, to);
  pipe(client, server);
  const endClient = pipe(server, client);
  client.on('end', () => {
    // Daemons never close one direction only.
    client.destroy();
  });
  let hasEnded = false;
  server.on('end', () => {
    hasEnded = true;
    probeReset(server, (wasReset) => {
      if (wasReset) {
        client.resetAndDestroy();
      } else {
        endClient();
      }
    });
  });
  server.on('error', () => {
    client.resetAndDestroy();
  });
  server.on('close', () => {
    if (!hasEnded) {
      client.resetAndDestroy();
    }
  });
}

/** Returns a function that ends the target when it has all data. */
function pipeWithBackpressure(from: Socket, to: Socket): () => void {
  from.on('data', (chunk) => {
    if (!to.write(chunk)) {
      from.pause();
      to.once('drain', () => {
        from.resume();
      });
    }
  });
  return () => {
    to.end();
  };
}

/** Reads on while the target is slow and there is room; returns a function as above. */
function pipeThroughBuffers(
  from: Socket,
  to: Socket,
  { abort, buffers, serverId }: { abort: () => void; buffers: ReaderBuffers; serverId: ServerId },
): () => void {
  const output = new HeldOutput({
    buffers,
    kind: 'tunnel',
    label: () => serverId,
    onOverdue: abort,
    sink: to,
  });
  from.on('data', (chunk) => {
    output.write(chunk, from);
  });
  to.on('close', () => {
    output.close();
  });
  return () => {
    output.end();
  };
}
