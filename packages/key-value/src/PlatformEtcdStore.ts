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
import { PlatformConnections } from './PlatformConnections.js';
import type {
  EtcdErrorBody,
  EtcdLeaseAnswer,
  EtcdRangeAnswer,
  EtcdTxnAnswer,
} from './PlatformEtcdSchema.js';
import {
  GRPC_STATUS,
  NO_LEADER_MESSAGE,
  prefixEnd,
  toBase64,
  toRevision,
  toStoredValue,
} from './PlatformEtcdSchema.js';
import { openEtcdWatch } from './PlatformEtcdWatch.js';
import type { HttpCallOutcome } from './PlatformHttpCall.js';
import { MAX_VALUE_BYTES } from './PlatformStoreState.js';

/** Options of {@link createEtcdStore}. */
export interface EtcdStoreOptions {
  readonly connectTimeoutMs?: number;
  /** Longest wait for the answer of one call. */
  readonly deadlineMs?: number;
  readonly maxConnections?: number;
  readonly random?: RandomSource;
  /** Base URL of the JSON gateway. */
  readonly url: string;
  /**
   * A watch that says nothing for this long is taken to be silent and ends. Each time a share of
   * up to half is taken off at random, so that clients do not reopen their watches together.
   */
  readonly watchIdleLimitMs?: number;
}

/** Whether a call changes anything: decides what a missing answer means. */
type CallEffect = 'read' | 'write';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_DEADLINE_MS = 2000;
const DEFAULT_MAX_CONNECTIONS = 32;
const DEFAULT_WATCH_IDLE_LIMIT_MS = 5000;
const HTTP_OK = 200;
const MS_PER_SECOND = 1000;

/**
 * Creates a client of the platform's key-value service in the etcd v3 JSON gateway form.
 *
 * @param options - URL, deadline and bounds
 * @returns the store
 */
export function createEtcdStore(options: EtcdStoreOptions): PlatformStore {
  const connections = new PlatformConnections({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    deadlineMs: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
    maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    url: options.url,
  });
  const post = async <Answer>(
    path: string,
    effect: CallEffect,
    body: unknown,
  ): Promise<Result<Answer, StoreError>> => {
    const outcome = await connections.call({ body: JSON.stringify(body), method: 'POST', path });
    return readAnswer<Answer>(outcome, effect);
  };
  return {
    close: () => connections.close(),
    commit: (commit) => commitBy(post, commit),
    grantLease: async (ttlMs) => {
      const seconds = Math.max(1, Math.ceil(ttlMs / MS_PER_SECOND));
      const answer = await post<EtcdLeaseAnswer>('/v3/lease/grant', 'write', { TTL: seconds });
      return answer.ok ? toGrantedLease(answer.value) : answer;
    },
    keepAlive: async (leaseId) => {
      const answer = await post<{ readonly result?: EtcdLeaseAnswer }>(
        '/v3/lease/keepalive',
        'write',
        { ID: leaseId },
      );
      return answer.ok ? toGrantedLease(answer.value.result ?? {}) : answer;
    },
    range: async (prefix) => {
      const answer = await post<EtcdRangeAnswer>('/v3/kv/range', 'read', {
        key: toBase64(prefix),
        range_end: toBase64(prefixEnd(prefix)),
      });
      if (!answer.ok) {
        return answer;
      }
      const values = (answer.value.kvs ?? []).map(toStoredValue);
      return success({ revision: toRevision(answer.value.header?.revision), values });
    },
    read: async (key) => {
      const answer = await post<EtcdRangeAnswer>('/v3/kv/range', 'read', { key: toBase64(key) });
      if (!answer.ok) {
        return answer;
      }
      const kv = answer.value.kvs?.[0];
      return success(kv ? toStoredValue(kv) : undefined);
    },
    revokeLease: async (leaseId) => {
      const answer = await post('/v3/lease/revoke', 'write', { ID: leaseId });
      return answer.ok ? success(undefined) : answer;
    },
    watch: (prefix, afterRevision, onEvent) =>
      openEtcdWatch({
        afterRevision,
        connections,
        idleLimitMs: options.watchIdleLimitMs ?? DEFAULT_WATCH_IDLE_LIMIT_MS,
        onEvent,
        prefix,
        random: options.random ?? { nextUnit: Math.random },
      }),
  };
}

type Post = <Answer>(
  path: string,
  effect: CallEffect,
  body: unknown,
) => Promise<Result<Answer, StoreError>>;

async function commitBy(post: Post, commit: StoreCommit): Promise<Result<Revision, StoreError>> {
  for (const write of commit.writes) {
    if (write.kind === 'put' && Buffer.byteLength(write.value) > MAX_VALUE_BYTES) {
      return failure({ detail: 'value is too large', kind: 'unavailable' });
    }
  }
  const answer = await post<EtcdTxnAnswer>('/v3/kv/txn', 'write', {
    compare: commit.guards.map((guard) => ({
      key: toBase64(guard.key),
      mod_revision: String(guard.modRevision),
      result: 'EQUAL',
      target: 'MOD',
    })),
    success: commit.writes.map(toRequestOp),
  });
  if (!answer.ok) {
    return answer;
  }
  const revision = toRevision(answer.value.header?.revision);
  return answer.value.succeeded === true
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

function toGrantedLease(answer: EtcdLeaseAnswer): Result<GrantedLease, StoreError> {
  const ttlMs = Number(answer.TTL ?? 0) * MS_PER_SECOND;
  if (answer.ID === undefined || ttlMs <= 0) {
    return failure({ kind: 'leaseNotFound' });
  }
  return success({ leaseId: toId<LeaseId>(answer.ID), ttlMs });
}

function readAnswer<Answer>(
  outcome: HttpCallOutcome,
  effect: CallEffect,
): Result<Answer, StoreError> {
  if (outcome.kind === 'notSent') {
    return failure({ detail: outcome.detail, kind: 'unavailable' });
  }
  if (outcome.kind === 'noAnswer') {
    return failure(noAnswer(outcome.detail, effect));
  }
  const body = parseJson(outcome.text);
  if (outcome.status === HTTP_OK) {
    return body === undefined
      ? failure(noAnswer('the answer is not JSON', effect))
      : success(body as Answer);
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
      // Only this message is given before a write is proposed; others may follow one.
      return detail === NO_LEADER_MESSAGE
        ? { detail, kind: 'unavailable' }
        : noAnswer(detail, effect);
    default:
      return noAnswer(detail, effect);
  }
}

function noAnswer(detail: string, effect: CallEffect): StoreError {
  return { detail, kind: effect === 'write' ? 'outcomeUnknown' : 'unavailable' };
}

function parseJson(text: string): object | undefined {
  // A keepalive answers as a stream: only its first line matters.
  const line = text.split('\n', 1)[0] ?? '';
  try {
    const value: unknown = JSON.parse(line === '' ? text : line);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
