import type { EngineId, Incarnation, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { z } from 'zod';

/** Prefix of the records that say who may order an engine. */
export const AUTHORITY_PREFIX = '/laburnum/authority/engines/';

/** Who may order an engine. The revision of its last change is the fencing number. */
export interface AuthorityRecord {
  readonly incarnation: Incarnation;
  readonly memberId: MemberId;
}

const recordSchema = z.object({
  incarnation: z.string().min(1),
  memberId: z.string().min(1),
});

/**
 * Key of an engine's authority record.
 *
 * @param engineId - the engine
 * @returns the key
 */
export function authorityKey(engineId: EngineId): string {
  return `${AUTHORITY_PREFIX}${engineId}`;
}

/**
 * Writes a record as the value of its key.
 *
 * @param record - the record
 * @returns JSON text
 */
export function encodeAuthorityRecord(record: AuthorityRecord): string {
  return JSON.stringify({ incarnation: record.incarnation, memberId: record.memberId });
}

/**
 * Reads a record. One that can't be read counts as held by somebody unknown.
 *
 * @param value - JSON text
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
