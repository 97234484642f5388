import type { LeaseId, StoreChange, StoredValue, StoreWrite } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { fromBase64, toBase64 } from '@laburnumgap/key-value';
import type { z } from 'zod';
import type { txnSchema } from './PlatformStandinSchema.js';

/**
 * Converts an operation of a transaction from the gateway's JSON.
 *
 * @param operation - the put or delete as the gateway receives it
 * @returns the write for the store
 */
export function toStoreWrite(operation: z.infer<typeof txnSchema>['success'][number]): StoreWrite {
  if ('request_delete_range' in operation) {
    return { key: fromBase64(operation.request_delete_range.key), kind: 'delete' };
  }
  const { key, lease, value } = operation.request_put;
  const leaseId = lease === '0' ? undefined : toId<LeaseId>(lease);
  return { key: fromBase64(key), kind: 'put', leaseId, value: fromBase64(value) };
}

/**
 * Converts a stored value to the gateway's JSON.
 *
 * @param value - the stored value
 * @returns the key-value object of a range answer
 */
export function toKeyValue(value: StoredValue): object {
  return {
    key: toBase64(value.key),
    lease: value.leaseId,
    mod_revision: String(value.modRevision),
    value: toBase64(value.value),
  };
}

/**
 * Converts a change to an event of a watch in the gateway's JSON.
 *
 * @param change - the change
 * @returns the event
 */
export function toWatchEvent(change: StoreChange): object {
  const key = toBase64(change.key);
  const revision = String(change.modRevision);
  if (change.value === undefined) {
    return { kv: { key, mod_revision: revision }, type: 'DELETE' };
  }
  return { kv: { key, mod_revision: revision, value: toBase64(change.value) } };
}

/**
 * Creates the key filter of a range or watch.
 *
 * @param key - first key, in base64
 * @param rangeEnd - first key after the range, in base64; the key `\0` means no upper bound, and
 *   without a range end the range is the one key
 * @returns a predicate that tells whether a key is in the range
 */
export function keyFilter(key: string, rangeEnd: string | undefined): (key: string) => boolean {
  const start = fromBase64(key);
  const end = rangeEnd === undefined ? undefined : fromBase64(rangeEnd);
  if (end === undefined || end === '') {
    return (candidate) => candidate === start;
  }
  return (candidate) => candidate >= start && (end === '\0' || candidate < end);
}
