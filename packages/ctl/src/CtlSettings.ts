import { durationMsSchema, nameSchema, urlSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const DEFAULT_DEADLINE_MS = 2_000;
const MIN_SECRET_CHARACTERS = 16;

/** Schema of the settings of `laburnumctl`. */
export const ctlSettingsSchema = z.strictObject({
  /** Name of the operator, recorded with each change. */
  operator: nameSchema,
  peers: z.strictObject({
    /** Deadline of one call to a daemon. */
    deadlineMs: durationMsSchema.default(DEFAULT_DEADLINE_MS),
    /** Secret shared with the daemons. */
    secret: z
      .string()
      .min(MIN_SECRET_CHARACTERS, `expected at least ${MIN_SECRET_CHARACTERS} characters`),
  }),
  platform: z.strictObject({
    /** Deadline of one call to the store. */
    deadlineMs: durationMsSchema.default(DEFAULT_DEADLINE_MS),
    storeUrl: urlSchema,
  }),
});

/** Validated settings of `laburnumctl`. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
