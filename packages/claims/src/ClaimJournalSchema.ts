import { z } from 'zod';
import { parseClaimKey } from './ClaimKey.js';

/** Version of the stored format. */
export const CLAIM_JOURNAL_FORMAT = 1;

const countSchema = z.number().int().min(0);

/** Schema of a record name. */
const keySchema = z
  .string()
  .refine((key) => parseClaimKey(key.slice(key.indexOf('/') + 1)).ok, 'expected team/UUIDv7');

const answerSchema = z.strictObject({
  body: z.base64().optional(),
  bodySha256: z.string().optional(),
  contentType: z.string(),
  status: z.number().int(),
});

/** Records a granted claim. */
const claimEntrySchema = z.strictObject({
  callHash: z.string(),
  claimId: z.string(),
  deadlineEpochMs: z.number(),
  key: keySchema,
  kind: z.literal('claim'),
});

/** Records the outcome of a claimed call. */
const settleEntrySchema = z.strictObject({
  claimId: z.string(),
  key: keySchema,
  kind: z.literal('settle'),
  outcome: z.discriminatedUnion('kind', [
    z.strictObject({ answer: answerSchema, kind: z.literal('answered') }),
    z.strictObject({ kind: z.literal('notRun') }),
    z.strictObject({ kind: z.literal('unknown') }),
  ]),
});

const entrySchema = z.discriminatedUnion('kind', [claimEntrySchema, settleEntrySchema]);

/** One entry of a journal segment. */
export type ClaimJournalEntry = z.infer<typeof entrySchema>;

/** Schema of a stored segment. */
export const claimSegmentSchema = z.strictObject({
  entries: z.array(entrySchema).min(1),
  format: z.literal(CLAIM_JOURNAL_FORMAT),
});

/** Schema of a slot's stored head, which every commit replaces. */
export const claimHeadSchema = z.strictObject({
  firstSegment: countSchema,
  format: z.literal(CLAIM_JOURNAL_FORMAT),
  /** Number that the next new segment gets. */
  nextSegment: countSchema,
  /**
   * Latest timestamp of the keys whose entries were deleted, -1 for none. Keys up to it are pruned.
   */
  prunedKeyEpochMs: z.number().int().min(-1),
  /** Number of commits of the slot so far. */
  sequence: countSchema,
  /** Ledger process that made the latest commit. */
  writer: z.string().min(1),
});

/** A slot's stored head. */
export type ClaimHead = z.infer<typeof claimHeadSchema>;

/** Schema of the stored layout, which all slots share. */
export const claimLayoutSchema = z.strictObject({
  format: z.literal(CLAIM_JOURNAL_FORMAT),
  slots: z.number().int().positive(),
});
