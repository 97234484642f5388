import { hashKey } from '@laburnumgap/contracts';
import { stringify } from 'yaml';
import { Deployment } from '../deployment/Deployment.js';

/** API key of the benchmark's team. */
export const BENCH_KEY = 'bench-key';

/** Model that the benchmark requests. */
export const BENCH_MODEL = 'report-writer';

/** Options of {@link startBenchDeployment}. */
export interface BenchDeploymentOptions {
  readonly decodeMs: number;
  readonly engines: number;
  readonly maxTokens: number;
}

const UNLIMITED = 1_000_000;
const KV_TOKENS = 4_000_000;
const MAX_RUNNING = 1_000;
const MAX_TOKENS = 100_000;

/**
 * Starts one entry VM with engines and one service, with limits too high to throttle any call.
 *
 * @param options - number and speed of the engines, and the output length
 * @returns the running deployment
 */
export async function startBenchDeployment(options: BenchDeploymentOptions): Promise<Deployment> {
  const deployment = new Deployment({
    contracts: [contractText()],
    engines: Array.from({ length: options.engines }, (_, index) => ({
      args: [
        '--models',
        BENCH_MODEL,
        '--decode-ms',
        String(options.decodeMs),
        '--decode-slowdown',
        '0',
        '--kv-tokens',
        String(KV_TOKENS),
        '--max-running',
        String(MAX_RUNNING),
        '--min-output',
        String(options.maxTokens),
        '--max-output',
        String(options.maxTokens),
        '--prefill-ms',
        '0',
      ],
      failureDomain: 'zone-1',
      name: `model-${index + 1}`,
      pool: 'bench',
    })),
    entryVms: [{ failureDomain: 'zone-1', name: 'entry-1' }],
    pools: [{ checksFencingNumbers: true, models: [BENCH_MODEL], name: 'bench' }],
    region: 'region-1',
    services: [{ failureDomain: 'zone-1', name: 'app-1', service: 'stock' }],
  });
  await deployment.start();
  return deployment;
}

function contractText(): string {
  return stringify({
    customer: 'bench',
    keys: [{ id: 'first', sha256: hashKey(BENCH_KEY) }],
    limits: {
      concurrentRequests: UNLIMITED,
      requestsPerSecond: UNLIMITED,
      tokensPerSecond: UNLIMITED * 100,
    },
    models: [{ maxTokens: MAX_TOKENS, name: BENCH_MODEL }],
    scheduling: { class: 'standard' },
    services: [
      { calls: [{ idempotent: true, method: 'GET', path: '/v1/stock/*' }], name: 'stock' },
    ],
    team: 'bench',
    waitBoundMs: 60_000,
  });
}
