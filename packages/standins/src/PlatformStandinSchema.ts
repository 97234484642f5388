import { z } from 'zod';

/** A 64-bit integer, which the gateway accepts as a JSON number or a string. */
const int64Schema = z.union([z.number(), z.string()]).transform(Number);

/** Schema of the body of `POST /v3/kv/range`. */
export const rangeSchema = z.object({ key: z.string(), range_end: z.string().optional() });

/** Schema of the body of `POST /v3/kv/txn`. */
export const txnSchema = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        mod_revision: int64Schema.default(0),
        result: z.literal('EQUAL').default('EQUAL'),
        target: z.literal('MOD'),
      }),
    )
    .default([]),
  success: z
    .array(
      z.union([
        z.object({
          request_put: z.object({
            key: z.string(),
            lease: z.coerce.string().default('0'),
            value: z.string().default(''),
          }),
        }),
        z.object({ request_delete_range: z.object({ key: z.string() }) }),
      ]),
    )
    .default([]),
});

/** Schema of the body of `POST /v3/lease/grant`. */
export const grantSchema = z.object({ TTL: int64Schema });
/** Schema of the body of a lease keepalive or revocation. */
export const leaseSchema = z.object({ ID: z.coerce.string() });
/** Schema of the body of `POST /v3/watch`. */
export const watchSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string().optional(),
    start_revision: int64Schema.default(0),
  }),
});
