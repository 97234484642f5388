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

/** What every daemon of the system is wired from. */
export interface Node {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  readonly directory: MemberDirectory;
  /** Leaves the membership, stops following the configuration and ends the gRPC server. */
  drain(): Promise<void>;
  /** Whether this member's lease is certain to be held still, by its own monotonic clock. */
  holdsLease(): boolean;
  readonly random: RandomSource;
  /** Starts the gRPC server with the handlers and registers the member. */
  serve(handlers: RpcHandlers): Promise<Member>;
  readonly servers: ServerDirectory;
  readonly store: PlatformStore;
}
