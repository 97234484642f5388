/** A route in the operator's configuration. */
export interface RouteOptions {
  readonly maxAttempts?: number;
  readonly prefix: string;
  readonly routeType: 'safe' | 'streaming' | 'unsafe';
  readonly service: string;
  readonly targetLatencyMs?: number;
  readonly timeoutMs: number;
}

const ENGINE = {
  backups: true,
  kvCapacityTokens: 34_359,
  kvTokenBytes: 18_432,
  linkMbps: 2_700,
  moves: true,
  slots: 24,
  stride: 4,
};

/** One version of the operator's configuration. */
export function configuration(version: number, routes: readonly RouteOptions[]): object {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 4_194_304,
      maxHeaderBytes: 16_384,
    },
    routes: routes.map(({ prefix, ...route }) => ({
      gapAimMs: 180,
      host: 'shop.example',
      maxAttempts: 1,
      name: prefix,
      prefix,
      priority: 1,
      public: true,
      targetLatencyMs: 500,
      ...route,
    })),
    services: services.map((name) => ({
      ...(name.includes('engine') ? { engine: ENGINE } : {}),
      healthPath: '/health',
      maxConnections: 272,
      name,
    })),
    tenants: [],
    version,
  };
}
