import type { ServingRoute, ServingService, ServingTeam } from '@laburnumgap/dispatch';
import type { CallerExchange } from './CallerExchange.js';
import type { CallerRequest } from './ServingPorts.js';

/** A caller's request that may run, with all that was found out about it. */
export interface AdmittedCall {
  readonly arrivedMs: number;
  readonly body: Buffer | undefined;
  readonly request: CallerRequest;
  readonly exchange: CallerExchange;
  readonly route: ServingRoute;
  readonly service: ServingService;
  readonly team: ServingTeam | undefined;
}
