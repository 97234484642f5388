import type { BackendServer } from '@laburnumgap/dispatch';
import type { AdmittedCall } from './AdmittedCall.js';
import type { BackendConnection, ResponseListener } from './BackendConnection.js';
import { serverDeadlineMs } from './CallDeadlines.js';
import type { ResponseHead } from './ResponseParser.js';
import type { ServingContext } from './ServingContext.js';
import type { ResponseMetadata, BackendRequestOptions } from './ServingPorts.js';

/** A caller's request on its way to one server, with what came back so far. */
export interface BackendAttempt {
  connection?: BackendConnection;
  head?: ResponseHead;
  metadata?: ResponseMetadata;
  readonly sentMs: number;
  readonly server: BackendServer;
}

/** Told whether a server was reached. */
export interface ConnectEvents {
  onConnected(connection: BackendConnection): void;
  /** Nothing was sent. */
  onUnreachable(reason: string): void;
}

/** What a call adds to the caller's request beside its time and its team. */
export type AttemptOptions = Omit<BackendRequestOptions, 'deadlineMs' | 'server' | 'teamId'>;

/**
 * Gets a connection to a server, and notes a server that is not reached.
 *
 * @param context - what all requests share
 * @param admitted - the caller's request
 * @param server - the server
 * @param listener - told the outcome
 */
export function connectToServer(
  context: ServingContext,
  admitted: AdmittedCall,
  server: BackendServer,
  listener: ConnectEvents,
): void {
  const { clock, connections, health, log } = context;
  const { serverId } = server;
  connections.acquire(server, {
    onConnectFailed: (reason) => {
      health.note(serverId, 'unreachable', 0, clock.nowMs());
      log.warn('server-unreachable', { reason, requestId: admitted.request.requestId, serverId });
      listener.onUnreachable(reason);
    },
    onConnected: (connection) => {
      listener.onConnected(connection);
    },
  });
}

/**
 * Sends a caller's request on a connection. Answers of other requests are skipped.
 *
 * @param context - what all requests share
 * @param admitted - the caller's request
 * @param attempt - takes the connection, and the head of the answer when it comes
 * @param connection - a connection to its server
 * @param options - what is added to the request
 * @param listener - told the body and the end of the answer
 */
export function sendAttempt(
  context: ServingContext,
  admitted: AdmittedCall,
  attempt: BackendAttempt,
  connection: BackendConnection,
  options: AttemptOptions,
  listener: Pick<ResponseListener, 'onBody' | 'onBroken' | 'onEnd'>,
): void {
  const { clock, protocol } = context;
  const { body, request, team } = admitted;
  attempt.connection = connection;
  const headers = protocol.requestHeaders(request, {
    ...options,
    deadlineMs: serverDeadlineMs(admitted, clock.nowMs()),
    server: attempt.server,
    teamId: team?.teamId,
  });
  connection.send(
    { body, headers, method: request.method, path: request.path },
    {
      ...listener,
      accepts: (head) =>
        protocol.parseResponseMetadata(head.headers).requestId === request.requestId,
      onHead: (head) => {
        attempt.head = head;
        attempt.metadata = protocol.parseResponseMetadata(head.headers);
        connection.keepAliveMs = attempt.metadata.keepAliveMs;
      },
    },
  );
}

/** Notes how a call ended for the server's health. */
export function recordOutcome(
  { clock, health }: ServingContext,
  { sentMs, server }: BackendAttempt,
  outcome: 'answered' | 'failed',
): void {
  const nowMs = clock.nowMs();
  health.note(server.serverId, outcome, nowMs - sentMs, nowMs);
}
