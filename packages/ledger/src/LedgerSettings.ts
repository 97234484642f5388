import type { ClaimSettings } from '@laburnumgap/claims';
import { DEFAULT_CLAIM_SETTINGS } from '@laburnumgap/claims';
import { daemonSettingsSchema, durationMsSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const MAX_SLOTS = 1024;
const MAX_SEGMENT_BYTES = 512 * 1024;
const MIN_SEGMENT_BYTES = 8 * 1024;

const countSchema = z.number().int().positive();
const DEFAULTS = DEFAULT_CLAIM_SETTINGS;

/** Schema of the claims settings, which `ClaimSettings` describes. */
export const claimSettingsSchema = z
  .strictObject({
    backoffMaxMs: durationMsSchema.default(DEFAULTS.backoffMaxMs),
    backoffMinMs: durationMsSchema.default(DEFAULTS.backoffMinMs),
    clockAllowanceMs: durationMsSchema.default(DEFAULTS.clockAllowanceMs),
    commitBurst: countSchema.default(DEFAULTS.commitBurst),
    commitIntervalMs: durationMsSchema.default(DEFAULTS.commitIntervalMs),
    futureLimitMs: durationMsSchema.default(DEFAULTS.futureLimitMs),
    maxQueuedOperations: countSchema.default(DEFAULTS.maxQueuedOperations),
    queueWaitMs: durationMsSchema.default(DEFAULTS.queueWaitMs),
    recordedBodyMaxBytes: countSchema.default(DEFAULTS.recordedBodyMaxBytes),
    retentionMs: durationMsSchema.default(DEFAULTS.retentionMs),
    segmentFillBytes: countSchema.default(DEFAULTS.segmentFillBytes),
    segmentMaxBytes: countSchema
      .min(MIN_SEGMENT_BYTES)
      .max(MAX_SEGMENT_BYTES)
      .default(DEFAULTS.segmentMaxBytes),
    slots: countSchema.max(MAX_SLOTS).default(DEFAULTS.slots),
  })
  .refine((settings) => settings.recordedBodyMaxBytes * 2 <= settings.segmentMaxBytes, {
    error: 'expected at most half of segmentMaxBytes',
    path: ['recordedBodyMaxBytes'],
  }) satisfies z.ZodType<ClaimSettings>;

/** Schema of a ledger's settings. */
export const ledgerSettingsSchema = daemonSettingsSchema.extend({
  claims: claimSettingsSchema.default(DEFAULT_CLAIM_SETTINGS),
});

/** Validated settings of a ledger. */
export type LedgerSettings = z.infer<typeof ledgerSettingsSchema>;
