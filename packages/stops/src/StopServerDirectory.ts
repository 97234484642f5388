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
import { LeavingMarks } from './LeavingMarks.js';

/** Options of {@link startServerDirectory}. */
export interface ServerDirectoryOptions {
  /** Time of the stops in force; the system's clock by default. */
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
  /** Reads the list now. */
  refresh(): Promise<void>;
  stop(): void;
}

const DEFAULT_POLL_INTERVAL_MS = 1_000;

/**
 * Starts polling the platform's list and merging it with planned stops and the servers' notices.
 *
 * @param options - list, configuration, clock and log
 * @returns the running directory; it knows no server until the first list was read
 */
export function startServerDirectory(options: ServerDirectoryOptions): RunningServerDirectory {
  const directory = new PolledServerDirectory(options);
  const startInterval = options.startInterval ?? startTimer;
  const stopTimer = startInterval(options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS, () => {
    void directory.refresh();
  });
  const forgetConfiguration = options.configuration.onChange(() => {
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
      forgetConfiguration();
    },
  };
}

class PolledServerDirectory implements ServerDirectory {
  private known: readonly KnownServer[] = [];
  private readonly listeners = new Set<() => void>();
  private readonly marks = new LeavingMarks();
  private polling = false;

  constructor(private readonly options: ServerDirectoryOptions) {}

  applyStops(): void {
    this.take(undefined);
  }

  markLeaving(...[serverId]: Parameters<ServerDirectory['markLeaving']>): void {
    this.marks.noteLeaving(serverId);
    this.publish(this.marks.known());
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  async refresh(): Promise<void> {
    if (this.polling) {
      return;
    }
    this.polling = true;
    const listed = await this.options.vmList.list();
    this.polling = false;
    if (!listed.ok) {
      this.options.log.warn('vmListUnavailable', { detail: listed.error.detail });
    }
    this.take(listed.ok ? listed.value : undefined);
  }

  servers(): readonly KnownServer[] {
    return this.known;
  }

  private publish(next: readonly KnownServer[]): void {
    if (JSON.stringify(next) === JSON.stringify(this.known)) {
      return;
    }
    const before = new Map(this.known.map((server) => [server.serverId, server.leaving]));
    this.known = next;
    for (const { leaving, serverId } of next) {
      if (leaving !== (before.get(serverId) ?? false)) {
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

  private take(listed: Parameters<LeavingMarks['update']>[0]['listed']): void {
    const nowEpochMs = this.options.clock?.nowEpochMs() ?? Date.now();
    const { stops } = this.options.configuration.snapshot();
    this.publish(this.marks.update({ listed, nowEpochMs, stops }));
  }
}

function startTimer(intervalMs: number, run: () => void): () => void {
  const timer = setInterval(run, intervalMs);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
