import type { EngineControl } from '@laburnumgap/engine';
import { createEngineControl } from '@laburnumgap/engine';
import type { EngineId, KnownServer, MonotonicClock, ServerDirectory } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import type { SchedulerEngine } from './SchedulerEngine.js';
import type { SchedulerEngines } from './SchedulerEngines.js';

/** The reads of an engine that the poll makes. */
export type EngineReports = Pick<EngineControl, 'cacheEvents' | 'close' | 'load'>;

/** What the poll is built from. */
export interface SchedulerEnginePollOptions {
  readonly clock: MonotonicClock;
  readonly createReports?: (url: string) => EngineReports;
  readonly engines: SchedulerEngines;
  readonly intervalMs?: number;
  readonly log: Log;
  readonly servers: ServerDirectory;
}

interface PolledEngine {
  failures: number;
  isPolling: boolean;
  polls: number;
  readonly reports: EngineReports;
  readonly url: string;
}

const DEFAULT_INTERVAL_MS = 1_000;
const FAILURES_UNTIL_LOST = 3;
const POLLS_PER_CACHE_READ = 4;

/** Reads load and cache events of every opened engine, one read at a time for each. */
export class SchedulerEnginePoll {
  private readonly options: SchedulerEnginePollOptions;
  private readonly polled = new Map<EngineId, PolledEngine>();
  private readonly timer: NodeJS.Timeout;

  constructor(options: SchedulerEnginePollOptions) {
    this.options = options;
    this.timer = setInterval(() => {
      this.pollAll();
    }, options.intervalMs ?? DEFAULT_INTERVAL_MS);
  }

  /** Reads the reports of one engine now. */
  async poll(engineId: EngineId): Promise<void> {
    const { engines } = this.options;
    const server = engines.serverOf(engineId);
    const engine = engines.open(engineId);
    if (!server || !engine) {
      return;
    }
    const polled = this.polledOf(engineId, server.address);
    if (polled.isPolling) {
      return;
    }
    polled.isPolling = true;
    try {
      await this.read(engine, server, polled);
    } finally {
      polled.isPolling = false;
    }
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    const closing = [...this.polled.values()].map(({ reports }) => reports.close());
    this.polled.clear();
    await Promise.all(closing);
  }

  private pollAll(): void {
    this.options.engines.closeUnused();
    const opened = new Set(this.options.engines.opened().map(({ engineId }) => engineId));
    for (const [engineId, { reports }] of this.polled) {
      if (!opened.has(engineId)) {
        this.polled.delete(engineId);
        void reports.close();
      }
    }
    for (const engineId of opened) {
      void this.poll(engineId);
    }
  }

  private polledOf(engineId: EngineId, url: string): PolledEngine {
    const known = this.polled.get(engineId);
    if (known?.url === url) {
      return known;
    }
    void known?.reports.close();
    const createReports = this.options.createReports ?? createReportsOver;
    const polled = { failures: 0, isPolling: false, polls: 0, reports: createReports(url), url };
    this.polled.set(engineId, polled);
    return polled;
  }

  private async read(
    engine: SchedulerEngine,
    server: KnownServer,
    polled: PolledEngine,
  ): Promise<void> {
    const load = await polled.reports.load();
    if (!load.ok) {
      this.noteFailure(engine, polled, load.error.kind);
      return;
    }
    if (polled.failures >= FAILURES_UNTIL_LOST) {
      engine.send({ kind: 'engineUsable' });
    }
    polled.failures = 0;
    engine.send({ kind: 'loadReported', load: load.value });
    if (load.value.leaving) {
      this.options.servers.markLeaving(server.serverId);
      engine.send({ kind: 'engineStopped', reason: 'leaving' });
    }
    if (polled.polls % POLLS_PER_CACHE_READ === 0) {
      await this.readCache(engine, polled);
    }
    polled.polls += 1;
  }

  private async readCache(engine: SchedulerEngine, polled: PolledEngine): Promise<void> {
    const page = await polled.reports.cacheEvents(engine.cache.afterSequence());
    if (page.ok) {
      engine.cache.apply(page.value, this.options.clock.nowMs());
    }
  }

  private noteFailure(engine: SchedulerEngine, polled: PolledEngine, detail: string): void {
    polled.failures += 1;
    if (polled.failures === FAILURES_UNTIL_LOST) {
      this.options.log.warn('engineLost', { detail, engineId: engine.engineId });
      engine.send({ kind: 'engineStopped', reason: 'lost' });
    }
  }
}

function createReportsOver(url: string): EngineReports {
  return createEngineControl({ url });
}
