import type { FailureDomainId, PoolId, RegionId, ServerId, ServiceId } from './KernelIds.js';
import type { Result } from './KernelResult.js';

/** What a backend server runs. */
export type BackendKind =
  | { readonly kind: 'model'; readonly pool: PoolId }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A backend server as the platform lists it. The list lags behind reality. */
export interface ListedServer {
  /** Base URL of the engine or service. */
  readonly address: string;
  readonly backend: BackendKind;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  readonly serverId: ServerId;
  readonly state: 'leaving' | 'live';
}

/** Why the list could not be read. */
export interface VmListError {
  readonly detail: string;
  readonly kind: 'vmListUnavailable';
}

/** Port to the platform's list of live and leaving VMs. */
export interface VmList {
  list(): Promise<Result<readonly ListedServer[], VmListError>>;
}
