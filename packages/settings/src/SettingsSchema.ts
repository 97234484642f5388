import { z } from 'zod';

/** Schema of `host:port` with an IP number for the host. */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'expected IP:PORT, such as 10.0.0.4:7100',
  );

/** Schema of an HTTP base URL. */
export const urlSchema = z
  .string()
  .regex(/^https?:\/\/[^/\s]+(\/[^\s]*)?$/, 'expected a URL such as http://10.0.0.9:2379');

/** Schema of a name: letters, digits, dot, dash and underscore. */
export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected 1 to 63 letters, digits, dots, dashes or underscores',
  );

/** Schema of a duration in milliseconds. */
export const durationMsSchema = z.number().int().positive();

const MIN_SECRET_CHARACTERS = 16;

/** Settings that every daemon has. */
export const daemonSettingsSchema = z.strictObject({
  enginePools: z
    .array(
      z.strictObject({
        /** Whether the pool's engines refuse an order that carries an old fencing number. */
        checksFencingNumbers: z.boolean(),
        models: z.array(nameSchema).min(1),
        name: nameSchema,
      }),
    )
    .default([]),
  listen: z.strictObject({
    /** Address of the HTTP server: health checks, and callers for a router. */
    http: addressSchema,
    /** Address of the gRPC server for the system's own processes. */
    rpc: addressSchema,
  }),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .default({ level: 'info' }),
  member: z.strictObject({
    entryVm: nameSchema,
    failureDomain: nameSchema,
    id: nameSchema,
    region: nameSchema,
  }),
  metrics: z.strictObject({ address: addressSchema }).optional(),
  peers: z.strictObject({
    /** Shared by all daemons and operators' tools; callers never see it. */
    secret: z
      .string()
      .min(MIN_SECRET_CHARACTERS, `expected at least ${MIN_SECRET_CHARACTERS} characters`),
    /** gRPC addresses of peers to take the configuration from while none is known otherwise. */
    seeds: z.array(addressSchema).default([]),
  }),
  platform: z.strictObject({
    storeUrl: urlSchema,
    vmListUrl: urlSchema,
    /** Rate of the weight store over all schedulers; without it loads are not limited. */
    weightStore: z
      .strictObject({
        transfersPerWindow: z.number().int().positive(),
        windowMs: durationMsSchema,
      })
      .optional(),
  }),
  shutdown: z
    .strictObject({ boundMs: durationMsSchema.default(30_000) })
    .default({ boundMs: 30_000 }),
});

/** Checked settings that every daemon has. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
