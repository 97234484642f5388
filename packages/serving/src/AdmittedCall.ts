import type { ServingRoute, ServingService, ServingTeam } from '@laburnumgap/dispatch';
import type { FingerprintId } from '@laburnumgap/kernel';
import type { CallerExchange } from './CallerExchange.js';
import type { CallerRequest } from './ServingPorts.js';

/** An authenticated and routed request of a caller, ready to be executed. */
export interface AdmittedCall {
  /** Arrival of the request, monotonic time. */
  readonly arrivedMs: number;
  /** Undefined for a request without a body. */
  readonly body: Buffer | undefined;
  readonly exchange: CallerExchange;
  /** What the request has in common with others that can crash servers. */
  readonly fingerprints: readonly FingerprintId[];
  readonly request: CallerRequest;
  readonly route: ServingRoute;
  readonly service: ServingService;
  /** Team of the API key; undefined when no key is required and no known key was sent. */
  readonly team: ServingTeam | undefined;
}
