import type { FailureDomainId, PoolId, RegionId, ServerId, ServiceId } from './KernelIds.js';
import type { Result } from './KernelResult.js';

/** Workload of a backend server: a pool of model engines or a service. */
export type BackendKind =
  | { readonly kind: 'model'; readonly pool: PoolId }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A backend server in the platform's VM list. The list lags behind the actual state. */
export interface ListedServer {
  /** Base URL of the engine or service. */
  readonly address: string;
  readonly backend: BackendKind;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  readonly serverId: ServerId;
  readonly state: 'leaving' | 'live';
}

/** Why the VM list could not be read. */
export interface VmListError {
  readonly detail: string;
  readonly kind: 'vmListUnavailable';
}

/** Interface to the platform's list of live and leaving VMs. */
export interface VmList {
  /** Reads the whole list. */
  list(): Promise<Result<readonly ListedServer[], VmListError>>;
}
