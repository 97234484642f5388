import { z } from 'zod';

/** Schema of `host:port` with an IP address as host. */
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

/** Schema of a name of letters, digits, dots, dashes and underscores. */
export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected 1 to 63 letters, digits, dots, dashes or underscores',
  );

/** Schema of a duration in milliseconds. */
export const durationMsSchema = z.number().int().positive();

const MIN_SECRET_CHARACTERS = 16;

/** Schema of the settings that every daemon has. */
export const daemonSettingsSchema = z.strictObject({
  enginePools: z
    .array(
      z.strictObject({
        /** Whether the pool's engines reject a command that carries a stale fencing number. */
        checksFencingNumbers: z.boolean(),
        models: z.array(nameSchema).min(1),
        name: nameSchema,
      }),
    )
    .default([]),
  listen: z.strictObject({
    /** Address of the HTTP server: health checks, and callers' requests at a router. */
    http: addressSchema,
    /** Address of the gRPC server for other daemons and operators' tools. */
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
    /** Secret shared by all daemons and operators' tools; never given to callers. */
    secret: z
      .string()
      .min(MIN_SECRET_CHARACTERS, `expected at least ${MIN_SECRET_CHARACTERS} characters`),
    /** gRPC addresses of peers to follow for the configuration while no member is known. */
    seeds: z.array(addressSchema).default([]),
  }),
  platform: z.strictObject({
    storeUrl: urlSchema,
    vmListUrl: urlSchema,
    /** Transfer limit of the weight store over all schedulers; without it loads are not limited. */
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

/** Validated settings that every daemon has. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
