import type { BackendServer, ServerRegistry } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServiceId } from '@laburnumgap/kernel';
import type { BackendConnection } from './BackendConnection.js';
import type { BackendConnectionPool, ConnectionListener } from './BackendConnectionPool.js';
import type { AvoidedUse, EvacuationCoordinator } from '../peers/EvacuationCoordinator.js';
import type { Permit } from './PermitLeases.js';
import type { ServerLimitCoordinator } from './ServerLimitCoordinator.js';

/** Options of {@link ServerAccess}. */
export interface ServerAccessOptions {
  readonly clock: MonotonicClock;
  readonly connections: Pick<BackendConnectionPool, 'acquire' | 'release'>;
  /** Evacuated failure domains; none where it is absent. */
  readonly evacuations?: Pick<
    EvacuationCoordinator,
    'isEvacuated' | 'recordAvoided' | 'recordRefused'
  >;
  readonly permits: Pick<
    ServerLimitCoordinator,
    'availableAfterMs' | 'isBrittle' | 'isCold' | 'isLimited' | 'mayUse' | 'requestPermit'
  >;
  readonly registry: Pick<
    ServerRegistry,
    | 'acceptsContinuation'
    | 'acceptsReturn'
    | 'isBackingOff'
    | 'isUsable'
    | 'usableAgainAfterMs'
    | 'usableServers'
  >;
}

/** Why a server gets no request: its failure domain is evacuated, or its limit is reached. */
export type AccessDenial = 'evacuated' | 'limited';

/**
 * What a caller's request is for: a run from its start, one that continues from a copied KV cache, or one
 * that continues where it ran, from what the server has kept of it.
 */
export type RequestUse = 'continuation' | 'newRun' | 'return';

/** What a connection is acquired for. */
export interface AccessOptions {
  /**
   * Key of the response. No connection is used on which one with the same key came, as a copy of that
   * could follow. Any is used without it.
   */
  readonly responseKey?: string;
  /** A stream that runs at the server would be lost without the request. */
  readonly savesStream?: boolean;
}

/** Receives the outcome of {@link ServerAccess.acquire}. */
export interface ServerAccessListener extends ConnectionListener {
  /** The server takes no more requests for now; nothing was sent. */
  onLimited(retryAfterMs: number, denial: AccessDenial): void;
}

/** A permit that was not valid any more after a second connection is requested again after this. */
const LAPSED_RETRY_MS = 50;

/**
 * Retry-After when every server of a service is evacuated: the end is not known in advance, and takes
 * effect within about a second.
 */
const EVACUATED_RETRY_AFTER_MS = 1_000;

/**
 * The one way to a backend server for every request: answers whether a request may go there now, waits
 * for a permit where the server limits its requests or is cold, then for a connection.
 */
export class ServerAccess {
  constructor(private readonly options: ServerAccessOptions) {}

