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

/** A call over the connections; its path is below the base URL. */
export type ConnectionCall = Partial<Pick<HttpCall, 'deadlineMs'>> &
  Pick<HttpCall, 'body' | 'ifNoneMatch' | 'mayWrite' | 'method' | 'path'>;

const IDLE_CONNECTION_MS = 30_000;

/**
 * Connections to one server of the platform. A connection may have gone silent while new ones
 * work: once a call gets no answer, later calls use new connections.
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

  /** Connections of their own for one watch: a pooled connection may have gone silent. */
  newDispatcher(): Agent {
    return this.#newAgent();
  }

  /** Path of a call below the base URL. */
  pathOf(path: string): string {
    return `${this.#basePath}${path}`;
  }

  /** Makes one call. */
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

  /** Ends every connection. */
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
