import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

/** A token that a caller received. */
export interface ReceivedToken {
  readonly index: number;
  readonly text: string;
}

/** How a stream ended, as the caller saw it. */
export type StreamEnd =
  | { readonly kind: 'broken'; readonly detail: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'refused'; readonly body: RefusalBody; readonly status: number };

/** JSON body of a refusal or error. */
export interface RefusalBody {
  readonly error: {
    readonly code: number;
    readonly detail: string;
    readonly name: string;
    readonly retryAfterMs?: number;
    readonly run: string;
  };
  readonly requestId?: string;
}

/** Options of {@link streamCompletion}. */
export interface StreamOptions {
  readonly apiKey: string;
  /** The caller disconnects after this time without a byte; no timeout by default. */
  readonly idleTimeoutMs?: number;
  /** Index of the last token received, to resume a stream. */
  readonly lastEventId?: number;
  readonly maxTokens: number;
  readonly model: string;
  readonly onToken?: (token: ReceivedToken) => void;
  readonly prompt: string;
  readonly requestId: string;
  /** HOST:PORT of a router. */
  readonly router: string;
  readonly seed?: number;
  readonly signal?: AbortSignal;
}

/** Tokens received by a caller and how the stream ended. */
export interface StreamAnswer {
  readonly end: StreamEnd;
  readonly tokens: readonly ReceivedToken[];
}

const CONNECT_TIMEOUT_MS = 2_000;

/** Connections of callers. Without a default timeout: each call sets its own idle timeout. */
const dispatcher = new Agent({
  bodyTimeout: 0,
  connect: { timeout: CONNECT_TIMEOUT_MS },
  connections: null,
  headersTimeout: 0,
});

/**
 * Requests a streamed completion and collects its tokens.
 *
 * @param options - the request
 * @returns the tokens received and how the stream ended
 */
export async function streamCompletion(options: StreamOptions): Promise<StreamAnswer> {
  const tokens: ReceivedToken[] = [];
  let end: StreamEnd | undefined;
  try {
    const response = await request(`http://${options.router}/v1/completions`, {
      body: JSON.stringify({
        max_tokens: options.maxTokens,
        model: options.model,
        prompt: options.prompt,
        ...(options.seed === undefined ? {} : { seed: options.seed }),
        stream: true,
      }),
      bodyTimeout: options.idleTimeoutMs ?? 0,
      dispatcher,
      headers: headersOf(options),
      headersTimeout: options.idleTimeoutMs ?? 0,
      method: 'POST',
      ...(options.signal ? { signal: options.signal } : {}),
    });
    if (response.statusCode !== 200) {
      const body = (await response.body.json()) as RefusalBody;
      return { end: { body, kind: 'refused', status: response.statusCode }, tokens };
    }
    const parser = createParser({
      onEvent: (event) => {
        if (event.data === '[DONE]') {
          end = { kind: 'done' };
          return;
        }
        if (event.event === 'error') {
          end = { body: JSON.parse(event.data) as RefusalBody, kind: 'refused', status: 200 };
          return;
        }
        const data = JSON.parse(event.data) as { choices: { text: string }[] };
        const token = { index: Number(event.id), text: data.choices[0]?.text ?? '' };
        tokens.push(token);
        options.onToken?.(token);
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of response.body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    }
  } catch (error) {
    end ??= { detail: error instanceof Error ? error.message : String(error), kind: 'broken' };
  }
  return { end: end ?? { detail: 'stream ended without [DONE]', kind: 'broken' }, tokens };
}

/** Result of a completion that is not streamed; `broken` when the connection failed. */
export type CompletionAnswer =
  | { readonly detail: string; readonly kind: 'broken' }
  | { readonly kind: 'done'; readonly text: string }
  | { readonly body: RefusalBody; readonly kind: 'refused'; readonly status: number };

/**
 * Requests a completion that is not streamed.
 *
 * @param options - the request
 * @returns the text, or the reason why there is none
 */
export async function requestCompletion(options: StreamOptions): Promise<CompletionAnswer> {
  try {
    const response = await request(`http://${options.router}/v1/completions`, {
      body: JSON.stringify({
        max_tokens: options.maxTokens,
        model: options.model,
        prompt: options.prompt,
        seed: options.seed,
      }),
      bodyTimeout: options.idleTimeoutMs ?? 0,
      dispatcher,
      headers: headersOf(options),
      headersTimeout: options.idleTimeoutMs ?? 0,
      method: 'POST',
    });
    const body: unknown = await response.body.json();
    if (response.statusCode !== 200) {
      return { body: body as RefusalBody, kind: 'refused', status: response.statusCode };
    }
    const { choices } = body as { choices: { text: string }[] };
    return { kind: 'done', text: choices[0]?.text ?? '' };
  } catch (error) {
    return { detail: error instanceof Error ? error.message : String(error), kind: 'broken' };
  }
}

function headersOf(options: StreamOptions): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.apiKey}`,
    'content-type': 'application/json',
    'x-request-id': options.requestId,
  };
  if (options.lastEventId !== undefined) {
    headers['last-event-id'] = String(options.lastEventId);
  }
  return headers;
}

/** Options of {@link callService}. */
export interface ServiceCallOptions {
  readonly apiKey: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  /** The caller disconnects after this time without a byte; no timeout by default. */
  readonly idleTimeoutMs?: number;
  readonly method: 'DELETE' | 'GET' | 'PATCH' | 'POST' | 'PUT';
  readonly path: string;
  readonly requestId?: string;
  readonly router: string;
  readonly service: string;
}

/** Result of a service call; `broken` when the connection failed before the answer was complete. */
export type ServiceAnswer =
  | { readonly body: string; readonly kind: 'answered'; readonly status: number }
  | { readonly detail: string; readonly kind: 'broken' };

/**
 * Sends one service call through a router, without retries.
 *
 * @param options - the call
 * @returns the answer
 */
export async function callService(options: ServiceCallOptions): Promise<ServiceAnswer> {
  try {
    const response = await request(
      `http://${options.router}/services/${options.service}${options.path}`,
      {
        ...(options.body === undefined ? {} : { body: options.body }),
        bodyTimeout: options.idleTimeoutMs ?? 0,
        dispatcher,
        headers: {
          authorization: `Bearer ${options.apiKey}`,
          'content-type': 'application/json',
          ...(options.idempotencyKey ? { 'idempotency-key': options.idempotencyKey } : {}),
          ...(options.requestId ? { 'x-request-id': options.requestId } : {}),
        },
        headersTimeout: options.idleTimeoutMs ?? 0,
        method: options.method,
      },
    );
    return { body: await response.body.text(), kind: 'answered', status: response.statusCode };
  } catch (error) {
    return { detail: error instanceof Error ? error.message : String(error), kind: 'broken' };
  }
}
