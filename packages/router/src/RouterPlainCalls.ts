import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseClaimKey } from '@laburnumgap/claims';
import type { ContractCall } from '@laburnumgap/contracts';
import type { IdempotencyKey, Refusal, Result, TeamId } from '@laburnumgap/kernel';
import { failure, refusal, success, toId } from '@laburnumgap/kernel';
import type { PlainAnswer, PlainCall, PlainCallTarget } from '@laburnumgap/plain-calls';
import {
  MAX_REQUEST_BODY_BYTES,
  forwardedRequestHeaders,
  hashPlainCall,
  matchPlainCall,
  parsePlainCallTarget,
} from '@laburnumgap/plain-calls';
import type { PlainCallOutcome, PlainCallsAtMostOnce } from './RouterPlainCallsAtMostOnce.js';
import type { PlainCallsIdempotent } from './RouterPlainCallsIdempotent.js';
import type { RouterQuota } from './RouterQuota.js';
import type { RequestHandler, RouterExchange } from './RouterRequestHandler.js';

/** Options of {@link createPlainCallHandler}. */
export interface PlainCallHandlerOptions {
  readonly atMostOnce: Pick<PlainCallsAtMostOnce, 'run'>;
  readonly idempotent: Pick<PlainCallsIdempotent, 'run'>;
  readonly quota: Pick<RouterQuota, 'tryAdmit'>;
}

const BODILESS_STATUSES = new Set([204, 304]);
const SERVICES_PATH_PREFIX = '/services/';

interface MatchedCall {
  readonly contractCall: ContractCall;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly target: PlainCallTarget;
}

/**
 * Creates the handler of plain calls: HTTP calls to services behind the router. Idempotent calls
 * may be repeated; all others need an Idempotency-Key and are sent at most once.
 *
 * @param options - dependencies
 * @returns the handler
 */
export function createPlainCallHandler(options: PlainCallHandlerOptions): RequestHandler {
  return {
    handle: async (exchange) => {
      const matched = matchCall(exchange);
      if (!matched.ok) {
        exchange.refuse(matched.error);
        return;
      }
      const body = await exchange.readBody();
      if (!body.ok) {
        exchange.refuse(body.error);
        return;
      }
      if (body.value.length > MAX_REQUEST_BODY_BYTES) {
        exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the body is too large'));
        return;
      }
      const quotaGrant = options.quota.tryAdmit(exchange.contract.contract, 0);
      if (!quotaGrant.ok) {
        exchange.refuse(quotaGrant.error);
        return;
      }
      try {
        const outcome = await runCall(options, exchange, matched.value, body.value);
        writeOutcome(exchange, outcome);
      } finally {
        quotaGrant.value.release();
      }
    },
    matches: (request) => request.url?.startsWith(SERVICES_PATH_PREFIX) ?? false,
    name: 'plainCalls',
  };
}

function matchCall(exchange: RouterExchange): Result<MatchedCall, Refusal> {
  const { contract, request } = exchange;
  const target = parsePlainCallTarget(request.url ?? '');
  if (target === undefined) {
    return failure(refusal('MALFORMED_REQUEST', 'expected /services/SERVICE/PATH'));
  }
  const contractCall = matchPlainCall(contract.contract, request.method ?? '', target);
  if (contractCall === undefined) {
    return failure(refusal('UNKNOWN_SERVICE', 'the contract names no such call'));
  }
  if (contractCall.idempotent) {
    return success({ contractCall, idempotencyKey: undefined, target });
  }
  const key = readIdempotencyKey(request);
  return key.ok ? success({ contractCall, idempotencyKey: key.value, target }) : key;
}

function readIdempotencyKey(request: IncomingMessage): Result<IdempotencyKey, Refusal> {
  const values = request.headersDistinct['idempotency-key'] ?? [];
  const [text, ...otherValues] = values;
  if (text === undefined) {
    return failure(
      refusal('IDEMPOTENCY_KEY_MISSING', 'send Idempotency-Key: a UUIDv7 created for this call'),
    );
  }
  const key = parseClaimKey(text);
  if (!key.ok || otherValues.length > 0) {
    return failure(refusal('IDEMPOTENCY_KEY_INVALID', 'expected one UUIDv7'));
  }
  return success(key.value.idempotencyKey);
}

function runCall(
  options: PlainCallHandlerOptions,
  exchange: RouterExchange,
  matched: MatchedCall,
  body: Buffer,
): Promise<PlainCallOutcome> {
  const { contract, request, requestId, response } = exchange;
  const { contractCall, idempotencyKey, target } = matched;
  const { method, timeoutMs } = contractCall;
  const teamId = toId<TeamId>(contract.contract.team);
  const headers: Record<string, string> = {
    ...forwardedRequestHeaders(request.headers),
    'x-request-id': requestId,
  };
  const call: PlainCall = { body, headers, method, path: target.path };
  const { service } = target;
  if (idempotencyKey === undefined) {
    const isLookup = method === 'GET';
    const name = `${service} ${method} ${contractCall.path}`;
    return options.idempotent.run({ call, isLookup, name, requestId, service, teamId, timeoutMs });
  }
  const callHash = hashPlainCall({ body, method, path: target.path, service });
  const isCallerDisconnected = () => response.destroyed || request.socket.destroyed;
  // Requests an unencoded answer: it is replayed to later callers, whatever encodings they accept.
  delete headers['accept-encoding'];
  return options.atMostOnce.run({
    call: { ...call, headers: { ...headers, 'idempotency-key': idempotencyKey } },
    callHash,
    idempotencyKey,
    isCallerDisconnected,
    requestId,
    service,
    teamId,
    timeoutMs,
  });
}

function writeOutcome(exchange: RouterExchange, outcome: PlainCallOutcome): void {
  if (outcome.kind === 'refusal') {
    exchange.refuse(outcome.refusal);
    return;
  }
  writeAnswer(exchange.response, outcome.answer, exchange.requestId);
}

function writeAnswer(response: ServerResponse, answer: PlainAnswer, requestId: string): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  for (const [name, value] of Object.entries(answer.headers)) {
    response.setHeader(name, value);
  }
  if (answer.body.length > 0 || !BODILESS_STATUSES.has(answer.status)) {
    response.setHeader('content-length', answer.body.length);
  }
  response.setHeader('x-request-id', requestId);
  response.writeHead(answer.status);
  response.end(answer.body);
}
