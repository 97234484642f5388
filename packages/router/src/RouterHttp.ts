import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ConfigurationView, ContractInForce } from '@laburnumgap/contracts';
import type { HttpHandler } from '@laburnumgap/daemon';
import type { DecisionSink, PluginRegistry, Refusal, RequestId } from '@laburnumgap/kernel';
import { InvariantError, RESULT_CODES, refusal, toId } from '@laburnumgap/kernel';
import type { Log, Metrics } from '@laburnumgap/telemetry';
import type { RequestIdentity } from './RouterAuthentication.js';
import { authenticate, readRequestId } from './RouterAuthentication.js';
import { DRAINING_RETRY_MS, STARTING_RETRY_MS } from './RouterConstants.js';
import { writeRefusal } from './RouterRefusals.js';
import { readRequestBody } from './RouterRequestBody.js';
import type { RequestHandler, RouterExchange } from './RouterRequestHandler.js';
import type { Timers } from './RouterTimers.js';

/** Options of {@link createRouterHttp}. */
export interface RouterHttpOptions {
  readonly bodyTimeoutMs: number;
  readonly configuration: ConfigurationView;
  readonly decisions: DecisionSink;
  readonly handlers: PluginRegistry<RequestHandler>;
  readonly isDraining: () => boolean;
  /** Whether the contracts have not been read yet. */
  readonly isStarting: () => boolean;
  readonly log: Log;
  readonly maxBodyBytes: number;
  readonly metrics: Metrics;
  readonly timers: Timers;
}

/**
 * Creates the HTTP handler for callers: reads or creates the request id, authenticates the request
 * and passes it to the first request handler that matches.
 *
 * @param options - settings and dependencies
 * @returns the handler
 */
export function createRouterHttp(options: RouterHttpOptions): HttpHandler {
  const { configuration, handlers, isDraining, log } = options;

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const identity = readRequestId(request.headers);
    const refuse = createRefuse(options, response, identity);
    if (!identity) {
      refuse(refusal('MALFORMED_REQUEST', 'X-Request-Id must be 1 to 128 of A-Z a-z 0-9 . _ : -'));
      return;
    }
    if (options.isStarting()) {
      refuse(refusal('STARTING', 'this router does not know the contracts yet', STARTING_RETRY_MS));
      return;
    }
    const contract = authenticate(request.headers, configuration);
    if (!contract.ok) {
      refuse(contract.error);
      return;
    }
    const handler = findHandler(handlers, request);
    if (!handler) {
      refuse(refusal('UNKNOWN_PATH', 'no such path, or the method is not supported on it'));
      return;
    }
    if (isDraining()) {
      refuse(refusal('DRAINING', 'this router is shutting down', DRAINING_RETRY_MS));
      return;
    }
    const exchange = createExchange(options, {
      contract: contract.value,
      identity,
      request,
      response,
    });
    await handler.handle({ ...exchange, refuse });
  };

  return (request, response) => {
    response.on('error', () => undefined);
    serve(request, response).catch((error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log.error('requestFailed', { detail });
      const internalDetail =
        error instanceof InvariantError ? `invariant ${error.invariantCode}` : 'error';
      createRefuse(
        options,
        response,
        readRequestId(request.headers),
      )(refusal('INTERNAL', internalDetail));
      if (!response.writableEnded) {
        response.destroy();
      }
    });
  };
}

interface ExchangeParts {
  readonly contract: ContractInForce;
  readonly identity: RequestIdentity;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

function createExchange(
  options: RouterHttpOptions,
  parts: ExchangeParts,
): Omit<RouterExchange, 'refuse'> {
  const { contract, identity, request, response } = parts;
  const { bodyTimeoutMs, maxBodyBytes, timers } = options;
  return {
    contract,
    isRequestIdFromCaller: identity.isFromCaller,
    readBody: () =>
      readRequestBody(request, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, timers }),
    request,
    requestId: identity.requestId,
    response,
  };
}

function findHandler(
  handlers: PluginRegistry<RequestHandler>,
  request: IncomingMessage,
): RequestHandler | undefined {
  for (const name of handlers.names()) {
    const handler = handlers.find(name);
    if (handler?.matches(request)) {
      return handler;
    }
  }
  return undefined;
}

function createRefuse(
  options: RouterHttpOptions,
  response: ServerResponse,
  identity: RequestIdentity | undefined,
): (cause: Refusal) => void {
  const requestId = identity?.requestId ?? toId<RequestId>('malformed');
  return (cause) => {
    const { code } = RESULT_CODES[cause.code];
    options.metrics.increment('refusals', 1, { code: String(code) });
    options.decisions.record({
      decision: 'refuse',
      fields: {
        code,
        detail: cause.detail,
        name: cause.code,
        retryAfterMs: cause.retryAfterMs,
      },
      requestId,
    });
    writeRefusal(response, cause, requestId);
  };
}
