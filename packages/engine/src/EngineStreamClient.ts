import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineStart,
  GenerationId,
  Result,
} from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { Client } from 'undici';
import { z } from 'zod';
import type { EngineStream } from './EngineStream.js';
import { HttpEngineStream } from './EngineStream.js';

/** Where and from which token a running generation is read again. */
export interface EngineResume {
  readonly attempt: AttemptNumber;
  /** Index of the first token that is wanted. */
  readonly fromIndex: number;
  readonly generationId: GenerationId;
}

/** Why a call to an engine failed. */
export interface EngineCallError {
  readonly detail: string;
  readonly kind: 'engineUnreachable';
  /** Whether the connection was refused: nobody listens at the address. */
  readonly refused: boolean;
}

/** Outcome of a cancel: an attempt that was replaced cancels nothing. */
export type EngineCancelOutcome = 'cancelled' | 'superseded';

/** What an opened stream tells besides its events. */
export interface EngineStreamOptions {
  /** Called whenever bytes arrive, also for keepalive comments. */
  readonly onActivity?: () => void;
}

/** Port to the generation interface of model engines. */
export interface EngineStreamClient {
  /** Cancels a generation unless a higher attempt runs it. */
  cancel(
    engineUrl: string,
    generationId: GenerationId,
    attempt: AttemptNumber,
  ): Promise<Result<EngineCancelOutcome, EngineCallError>>;
  /** Reads a known generation from an index on, on a new connection. */
  resume(engineUrl: string, resume: EngineResume, options?: EngineStreamOptions): EngineStream;
  /** Starts a generation. */
  start(engineUrl: string, start: EngineStart, options?: EngineStreamOptions): EngineStream;
  /** Asks, on a new connection, what the engine knows of a generation. */
  status(
    engineUrl: string,
    generationId: GenerationId,
  ): Promise<Result<EngineGenerationStatus, EngineCallError>>;
}

/** Options of the client. */
export interface EngineStreamClientOptions {
  /** Bound of a call that is no stream. */
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const HTTP_CONFLICT = 409;
const HTTP_OK = 200;

const statusSchema = z.object({
  attempt: z.number().int().nonnegative(),
  producedTokens: z.number().int().nonnegative(),
  state: z.enum(['finished', 'preempted', 'queued', 'running', 'unknown']),
});

/**
 * Creates a client. Every call opens a connection of its own: a pooled connection may have gone
 * silent while it was idle, and a stream holds its connection for its whole life anyway.
 *
 * @param options - timeouts
 * @returns the client
 */
export function createEngineStreamClient(
  options: EngineStreamClientOptions = {},
): EngineStreamClient {
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;

  const connect = (engineUrl: string): Client =>
    new Client(engineUrl, {
      bodyTimeout: 0,
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      pipelining: 1,
    });

  const call = async (
    engineUrl: string,
    method: 'DELETE' | 'GET',
    path: string,
  ): Promise<Result<{ body: string; statusCode: number }, EngineCallError>> => {
    const client = connect(engineUrl);
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
      const answer = await call(engineUrl, 'DELETE', path);
      if (!answer.ok) {
        return answer;
      }
      return success(answer.value.statusCode === HTTP_CONFLICT ? 'superseded' : 'cancelled');
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
      const answer = await call(engineUrl, 'GET', generationPath(generationId));
      if (!answer.ok) {
        return answer;
      }
      return readStatus(answer.value.statusCode, answer.value.body);
    },
  };
}

function generationPath(generationId: GenerationId): string {
  return `/v1/generations/${encodeURIComponent(generationId)}`;
}

function readStatus(
  statusCode: number,
  body: string,
): Result<EngineGenerationStatus, EngineCallError> {
  if (statusCode !== HTTP_OK) {
    return unusable(`status ${statusCode}`);
  }
  try {
    const parsed = statusSchema.parse(JSON.parse(body));
    return success(parsed as EngineGenerationStatus);
  } catch {
    return unusable('malformed generation status');
  }
}

function unusable(detail: string): Result<never, EngineCallError> {
  return failure({ detail, kind: 'engineUnreachable', refused: false });
}
