import type { ConfigurationView } from '@laburnumgap/contracts';
import type {
  DecisionSink,
  KnownServer,
  ServerDirectory,
  VmList,
  WallClock,
} from '@laburnumgap/kernel';
import { NO_DECISION_SINK } from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import { LeavingServerTracker } from './LeavingServerTracker.js';

/** Options of {@link startServerDirectory}. */
export interface ServerDirectoryOptions {
  /** Clock that decides which stops have started or expired; the system clock by default. */
  readonly clock?: WallClock;
  readonly configuration: ConfigurationView;
  readonly decisions?: DecisionSink;
  readonly log: Log;
  readonly pollIntervalMs?: number;
  readonly startInterval?: (intervalMs: number, run: () => void) => () => void;
  readonly vmList: VmList;
}

/** A running server directory. */
export interface RunningServerDirectory extends ServerDirectory {
  /** Reads the server list now, unless a read is in progress. */
  refresh(): Promise<void>;
  stop(): void;
}

const DEFAULT_POLL_INTERVAL_MS = 1_000;

/**
 * Starts polling the platform's server list and merges it with planned stops and the servers' own
 * announcements.
 *
 * @param options - list, configuration, clock and log
 * @returns the running directory; it knows no server until the first list has been read
 */
export function startServerDirectory(options: ServerDirectoryOptions): RunningServerDirectory {
  const directory = new PolledServerDirectory(options);
  const startInterval = options.startInterval ?? startTimer;
  const stopTimer = startInterval(options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS, () => {
    void directory.refresh();
  });
  const unsubscribeConfiguration = options.configuration.onChange(() => {
    directory.applyStops();
  });
  void directory.refresh();
  return {
    markLeaving: (serverId) => {
      directory.markLeaving(serverId);
    },
    onChange: (listener) => directory.onChange(listener),
    refresh: () => directory.refresh(),
    servers: () => directory.servers(),
    stop: () => {
      stopTimer();
      unsubscribeConfiguration();
    },
  };
}

class PolledServerDirectory implements ServerDirectory {
  private currentServers: readonly KnownServer[] = [];
  private isPolling = false;
  private readonly leavingServers = new LeavingServerTracker();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: ServerDirectoryOptions) {}

  applyStops(): void {
    this.update(undefined);
  }

  markLeaving(...[serverId]: Parameters<ServerDirectory['markLeaving']>): void {
    this.leavingServers.markLeaving(serverId);
    this.publish(this.leavingServers.knownServers());
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  async refresh(): Promise<void> {
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    const listed = await this.options.vmList.list();
    this.isPolling = false;
    if (!listed.ok) {
      this.options.log.warn('vmListUnavailable', { detail: listed.error.detail });
    }
    this.update(listed.ok ? listed.value : undefined);
  }

  servers(): readonly KnownServer[] {
    return this.currentServers;
  }

  private publish(next: readonly KnownServer[]): void {
    if (JSON.stringify(next) === JSON.stringify(this.currentServers)) {
      return;
    }
    const wasLeaving = new Map(
      this.currentServers.map((server) => [server.serverId, server.leaving]),
    );
    this.currentServers = next;
    for (const { leaving, serverId } of next) {
      if (leaving !== (wasLeaving.get(serverId) ?? false)) {
        (this.options.decisions ?? NO_DECISION_SINK).record({
          decision: 'leaving',
          fields: { leaving, serverId },
        });
      }
    }
    for (const listener of [...this.listeners]) {
      listener();
    }
  }

  private update(listed: Parameters<LeavingServerTracker['update']>[0]['listed']): void {
    const nowEpochMs = this.options.clock?.nowEpochMs() ?? Date.now();
    const { stops } = this.options.configuration.snapshot();
    this.publish(this.leavingServers.update({ listed, nowEpochMs, stops }));
  }
}

function startTimer(intervalMs: number, run: () => void): () => void {
  const timer = setInterval(run, intervalMs);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
