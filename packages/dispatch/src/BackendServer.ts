import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';

/** A backend server as it registered itself. */
export interface BackendServer {
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** The server says that it leaves. */
  readonly leaving: boolean;
  readonly port: number;
  readonly serverId: ServerId;
  readonly service: ServiceId;
  readonly slots: number;
  /** Start of the process by its own clock; tells a restart under the same id. */
  readonly startedEpochMs: number;
}
