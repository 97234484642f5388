/** Tags of a metric. */
export type ServingMetricTags = Readonly<Record<string, string>>;

/** Receives metrics. Calls neither throw nor block. */
export interface ServingMetrics {
  /** Reports the current value of a quantity. */
  gauge(name: string, value: number, tags?: ServingMetricTags): void;
  /** Adds to a counter, 1 by default. */
  increment(name: string, by?: number, tags?: ServingMetricTags): void;
  /** Records one sample of a distribution, for example a duration. */
  observe(name: string, value: number, tags?: ServingMetricTags): void;
}

/** Discards every metric. */
export const NO_SERVING_METRICS: ServingMetrics = {
  gauge: () => undefined,
  increment: () => undefined,
  observe: () => undefined,
};
