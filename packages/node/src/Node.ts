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
  /** Time since the configuration was last confirmed to be the newest; infinite if never. */
  configurationAgeMs(): number;
  readonly directory: MemberDirectory;
  /** Leaves the membership, stops following the configuration and ends the gRPC server. */
  drain(): Promise<void>;
  /** Whether this member's lease is certain to be held still, by its own monotonic clock. */
  holdsLease(): boolean;
  readonly random: RandomSource;
  /** Offers the handlers on the gRPC server, next to those that every daemon has; gives this member. */
  serve(handlers: RpcHandlers): Promise<Member>;
  readonly servers: ServerDirectory;
  readonly store: PlatformStore;
}
