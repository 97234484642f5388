import type { BackendServer } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import type { ReaderBuffers } from '../buffers/ReaderBuffers.js';
import { BackendConnection } from './BackendConnection.js';
import type { DialedSocket, DialListener } from './ServerDial.js';
import type { ServerDialer } from './ServerDialer.js';
import { DEFAULT_KEEP_ALIVE_MS, KEEP_ALIVE_MARGIN_MS, MAX_IDLE_MS } from '../ServingConstants.js';

/** Receives the outcome of {@link BackendConnectionPool.acquire}. */
export interface ConnectionListener {
  /** No connection could be opened; nothing was sent. */
  onConnectFailed(reason: string): void;
  onConnected(connection: BackendConnection): void;
}

/** Connections to the backend servers. Reuses the most recently used idle one first. */
export class BackendConnectionPool {
  private readonly idleConnections = new Map<ServerId, BackendConnection[]>();
  private readonly openConnections = new Map<ServerId, Set<BackendConnection>>();

  constructor(
    private readonly clock: MonotonicClock,
    private readonly dialer: Pick<ServerDialer, 'dial' | 'isRunning'>,
    private readonly buffers?: ReaderBuffers,
  ) {}

  /**
   * Provides an idle connection, or opens a new one.
   *
   * @param server - the server
   * @param listener - receives the outcome
   * @param responseKey - no connection on which a response with this key came is provided
   */
  acquire(server: BackendServer, listener: ConnectionListener, responseKey?: string): void {
    const idleConnection = this.takeIdle(server.serverId, responseKey);
    if (idleConnection) {
      listener.onConnected(idleConnection);
      return;
    }
    this.dialer.dial(server, {
      ...this.spareListener(server),
      onFailed: (reason) => {
        listener.onConnectFailed(reason);
      },
      onOpened: (dialed) => {
        listener.onConnected(this.add(server, dialed));
      },
    });
  }

  /** Keeps connections that nobody waits for. */
  spareListener(server: BackendServer): DialListener {
    const keep = (dialed: DialedSocket): void => {
      this.release(server, this.add(server, dialed));
    };
    return { onFailed: () => undefined, onOpened: keep, onSpare: keep };
  }

  /** Returns a connection to the pool; one that cannot be reused is closed. */
  release(server: BackendServer, connection: BackendConnection): void {
    connection.releasePermit();
    if (!connection.isReusable()) {
      connection.abort();
      return;
    }
    connection.idleSinceMs = this.clock.nowMs();
    const connections = this.idleConnections.get(server.serverId) ?? [];
    connections.push(connection);
    this.idleConnections.set(server.serverId, connections);
  }

  /** Closes the idle connections to a server, or to all servers without an argument. */
  close(serverId?: ServerId): void {
    for (const [idleServerId, connections] of [...this.idleConnections]) {
      if (serverId === undefined || idleServerId === serverId) {
        this.idleConnections.delete(idleServerId);
        for (const connection of connections) {
          connection.abort();
        }
      }
    }
  }

  /**
   * Closes the idle connections that a condition selects.
   *
   * @param isClosed - whether to close those to a server through a daemon, or directly
   */
  closeIdle(isClosed: (serverId: ServerId, via: MemberId | undefined) => boolean): void {
    for (const [serverId, connections] of this.idleConnections) {
      for (const connection of [...connections]) {
        if (isClosed(serverId, connection.via)) {
          connection.abort();
        }
      }
    }
  }

  /**
   * Servers from which nothing has arrived for a while although requests wait for responses on direct
   * connections.
   *
   * @param silentMs - time without any data from the server
   */
  silentServers(silentMs: number): readonly ServerId[] {
    const sinceMs = this.clock.nowMs() - silentMs;
    return [...this.openConnections].flatMap(([serverId, connections]) => {
      const direct = [...connections].filter(({ via }) => via === undefined);
      const isWaiting = direct.some(
        (connection) => (connection.waitingSinceMs() ?? Infinity) <= sinceMs,
      );
      return isWaiting && direct.every(({ lastReceivedMs }) => lastReceivedMs <= sinceMs)
        ? [serverId]
        : [];
    });
  }

  /** Daemons that pass open connections to a server on. */
  tunnelPeersTo(serverId: ServerId): readonly MemberId[] {
    const open = [...(this.openConnections.get(serverId) ?? [])];
    return [...new Set(open.flatMap(({ via }) => via ?? []))];
  }

  /** Closes idle connections before their servers do. */
  closeExpired(): void {
    const nowMs = this.clock.nowMs();
    for (const connections of this.idleConnections.values()) {
      for (const connection of [...connections]) {
        if (isExpired(connection, nowMs)) {
          connection.abort();
        }
      }
    }
  }

  /**
   * Finds out whether a server that has ended a connection still runs; see {@link ServerDialer.isRunning}.
   *
   * @param server - the server
   * @param via - daemon that passed the connection on; undefined without one
   */
  isServerRunning(server: BackendServer, via: MemberId | undefined): Promise<boolean> {
    return this.dialer.isRunning(server, via, this.spareListener(server));
  }

  private add(server: BackendServer, { socket, via }: DialedSocket): BackendConnection {
    const { serverId } = server;
    const connection = new BackendConnection({
      buffers: this.buffers,
      clock: this.clock,
      isServerRunning: () => this.isServerRunning(server, via),
      onClosed: (closed) => {
        this.removeIdle(serverId, closed);
        const open = this.openConnections.get(serverId);
        open?.delete(closed);
        if (open?.size === 0) {
          this.openConnections.delete(serverId);
        }
      },
      serverId,
      socket,
      via,
    });
    const open = this.openConnections.get(serverId) ?? new Set();
    open.add(connection);
    this.openConnections.set(serverId, open);
    return connection;
  }

  private takeIdle(
    serverId: ServerId,
    responseKey: string | undefined,
  ): BackendConnection | undefined {
    const connections = this.idleConnections.get(serverId) ?? [];
    const nowMs = this.clock.nowMs();
    for (let index = connections.length - 1; index >= 0; index -= 1) {
      const connection = connections[index];
      if (!connection || connection.isReceiving()) {
        continue;
      }
      if (!connection.isReusable() || isExpired(connection, nowMs)) {
        // Removes itself from the list.
        connection.abort();
      } else if (responseKey === undefined || !connection.hasAnswered(responseKey)) {
        this.removeIdle(serverId, connection);
        return connection;
      }
    }
    return undefined;
  }

  private removeIdle(serverId: ServerId, closed: BackendConnection): void {
    const connections = this.idleConnections.get(serverId);
    const index = connections?.indexOf(closed) ?? -1;
    if (index >= 0) {
      connections?.splice(index, 1);
    }
  }
}

function isExpired(connection: BackendConnection, nowMs: number): boolean {
  const serverKeepAliveMs = connection.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
  const maxIdleMs = Math.min(MAX_IDLE_MS, serverKeepAliveMs - KEEP_ALIVE_MARGIN_MS);
  return nowMs - connection.idleSinceMs >= maxIdleMs;
}