  /**
   * Provides a connection on which exactly one request may be sent, at once.
   *
   * @param server - the server
   * @param maxPermitWaitMs - how long the request can wait for a permit
   * @param listener - receives the outcome, synchronously where nothing has to be waited for
   * @param options - what the connection is for
   */
  acquire(
    server: BackendServer,
    maxPermitWaitMs: number,
    listener: ServerAccessListener,
    { responseKey, savesStream = false }: AccessOptions = {},
  ): void {
    const { connections, permits } = this.options;
    const hadLimit = permits.isLimited(server);
    const isClosed = (): boolean => !savesStream && this.isEvacuated(server);
    if (isClosed()) {
      this.deny(listener);
      return;
    }
    this.awaitPermit(server, maxPermitWaitMs, listener, (permit) => {
      if (isClosed()) {
        // The evacuation became known during the wait.
        permit?.release();
        this.deny(listener);
        return;
      }
      const connectionListener: ConnectionListener = {
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
            this.onConnectedWithoutPermit(
              server,
              connection,
              maxPermitWaitMs,
              listener,
              responseKey,
            );
          }
        },
      };
      connections.acquire(server, connectionListener, responseKey);
    });
  }

  /**
   * Whether requests that no server of a service takes now can expect one soon: a brittle server takes one
   * as soon as another has ended, and a cold one after a part of a second.
   */
  hasRoomSoon(service: ServiceId): boolean {
    const { clock, permits, registry } = this.options;
    const servers = registry.usableServers(service, clock.nowMs());
    return servers.some(
      (server) =>
        !this.isEvacuated(server) && (permits.isBrittle(server) || permits.isCold(server)),
    );
  }

  /** Whether a server takes few requests, since it has just started. */
  isCold(server: BackendServer): boolean {
    return this.options.permits.isCold(server);
  }

  /** Whether a server's failure domain is evacuated, so that nothing new may go there. */
  isEvacuated({ failureDomain }: BackendServer): boolean {
    return this.options.evacuations?.isEvacuated(failureDomain) ?? false;
  }

  /**
   * The last check before a request is written.
   *
   * @param server - the server
   * @param use - what the request is for
   * @returns whether it may be sent now
   */
  mayReceive(server: BackendServer, use: RequestUse): boolean {
    const { clock, registry } = this.options;
    if (this.avoidsEvacuated(server, 'request')) {
      return false;
    }
    const nowMs = clock.nowMs();
    switch (use) {
      case 'continuation':
        return registry.acceptsContinuation(server.serverId, nowMs);
      case 'newRun':
        return registry.isUsable(server.serverId, nowMs);
      case 'return':
        return registry.acceptsReturn(server.serverId, nowMs);
    }
  }

  /**
   * The last check before a control request is written.
   *
   * @param server - the server
   * @param options - what it is for
   * @returns why it must not be sent now; undefined when it may
   */
  controlDenial(
    server: BackendServer,
    { savesStream = false }: AccessOptions = {},
  ): string | undefined {
    const { clock, registry } = this.options;
    if (registry.isBackingOff(server.serverId, clock.nowMs())) {
      return 'the engine is backing off';
    }
    return !savesStream && this.avoidsEvacuated(server, 'control')
      ? "the engine's failure domain is evacuated"
      : undefined;
  }

  /**
   * Whether something must not be sent because the server's failure domain is evacuated. Counted.
   *
   * @param server - the server
   * @param use - what was to be sent
   */
  avoidsEvacuated(server: BackendServer, use: AvoidedUse): boolean {
    if (!this.isEvacuated(server)) {
      return false;
    }
    this.options.evacuations?.recordAvoided(use);
    return true;
  }

  /**
   * Says whether a request has to be refused because every server of its service is evacuated. Counted.
   *
   * @param service - the service
   * @returns the text of the refusal; undefined when there is another reason
   */
  evacuationRefusal(service: ServiceId): string | undefined {
    const { clock, evacuations, registry } = this.options;
    const servers = registry.usableServers(service, clock.nowMs());
    if (servers.length === 0 || !servers.every((server) => this.isEvacuated(server))) {
      return undefined;
    }
    evacuations?.recordRefused();
    return 'every server of the service is in an evacuated failure domain';
  }

  /** Servers of a service that take a new request now, sorted by id. */
  openServers(service: ServiceId): readonly BackendServer[] {
    const { clock, permits, registry } = this.options;
    return registry
      .usableServers(service, clock.nowMs())
      .filter((server) => !this.isEvacuated(server) && permits.availableAfterMs(server) === 0);
  }

  /**
   * Time until a service takes requests again when all its servers back off, have reached their limits
   * or are evacuated.
   *
   * @param service - the service
   * @returns milliseconds; undefined when a server takes requests now or none will
   */
  openAgainAfterMs(service: ServiceId): number | undefined {
    const { clock, permits, registry } = this.options;
    const waitMs = registry.usableAgainAfterMs(service, clock.nowMs(), (server) =>
      this.isEvacuated(server) ? Infinity : permits.availableAfterMs(server),
    );
    return waitMs === Infinity ? EVACUATED_RETRY_AFTER_MS : waitMs;
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
    responseKey: string | undefined,
  ): void {
    const { connections, permits } = this.options;
    const onLimited = (retryAfterMs: number): void => {
      connections.release(server, connection);
      listener.onLimited(retryAfterMs, 'limited');
    };
    const provide = (provided: BackendConnection, permit: Permit | undefined): void => {
      if (permits.mayUse(server, permit)) {
        provided.holdPermit(permit);
        listener.onConnected(provided);
      } else {
        permit?.release();
        connections.release(server, provided);
        listener.onLimited(LAPSED_RETRY_MS, 'limited');
      }
    };
    this.awaitPermit(server, maxPermitWaitMs, { onLimited }, (permit) => {
      if (connection.isReusable()) {
        provide(connection, permit);
        return;
      }
      const connectionListener: ConnectionListener = {
        onConnectFailed: (reason) => {
          permit?.release();
          listener.onConnectFailed(reason);
        },
        onConnected: (opened) => {
          provide(opened, permit);
        },
      };
      connections.acquire(server, connectionListener, responseKey);
    });
  }

  private deny(listener: ServerAccessListener): void {
    this.options.evacuations?.recordAvoided('request');
    listener.onLimited(EVACUATED_RETRY_AFTER_MS, 'evacuated');
  }

  private awaitPermit(
    server: BackendServer,
    maxWaitMs: number,
    { onLimited }: Pick<ServerAccessListener, 'onLimited'>,
    onPermitted: (permit: Permit | undefined) => void,
  ): void {
    this.options.permits.requestPermit(server, maxWaitMs, (decision, permit) => {
      if (decision.kind === 'declined') {
        onLimited(decision.retryAfterMs, 'limited');
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
