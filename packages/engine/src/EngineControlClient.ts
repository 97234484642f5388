import type {
  AttemptNumber,
  EngineCacheEvent,
  EngineGenerationStatus,
  EngineLoad,
  EngineOrder,
  EngineState,
  GenerationId,
  Result,
} from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import type { PlatformHttpClientCall } from '@laburnumgap/key-value';
import { PlatformHttpClient } from '@laburnumgap/key-value';
import { z } from 'zod';

/** Why a control call to an engine failed. */
export type EngineControlError =
  /** The call may or may not have taken effect. Never returned for reads. */
  | { readonly detail: string; readonly kind: 'outcomeUnknown' }
  /** The engine rejected the call; nothing changed. */
  | { readonly kind: 'rejected'; readonly reason: string; readonly status: number }
  /** The call did not take effect, or it was a read. */
  | { readonly detail: string; readonly kind: 'unavailable' };

/** A page of prefix cache events. */
export interface EngineCacheEventPage {
  readonly events: readonly EngineCacheEvent[];
  readonly latestSequence: number;
}

/** Control API of one engine. Every call has a deadline. */
export interface EngineControl {
  /** Reads the prefix cache events after a sequence number. */
  cacheEvents(afterSequence: number): Promise<Result<EngineCacheEventPage, EngineControlError>>;
  /** Cancels a generation unless a higher attempt runs it. */
  cancel(
    generationId: GenerationId,
    attempt: AttemptNumber,
  ): Promise<Result<undefined, EngineControlError>>;
  /** Closes the connections. */
  close(): Promise<void>;
  /** Reads the engine's load report. */
  load(): Promise<Result<EngineLoad, EngineControlError>>;
  /**
   * Sends an order and returns the engine's state after it. `maySend` is called right before the
   * first byte is written, for example to check that a lease is still held; the order is not sent
   * when it returns false.
   */
  order(
    order: EngineOrder,
    maySend?: () => boolean,
  ): Promise<Result<EngineState, EngineControlError>>;
  /** Reads the models, adapters and role that the engine runs. */
  state(): Promise<Result<EngineState, EngineControlError>>;
  /** Reads the state of one generation. */
  status(generationId: GenerationId): Promise<Result<EngineGenerationStatus, EngineControlError>>;
}

/** Options of {@link createEngineControl}. */
export interface EngineControlOptions {
  readonly connectTimeoutMs?: number;
  readonly deadlineMs?: number;
  /** Timeout of an order, which may have to load a model. */
  readonly orderDeadlineMs?: number;
  /** Base URL of the engine. */
  readonly url: string;
}

/** Default of {@link EngineControlOptions.orderDeadlineMs}. */
export const DEFAULT_ORDER_DEADLINE_MS = 30_000;

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_DEADLINE_MS = 2000;
const MAX_CONNECTIONS = 4;

/** HTTP statuses that leave open whether the call took effect. */
const UNCERTAIN_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

const nonNegativeNumberSchema = z.number().min(0);

const loadSchema = z.object({
  ageMs: nonNegativeNumberSchema,
  kvTokensCapacity: nonNegativeNumberSchema,
  kvTokensUsed: nonNegativeNumberSchema,
  leaving: z.boolean(),
  maxRunning: nonNegativeNumberSchema,
  preemptions: nonNegativeNumberSchema,
  queuedGenerations: nonNegativeNumberSchema,
  runningGenerations: nonNegativeNumberSchema,
});

const stateSchema = z.object({
  adapters: z.array(z.string()),
  canContinueFromPrefix: z.boolean(),
  checksFencingNumbers: z.boolean(),
  fencingNumber: nonNegativeNumberSchema.transform((value) =>
    toNumberId<EngineState['fencingNumber']>(value),
  ),
  kvTokensCapacity: nonNegativeNumberSchema,
  maxRunning: nonNegativeNumberSchema,
  models: z.array(z.string()),
  role: z.enum(['decode', 'mixed', 'prefill']),
});

