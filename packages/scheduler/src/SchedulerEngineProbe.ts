import type { EngineCacheEvent, EngineLoad, Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { request } from 'undici';
import { z } from 'zod';

/** Why an engine's report could not be read. */
export interface EngineProbeError {
  readonly detail: string;
  readonly kind: 'engineProbeFailed';
}

/** Reads an engine's reports. */
export interface EngineProbe {
  cacheEvents(
    baseUrl: string,
    afterSequence: number,
  ): Promise<Result<readonly EngineCacheEvent[], EngineProbeError>>;
  load(baseUrl: string): Promise<Result<EngineLoad, EngineProbeError>>;
}

const PROBE_TIMEOUT_MS = 2_000;

const countSchema = z.number().min(0);

const loadSchema = z.object({
  ageMs: countSchema,
  kvTokensCapacity: countSchema,
  kvTokensUsed: countSchema,
  leaving: z.boolean(),
  maxRunning: countSchema,
  preemptions: countSchema,
  queuedGenerations: countSchema,
  runningGenerations: countSchema,
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      kind: z.enum(['evicted', 'stored']),
      prefixHash: z.string(),
      sequence: countSchema,
      tokens: countSchema,
    }),
  ),
});

/**
 * Creates a probe over HTTP.
 *
 * @returns the probe
 */
export function createEngineProbe(): EngineProbe {
  return {
    cacheEvents: async (baseUrl, afterSequence) => {
      const path = `/v1/cache-events?after=${afterSequence}`;
      const read = await readJson(baseUrl + path, cacheEventsSchema);
      return read.ok ? success(read.value.events) : read;
    },
    load: (baseUrl) => readJson(`${baseUrl}/v1/load`, loadSchema),
  };
}

async function readJson<T>(
  url: string,
  schema: z.ZodType<T>,
): Promise<Result<T, EngineProbeError>> {
  try {
    const response = await request(url, { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) });
    const body = await response.body.json();
    if (response.statusCode !== 200) {
      return failure({ detail: `status ${response.statusCode}`, kind: 'engineProbeFailed' });
    }
    const checked = schema.safeParse(body);
    if (checked.success) {
      return success(checked.data);
    }
    return failure({ detail: checked.error.message, kind: 'engineProbeFailed' });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure({ detail, kind: 'engineProbeFailed' });
  }
}
