import type { ServiceId, TeamId } from '@laburnumgap/kernel';

/**
 * How often a request may run: `idempotent` any number of times, `once` at most once, `stream` at
 * most once, answered by a stream of events.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

/** A service that a route sends requests to. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the route's requests, relative to the other targets. */
  readonly weight: number;
}

/** A route: the requests of one host and path prefix, and how they are served. */
export interface ServingRoute {
  readonly host: string;
  readonly kind: RequestKind;
  /** Longest gap between two events of a stream that meets its target; 0 for none. */
  readonly maxEventGapMs: number;
  /** Most servers that may run one request, which bounds its retries. */
  readonly maxServers: number;
  /** Whether a broken stream may be restarted and continued after its last event. */
  readonly mayRestartStream: boolean;
  readonly name: string;
  /** Whether callers need an API key. */
  readonly needsKey: boolean;
  readonly pathPrefix: string;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  readonly targetLatencyMs: number;
  readonly targets: readonly RouteTarget[];
  /** Time by which every request gets its final answer. */
  readonly timeoutMs: number;
}

/** Capacity and capabilities of the model engines of a service. */
export interface EngineLimits {
  /** Size of one token in the KV cache. */
  readonly bytesPerToken: number;
  /** Whether the engines support backup copies of KV caches. */
  readonly canCopy: boolean;
  /** Whether the engines support moving a running stream with its KV cache. */
  readonly canMove: boolean;
  /** Bandwidth of an engine's network link. */
  readonly linkMbps: number;
  /** KV cache capacity of one engine. */
  readonly memoryTokens: number;
  /** Generations that one engine runs at once. */
  readonly slots: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A backend service and the limits of its servers. */
export interface ServingService {
  /** Requests per second that a cold server tolerates from all daemons together; 0 for no limit. */
  readonly coldRequestsPerS?: number;
  /** How long a server is cold after its start; 0 when servers are never cold. */
  readonly coldStartMs?: number;
  /** Present when the servers are model engines. */
  readonly engine?: EngineLimits;
  readonly healthPath: string;
  /** Most connections that one server accepts from all daemons together. */
  readonly maxConnections: number;
  readonly service: ServiceId;
}

/** Limits on request sizes, and on how long a caller may take or stay idle. */
export interface CallerLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
}

/** A customer's team and its API keys. */
export interface ServingTeam {
  readonly apiKeys: readonly string[];
  /** Overrides the rank of the route; absent for most teams. */
  readonly rank?: number;
  readonly teamId: TeamId;
}

/** One version of the operators' configuration; immutable. */
export interface ServingConfiguration {
  readonly limits: CallerLimits;
  readonly routes: readonly ServingRoute[];
  readonly services: readonly ServingService[];
  readonly teams: readonly ServingTeam[];
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
}
