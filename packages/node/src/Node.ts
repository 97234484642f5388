import type { ConfigurationView } from '@laburnumgap/contracts';
import type {
  Member,
  MemberDirectory,
  MonotonicClock,
  PlatformStore,
  RandomSource,
  ServerDirectory,
} from '@laburnumgap/kernel';
import type { RpcClients, RpcHandlers } from '@laburnumgap/rpc';

/** Shared services of a daemon: gRPC, store, membership, configuration and backend servers. */
export interface Node {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  /** Time since the configuration was last confirmed as current; infinite before the first time. */
  configurationAgeMs(): number;
  readonly directory: MemberDirectory;
  /** Deregisters this member, stops the configuration sync and closes the gRPC server and clients. */
  drain(): Promise<void>;
  /** Whether, by its own monotonic clock, this member certainly still holds its lease. */
  holdsLease(): boolean;
  readonly random: RandomSource;
  /** Registers gRPC handlers in addition to those that every daemon has; returns this member. */
  registerHandlers(handlers: RpcHandlers): Promise<Member>;
  readonly servers: ServerDirectory;
  readonly store: PlatformStore;
}
