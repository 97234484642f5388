import type { ServingRoute, ServingService, ServingTeam } from '@laburnumgap/dispatch';
import type { CallerExchange } from './CallerExchange.js';
import type { QuarantinePass } from './QuarantinePass.js';
import type { CallerRequest } from '../ServingPorts.js';

/** An authenticated and routed request of a caller. */
export interface RoutedCall {
  /** Arrival of the request, monotonic time. */
  readonly arrivedMs: number;
  /** Undefined for a request without a body. */
  readonly body: Buffer | undefined;
  readonly exchange: CallerExchange;
  readonly request: CallerRequest;
  readonly route: ServingRoute;
  readonly service: ServingService;
  /** Team of the API key; undefined when no key is required and no known key was sent. */
  readonly team: ServingTeam | undefined;
}

/** A request of a caller, ready to be executed. */
export interface AdmittedCall extends RoutedCall {
  readonly pass: QuarantinePass;
}
