import type {
  GrantedLease,
  LeaseId,
  PlatformStore,
  RandomSource,
  Result,
  Revision,
  StoreCommit,
  StoreError,
  StoreWrite,
} from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import { PlatformHttpClient } from './PlatformHttpClient.js';
import type {
  EtcdErrorBody,
  EtcdLeaseResponse,
  EtcdRangeResponse,
  EtcdTxnResponse,
} from './PlatformEtcdSchema.js';
import {
  GRPC_STATUS,
  NO_LEADER_MESSAGE,
  prefixEnd,
  toBase64,
  parseRevision,
  toStoredValue,
} from './PlatformEtcdSchema.js';
import { openEtcdWatch } from './PlatformEtcdWatch.js';
import type { HttpCallOutcome } from './PlatformHttpCall.js';
import { MAX_VALUE_BYTES } from './PlatformStoreState.js';

/** Options of {@link createEtcdStore}. */
export interface EtcdStoreOptions {
  readonly connectTimeoutMs?: number;
  /** Timeout of one call. */
  readonly deadlineMs?: number;
  readonly maxConnections?: number;
  readonly random?: RandomSource;
  /** Base URL of the JSON gateway. */
  readonly url: string;
  /**
   * A watch that receives no bytes for this long counts as dead and ends. Each wait is shortened by
   * a random part of up to half, so that clients do not reopen their watches at the same time.
   */
  readonly watchIdleLimitMs?: number;
}

/** Whether a call writes; without a response the outcome of a write is unknown. */
type CallEffect = 'read' | 'write';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_DEADLINE_MS = 2000;
const DEFAULT_MAX_CONNECTIONS = 32;
const DEFAULT_WATCH_IDLE_LIMIT_MS = 5000;
const HTTP_OK = 200;
const MS_PER_SECOND = 1000;

/**
 * Creates a client of the platform's key-value service, which speaks the etcd v3 JSON gateway API.
 *
 * @param options - URL, timeouts and limits
 * @returns the store
 */
export function createEtcdStore(options: EtcdStoreOptions): PlatformStore {
  const httpClient = new PlatformHttpClient({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    deadlineMs: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
    maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    url: options.url,
  });
  const post = async <Body>(
    path: string,
    effect: CallEffect,
    body: unknown,
  ): Promise<Result<Body, StoreError>> => {
    const outcome = await httpClient.call({ body: JSON.stringify(body), method: 'POST', path });
    return parseResponse<Body>(outcome, effect);
  };
  return {
    close: () => httpClient.close(),
    commit: (commit) => commitTransaction(post, commit),
    grantLease: async (ttlMs) => {
      const seconds = Math.max(1, Math.ceil(ttlMs / MS_PER_SECOND));
      const response = await post<EtcdLeaseResponse>('/v3/lease/grant', 'write', { TTL: seconds });
      return response.ok ? parseGrantedLease(response.value) : response;
    },
    keepAlive: async (leaseId) => {
      const response = await post<{ readonly result?: EtcdLeaseResponse }>(
        '/v3/lease/keepalive',
        'write',
        { ID: leaseId },
      );
      return response.ok ? parseGrantedLease(response.value.result ?? {}) : response;
    },
    range: async (prefix) => {
      const response = await post<EtcdRangeResponse>('/v3/kv/range', 'read', {
        key: toBase64(prefix),
        range_end: toBase64(prefixEnd(prefix)),
      });
      if (!response.ok) {
        return response;
      }
      const values = (response.value.kvs ?? []).map(toStoredValue);
      return success({ revision: parseRevision(response.value.header?.revision), values });
    },
    read: async (key) => {
      const response = await post<EtcdRangeResponse>('/v3/kv/range', 'read', {
        key: toBase64(key),
      });
      if (!response.ok) {
        return response;
      }
      const kv = response.value.kvs?.[0];
      return success(kv ? toStoredValue(kv) : undefined);
    },
    revokeLease: async (leaseId) => {
      const response = await post('/v3/lease/revoke', 'write', { ID: leaseId });
      return response.ok ? success(undefined) : response;
    },
    watch: (prefix, afterRevision, onEvent) =>
      openEtcdWatch({
        afterRevision,
        httpClient,
        idleLimitMs: options.watchIdleLimitMs ?? DEFAULT_WATCH_IDLE_LIMIT_MS,
        onEvent,
        prefix,
        random: options.random ?? { nextUnit: Math.random },
      }),
  };
}

