import type { BackendServer } from '@laburnumgap/dispatch';
import type { AnswerHead } from './AnswerParser.js';
import type { BackendConnection, ExchangeEvents } from './BackendConnection.js';
import { timeLeftMs } from './CallBounds.js';
import type { CallStart } from './CallStart.js';
import type { ServingContext } from './ServingContext.js';
import type { ResponseMetadata, BackendRequestOptions } from './ServingPorts.js';

/** A caller's request on its way to one server, with what came back so far. */
export interface SentCall {
  connection?: BackendConnection;
  head?: AnswerHead;
  marks?: ResponseMetadata;
  readonly sentMs: number;
  readonly server: BackendServer;
}

/** Told whether a server was reached. */
export interface ReachEvents {
  onConnected(connection: BackendConnection): void;
  /** Nothing was sent. */
  onUnreachable(reason: string): void;
}

/** What a call adds to the caller's request beside its time and its team. */
export type SentCallOptions = Omit<BackendRequestOptions, 'deadlineMs' | 'server' | 'teamId'>;

/**
 * Gets a connection to a server, and notes a server that is not reached.
 *
 * @param context - what all requests share
 * @param start - the caller's request
 * @param server - the server
 * @param events - told the outcome
 */
export function reachServer(
  context: ServingContext,
  start: CallStart,
  server: BackendServer,
  events: ReachEvents,
): void {
  const { clock, connections, health, log } = context;
  const { serverId } = server;
  connections.acquire(server, {
    onConnectFailed: (reason) => {
      health.note(serverId, 'unreachable', 0, clock.nowMs());
      log.warn('server-unreachable', { reason, requestId: start.call.requestId, serverId });
      events.onUnreachable(reason);
    },
    onConnected: (connection) => {
      events.onConnected(connection);
    },
  });
}

/**
 * Sends a caller's request on a connection. Answers of other requests are skipped.
 *
 * @param context - what all requests share
 * @param start - the caller's request
 * @param sent - takes the connection, and the head of the answer when it comes
 * @param connection - a connection to its server
 * @param options - what is added to the request
 * @param events - told the body and the end of the answer
 */
export function sendCall(
  context: ServingContext,
  start: CallStart,
  sent: SentCall,
  connection: BackendConnection,
  options: SentCallOptions,
  events: Pick<ExchangeEvents, 'onBody' | 'onBroken' | 'onEnd'>,
): void {
  const { clock, protocol } = context;
  const { body, call, team } = start;
  sent.connection = connection;
  const headers = protocol.requestHeaders(call, {
    ...options,
    deadlineMs: timeLeftMs(start, clock.nowMs()),
    server: sent.server,
    teamId: team?.teamId,
  });
  connection.send(
    { body, headers, method: call.method, path: call.path },
    {
      ...events,
      accepts: (head) => protocol.parseResponseMetadata(head.headers).requestId === call.requestId,
      onHead: (head) => {
        sent.head = head;
        sent.marks = protocol.parseResponseMetadata(head.headers);
        connection.keepAliveMs = sent.marks.keepAliveMs;
      },
    },
  );
}

/** Notes how a call ended for the server's health. */
export function noteOutcome(
  { clock, health }: ServingContext,
  { sentMs, server }: SentCall,
  outcome: 'answered' | 'failed',
): void {
  const nowMs = clock.nowMs();
  health.note(server.serverId, outcome, nowMs - sentMs, nowMs);
}
