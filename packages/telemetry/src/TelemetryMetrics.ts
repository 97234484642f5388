import { StatsD } from 'hot-shots';

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics. Calls never throw and never wait. */
export interface Metrics {
  close(): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  increment(name: string, by?: number, tags?: MetricTags): void;
  /** Records a duration or another value of which the distribution matters. */
  observe(name: string, value: number, tags?: MetricTags): void;
}

/** Where metrics go. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  /** Tags of every metric. */
  readonly tags?: MetricTags;
}

const METRIC_PREFIX = 'laburnum.';
const MAX_DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MS = 1000;

/**
 * Creates a sender over UDP. An address that nobody listens on costs nothing.
 *
 * @param options - address and common tags
 * @returns the sender
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

/** A sender that sends nothing. */
export const NO_METRICS: Metrics = {
  close: () => undefined,
  gauge: () => undefined,
  increment: () => undefined,
  observe: () => undefined,
};
