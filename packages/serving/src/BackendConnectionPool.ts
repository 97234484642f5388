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
  private readonly idle = new Map<ServerId, BackendConnection[]>();

  constructor(
    private readonly clock: MonotonicClock,
    private readonly connectTimeoutMs = CONNECT_TIMEOUT_MS,
  ) {}

  /** Gives an idle connection or opens one. */
  acquire(server: BackendServer, waiter: ConnectionListener): void {
    const kept = this.takeIdle(server.serverId);
    if (kept) {
      waiter.onConnected(kept);
      return;
    }
    new BackendConnection({
      connectTimeoutMs: this.connectTimeoutMs,
      host: server.host,
      onConnectFailed: (reason) => {
        waiter.onConnectFailed(reason);
      },
      onConnected: (connection) => {
        waiter.onConnected(connection);
      },
      onClosed: (connection) => {
        this.forget(server.serverId, connection);
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
    const idle = this.idle.get(server.serverId) ?? [];
    idle.push(connection);
    this.idle.set(server.serverId, idle);
  }

  /** Ends idle connections to a server that left, or all. */
  close(serverId?: ServerId): void {
    for (const [known, connections] of [...this.idle]) {
      if (serverId === undefined || known === serverId) {
        this.idle.delete(known);
        for (const connection of connections) {
          connection.abort();
        }
      }
    }
  }

  /** Ends connections that their server is about to close. */
  closeExpired(): void {
    const nowMs = this.clock.nowMs();
    for (const connections of this.idle.values()) {
      for (const connection of [...connections]) {
        if (isExpired(connection, nowMs)) {
          connection.abort();
        }
      }
    }
  }

  private takeIdle(serverId: ServerId): BackendConnection | undefined {
    const connections = this.idle.get(serverId) ?? [];
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

  private forget(serverId: ServerId, gone: BackendConnection): void {
    const connections = this.idle.get(serverId);
    const index = connections?.indexOf(gone) ?? -1;
    if (index >= 0) {
      connections?.splice(index, 1);
    }
  }
}

function isExpired(connection: BackendConnection, nowMs: number): boolean {
  const statedMs = connection.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
  const keptMs = Math.min(MAX_IDLE_MS, statedMs - KEEP_ALIVE_MARGIN_MS);
  return nowMs - connection.idleSinceMs >= keptMs;
}
