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
export type ContractHistory = z.infer<typeof historySchema>;

const MAX_HISTORY_CHARACTERS = 512 * 1024;

/**
 * Parses a stored history. Invalid content counts as an empty history.
 *
 * @param text - the stored text, if any
 * @returns the history
 */
export function parseHistory(text: string | undefined): ContractHistory {
  try {
    const parsed = historySchema.safeParse(JSON.parse(text ?? ''));
    return parsed.success ? parsed.data : { versions: [] };
  } catch {
    return { versions: [] };
  }
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
  while (versions.length > 1 && JSON.stringify({ versions }).length > MAX_HISTORY_CHARACTERS) {
    versions.shift();
  }
  return JSON.stringify({ versions });
}
