import type { LeaseId, Revision, StoreChange, StoredValue } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';

/** Key-value pair of the etcd JSON gateway, which omits fields that hold their zero value. */
export interface EtcdKeyValue {
  readonly key: string;
  readonly lease?: string;
  readonly mod_revision?: string;
  readonly value?: string;
}

/** Event of a watch. */
export interface EtcdEvent {
  readonly kv: EtcdKeyValue;
  readonly type?: 'DELETE' | 'PUT';
}

/** Header of every response. */
export interface EtcdHeader {
  readonly revision?: string;
}

/** Error body of the gateway. */
export interface EtcdErrorBody {
  readonly code?: number;
  readonly message?: string;
}

/** Response of a range request. */
export interface EtcdRangeResponse {
  readonly header?: EtcdHeader;
  readonly kvs?: readonly EtcdKeyValue[];
}

/** Response of a transaction. */
export interface EtcdTxnResponse {
  readonly header?: EtcdHeader;
  readonly succeeded?: boolean;
}

/** Response of a lease request. */
export interface EtcdLeaseResponse {
  readonly ID?: string;
  readonly TTL?: string;
}

/** One line of the response body of a watch, which is newline-delimited JSON. */
export interface EtcdWatchLine {
  readonly error?: EtcdErrorBody;
  readonly result?: {
    readonly cancel_reason?: string;
    readonly canceled?: boolean;
    readonly compact_revision?: string;
    readonly created?: boolean;
    readonly events?: readonly EtcdEvent[];
    readonly header?: EtcdHeader;
  };
}

/** gRPC status codes in error bodies of the gateway. */
export const GRPC_STATUS = {
  invalidArgument: 3,
  notFound: 5,
  outOfRange: 11,
  resourceExhausted: 8,
  unavailable: 14,
} as const;

/** Message of an `unavailable` error that etcd returns before it proposes a write. */
export const NO_LEADER_MESSAGE = 'etcdserver: no leader';

/**
 * Encodes text as base64, which the gateway uses for keys and values.
 *
 * @param text - the text
 * @returns its UTF-8 bytes in base64
 */
export function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/**
 * Decodes base64.
 *
 * @param encoded - base64 of UTF-8 bytes
 * @returns the text
 */
export function fromBase64(encoded: string): string {
  return Buffer.from(encoded, 'base64').toString('utf8');
}

/**
 * Computes the exclusive end of the key range that a prefix covers.
 *
 * @param prefix - a non-empty ASCII prefix
 * @returns the first key after the range
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/**
 * Parses a revision of the gateway.
 *
 * @param text - decimal digits; undefined means 0
 * @returns the revision
 */
export function parseRevision(text: string | undefined): Revision {
  return toNumberId<Revision>(Number(text ?? 0));
}

/**
 * Converts a key-value pair of the gateway.
 *
 * @param kv - the key-value pair
 * @returns the stored value
 */
export function toStoredValue(kv: EtcdKeyValue): StoredValue {
  const leaseId = kv.lease === undefined || kv.lease === '0' ? undefined : toId<LeaseId>(kv.lease);
  return {
    key: fromBase64(kv.key),
    leaseId,
    modRevision: parseRevision(kv.mod_revision),
    value: fromBase64(kv.value ?? ''),
  };
}

/**
 * Converts an event of a watch.
 *
 * @param event - the event as received
 * @returns the change; without a value for a deleted key
 */
export function toStoreChange(event: EtcdEvent): StoreChange {
  const key = fromBase64(event.kv.key);
  const modRevision = parseRevision(event.kv.mod_revision);
  if (event.type === 'DELETE') {
    return { key, modRevision };
  }
  return { key, modRevision, value: fromBase64(event.kv.value ?? '') };
}
