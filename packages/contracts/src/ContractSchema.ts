import { durationMsSchema, nameSchema } from '@laburnumgap/settings';
import { z } from 'zod';

const MAX_TOKENS = 200_000;
const MAX_RECONNECT_GRACE_MS = 600_000;
const DEFAULT_RECONNECT_GRACE_MS = 10_000;
const DEFAULT_CALL_TIMEOUT_MS = 10_000;

const keySchema = z.strictObject({
  /** Name of the key, for logs. */
  id: nameSchema,
  revoked: z.boolean().default(false),
  /** SHA-256 of the key, in hexadecimal; the key itself is never stored. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits'),
});

const modelSchema = z.strictObject({
  /** Maximum number of tokens that one request may ask for. */
  maxTokens: z.number().int().positive().max(MAX_TOKENS),
  name: nameSchema,
});

const callSchema = z.strictObject({
  /** Whether the call may be retried. A call that is not idempotent needs an Idempotency-Key. */
  idempotent: z.boolean(),
  method: z.enum(['DELETE', 'GET', 'PATCH', 'POST', 'PUT']),
  /** Path within the service; a segment `*` matches any single segment. */
  path: z.string().regex(/^\/[A-Za-z0-9._~*/-]*$/, 'expected a path such as /v1/stock/*'),
  timeoutMs: durationMsSchema.default(DEFAULT_CALL_TIMEOUT_MS),
});

const serviceSchema = z.strictObject({
  calls: z.array(callSchema).min(1),
  name: nameSchema,
});

/** Schema of a contract: the models and services that a team may use, and its limits. */
export const contractSchema = z.strictObject({
  customer: nameSchema,
  keys: z.array(keySchema).min(1),
  limits: z.strictObject({
    concurrentRequests: z.number().int().positive(),
    requestsPerSecond: z.number().positive(),
    /** Prompt and generated tokens. */
    tokensPerSecond: z.number().positive(),
  }),
  models: z.array(modelSchema).default([]),
  /** Time for which a generation is kept for a caller that has disconnected. */
  reconnectGraceMs: z
    .number()
    .int()
    .min(0)
    .max(MAX_RECONNECT_GRACE_MS)
    .default(DEFAULT_RECONNECT_GRACE_MS),
  scheduling: z.strictObject({
    class: z.enum(['batch', 'interactive', 'standard']),
    /** Share of an engine relative to other teams of the same class. */
    weight: z.number().positive().max(1000).default(1),
  }),
  services: z.array(serviceSchema).default([]),
  team: nameSchema,
  /** Longest wait for an engine before the request is refused. */
  waitBoundMs: durationMsSchema,
});

/** A validated contract. */
export type Contract = z.infer<typeof contractSchema>;

/** A call of a service that the contract allows. */
export type ContractCall = z.infer<typeof callSchema>;

/** Schema of a planned stop. */
export const plannedStopSchema = z.strictObject({
  /** Time by which the stop must have ended. */
  deadlineEpochMs: z.number().int().positive(),
  id: nameSchema,
  reason: z.string().max(500).default(''),
  startEpochMs: z.number().int().positive(),
  target: z.discriminatedUnion('kind', [
    z.strictObject({ entryVm: nameSchema, kind: z.literal('entryVm') }),
    z.strictObject({ failureDomain: nameSchema, kind: z.literal('failureDomain') }),
    z.strictObject({ kind: z.literal('server'), serverId: nameSchema }),
  ]),
});

/** A validated planned stop. */
export type PlannedStop = z.infer<typeof plannedStopSchema>;
