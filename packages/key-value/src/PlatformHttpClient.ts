import { Agent } from 'undici';
import type { HttpCall, HttpCallOutcome } from './PlatformHttpCall.js';
import { callHttp } from './PlatformHttpCall.js';

/** Options of a {@link PlatformHttpClient}. */
export interface PlatformHttpClientOptions {
  readonly connectTimeoutMs: number;
  /** Timeout of a call that names none. */
  readonly deadlineMs: number;
  readonly maxConnections: number;
  /** Base URL of the server. */
  readonly url: string;
}

/** A call of a {@link PlatformHttpClient}; `path` is relative to the base URL. */
export type PlatformHttpClientCall = Partial<Pick<HttpCall, 'deadlineMs'>> &
  Pick<HttpCall, 'body' | 'ifNoneMatch' | 'maySend' | 'method' | 'path'>;

const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/**
 * HTTP client of one server with a connection pool. A connection can hang while new ones would work, so after a
 * call without a response the pool is replaced and later calls open new connections.
 */
export class PlatformHttpClient {
  /** Scheme, host and port of the base URL. */
  readonly origin: string;
  readonly #basePath: string;
  readonly #options: PlatformHttpClientOptions;
  #agent: Agent;
  #closed = false;

  constructor(options: PlatformHttpClientOptions) {
    const url = new URL(options.url);
    this.origin = url.origin;
    this.#basePath = url.pathname.replace(/\/$/, '');
    this.#options = options;
    this.#agent = this.#createAgent();
  }

  /** Creates a separate pool for one watch, because a pooled connection may hang. */
  createDispatcher(): Agent {
    return this.#createAgent();
  }

  /** Prepends the path of the base URL. */
  resolvePath(path: string): string {
    return `${this.#basePath}${path}`;
  }

  /** Makes one call, without retries. */
  async call(request: PlatformHttpClientCall): Promise<HttpCallOutcome> {
    const agent = this.#agent;
    const outcome = await callHttp({
      deadlineMs: this.#options.deadlineMs,
      ...request,
      dispatcher: agent,
      origin: this.origin,
      path: this.resolvePath(request.path),
    });
    if (outcome.kind !== 'answered' && agent === this.#agent && !this.#closed) {
      this.#agent = this.#createAgent();
      void agent.close();
    }
    return outcome;
  }

  /** Closes every connection and fails the calls that run. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#agent.destroy();
  }

  #createAgent(): Agent {
    return new Agent({
      bodyTimeout: 0,
      connect: { timeout: this.#options.connectTimeoutMs },
      connections: this.#options.maxConnections,
      headersTimeout: 0,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      pipelining: 1,
    });
  }
}
