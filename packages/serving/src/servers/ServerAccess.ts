import type { BackendServer, ServerRegistry } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServiceId } from '@laburnumgap/kernel';
import type { BackendConnection } from './BackendConnection.js';
import type { BackendConnectionPool, ConnectionListener } from './BackendConnectionPool.js';
import type { Permit } from './PermitLeases.js';
import type { ServerLimitCoordinator } from './ServerLimitCoordinator.js';

/** Options of {@link ServerAccess}. */
export interface ServerAccessOptions {
  readonly clock: MonotonicClock;
  readonly connections: Pick<BackendConnectionPool, 'acquire' | 'release'>;
  readonly permits: Pick<
    ServerLimitCoordinator,
    'availableAfterMs' | 'isBrittle' | 'isCold' | 'isLimited' | 'mayUse' | 'requestPermit'
  >;
  readonly registry: Pick<ServerRegistry, 'usableAgainAfterMs' | 'usableServers'>;
}

/** Receives the outcome of {@link ServerAccess.acquire}. */
export interface ServerAccessListener extends ConnectionListener {
  /** The server takes no more requests for now; nothing was sent. */
  onLimited(retryAfterMs: number): void;
}

/** A permit that was not valid any more after a second connection is requested again after this. */
const LAPSED_RETRY_MS = 50;

/**
 * The one way to a backend server for every request: waits for a permit where the server limits its
 * requests or is cold, then for a connection.
 */
export class ServerAccess {
  constructor(private readonly options: ServerAccessOptions) {}

  /**
   * Provides a connection on which exactly one request may be sent, at once.
   *
   * @param server - the server
   * @param maxPermitWaitMs - how long the request can wait for a permit
   * @param listener - receives the outcome, synchronously where nothing has to be waited for
   */
  acquire(server: BackendServer, maxPermitWaitMs: number, listener: ServerAccessListener): void {
    const { connections, permits } = this.options;
    const hadLimit = permits.isLimited(server);
    this.awaitPermit(server, maxPermitWaitMs, listener, (permit) => {
      connections.acquire(server, {
        onConnectFailed: (reason) => {
          permit?.release();
          listener.onConnectFailed(reason);
        },
        onConnected: (connection) => {
          if (hadLimit && permits.mayUse(server, permit)) {
            connection.holdPermit(permit);
            listener.onConnected(connection);
          } else {
            permit?.release();
            this.onConnectedWithoutPermit(server, connection, maxPermitWaitMs, listener);
          }
        },
      });
    });
  }

  /**
   * Whether requests that no server of a service takes now can expect one soon: a brittle server takes one
   * as soon as another has ended, and a cold one after a part of a second.
   */
  hasRoomSoon(service: ServiceId): boolean {
    const { clock, permits, registry } = this.options;
    const servers = registry.usableServers(service, clock.nowMs());
    return servers.some((server) => permits.isBrittle(server) || permits.isCold(server));
  }

  /** Servers of a service that take a new request now, sorted by id. */
  openServers(service: ServiceId): readonly BackendServer[] {
    const { clock, permits, registry } = this.options;
    return registry
      .usableServers(service, clock.nowMs())
      .filter((server) => permits.availableAfterMs(server) === 0);
  }

  /**
   * Time until a service takes requests again when all its servers back off or have reached their
   * limits.
   *
   * @param service - the service
   * @returns milliseconds; undefined when a server takes requests now or none will
   */
  openAgainAfterMs(service: ServiceId): number | undefined {
    const { clock, permits, registry } = this.options;
    return registry.usableAgainAfterMs(service, clock.nowMs(), (server) =>
      permits.availableAfterMs(server),
    );
  }

  /**
   * The server can have named a limit or become cold while the connection was opened, and can close the
   * connection before the permit arrives.
   */
  private onConnectedWithoutPermit(
    server: BackendServer,
    connection: BackendConnection,
    maxPermitWaitMs: number,
    listener: ServerAccessListener,
  ): void {
    const { connections, permits } = this.options;
    const onLimited = (retryAfterMs: number): void => {
      connections.release(server, connection);
      listener.onLimited(retryAfterMs);
    };
    const provide = (provided: BackendConnection, permit: Permit | undefined): void => {
      if (permits.mayUse(server, permit)) {
        provided.holdPermit(permit);
        listener.onConnected(provided);
      } else {
        permit?.release();
        connections.release(server, provided);
        listener.onLimited(LAPSED_RETRY_MS);
      }
    };
    this.awaitPermit(server, maxPermitWaitMs, { onLimited }, (permit) => {
      if (connection.isReusable()) {
        provide(connection, permit);
        return;
      }
      connections.acquire(server, {
        onConnectFailed: (reason) => {
          permit?.release();
          listener.onConnectFailed(reason);
        },
        onConnected: (opened) => {
          provide(opened, permit);
        },
      });
    });
  }

  private awaitPermit(
    server: BackendServer,
    maxWaitMs: number,
    { onLimited }: Pick<ServerAccessListener, 'onLimited'>,
    onPermitted: (permit: Permit | undefined) => void,
  ): void {
    this.options.permits.requestPermit(server, maxWaitMs, (decision, permit) => {
      if (decision.kind === 'declined') {
        onLimited(decision.retryAfterMs);
      } else if (decision.waitMs > 0) {
        setTimeout(() => {
          onPermitted(permit);
        }, decision.waitMs);
      } else {
        onPermitted(permit);
      }
    });
  }
}
