import { z } from 'zod';

/** Schema of a start of a generation. */
export const startSchema = z.object({
  attempt: z.number().int().positive(),
  generationId: z.string().min(1),
  maxTokens: z.number().int().positive(),
  model: z.string(),
  prefix: z.array(z.string()).default([]),
  priority: z.number().default(0),
  prompt: z.string(),
  seed: z.number().default(0),
});

/** Schema of an order. */
export const orderSchema = z.object({
  adapters: z.array(z.string()),
  fencingNumber: z.number(),
  models: z.array(z.string()),
  role: z.enum(['decode', 'mixed', 'prefill']),
});

/** An order as an engine reads it. */
export type StandinOrder = z.infer<typeof orderSchema>;
