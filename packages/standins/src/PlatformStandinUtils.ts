import type { LeaseId, StoreChange, StoredValue, StoreWrite } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { fromBase64, toBase64 } from '@laburnumgap/key-value';
import type { z } from 'zod';
import type { txnSchema } from './PlatformStandinSchema.js';

/**
 * Reads a write of a transaction.
 *
 * @param op - the write as the gateway takes it
 * @returns the write
 */
export function toStoreWrite(op: z.infer<typeof txnSchema>['success'][number]): StoreWrite {
  if ('request_delete_range' in op) {
    return { key: fromBase64(op.request_delete_range.key), kind: 'delete' };
  }
  const { key, lease, value } = op.request_put;
  const leaseId = lease === '0' ? undefined : toId<LeaseId>(lease);
  return { key: fromBase64(key), kind: 'put', leaseId, value: fromBase64(value) };
}

/**
 * Writes a stored value.
 *
 * @param value - the value
 * @returns the key and value as the gateway gives them
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
 * Writes a change as an event of a watch.
 *
 * @param change - the change
 * @returns the event
 */
export function toEvent(change: StoreChange): object {
  const key = toBase64(change.key);
  const revision = String(change.modRevision);
  if (change.value === undefined) {
    return { kv: { key, mod_revision: revision }, type: 'DELETE' };
  }
  return { kv: { key, mod_revision: revision, value: toBase64(change.value) } };
}

/**
 * Reads the keys that a range or watch is about.
 *
 * @param key - first key, in base64
 * @param rangeEnd - first key after the range, in base64; without it, the range is one key
 * @returns whether a key is in the range
 */
export function keyFilter(key: string, rangeEnd: string | undefined): (key: string) => boolean {
  const start = fromBase64(key);
  const end = rangeEnd === undefined ? undefined : fromBase64(rangeEnd);
  if (end === undefined || end === '') {
    return (candidate) => candidate === start;
  }
  return (candidate) => candidate >= start && (end === '\0' || candidate < end);
}
