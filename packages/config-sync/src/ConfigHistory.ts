import { z } from 'zod';

/** Number of versions kept for each contract. */
export const KEPT_VERSIONS = 20;

const versionSchema = z.strictObject({
  /** When it was accepted, by the operator's clock. */
  acceptedAtEpochMs: z.number(),
  /** Unique to the change, so that a lost answer can be settled by reading back. */
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
 * Reads a stored history. Content that cannot be read counts as no history.
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
 * Adds a version and drops the oldest ones beyond the bounds in number and size.
 *
 * @param history - the versions so far
 * @param version - the new version
 * @returns the text to store
 */
export function appendVersion(history: ContractHistory, version: ContractVersion): string {
  const versions = [...history.versions, version].slice(-KEPT_VERSIONS);
  while (versions.length > 1 && JSON.stringify({ versions }).length > MAX_HISTORY_CHARACTERS) {
    versions.shift();
  }
  return JSON.stringify({ versions });
}
