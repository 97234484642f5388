import { Agent } from 'undici';
import type { HttpCall, HttpCallOutcome } from './PlatformHttpCall.js';
import { callHttp } from './PlatformHttpCall.js';

/** Options of a {@link PlatformConnections}. */
export interface PlatformConnectionsOptions {
  readonly connectTimeoutMs: number;
  readonly deadlineMs: number;
  readonly maxConnections: number;
  readonly url: string;
}

/** A call through the pool; `path` is relative to the base URL. */
export type ConnectionCall = Partial<Pick<HttpCall, 'deadlineMs'>> &
  Pick<HttpCall, 'body' | 'ifNoneMatch' | 'mayWrite' | 'method' | 'path'>;

const IDLE_CONNECTION_MS = 30_000;

/**
 * HTTP connection pool to one server. A connection can hang while new ones would work, so after a
 * call without a response the pool is replaced and later calls open new connections.
 */
export class PlatformConnections {
  readonly origin: string;
  readonly #basePath: string;
  readonly #options: PlatformConnectionsOptions;
  #agent: Agent;
  #closed = false;

  constructor(options: PlatformConnectionsOptions) {
    const url = new URL(options.url);
    this.origin = url.origin;
    this.#basePath = url.pathname.replace(/\/$/, '');
    this.#options = options;
    this.#agent = this.#newAgent();
  }

  /** Creates a separate pool for one watch, because a pooled connection may hang. */
  newDispatcher(): Agent {
    return this.#newAgent();
  }

  /** Prepends the path of the base URL. */
  pathOf(path: string): string {
    return `${this.#basePath}${path}`;
  }

  /** Makes one call, without retries. */
  async call(request: ConnectionCall): Promise<HttpCallOutcome> {
    const agent = this.#agent;
    const outcome = await callHttp({
      deadlineMs: this.#options.deadlineMs,
      ...request,
      dispatcher: agent,
      origin: this.origin,
      path: this.pathOf(request.path),
    });
    if (outcome.kind !== 'answered' && agent === this.#agent && !this.#closed) {
      this.#agent = this.#newAgent();
      void agent.close();
    }
    return outcome;
  }

  /** Closes every connection and fails the calls that run. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#agent.destroy();
  }

  #newAgent(): Agent {
    return new Agent({
      bodyTimeout: 0,
      connect: { timeout: this.#options.connectTimeoutMs },
      connections: this.#options.maxConnections,
      headersTimeout: 0,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      pipelining: 1,
    });
  }
}
