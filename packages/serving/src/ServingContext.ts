import type {
  EngineLoad,
  KeptPrefixes,
  RecentWaits,
  RouteTable,
  ServerHealth,
  ServerRegistry,
} from '@laburnumgap/dispatch';
import type { FailureDomainId, MemberId, MonotonicClock } from '@laburnumgap/kernel';
import type { RetryBudget } from '@laburnumgap/dispatch';
import type { BackendConnectionPool } from './BackendConnectionPool.js';
import type { EngineCapacityCoordinator } from './EngineCapacityCoordinator.js';
import type { ServingLog } from './ServingLog.js';
import type { WireProtocol } from './ServingPorts.js';

/** What all requests of a daemon share. */
export interface ServingContext {
  /** Repeats that this daemon may still send, by service. */
  readonly retryBudget: RetryBudget;
  readonly clock: MonotonicClock;
  readonly connections: BackendConnectionPool;
  readonly failureDomain: FailureDomainId;
  readonly health: ServerHealth;
  readonly load: EngineLoad;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /** Tells the other daemons soon what this one has at the engines. */
  readonly publishLoad: () => void;
  readonly prefixes: KeptPrefixes;
  readonly protocol: WireProtocol;
  readonly randomUnit: () => number;
  readonly registry: ServerRegistry;
  readonly engineCapacity: EngineCapacityCoordinator;
  /** Waits for room at the engines. */
  readonly waits: RecentWaits;
}

/** The configuration that is in force, replaced as a whole. */
export interface ActiveRoutes {
  current(): RouteTable | undefined;
}
