import type { EngineId, Incarnation, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { z } from 'zod';

/** Key prefix of the records that name the member with authority over an engine. */
export const AUTHORITY_PREFIX = '/laburnum/authority/engines/';

/**
 * The member process that may send orders to an engine. The revision of the record's last change is
 * the fencing number.
 */
export interface AuthorityRecord {
  readonly incarnation: Incarnation;
  readonly memberId: MemberId;
}

const recordSchema = z.object({
  incarnation: z.string().min(1),
  memberId: z.string().min(1),
});

/**
 * Returns the key of an engine's authority record.
 *
 * @param engineId - the engine
 * @returns the key
 */
export function authorityKey(engineId: EngineId): string {
  return `${AUTHORITY_PREFIX}${engineId}`;
}

/**
 * Encodes a record as the value of its key.
 *
 * @param record - the record
 * @returns the JSON text
 */
export function encodeAuthorityRecord(record: AuthorityRecord): string {
  return JSON.stringify({ incarnation: record.incarnation, memberId: record.memberId });
}

/**
 * Decodes a record. A malformed one counts as held by an unknown member.
 *
 * @param value - the JSON text
 * @returns the record
 */
export function decodeAuthorityRecord(value: string): AuthorityRecord {
  const checked = recordSchema.safeParse(parseJson(value));
  const { incarnation, memberId } = checked.data ?? { incarnation: '', memberId: '' };
  return { incarnation: toId(incarnation), memberId: toId(memberId) };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
