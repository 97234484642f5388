import type {
  DecisionSink,
  Member,
  MemberDirectory,
  MonotonicClock,
  PlatformStore,
  RandomSource,
} from '@laburnumgap/kernel';
import type { RpcClients } from '@laburnumgap/rpc';
import type { Log, Metrics } from '@laburnumgap/telemetry';
import type { ConfigMessage } from './ConfigMessages.js';

/** Starts the actor that owns the configuration; `createActorSystem` of the daemon package fits. */
export interface ConfigActors {
  spawn<Message>(
    name: string,
    handler: (message: Message) => Promise<void> | void,
  ): { send(message: Message): void; stop(): void };
}

/** Calls a function at an interval until torn down. */
export type StartInterval = (intervalMs: number, run: () => void) => () => void;

/** What the configuration is followed with. */
export interface ConfigFollowOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
  readonly log: Log;
  readonly member: Pick<Member, 'failureDomain' | 'memberId'>;
  /** Addresses of peers to ask while the directory knows none. */
  readonly seedAddresses?: readonly string[];
  readonly store: PlatformStore;
  /** Watchers of the store in each failure domain. */
  readonly watchersPerDomain?: number;
}

/** Options of the configuration's owner. */
export interface ConfigKeeperOptions extends ConfigFollowOptions {
  readonly random: RandomSource;
  /** Sends a message to this keeper's own actor. */
  readonly send: (message: ConfigMessage) => void;
}

/** Options of `startConfigSync`. */
export interface ConfigSyncOptions extends ConfigFollowOptions {
  readonly actors?: ConfigActors;
  readonly metrics?: Metrics;
  readonly random?: RandomSource;
  readonly startInterval?: StartInterval;
}
