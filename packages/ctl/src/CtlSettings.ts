import { durationMsSchema, nameSchema, urlSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const DEFAULT_DEADLINE_MS = 2_000;
const MIN_SECRET_CHARACTERS = 16;

/** Schema of the settings of `laburnumctl`. */
export const ctlSettingsSchema = z.strictObject({
  /** Name that is kept with each change. */
  operator: nameSchema,
  peers: z.strictObject({
    /** Longest wait for the answer of one daemon. */
    deadlineMs: durationMsSchema.default(DEFAULT_DEADLINE_MS),
    /** The secret of the daemons. */
    secret: z
      .string()
      .min(MIN_SECRET_CHARACTERS, `expected at least ${MIN_SECRET_CHARACTERS} characters`),
  }),
  platform: z.strictObject({
    /** Longest wait for the answer of one call. */
    deadlineMs: durationMsSchema.default(DEFAULT_DEADLINE_MS),
    storeUrl: urlSchema,
  }),
});

/** Checked settings of `laburnumctl`. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
