import { nameSchema, urlSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const MIN_SECRET_CHARACTERS = 16;

/** Schema of the settings of `laburnumctl`. */
export const ctlSettingsSchema = z.strictObject({
  /** Name that is kept with each change. */
  operator: nameSchema,
  peers: z.strictObject({
    /** The secret of the daemons. */
    secret: z
      .string()
      .min(MIN_SECRET_CHARACTERS, `expected at least ${MIN_SECRET_CHARACTERS} characters`),
  }),
  platform: z.strictObject({ storeUrl: urlSchema }),
});

/** Checked settings of `laburnumctl`. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
