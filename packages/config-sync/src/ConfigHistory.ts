import type { Revision } from '@laburnumgap/kernel';
import { z } from 'zod';

/** Maximum number of versions kept for each contract. */
export const MAX_KEPT_VERSIONS = 20;

const versionSchema = z.strictObject({
  /** Time of acceptance by the operator's clock. */
  acceptedAtEpochMs: z.number(),
  /** Unique id of the change; it shows whether a commit without a response took effect. */
  changeId: z.string(),
  operator: z.string(),
  /** Revision that this version replaced; 0 for the first one. */
  replacedRevision: z.number().int().min(0),
  text: z.string(),
});

const historySchema = z.strictObject({ versions: z.array(versionSchema) });

/** One accepted version of a contract. */
export type ContractVersion = z.infer<typeof versionSchema>;

/** The kept versions of one contract, oldest first. */
export interface ContractHistory {
  /** The stored text if it is not a history; its versions are unknown. */
  readonly unreadableText?: string;
  readonly versions: readonly ContractVersion[];
}

const MAX_HISTORY_BYTES = 512 * 1024;

/**
 * Parses a stored history.
 *
 * @param text - the stored text, if any
 * @returns the history; empty without a text, and with `unreadableText` if the text is not valid
 */
export function parseHistory(text: string | undefined): ContractHistory {
  if (text === undefined) {
    return { versions: [] };
  }
  try {
    const parsed = historySchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : { unreadableText: text, versions: [] };
  } catch {
    return { unreadableText: text, versions: [] };
  }
}

/**
 * Key under which an unreadable history is preserved when a new one replaces it.
 *
 * @param historyKey - key of the history
 * @param revision - revision of the unreadable text
 * @returns the key
 */
export function unreadableHistoryKey(historyKey: string, revision: Revision): string {
  return `${historyKey}/unreadable/${revision}`;
}

/**
 * Appends a version and drops the oldest ones beyond the limits on number and size.
 *
 * @param history - the versions so far
 * @param version - the new version
 * @returns the text to store
 */
export function appendVersion(history: ContractHistory, version: ContractVersion): string {
  const versions = [...history.versions, version].slice(-MAX_KEPT_VERSIONS);
  while (
    versions.length > 1 &&
    Buffer.byteLength(JSON.stringify({ versions })) > MAX_HISTORY_BYTES
  ) {
    versions.shift();
  }
  return JSON.stringify({ versions });
}
