import type { Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { ConfigBatch__Output } from '@laburnumgap/rpc';
import { z } from 'zod';
import type { ConfigChange } from './ConfigState.js';

const MAX_BATCH_ENTRIES = 100_000;

const batchSchema = z.object({
  ageMs: z.number(),
  entries: z
    .array(
      z.object({
        deleted: z.literal(false),
        key: z.string().min(1),
        modRevision: z.number().int().positive(),
        value: z.string(),
      }),
    )
    .max(MAX_BATCH_ENTRIES),
  revision: z.number().int().min(0),
});

/** Documents of a peer's message, or the reason why it was rejected. */
export interface ParsedBatch {
  readonly changes: readonly ConfigChange[];
  readonly detail?: string;
}

/**
 * Validates the structure of a peer's message. The documents are validated when they are applied.
 *
 * @param batch - the message
 * @returns its documents, or none and the reason for the rejection
 */
export function parseBatch(batch: ConfigBatch__Output): ParsedBatch {
  const checked = batchSchema.safeParse(batch);
  if (!checked.success) {
    const detail = checked.error.issues.map((issue) => issue.message).join('; ');
    return { changes: [], detail };
  }
  return {
    changes: checked.data.entries.map(({ key, modRevision, value }) => ({
      key,
      modRevision: toNumberId<Revision>(modRevision),
      value,
    })),
  };
}
