import type { BackendServer } from '@laburnumgap/dispatch';
import type { FingerprintId, Refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from '../callers/AdmittedCall.js';
import type { PausableSource } from '../buffers/HeldOutput.js';
import type { AttemptProgress } from '../callers/AttemptProgress.js';
import type { BackendConnection, ResponseListener } from './BackendConnection.js';
import { serverDeadlineMs } from '../callers/CallDeadlines.js';
import type { BrokenRequest } from './CrashDetector.js';
import { isNotExecuted } from './ResponseChecks.js';
import type { ResponseHead } from './ResponseParser.js';
import type { RequestUse, ServerAccessListener } from './ServerAccess.js';
import type { ServingContext } from '../ServingContext.js';
import type { BackendRequestOptions, ResponseMetadata } from '../ServingPorts.js';

/** One attempt to run a caller's request at a server, with the response head received so far. */
export interface BackendAttempt {
  connection?: BackendConnection;
  head?: ResponseHead;
  metadata?: ResponseMetadata;
  readonly progress: AttemptProgress;
  readonly sentMs: number;
  readonly server: BackendServer;
  /** The response as a source that can be paused; set when the attempt is sent. */
  source?: PausableSource;
  /** Fingerprints of which the attempt is a trial; set when it is sent. */
  trialOf?: readonly FingerprintId[];
}

/** Receives the outcome of {@link connectToServer}. */
export interface ServerConnectListener {
  onConnected(connection: BackendConnection): void;
  /** The server takes no more requests for now; nothing was sent. */
  onLimited(retryAfterMs: number): void;
  /** Requests like this one crash servers; nothing was sent. */
  onQuarantined(refused: Refusal): void;
  /** The server could not be reached; nothing was sent. */
  onUnreachable(reason: string): void;
}

/** Request options that depend on the attempt; deadline, server and team are added to them. */
export type AttemptOptions = Omit<BackendRequestOptions, 'deadlineMs' | 'server' | 'teamId'>;

/**
 * Acquires a connection to a server, and a permit where the server limits its requests. Asks the
 * quarantine before and after. A failure is logged; one of the connection is also recorded in the
 * server's health.
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
  const { clock, connections, health, log, serverAccess } = context;
  const { serverId } = server;
  const refused = admitted.pass.refusal();
  if (refused) {
    listener.onQuarantined(refused);
    return;
  }
  health.recordTrial(serverId, clock.nowMs());
  const accessListener: ServerAccessListener = {
    onConnectFailed: (reason) => {
      const outcome = reason === 'silent' ? 'silent' : 'unreachable';
      health.recordOutcome(serverId, outcome, 0, clock.nowMs());
      log.warn('server-unreachable', { reason, requestId: admitted.request.requestId, serverId });
      listener.onUnreachable(reason);
    },
    onConnected: (connection) => {
      health.recordConnected(serverId);
      const refusedSince = admitted.pass.refusal();
      if (refusedSince) {
        connections.release(server, connection);
        listener.onQuarantined(refusedSince);
      } else {
        listener.onConnected(connection);
      }
    },
    onLimited: (retryAfterMs, denial) => {
      const { requestId } = admitted.request;
      if (denial === 'evacuated') {
        logEvacuated(context, admitted, server);
      } else {
        log.info('server-limit-reached', { requestId, retryAfterMs, serverId });
      }
      listener.onLimited(retryAfterMs);
    },
  };
  const responseKey = admitted.request.requestId;
  serverAccess.acquire(server, maxPermitWaitMs, accessListener, { responseKey });
}

/**
 * The last check before a caller's request is written; logged where the request has to go elsewhere
 * because of an evacuation.
 *
 * @param context - shared state of the daemon
 * @param admitted - the caller's request
 * @param server - the server
 * @param use - what the request is for
 * @returns whether the request may be sent
 */
export function mayStillReceive(
  context: ServingContext,
  admitted: AdmittedCall,
  server: BackendServer,
  use: RequestUse = 'newRun',
): boolean {
  const { serverAccess } = context;
  if (serverAccess.mayReceive(server, use)) {
    return true;
  }
  if (serverAccess.isEvacuated(server)) {
    logEvacuated(context, admitted, server);
  }
  return false;
}

function logEvacuated(
  { log }: ServingContext,
  { request: { requestId } }: AdmittedCall,
  { failureDomain, serverId }: BackendServer,
): void {
  log.info('request-avoids-evacuated', { failureDomain, requestId, serverId });
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
  listener: Pick<ResponseListener, 'isEndDecided' | 'onBody' | 'onBroken' | 'onEnd'>,
): void {
  const { clock, protocol, serverSignals } = context;
  const { body, pass, request, team } = admitted;
  attempt.connection = connection;
  attempt.trialOf = pass.trialFingerprints();
  pass.recordSend();
  const headers = protocol.requestHeaders(request, {
    ...options,
    deadlineMs: serverDeadlineMs(admitted, clock.nowMs()),
    server: attempt.server,
    teamId: team?.teamId,
  });
  attempt.source = connection.send(
    {
      body,
      headers,
      method: request.method,
      path: request.path,
      responseKey: request.requestId,
    },
    {
      ...listener,
      accepts: (head) =>
        protocol.parseResponseMetadata(head.headers).requestId === request.requestId,
      isEndDecided: () => {
        const { head, metadata } = attempt;
        // Its head says all that is used of it.
        const isRefused = head && metadata && isNotExecuted(head, metadata);
        return isRefused === true || listener.isEndDecided?.() === true;
      },
      onBody: (chunk) => {
        attempt.progress.onBody();
        listener.onBody(chunk);
      },
      onBroken: (reason) => {
        recordBroken(context, admitted, attempt);
        listener.onBroken(reason);
      },
      onHead: (head) => {
        attempt.head = head;
        attempt.metadata = serverSignals.evaluate(attempt.server, head);
        connection.keepAliveMs = attempt.metadata.keepAliveMs;
      },
      onUnconfirmedEnd: () => {
        context.crashDetector.onEnded(attempt.server, brokenRequest(admitted, attempt));
      },
    },
  );
}

/**
 * Reports a response that broke off to the crash detector.
 *
 * @param context - shared state of the daemon
 * @param admitted - the caller's request
 * @param attempt - the attempt that ended
 */
export function recordBroken(
  { crashDetector }: ServingContext,
  admitted: AdmittedCall,
  attempt: BackendAttempt,
): void {
  crashDetector.onBroken(attempt.server, brokenRequest(admitted, attempt));
}

function brokenRequest(
  { pass, request: { requestId } }: AdmittedCall,
  { progress, sentMs, trialOf = [] }: BackendAttempt,
): BrokenRequest {
  const fingerprints = progress.wentOn() ? [] : pass.fingerprints;
  return { fingerprints, requestId, sentMs, trialOf };
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

/**
 * Logs that a response is not passed on to its caller; see `mayPassOn`.
 *
 * @param context - shared state of the daemon
 * @param admitted - the caller's request
 * @param attempt - the attempt with the response
 */
export function logWithheld(
  { log }: ServingContext,
  { request: { requestId } }: AdmittedCall,
  { connection, head, server: { serverId } }: BackendAttempt,
): void {
  log.info('response-withheld', {
    requestId,
    serverId,
    status: head?.status,
    via: connection?.via,
  });
}
