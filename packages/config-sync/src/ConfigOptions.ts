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

/**
 * Actor system that runs the configuration's actor, such as `createActorSystem` of the daemon
 * package.
 */
export interface ConfigActors {
  spawn<Message>(
    name: string,
    handler: (message: Message) => Promise<void> | void,
  ): { send(message: Message): void; stop(): void };
}

/** Calls a function at an interval; the returned function stops it. */
export type StartInterval = (intervalMs: number, run: () => void) => () => void;

/** Options shared by {@link ConfigSyncOptions} and {@link ConfigSynchronizerOptions}. */
export interface ConfigFollowOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
  readonly log: Log;
  readonly member: Pick<Member, 'failureDomain' | 'memberId'>;
  /** RPC addresses of peers to follow while the directory lists none. */
  readonly seedAddresses?: readonly string[];
  readonly store: PlatformStore;
  /** Number of daemons in each failure domain that watch the store. */
  readonly watchersPerDomain?: number;
}

/** Options of `ConfigSynchronizer`. */
export interface ConfigSynchronizerOptions extends ConfigFollowOptions {
  readonly random: RandomSource;
  /** Sends a message to the actor that runs the synchronizer. */
  readonly send: (message: ConfigMessage) => void;
}

/** Options of `startConfigSync`. */
export interface ConfigSyncOptions extends ConfigFollowOptions {
  readonly actors?: ConfigActors;
  readonly metrics?: Metrics;
  readonly random?: RandomSource;
  readonly startInterval?: StartInterval;
}