type PostCall = <Body>(
  path: string,
  effect: CallEffect,
  body: unknown,
) => Promise<Result<Body, StoreError>>;

async function commitTransaction(
  post: PostCall,
  commit: StoreCommit,
): Promise<Result<Revision, StoreError>> {
  for (const write of commit.writes) {
    if (write.kind === 'put' && Buffer.byteLength(write.value) > MAX_VALUE_BYTES) {
      return failure({ detail: 'the value exceeds the size limit', kind: 'unavailable' });
    }
  }
  const response = await post<EtcdTxnResponse>('/v3/kv/txn', 'write', {
    compare: commit.guards.map((guard) => ({
      key: toBase64(guard.key),
      mod_revision: String(guard.modRevision),
      result: 'EQUAL',
      target: 'MOD',
    })),
    success: commit.writes.map(toRequestOp),
  });
  if (!response.ok) {
    return response;
  }
  const revision = parseRevision(response.value.header?.revision);
  return response.value.succeeded === true
    ? success(revision)
    : failure({ kind: 'conflict', revision });
}

function toRequestOp(write: StoreWrite): object {
  if (write.kind === 'delete') {
    return { request_delete_range: { key: toBase64(write.key) } };
  }
  const { key, leaseId, value } = write;
  return { request_put: { key: toBase64(key), lease: leaseId ?? '0', value: toBase64(value) } };
}

function parseGrantedLease(response: EtcdLeaseResponse): Result<GrantedLease, StoreError> {
  const ttlMs = Number(response.TTL ?? 0) * MS_PER_SECOND;
  if (response.ID === undefined || ttlMs <= 0) {
    return failure({ kind: 'leaseNotFound' });
  }
  return success({ leaseId: toId<LeaseId>(response.ID), ttlMs });
}

function parseResponse<Body>(
  outcome: HttpCallOutcome,
  effect: CallEffect,
): Result<Body, StoreError> {
  if (outcome.kind === 'notSent') {
    return failure({ detail: outcome.detail, kind: 'unavailable' });
  }
  if (outcome.kind === 'noAnswer') {
    return failure(noResponseError(outcome.detail, effect));
  }
  const body = parseFirstJsonLine(outcome.text);
  if (outcome.status === HTTP_OK) {
    return body === undefined
      ? failure(noResponseError('the response is not JSON', effect))
      : success(body as Body);
  }
  return failure(classifyError(outcome.status, (body ?? {}) as EtcdErrorBody, effect));
}

function classifyError(status: number, body: EtcdErrorBody, effect: CallEffect): StoreError {
  const detail = body.message ?? `HTTP status ${status}`;
  switch (body.code) {
    case GRPC_STATUS.notFound:
      return { kind: 'leaseNotFound' };
    case GRPC_STATUS.invalidArgument:
    case GRPC_STATUS.resourceExhausted:
      return { detail, kind: 'unavailable' };
    case GRPC_STATUS.unavailable:
      // etcd returns only this message before it proposes a write; others may come after the proposal.
      return detail === NO_LEADER_MESSAGE
        ? { detail, kind: 'unavailable' }
        : noResponseError(detail, effect);
    default:
      return noResponseError(detail, effect);
  }
}

function noResponseError(detail: string, effect: CallEffect): StoreError {
  return { detail, kind: effect === 'write' ? 'outcomeUnknown' : 'unavailable' };
}

function parseFirstJsonLine(text: string): object | undefined {
  // A keepalive response is a stream of JSON lines; only the first one is needed.
  const line = text.split('\n', 1)[0] ?? '';
  try {
    const value: unknown = JSON.parse(line === '' ? text : line);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
