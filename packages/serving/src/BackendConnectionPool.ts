import type { BackendServer } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { BackendConnection } from './BackendConnection.js';
import type { SocketOpener } from './SocketOpener.js';
import {
  CONNECT_TIMEOUT_MS,
  DEFAULT_KEEP_ALIVE_MS,
  KEEP_ALIVE_MARGIN_MS,
  MAX_IDLE_MS,
} from './ServingConstants.js';

/** Receives the outcome of {@link BackendConnectionPool.acquire}. */
export interface ConnectionListener {
  /** No connection could be opened; nothing was sent. */
  onConnectFailed(reason: string): void;
  onConnected(connection: BackendConnection): void;
}

/** Pool of idle connections to the backend servers. Reuses the most recently used one first. */
export class BackendConnectionPool {
  private readonly idleConnections = new Map<ServerId, BackendConnection[]>();

  constructor(
    private readonly clock: MonotonicClock,
    private readonly openSocket?: SocketOpener,
    private readonly connectTimeoutMs = CONNECT_TIMEOUT_MS,
  ) {}

  /** Provides an idle connection, or opens a new one. */
  acquire(server: BackendServer, listener: ConnectionListener): void {
    const idleConnection = this.takeIdle(server.serverId);
    if (idleConnection) {
      listener.onConnected(idleConnection);
      return;
    }
    new BackendConnection({
      connectTimeoutMs: this.connectTimeoutMs,
      host: server.host,
      onClosed: (connection) => {
        this.removeIdle(server.serverId, connection);
      },
      onConnectFailed: (reason) => {
        listener.onConnectFailed(reason);
      },
      onConnected: (connection) => {
        listener.onConnected(connection);
      },
      openSocket: this.openSocket,
      port: server.port,
    });
  }

  /** Returns a connection to the pool; one that cannot be reused is closed. */
  release(server: BackendServer, connection: BackendConnection): void {
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

  private takeIdle(serverId: ServerId): BackendConnection | undefined {
    const connections = this.idleConnections.get(serverId) ?? [];
    const nowMs = this.clock.nowMs();
    let connection = connections.pop();
    while (connection) {
      if (connection.isReusable() && !isExpired(connection, nowMs)) {
        return connection;
      }
      connection.abort();
      connection = connections.pop();
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
