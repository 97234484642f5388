import type {
  DecisionSink,
  Member,
  MemberDirectory,
  MonotonicClock,
  PlatformStore,
  RandomSource,
} from '@laburnumgap/kernel';
import type { ConfigBatch__Output, RpcClients } from '@laburnumgap/rpc';
import type { Log } from '@laburnumgap/telemetry';
import type { ConfigParent } from './ConfigPeerFollower.js';
import type { StoreMessage } from './ConfigStoreCalls.js';

/** What the owner of the configuration is told. */
export type ConfigMessage =
  | StoreMessage
  | { readonly batch: ConfigBatch__Output; readonly kind: 'batch'; readonly parent: ConfigParent }
  | { readonly detail: string; readonly kind: 'parentLost'; readonly parent: ConfigParent }
  | { readonly kind: 'membersChanged' }
  | { readonly kind: 'tick' };

/** Options of the configuration's owner. */
export interface ConfigKeeperOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
  readonly log: Log;
  readonly member: Pick<Member, 'failureDomain' | 'memberId'>;
  readonly random: RandomSource;
  readonly seedAddresses?: readonly string[];
  /** Sends a message to this keeper's own actor. */
  readonly send: (message: ConfigMessage) => void;
  readonly store: PlatformStore;
  readonly watchersPerDomain?: number;
}
