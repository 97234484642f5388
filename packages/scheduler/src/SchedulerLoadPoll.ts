import type { EngineId, KnownServer, ServerDirectory } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import type { SchedulerEngine } from './SchedulerEngine.js';
import type { SchedulerEngines } from './SchedulerEngines.js';
import type { EngineProbe } from './SchedulerEngineProbe.js';

/** What the poll is built from. */
export interface SchedulerLoadPollOptions {
  readonly engines: SchedulerEngines;
  readonly intervalMs?: number;
  readonly log: Log;
  readonly probe: EngineProbe;
  readonly servers: ServerDirectory;
}

const DEFAULT_INTERVAL_MS = 1_000;
const FAILURES_UNTIL_LOST = 3;

/** Reads the load of every opened engine, one read at a time for each. */
export class SchedulerLoadPoll {
  private readonly failures = new Map<EngineId, number>();
  private readonly options: SchedulerLoadPollOptions;
  private readonly polling = new Set<EngineId>();
  private readonly timer: NodeJS.Timeout;

  constructor(options: SchedulerLoadPollOptions) {
    this.options = options;
    this.timer = setInterval(() => {
      this.pollAll();
    }, options.intervalMs ?? DEFAULT_INTERVAL_MS);
  }

  /** Reads the load of one engine now. */
  async poll(engineId: EngineId): Promise<void> {
    const { engines } = this.options;
    const server = engines.serverOf(engineId);
    const engine = engines.open(engineId);
    if (!server || !engine || this.polling.has(engineId)) {
      return;
    }
    this.polling.add(engineId);
    try {
      await this.read(engine, server);
    } finally {
      this.polling.delete(engineId);
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private pollAll(): void {
    const opened = this.options.engines.opened();
    for (const { engineId } of opened) {
      void this.poll(engineId);
    }
    const openedIds = new Set(opened.map(({ engineId }) => engineId));
    for (const engineId of this.failures.keys()) {
      if (!openedIds.has(engineId)) {
        this.failures.delete(engineId);
      }
    }
  }

  private async read(engine: SchedulerEngine, server: KnownServer): Promise<void> {
    const load = await this.options.probe.load(server.address);
    if (!load.ok) {
      this.noteFailure(engine, load.error.detail);
      return;
    }
    if ((this.failures.get(engine.engineId) ?? 0) >= FAILURES_UNTIL_LOST && !server.leaving) {
      engine.send({ kind: 'engineUsable' });
    }
    this.failures.delete(engine.engineId);
    engine.send({ kind: 'loadReported', load: load.value });
    if (load.value.leaving) {
      this.options.servers.noteLeaving(server.serverId);
      engine.send({ kind: 'engineStopped', reason: 'leaving' });
    }
  }

  private noteFailure(engine: SchedulerEngine, detail: string): void {
    const failures = (this.failures.get(engine.engineId) ?? 0) + 1;
    this.failures.set(engine.engineId, failures);
    if (failures === FAILURES_UNTIL_LOST) {
      this.options.log.warn('engineLost', { detail, engineId: engine.engineId });
      engine.send({ kind: 'engineStopped', reason: 'lost' });
    }
  }
}
