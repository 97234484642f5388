import type { BackendServer } from '@laburnumgap/dispatch';
import type { AdmittedCall } from './AdmittedCall.js';
import type { BackendConnection, ResponseListener } from './BackendConnection.js';
import { serverDeadlineMs } from './CallDeadlines.js';
import type { ResponseHead } from './ResponseParser.js';
import type { ServingContext } from './ServingContext.js';
import type { BackendRequestOptions, ResponseMetadata } from './ServingPorts.js';

/** One attempt to run a caller's request at a server, with the response head received so far. */
export interface BackendAttempt {
  connection?: BackendConnection;
  head?: ResponseHead;
  metadata?: ResponseMetadata;
  readonly sentMs: number;
  readonly server: BackendServer;
}

/** Receives the outcome of {@link connectToServer}. */
export interface ServerConnectListener {
  onConnected(connection: BackendConnection): void;
  /** The server takes no more requests for now; nothing was sent. */
  onLimited(retryAfterMs: number): void;
  /** The server could not be reached; nothing was sent. */
  onUnreachable(reason: string): void;
}

/** Request options that depend on the attempt; deadline, server and team are added to them. */
export type AttemptOptions = Omit<BackendRequestOptions, 'deadlineMs' | 'server' | 'teamId'>;

/**
 * Acquires a connection to a server, and a permit where the server limits its requests. A failure is
 * logged; one of the connection is also recorded in the server's health.
 *
 * @param context - shared state of the daemon
 * @param admitted - the caller's request
 * @param server - the server
 * @param maxPermitWaitMs - how long the request can wait for a permit
 * @param listener - receives the outcome
 */
export function connectToServer(
  context: ServingContext,
  admitted: AdmittedCall,
  server: BackendServer,
  maxPermitWaitMs: number,
  listener: ServerConnectListener,
): void {
  const { clock, health, log, serverAccess } = context;
  const { serverId } = server;
  serverAccess.acquire(server, maxPermitWaitMs, {
    onConnectFailed: (reason) => {
      health.recordOutcome(serverId, 'unreachable', 0, clock.nowMs());
      log.warn('server-unreachable', { reason, requestId: admitted.request.requestId, serverId });
      listener.onUnreachable(reason);
    },
    onConnected: (connection) => {
      listener.onConnected(connection);
    },
    onLimited: (retryAfterMs) => {
      const { requestId } = admitted.request;
      log.info('server-limit-reached', { requestId, retryAfterMs, serverId });
      listener.onLimited(retryAfterMs);
    },
  });
}

/**
 * Sends a caller's request on a connection. Responses to other requests are skipped.
 *
 * @param context - shared state of the daemon
 * @param admitted - the caller's request
 * @param attempt - receives the connection, and the response head when it arrives
 * @param connection - connection to the attempt's server
 * @param options - options added to the request
 * @param listener - receives the body and the end of the response
 */
export function sendAttempt(
  context: ServingContext,
  admitted: AdmittedCall,
  attempt: BackendAttempt,
  connection: BackendConnection,
  options: AttemptOptions,
  listener: Pick<ResponseListener, 'onBody' | 'onBroken' | 'onEnd'>,
): void {
  const { clock, crashDetector, protocol, serverSignals } = context;
  const { body, fingerprints, request, team } = admitted;
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
        attempt.metadata = serverSignals.evaluate(attempt.server, head);
        connection.keepAliveMs = attempt.metadata.keepAliveMs;
      },
      onBroken: (reason) => {
        crashDetector.onBroken(attempt.server, { fingerprints, requestId: request.requestId });
        listener.onBroken(reason);
      },
    },
  );
}

/**
 * Records the outcome and the duration of an attempt in the server's health.
 *
 * @param context - shared state of the daemon
 * @param attempt - the attempt that ended
 * @param outcome - how it ended
 */
export function recordOutcome(
  { clock, health }: ServingContext,
  { sentMs, server }: BackendAttempt,
  outcome: 'answered' | 'failed',
): void {
  const nowMs = clock.nowMs();
  health.recordOutcome(server.serverId, outcome, nowMs - sentMs, nowMs);
}
