import type {
  EngineLoad,
  PrefixCacheIndex,
  RecentWaits,
  RouteTable,
  ServerHealth,
  ServerPaths,
  ServerRegistry,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock } from '@laburnumgap/kernel';
import type { RetryBudget } from '@laburnumgap/dispatch';
import type { ShortageQueue } from './callers/ShortageQueue.js';
import type { StopGate } from './callers/StopGate.js';
import type { BackendConnectionPool } from './servers/BackendConnectionPool.js';
import type { CrashDetector } from './servers/CrashDetector.js';
import type { EngineCapacityCoordinator } from './servers/EngineCapacityCoordinator.js';
import type { EngineControl } from './servers/EngineControl.js';
import type { EngineSpeedCoordinator } from './servers/EngineSpeedCoordinator.js';
import type { ServerAccess } from './servers/ServerAccess.js';
import type { ServerDialer } from './servers/ServerDialer.js';
import type { ServerSignals } from './servers/ServerSignals.js';
import type { ServingLog } from './ServingLog.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { WireProtocol } from './ServingPorts.js';

/** State of a daemon that all its requests share. */
export interface ServingContext {
  readonly cachedPrefixes: PrefixCacheIndex;
  /** Recent times that requests waited for capacity at the engines. */
  readonly capacityWaits: RecentWaits;
  readonly clock: MonotonicClock;
  readonly connections: BackendConnectionPool;
  readonly crashDetector: CrashDetector;
  readonly dialer: Pick<ServerDialer, 'examine'>;
  readonly engineControl: EngineControl;
  readonly engineCapacity: EngineCapacityCoordinator;
  readonly engineSpeeds: EngineSpeedCoordinator;
  readonly failureDomain: FailureDomainId;
  readonly health: ServerHealth;
  readonly load: EngineLoad;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  readonly metrics: ServingMetrics;
  readonly paths: Pick<ServerPaths, 'confirmedForMs'>;
  readonly protocol: WireProtocol;
  /** Publishes a change of this daemon's load at the engines to the other daemons. */
  readonly publishLoad: () => void;
  readonly randomUnit: () => number;
  readonly registry: ServerRegistry;
  /** Retries that this daemon may still send, by service. */
  readonly retryBudget: RetryBudget;
  readonly serverAccess: ServerAccess;
  readonly serverSignals: ServerSignals;
  /** Generations that wait for capacity; absent where daemons do not share a shortage. */
  readonly shortage?: ShortageQueue;
  /** Refuses requests that would be cut when the daemon stops. */
  readonly stopGate: Pick<
    StopGate,
    'mayBegin' | 'recordCall' | 'recordFirstEvent' | 'recordTokens' | 'refusal'
  >;
}

/** The active configuration; a new version replaces the table. */
export interface ActiveRoutes {
  current(): RouteTable | undefined;
}
