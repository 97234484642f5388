import type { ClaimSettings } from '@laburnumgap/claims';
import { DEFAULT_CLAIM_SETTINGS } from '@laburnumgap/claims';
import { daemonSettingsSchema, durationMsSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const MAX_SLOTS = 1024;
const MAX_SEGMENT_BYTES = 512 * 1024;
const MIN_SEGMENT_BYTES = 8 * 1024;

const countSchema = z.number().int().positive();
const defaults = DEFAULT_CLAIM_SETTINGS;

/** Schema of the claims settings; see `ClaimSettings` for each. */
export const claimSettingsSchema = z
  .strictObject({
    backoffMaxMs: durationMsSchema.default(defaults.backoffMaxMs),
    backoffMinMs: durationMsSchema.default(defaults.backoffMinMs),
    clockAllowanceMs: durationMsSchema.default(defaults.clockAllowanceMs),
    commitBurst: countSchema.default(defaults.commitBurst),
    commitIntervalMs: durationMsSchema.default(defaults.commitIntervalMs),
    futureLimitMs: durationMsSchema.default(defaults.futureLimitMs),
    maxQueuedOperations: countSchema.default(defaults.maxQueuedOperations),
    queueWaitMs: durationMsSchema.default(defaults.queueWaitMs),
    recordedBodyMaxBytes: countSchema.default(defaults.recordedBodyMaxBytes),
    retentionMs: durationMsSchema.default(defaults.retentionMs),
    segmentFillBytes: countSchema.default(defaults.segmentFillBytes),
    segmentMaxBytes: countSchema
      .min(MIN_SEGMENT_BYTES)
      .max(MAX_SEGMENT_BYTES)
      .default(defaults.segmentMaxBytes),
    slots: countSchema.max(MAX_SLOTS).default(defaults.slots),
  })
  .refine((settings) => settings.recordedBodyMaxBytes * 2 <= settings.segmentMaxBytes, {
    error: 'expected at most half of segmentMaxBytes',
    path: ['recordedBodyMaxBytes'],
  }) satisfies z.ZodType<ClaimSettings>;

/** Schema of a ledger's settings. */
export const ledgerSettingsSchema = daemonSettingsSchema.extend({
  claims: claimSettingsSchema.default(DEFAULT_CLAIM_SETTINGS),
});

/** Checked settings of a ledger. */
export type LedgerSettings = z.infer<typeof ledgerSettingsSchema>;
