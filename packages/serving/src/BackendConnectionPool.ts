import type { BackendServer } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { BackendConnection } from './BackendConnection.js';
import {
  CONNECT_TIMEOUT_MS,
  DEFAULT_KEEP_ALIVE_MS,
  KEEP_ALIVE_MARGIN_MS,
  MAX_IDLE_MS,
} from './ServingConstants.js';

/** Told when a connection is there or can't be had. */
export interface ConnectionListener {
  /** Nothing was sent. */
  onConnectFailed(reason: string): void;
  onConnected(connection: BackendConnection): void;
}

/** Connections to all backend servers, kept while they are idle; the newest is used first. */
export class BackendConnectionPool {
  private readonly idleConnections = new Map<ServerId, BackendConnection[]>();

  constructor(
    private readonly clock: MonotonicClock,
    private readonly connectTimeoutMs = CONNECT_TIMEOUT_MS,
  ) {}

  /** Gives an idle connection or opens one. */
  acquire(server: BackendServer, listener: ConnectionListener): void {
    const idleConnection = this.takeIdle(server.serverId);
    if (idleConnection) {
      listener.onConnected(idleConnection);
      return;
    }
    new BackendConnection({
      connectTimeoutMs: this.connectTimeoutMs,
      host: server.host,
      onConnectFailed: (reason) => {
        listener.onConnectFailed(reason);
      },
      onConnected: (connection) => {
        listener.onConnected(connection);
      },
      onClosed: (connection) => {
        this.removeIdle(server.serverId, connection);
      },
      port: server.port,
    });
  }

  /** Takes a connection back after a whole answer. */
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

  /** Ends idle connections to a server that left, or all. */
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

  /** Ends connections that their server is about to close. */
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
