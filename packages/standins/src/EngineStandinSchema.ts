import { z } from 'zod';

/** Schema of the body of `POST /v1/generations`. */
export const generationRequestSchema = z.object({
  attempt: z.number().int().positive(),
  generationId: z.string().min(1),
  maxTokens: z.number().int().positive(),
  model: z.string(),
  prefix: z.array(z.string()).default([]),
  priority: z.number().default(0),
  prompt: z.string(),
  seed: z.number().default(0),
});

/** Schema of an order, the body of `POST /v1/orders`. */
export const orderSchema = z.object({
  adapters: z.array(z.string()),
  fencingNumber: z.number(),
  models: z.array(z.string()),
  role: z.enum(['decode', 'mixed', 'prefill']),
});

/** An order: the models, adapters and role that an engine is to run. */
export type StandinOrder = z.infer<typeof orderSchema>;
