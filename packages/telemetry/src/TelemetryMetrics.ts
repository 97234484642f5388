import { StatsD } from 'hot-shots';

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics. Calls neither throw nor block. */
export interface Metrics {
  /** Flushes and closes the socket. */
  close(): void;
  /** Reports the current value of a quantity. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Adds to a counter, 1 by default. */
  increment(name: string, by?: number, tags?: MetricTags): void;
  /** Records one sample of a distribution, for example a duration. */
  observe(name: string, value: number, tags?: MetricTags): void;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** Host of the StatsD daemon. */
  readonly host: string;
  readonly port: number;
  /** Tags of every metric. */
  readonly tags?: MetricTags;
}

const METRIC_PREFIX = 'laburnum.';
const MAX_DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MS = 1000;

/**
 * Creates a StatsD client over UDP. Errors are ignored, so the daemon also runs without a receiver.
 *
 * @param options - address of the StatsD daemon and common tags
 * @returns the client
 */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    cacheDns: true,
    errorHandler: () => undefined,
    globalTags: { ...options.tags },
    host: options.host,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    port: options.port,
    prefix: METRIC_PREFIX,
  });
  return {
    close: () => {
      client.close(() => undefined);
    },
    gauge: (name, value, tags = {}) => {
      client.gauge(name, value, { ...tags });
    },
    increment: (name, by = 1, tags = {}) => {
      client.increment(name, by, { ...tags });
    },
    observe: (name, value, tags = {}) => {
      client.distribution(name, value, { ...tags });
    },
  };
}

/** Discards every metric. */
export const NO_METRICS: Metrics = {
  close: () => undefined,
  gauge: () => undefined,
  increment: () => undefined,
  observe: () => undefined,
};
