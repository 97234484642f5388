import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';

/** A backend server as it registered itself in the platform's store. */
export interface BackendServer {
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** The server announced that it will stop. */
  readonly leaving: boolean;
  readonly port: number;
  /**
   * Time for which the server was still cold when its entry was received; absent when the entry does not
   * say so.
   */
  readonly remainingColdMs?: number;
  readonly serverId: ServerId;
  readonly service: ServiceId;
  readonly slots: number;
  /** Start time of the process by its own clock; distinguishes restarts under the same id. */
  readonly startedEpochMs: number;
}
