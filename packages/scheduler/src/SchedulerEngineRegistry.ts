import type { AdmissionController } from '@laburnumgap/admission';
import type { ActorSystem } from '@laburnumgap/daemon';
import type {
  DecisionSink,
  EngineId,
  KnownServer,
  MemberDirectory,
  MemberId,
  MonotonicClock,
  ServerDirectory,
  Teardown,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { Metrics } from '@laburnumgap/telemetry';
import { SchedulerEngine } from './SchedulerEngine.js';

/** Options of {@link SchedulerEngineRegistry}. */
export interface SchedulerEngineRegistryOptions {
  readonly actors: ActorSystem;
  readonly clock: MonotonicClock;
  readonly createController: (engineId: EngineId, nowMs: number) => AdmissionController;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
  readonly memberId: MemberId;
  readonly metrics: Metrics;
  /** Called after an engine's admission was opened. */
  readonly onEngineOpened: (engineId: EngineId) => void;
  readonly servers: ServerDirectory;
}

/** Admission of the engines that this scheduler owns or that a router has asked it for. */
export class SchedulerEngineRegistry {
  private draining = false;
  private readonly engines = new Map<EngineId, SchedulerEngine>();
  private readonly options: SchedulerEngineRegistryOptions;
  private readonly teardowns: readonly Teardown[];

  constructor(options: SchedulerEngineRegistryOptions) {
    this.options = options;
    const sync = (): void => {
      this.syncWithDirectories();
    };
    this.teardowns = [options.servers.onChange(sync), options.directory.onChange(sync)];
  }

  /** Returns the model server with an engine's id; undefined if none is listed. */
  serverOf(engineId: EngineId): KnownServer | undefined {
    return this.modelServers().find((server) => engineIdOf(server) === engineId);
  }

  /** Returns an engine's admission, opening it on first use; undefined for an unknown engine. */
  getOrOpen(engineId: EngineId): SchedulerEngine | undefined {
    const known = this.engines.get(engineId);
    if (known) {
      return known;
    }
    const server = this.serverOf(engineId);
    if (!server) {
      return undefined;
    }
    return this.createEngine(engineId, server);
  }

  /** Returns the engines whose admission is open, sorted by id. */
  listOpenEngines(): readonly SchedulerEngine[] {
    return [...this.engines.values()].sort((a, b) => (a.engineId < b.engineId ? -1 : 1));
  }

  /** Closes idle engines that this member does not own or that are not listed any more. */
  closeIdle(): void {
    for (const [engineId, engine] of this.engines) {
      const isListed = this.serverOf(engineId) !== undefined;
      if (engine.isIdle() && !(isListed && this.owns(engineId))) {
        this.engines.delete(engineId);
        engine.stop();
      }
    }
  }

  /** Whether this member is the engine's owner, the first in its ranking of schedulers. */
  owns(engineId: EngineId): boolean {
    const [owner] = this.options.directory.rank('scheduler', `engine/${engineId}`);
    return owner?.memberId === this.options.memberId;
  }

  /** Opens the engines that this member owns and stops admission to leaving and removed ones. */
  syncWithDirectories(): void {
    for (const server of this.modelServers()) {
      const engineId = engineIdOf(server);
      if (this.owns(engineId)) {
        this.getOrOpen(engineId);
      }
      if (server.leaving) {
        this.engines.get(engineId)?.send({ kind: 'engineStopped', reason: 'leaving' });
      }
    }
    for (const [engineId, engine] of this.engines) {
      if (!this.serverOf(engineId)) {
        engine.send({ kind: 'engineStopped', reason: 'lost' });
      }
    }
    this.closeIdle();
  }

  /**
   * Stops granting at every engine and refuses waiting requests. Running generations continue: their
   * reservations' streams are ended, and the next owner learns of them from the routers.
   */
  async drain(): Promise<void> {
    this.draining = true;
    const engines = [...this.engines.values()];
    await Promise.all(engines.map((engine) => engine.drain()));
  }

  /** Stops all engines and the subscriptions to the directories. */
  stop(): void {
    for (const tearDown of this.teardowns) {
      tearDown();
    }
    for (const engine of this.engines.values()) {
      engine.stop();
    }
    this.engines.clear();
  }

  private createEngine(engineId: EngineId, server: KnownServer): SchedulerEngine {
    const { actors, clock, createController, decisions, metrics, onEngineOpened } = this.options;
    const controller = createController(engineId, clock.nowMs());
    const engine = new SchedulerEngine({
      actors,
      clock,
      controller,
      decisions,
      engineId,
      metrics,
    });
    this.engines.set(engineId, engine);
    if (server.leaving) {
      engine.send({ kind: 'engineStopped', reason: 'leaving' });
    }
    if (this.draining) {
      engine.send({ kind: 'draining' });
    }
    onEngineOpened(engineId);
    return engine;
  }

  private modelServers(): readonly KnownServer[] {
    return this.options.servers.servers().filter((server) => server.backend.kind === 'model');
  }
}

/** An engine has the id of its server. */
function engineIdOf(server: KnownServer): EngineId {
  return toId<EngineId>(server.serverId);
}
