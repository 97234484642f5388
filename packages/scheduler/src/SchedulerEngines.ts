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

/** What the set of engines is built from. */
export interface SchedulerEnginesOptions {
  readonly actors: ActorSystem;
  readonly clock: MonotonicClock;
  readonly createController: (engineId: EngineId, nowMs: number) => AdmissionController;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
  readonly memberId: MemberId;
  readonly metrics: Metrics;
  /** Called for an engine that is asked for the first time. */
  readonly onOpened: (engineId: EngineId) => void;
  readonly servers: ServerDirectory;
}

/** The engines that this scheduler is in charge of, or was asked for by a router. */
export class SchedulerEngines {
  private draining = false;
  private readonly engines = new Map<EngineId, SchedulerEngine>();
  private readonly options: SchedulerEnginesOptions;
  private readonly teardowns: readonly Teardown[];

  constructor(options: SchedulerEnginesOptions) {
    this.options = options;
    const sync = (): void => {
      this.sync();
    };
    this.teardowns = [options.servers.onChange(sync), options.directory.onChange(sync)];
  }

  /** The server behind an engine id, if the list names a model server of that id. */
  serverOf(engineId: EngineId): KnownServer | undefined {
    return this.modelServers().find((server) => engineIdOf(server) === engineId);
  }

  /** Finds an engine's admission, opening it on first use; undefined for an unknown engine. */
  open(engineId: EngineId): SchedulerEngine | undefined {
    const known = this.engines.get(engineId);
    if (known) {
      return known;
    }
    const server = this.serverOf(engineId);
    if (!server) {
      return undefined;
    }
    return this.create(engineId, server);
  }

  /** Engines with their admission, sorted by id. */
  opened(): readonly SchedulerEngine[] {
    return [...this.engines.values()].sort((a, b) => (a.engineId < b.engineId ? -1 : 1));
  }

  /** Closes engines that this member has nothing to do with any more. */
  closeUnused(): void {
    for (const [engineId, engine] of this.engines) {
      const isListed = this.serverOf(engineId) !== undefined;
      if (engine.isUnused() && !(isListed && this.owns(engineId))) {
        this.engines.delete(engineId);
        engine.stop();
      }
    }
  }

  /** Whether this member comes first for the engine. */
  owns(engineId: EngineId): boolean {
    const [owner] = this.options.directory.rank('scheduler', `engine/${engineId}`);
    return owner?.memberId === this.options.memberId;
  }

  /** Opens what this member owns, and marks what is leaving or gone. */
  sync(): void {
    for (const server of this.modelServers()) {
      const engineId = engineIdOf(server);
      if (this.owns(engineId)) {
        this.open(engineId);
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
    this.closeUnused();
  }

  /**
   * Stops granting at every engine and refuses what waits. Generations that run go on: their
   * streams are ended here, and the next scheduler learns of them from their routers.
   */
  async drain(): Promise<void> {
    this.draining = true;
    const engines = [...this.engines.values()];
    await Promise.all(engines.map((engine) => engine.drain()));
  }

  stop(): void {
    for (const tearDown of this.teardowns) {
      tearDown();
    }
    for (const engine of this.engines.values()) {
      engine.stop();
    }
    this.engines.clear();
  }

  private create(engineId: EngineId, server: KnownServer): SchedulerEngine {
    const { actors, clock, createController, decisions, metrics, onOpened } = this.options;
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
    onOpened(engineId);
    return engine;
  }

  private modelServers(): readonly KnownServer[] {
    return this.options.servers.servers().filter((server) => server.backend.kind === 'model');
  }
}

/** Engine ids are the ids of their servers. */
function engineIdOf(server: KnownServer): EngineId {
  return toId<EngineId>(server.serverId);
}
