import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { ConfigurationView, ContractInForce } from '@laburnumgap/contracts';
import type { Refusal, RequestId, Result } from '@laburnumgap/kernel';
import { failure, refusal, success, toId } from '@laburnumgap/kernel';
import { v7 } from 'uuid';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
const REQUEST_ID = /^[A-Za-z0-9._:-]{1,128}$/;

/**
 * Finds the contract of a request's API key by the key's hash. The key itself is not stored.
 *
 * @param headers - the request's headers
 * @param configuration - the contracts in force
 * @returns the contract, or a refusal for a missing, unknown or revoked key
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  configuration: ConfigurationView,
): Result<ContractInForce, Refusal> {
  if (headers.authorization === undefined) {
    return failure(refusal('KEY_MISSING', 'send Authorization: Bearer KEY'));
  }
  const key = BEARER.exec(headers.authorization)?.[1];
  if (key === undefined) {
    return failure(refusal('KEY_REJECTED', 'the Authorization header is not a bearer key'));
  }
  const found = configuration.contractOfKey(createHash('sha256').update(key).digest('hex'));
  if (typeof found === 'string') {
    return failure(refusal('KEY_REJECTED', `the key is ${found}`));
  }
  return success(found);
}

/** A request id and whether the caller sent it. */
export interface RequestIdentity {
  readonly isFromCaller: boolean;
  readonly requestId: RequestId;
}

/**
 * Reads the request id from X-Request-Id, or creates one.
 *
 * @param headers - the request's headers
 * @returns the id, or undefined when the header is malformed
 */
export function readRequestId(headers: IncomingHttpHeaders): RequestIdentity | undefined {
  const given = headers['x-request-id'];
  if (given === undefined) {
    return { isFromCaller: false, requestId: toId(v7()) };
  }
  if (typeof given !== 'string' || !REQUEST_ID.test(given)) {
    return undefined;
  }
  return { isFromCaller: true, requestId: toId(given) };
}
