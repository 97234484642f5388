import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineStartRequest,
  GenerationId,
  Result,
} from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { Client } from 'undici';
import { z } from 'zod';
import type { EngineStream } from './EngineStream.js';
import { HttpEngineStream } from './EngineStream.js';

/** Request to read the stream of a running generation again, from a token index on. */
export interface EngineResumeRequest {
  readonly attempt: AttemptNumber;
  /** Index of the first token to send. */
  readonly fromIndex: number;
  readonly generationId: GenerationId;
}

/** Why a call to an engine failed. */
export interface EngineCallError {
  readonly detail: string;
  readonly kind: 'engineUnreachable';
  /** Whether the connection was refused, which means that no process listens at the address. */
  readonly refused: boolean;
}

/** Outcome of a cancel; `superseded` means that a higher attempt runs and nothing was cancelled. */
export type EngineCancelOutcome = 'cancelled' | 'superseded';

/** Options of one stream. */
export interface EngineStreamOptions {
  /** Called whenever bytes arrive, including keepalive comments. */
  readonly onActivity?: () => void;
}

/** Client of the generation API of model engines. */
export interface EngineStreamClient {
  /** Cancels a generation unless a higher attempt runs it. */
  cancel(
    engineUrl: string,
    generationId: GenerationId,
    attempt: AttemptNumber,
  ): Promise<Result<EngineCancelOutcome, EngineCallError>>;
  /** Opens a new stream of a generation that the engine knows, from a token index on. */
  resume(
    engineUrl: string,
    resume: EngineResumeRequest,
    options?: EngineStreamOptions,
  ): EngineStream;
  /** Starts a generation and opens its stream. */
  start(engineUrl: string, start: EngineStartRequest, options?: EngineStreamOptions): EngineStream;
  /** Reads the state of a generation over a new connection. */
  status(
    engineUrl: string,
    generationId: GenerationId,
  ): Promise<Result<EngineGenerationStatus, EngineCallError>>;
}

/** Options of {@link createEngineStreamClient}. */
export interface EngineStreamClientOptions {
  /** Timeout of a call that does not open a stream. */
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** Longest response to a call that does not open a stream. */
const MAX_CALL_RESPONSE_BYTES = 65_536;
const HTTP_CONFLICT = 409;
const HTTP_OK = 200;

const statusSchema = z.object({
  attempt: z.number().int().nonnegative(),
  producedTokens: z.number().int().nonnegative(),
  state: z.enum(['finished', 'preempted', 'queued', 'running', 'unknown']),
});

/**
 * Creates a client of the generation API. Every call opens a new connection: a pooled one may have
 * died unnoticed while it was idle, and a stream occupies its connection until it ends anyway.
 *
 * @param options - timeouts
 * @returns the client
 */
export function createEngineStreamClient(
  options: EngineStreamClientOptions = {},
): EngineStreamClient {
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;

  const connect = (engineUrl: string, maxResponseSize = -1): Client =>
    new Client(engineUrl, {
      bodyTimeout: 0,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      maxResponseSize,
      pipelining: 1,
    });

  const call = async (
    engineUrl: string,
    method: 'DELETE' | 'GET',
    path: string,
  ): Promise<Result<{ body: string; statusCode: number }, EngineCallError>> => {
    const client = connect(engineUrl, MAX_CALL_RESPONSE_BYTES);
    try {
      const signal = AbortSignal.timeout(callTimeoutMs);
      const response = await client.request({ method, path, signal });
      const body = await response.body.text();
      return success({ body, statusCode: response.statusCode });
    } catch (error) {
      return failure({
        detail: String(error),
        kind: 'engineUnreachable',
        refused: (error as { code?: unknown }).code === 'ECONNREFUSED',
      });
    } finally {
      client.destroy().catch(() => undefined);
    }
  };

  return {
    cancel: async (engineUrl, generationId, attempt) => {
      const path = `${generationPath(generationId)}?attempt=${attempt}`;
      const result = await call(engineUrl, 'DELETE', path);
      if (!result.ok) {
        return result;
      }
      return success(result.value.statusCode === HTTP_CONFLICT ? 'superseded' : 'cancelled');
    },
    resume: (engineUrl, { attempt, fromIndex, generationId }, streamOptions = {}) =>
      new HttpEngineStream(
        connect(engineUrl),
        {
          method: 'GET',
          path: `${generationPath(generationId)}/stream?attempt=${attempt}&from=${fromIndex}`,
        },
        streamOptions,
      ),
    start: (engineUrl, start, streamOptions = {}) =>
      new HttpEngineStream(
        connect(engineUrl),
        {
          body: JSON.stringify(start),
          headers: { 'content-type': 'application/json' },
          method: 'POST',
          path: '/v1/generations',
        },
        streamOptions,
      ),
    status: async (engineUrl, generationId) => {
      const result = await call(engineUrl, 'GET', generationPath(generationId));
      if (!result.ok) {
        return result;
      }
      return parseStatusResponse(result.value.statusCode, result.value.body);
    },
  };
}

function generationPath(generationId: GenerationId): string {
  return `/v1/generations/${encodeURIComponent(generationId)}`;
}

function parseStatusResponse(
  statusCode: number,
  body: string,
): Result<EngineGenerationStatus, EngineCallError> {
  if (statusCode !== HTTP_OK) {
    return invalidResponse(`HTTP status ${statusCode}`);
  }
  try {
    const parsed = statusSchema.parse(JSON.parse(body));
    return success(parsed as EngineGenerationStatus);
  } catch {
    return invalidResponse('malformed generation status');
  }
}

function invalidResponse(detail: string): Result<never, EngineCallError> {
  return failure({ detail, kind: 'engineUnreachable', refused: false });
}
