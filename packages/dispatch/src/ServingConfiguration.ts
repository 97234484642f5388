import type { ServiceId, TeamId } from '@laburnumgap/kernel';

/**
 * How often a request may run: `idempotent` any number of times, `once` at most once, `stream` at
 * most once with an answer that is a series of events.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

/** A service that a route may send requests to. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the route's requests, relative to the other targets. */
  readonly weight: number;
}

/** A route of the configuration. */
export interface ServingRoute {
  readonly host: string;
  readonly kind: RequestKind;
  /** Longest pause between two events for which a stream is on time; 0 where it does not apply. */
  readonly maxEventGapMs: number;
  /** Most servers that may run one request. */
  readonly maxServers: number;
  /** A stream that broke off may be started anew after its last event. */
  readonly mayRestartStream: boolean;
  readonly name: string;
  readonly needsKey: boolean;
  readonly pathPrefix: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetLatencyMs: number;
  readonly targets: readonly RouteTarget[];
  /** Time after which a request has its final answer. */
  readonly timeoutMs: number;
}

/** What the configuration says of the model engines of a service. */
export interface EngineLimits {
  readonly bytesPerToken: number;
  readonly canCopy: boolean;
  readonly canMove: boolean;
  readonly linkMbps: number;
  readonly memoryTokens: number;
  readonly slots: number;
  readonly tokensPerEvent: number;
}

/** A service of the configuration. */
export interface ServingService {
  /** Present for services of model engines. */
  readonly engine?: EngineLimits;
  readonly healthPath: string;
  /** Connections that one server takes from all daemons together. */
  readonly maxConnections: number;
  readonly service: ServiceId;
}

/** Bounds on what a caller may send and how long it may stay idle. */
export interface CallerLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
}

/** A customer's team and its keys. */
export interface ServingTeam {
  readonly apiKeys: readonly string[];
  /** Goes before the rank of the route; absent for most teams. */
  readonly rank?: number;
  readonly teamId: TeamId;
}

/** One version of the operators' configuration, never changed after it was built. */
export interface ServingConfiguration {
  readonly limits: CallerLimits;
  readonly routes: readonly ServingRoute[];
  readonly services: readonly ServingService[];
  readonly teams: readonly ServingTeam[];
  /** Grows with each change, in uneven steps. */
  readonly version: number;
}
