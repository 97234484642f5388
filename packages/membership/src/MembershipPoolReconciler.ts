import type { EngineControl } from '@laburnumgap/engine';
import { createEngineControl } from '@laburnumgap/engine';
import type {
  KnownServer,
  Member,
  MemberDirectory,
  ServerDirectory,
  ServerId,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { EngineReconciler, EngineReconcilerOptions } from './MembershipEngineReconciler.js';
import { startEngineReconciler } from './MembershipEngineReconciler.js';

/** What the engines of a pool should run. */
export interface EnginePoolTarget {
  readonly checksFencingNumbers: boolean;
  readonly models: readonly string[];
  readonly name: string;
}

/** Options of {@link startPoolReconciler}. */
export interface PoolReconcilerOptions extends Omit<
  EngineReconcilerOptions,
  'checksFencingNumbers' | 'control' | 'engineId' | 'self'
> {
  /** Creates the control client of an engine from its base URL. */
  readonly createControl?: (url: string) => EngineControl;
  readonly directory: MemberDirectory;
  readonly member: Member;
  readonly pools: readonly EnginePoolTarget[];
  readonly servers: ServerDirectory;
}

/** Keeps all engines that this member owns at their targets. */
export interface PoolReconciler {
  /** Stops all reconcilers and closes their control clients. */
  stop(): Promise<void>;
}

interface OwnedEngine {
  readonly address: string;
  readonly control: EngineControl;
  readonly reconciler: EngineReconciler;
}

/**
 * Starts a reconciler for every engine that this scheduler owns, with its pool's models as the target.
 * Engines that are leaving, or are owned by another scheduler, are not touched.
 *
 * @param options - directories, pools and the options of the engine reconcilers
 * @returns the running reconcilers
 */
export function startPoolReconciler(options: PoolReconcilerOptions): PoolReconciler {
  const engineById = new Map<ServerId, OwnedEngine>();
  const release = async (serverId: ServerId): Promise<void> => {
    const engine = engineById.get(serverId);
    engineById.delete(serverId);
    engine?.reconciler.stop();
    await engine?.control.close();
  };
  const reconcile = (): void => {
    const ownedServerById = new Map(
      listOwnedServers(options).map((server) => [server.serverId, server]),
    );
    for (const [serverId, engine] of engineById) {
      if (ownedServerById.get(serverId)?.address !== engine.address) {
        void release(serverId);
      }
    }
    for (const [serverId, server] of ownedServerById) {
      if (!engineById.has(serverId)) {
        engineById.set(serverId, startOwnedEngine(options, server));
      }
    }
  };
  const teardowns = [options.directory.onChange(reconcile), options.servers.onChange(reconcile)];
  reconcile();
  return {
    stop: async () => {
      teardowns.forEach((teardown) => {
        teardown();
      });
      await Promise.all([...engineById.keys()].map(release));
    },
  };
}

function listOwnedServers(options: PoolReconcilerOptions): readonly KnownServer[] {
  const { directory, member, servers } = options;
  return servers.servers().filter((server) => {
    const owner = directory.rank('scheduler', `engine/${server.serverId}`)[0];
    const isOwner = owner?.memberId === member.memberId;
    return isOwner && !server.leaving && poolTargetOf(options, server) !== undefined;
  });
}

function poolTargetOf(
  options: PoolReconcilerOptions,
  server: KnownServer,
): EnginePoolTarget | undefined {
  const { backend } = server;
  if (backend.kind !== 'model') {
    return undefined;
  }
  return options.pools.find((pool) => pool.name === backend.pool);
}

function startOwnedEngine(options: PoolReconcilerOptions, server: KnownServer): OwnedEngine {
  const { createControl, member, orderTimeoutMs } = options;
  const pool = poolTargetOf(options, server);
  const control =
    createControl?.(server.address) ??
    createEngineControl({ orderDeadlineMs: orderTimeoutMs, url: server.address });
  const reconciler = startEngineReconciler({
    ...options,
    checksFencingNumbers: pool?.checksFencingNumbers ?? false,
    control,
    engineId: toId(server.serverId),
    self: { incarnation: member.incarnation, memberId: member.memberId },
  });
  reconciler.setTarget({ adapters: [], models: pool?.models ?? [], role: 'mixed' });
  return { address: server.address, control, reconciler };
}