const statusSchema = z.object({
  attempt: nonNegativeNumberSchema.transform((value) => toNumberId<AttemptNumber>(value)),
  producedTokens: nonNegativeNumberSchema,
  state: z.enum(['finished', 'preempted', 'queued', 'running', 'unknown']),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      kind: z.enum(['evicted', 'stored']),
      prefixHash: z.string(),
      sequence: nonNegativeNumberSchema,
      tokens: nonNegativeNumberSchema,
    }),
  ),
  latestSequence: nonNegativeNumberSchema,
});

const errorSchema = z.object({ error: z.string() });

/**
 * Creates a client of the control API of one engine.
 *
 * @param options - URL and deadlines
 * @returns the client
 */
export function createEngineControl(options: EngineControlOptions): EngineControl {
  return new HttpEngineControl(options);
}

class HttpEngineControl implements EngineControl {
  readonly #httpClient: PlatformHttpClient;
  readonly #orderDeadlineMs: number;

  constructor(options: EngineControlOptions) {
    this.#httpClient = new PlatformHttpClient({
      connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      deadlineMs: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
      maxConnections: MAX_CONNECTIONS,
      url: options.url,
    });
    this.#orderDeadlineMs = options.orderDeadlineMs ?? DEFAULT_ORDER_DEADLINE_MS;
  }

  cacheEvents(afterSequence: number): Promise<Result<EngineCacheEventPage, EngineControlError>> {
    const path = `/v1/cache-events?after=${afterSequence}`;
    return this.#call({ method: 'GET', path }, cacheEventsSchema);
  }

  async cancel(
    generationId: GenerationId,
    attempt: AttemptNumber,
  ): Promise<Result<undefined, EngineControlError>> {
    const path = `/v1/generations/${encodeURIComponent(generationId)}?attempt=${attempt}`;
    const result = await this.#call({ method: 'DELETE', path }, z.unknown());
    return result.ok ? success(undefined) : result;
  }

  async close(): Promise<void> {
    await this.#httpClient.close();
  }

  load(): Promise<Result<EngineLoad, EngineControlError>> {
    return this.#call({ method: 'GET', path: '/v1/load' }, loadSchema);
  }

  order(
    order: EngineOrder,
    maySend?: () => boolean,
  ): Promise<Result<EngineState, EngineControlError>> {
    const call: PlatformHttpClientCall = {
      body: JSON.stringify(order),
      deadlineMs: this.#orderDeadlineMs,
      maySend,
      method: 'POST',
      path: '/v1/orders',
    };
    return this.#call(call, stateSchema);
  }

  state(): Promise<Result<EngineState, EngineControlError>> {
    return this.#call({ method: 'GET', path: '/v1/state' }, stateSchema);
  }

  status(generationId: GenerationId): Promise<Result<EngineGenerationStatus, EngineControlError>> {
    const path = `/v1/generations/${encodeURIComponent(generationId)}`;
    return this.#call({ method: 'GET', path }, statusSchema);
  }

  async #call<T>(
    call: PlatformHttpClientCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, EngineControlError>> {
    const outcome = await this.#httpClient.call(call);
    switch (outcome.kind) {
      case 'answered':
        return parseResponse(call, schema, outcome.status, outcome.text);
      case 'noAnswer':
        return failure(noResponseError(call, outcome.detail));
      case 'notSent':
        return failure({ detail: outcome.detail, kind: 'unavailable' });
    }
  }
}

function parseResponse<T>(
  call: PlatformHttpClientCall,
  schema: z.ZodType<T>,
  status: number,
  text: string,
): Result<T, EngineControlError> {
  const body = parseJson(text);
  if (UNCERTAIN_STATUSES.has(status)) {
    return failure(noResponseError(call, `HTTP status ${status}`));
  }
  if (status >= 400) {
    const reason = errorSchema.safeParse(body).data?.error ?? `HTTP status ${status}`;
    return failure({ kind: 'rejected', reason, status });
  }
  const parsed = schema.safeParse(body);
  if (parsed.success) {
    return success(parsed.data);
  }
  const detail = `malformed response: ${parsed.error.issues[0]?.message ?? ''}`;
  return failure(noResponseError(call, detail));
}

function noResponseError(call: PlatformHttpClientCall, detail: string): EngineControlError {
  return { detail, kind: call.method === 'GET' ? 'unavailable' : 'outcomeUnknown' };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
