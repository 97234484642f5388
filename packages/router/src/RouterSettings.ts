import { daemonSettingsSchema, durationMsSchema } from '@laburnumgap/settings';
import { z } from 'zod';
import { BODY_TIMEOUT_MS, KEEPALIVE_MS, MAX_BODY_BYTES } from './RouterConstants.js';

const routerSchema = z.strictObject({
  bodyTimeoutMs: durationMsSchema.default(BODY_TIMEOUT_MS),
  /** Whether a generation may continue at another engine after a token was delivered. */
  continuation: z.enum(['prefix', 'strict']).default('prefix'),
  keepaliveMs: durationMsSchema.default(KEEPALIVE_MS),
  maxBodyBytes: z.number().int().positive().max(MAX_BODY_BYTES).default(MAX_BODY_BYTES),
});

/** Schema of a router's settings. */
export const routerSettingsSchema = daemonSettingsSchema.extend({
  router: routerSchema.prefault({}),
});

/** Validated settings of a router. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
