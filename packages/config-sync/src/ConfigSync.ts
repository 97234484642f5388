import type { ConfigurationView } from '@laburnumgap/contracts';
import type { RandomSource } from '@laburnumgap/kernel';
import { NO_METRICS } from '@laburnumgap/telemetry';
import { ConfigSynchronizer } from './ConfigSynchronizer.js';
import type { ConfigMessage } from './ConfigMessages.js';
import type { ConfigActors, ConfigSyncOptions } from './ConfigOptions.js';
import type { ConfigPeerHandlers } from './ConfigPeerServer.js';
import { METRICS_INTERVAL_MS, TICK_INTERVAL_MS } from './ConfigSyncConstants.js';

/** Running synchronisation of one daemon's configuration. */
export interface ConfigSync {
  /** Time since the configuration was last confirmed to be the newest; infinite if never. */
  ageMs(): number;
  /** Handlers of the ConfigPeer service, for the gRPC server. */
  readonly handlers: ConfigPeerHandlers;
  stop(): void;
  readonly view: ConfigurationView;
}

const INLINE_ACTORS: ConfigActors = {
  spawn: (_name, handler) => ({
    send: (message) => {
      void handler(message);
    },
    stop: () => undefined,
  }),
};

const SYSTEM_RANDOM: RandomSource = { nextUnit: () => Math.random() };

/**
 * Starts synchronising the configuration from the store, from peers, or from both.
 *
 * @param options - store, peers, clock and log
 * @returns the running synchronisation; its view starts empty at revision 0
 */
export function startConfigSync(options: ConfigSyncOptions): ConfigSync {
  const startInterval = options.startInterval ?? startTimer;
  const actors = options.actors ?? INLINE_ACTORS;
  const synchronizer = new ConfigSynchronizer({
    ...options,
    random: options.random ?? SYSTEM_RANDOM,
    send: (message) => {
      actor.send(message);
    },
  });
  const actor = actors.spawn<ConfigMessage>('configuration', (message) => {
    synchronizer.handle(message);
  });
  const stopTimer = startInterval(TICK_INTERVAL_MS, () => {
    actor.send({ kind: 'tick' });
  });
  const metrics = options.metrics ?? NO_METRICS;
  const stopMetrics = startInterval(METRICS_INTERVAL_MS, () => {
    metrics.gauge('config.revision', synchronizer.view.snapshot().revision);
    if (Number.isFinite(synchronizer.ageMs())) {
      metrics.gauge('config.age_ms', synchronizer.ageMs());
    }
  });
  const unsubscribeDirectory = options.directory.onChange(() => {
    actor.send({ kind: 'membersChanged' });
  });
  actor.send({ kind: 'membersChanged' });
  actor.send({ kind: 'tick' });
  return {
    ageMs: () => synchronizer.ageMs(),
    handlers: synchronizer.handlers,
    stop: () => {
      stopTimer();
      stopMetrics();
      unsubscribeDirectory();
      synchronizer.stop();
      actor.stop();
    },
    view: synchronizer.view,
  };
}

function startTimer(intervalMs: number, run: () => void): () => void {
  const timer = setInterval(run, intervalMs);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
