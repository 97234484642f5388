import type { EngineControl } from '@laburnumgap/engine';
import { createEngineControl } from '@laburnumgap/engine';
import type { EngineId, KnownServer, MonotonicClock, ServerDirectory } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import type { SchedulerEngine } from './SchedulerEngine.js';
import type { SchedulerEngineRegistry } from './SchedulerEngineRegistry.js';

/** The control calls of an engine that the poller makes. */
export type EngineReportClient = Pick<EngineControl, 'cacheEvents' | 'close' | 'load'>;

/** Options of {@link SchedulerEnginePoller}. */
export interface SchedulerEnginePollerOptions {
  readonly clock: MonotonicClock;
  readonly createReportClient?: (url: string) => EngineReportClient;
  readonly engines: SchedulerEngineRegistry;
  readonly intervalMs?: number;
  readonly log: Log;
  readonly servers: ServerDirectory;
}

interface PolledEngine {
  consecutiveFailures: number;
  isPolling: boolean;
  pollCount: number;
  readonly reportClient: EngineReportClient;
  readonly url: string;
}

const DEFAULT_INTERVAL_MS = 1_000;
/** Consecutive failed polls after which an engine counts as lost. */
const FAILURES_UNTIL_LOST = 3;
/** Cache events are read once in this number of polls. */
const POLLS_PER_CACHE_READ = 4;

/** Polls load and cache events of every open engine, with at most one read in flight for each. */
export class SchedulerEnginePoller {
  private readonly options: SchedulerEnginePollerOptions;
  private readonly polledEngines = new Map<EngineId, PolledEngine>();
  private readonly timer: NodeJS.Timeout;

  constructor(options: SchedulerEnginePollerOptions) {
    this.options = options;
    this.timer = setInterval(() => {
      this.pollAll();
    }, options.intervalMs ?? DEFAULT_INTERVAL_MS);
  }

  /** Polls one engine now, unless a poll of it is in flight. */
  async pollEngine(engineId: EngineId): Promise<void> {
    const { engines } = this.options;
    const server = engines.serverOf(engineId);
    const engine = engines.getOrOpen(engineId);
    if (!server || !engine) {
      return;
    }
    const polled = this.getOrCreatePolledEngine(engineId, server.address);
    if (polled.isPolling) {
      return;
    }
    polled.isPolling = true;
    try {
      await this.readReports(engine, server, polled);
    } finally {
      polled.isPolling = false;
    }
  }

  /** Stops polling and closes the clients. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    const closing = [...this.polledEngines.values()].map(({ reportClient }) =>
      reportClient.close(),
    );
    this.polledEngines.clear();
    await Promise.all(closing);
  }

  private pollAll(): void {
    this.options.engines.closeIdle();
    const opened = new Set(this.options.engines.listOpenEngines().map(({ engineId }) => engineId));
    for (const [engineId, { reportClient }] of this.polledEngines) {
      if (!opened.has(engineId)) {
        this.polledEngines.delete(engineId);
        void reportClient.close();
      }
    }
    for (const engineId of opened) {
      void this.pollEngine(engineId);
    }
  }

  private getOrCreatePolledEngine(engineId: EngineId, url: string): PolledEngine {
    const known = this.polledEngines.get(engineId);
    if (known?.url === url) {
      return known;
    }
    void known?.reportClient.close();
    const createReportClient = this.options.createReportClient ?? createDefaultReportClient;
    const polled = {
      consecutiveFailures: 0,
      isPolling: false,
      pollCount: 0,
      reportClient: createReportClient(url),
      url,
    };
    this.polledEngines.set(engineId, polled);
    return polled;
  }

  private async readReports(
    engine: SchedulerEngine,
    server: KnownServer,
    polled: PolledEngine,
  ): Promise<void> {
    const load = await polled.reportClient.load();
    if (!load.ok) {
      this.countFailure(engine, polled, load.error.kind);
      return;
    }
    if (polled.consecutiveFailures >= FAILURES_UNTIL_LOST) {
      engine.send({ kind: 'engineUsable' });
    }
    polled.consecutiveFailures = 0;
    engine.send({ kind: 'loadReported', load: load.value });
    if (load.value.leaving) {
      this.options.servers.markLeaving(server.serverId);
      engine.send({ kind: 'engineStopped', reason: 'leaving' });
    }
    if (polled.pollCount % POLLS_PER_CACHE_READ === 0) {
      await this.readCache(engine, polled);
    }
    polled.pollCount += 1;
  }

  private async readCache(engine: SchedulerEngine, polled: PolledEngine): Promise<void> {
    const page = await polled.reportClient.cacheEvents(engine.cache.afterSequence());
    if (page.ok) {
      engine.cache.apply(page.value, this.options.clock.nowMs());
    }
  }

  private countFailure(engine: SchedulerEngine, polled: PolledEngine, detail: string): void {
    polled.consecutiveFailures += 1;
    if (polled.consecutiveFailures === FAILURES_UNTIL_LOST) {
      this.options.log.warn('engineLost', { detail, engineId: engine.engineId });
      engine.send({ kind: 'engineStopped', reason: 'lost' });
    }
  }
}

function createDefaultReportClient(url: string): EngineReportClient {
  return createEngineControl({ url });
}
