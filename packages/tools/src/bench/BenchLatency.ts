import { randomUUID } from 'node:crypto';
import { build } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import type { Deployment } from '../deployment/Deployment.js';
import { BENCH_KEY, BENCH_MODEL } from './BenchDeployment.js';

/** Percentiles of a latency in milliseconds. */
export interface Latency {
  readonly name: string;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const WARM_UP = 100;
const SAMPLES = 1_000;
const US_PER_MS = 1_000;
const dispatcher = new Agent({ connections: 4 });

type Sample = () => Promise<void>;

/**
 * Compares calls through the router with the same calls sent directly to the stand-in, alternating
 * between the two.
 *
 * @param deployment - the running deployment
 * @returns latencies of the direct and the routed call of each pair
 */
export async function measureLatencies(deployment: Deployment): Promise<readonly Latency[]> {
  const router = deployment.routers()[0]?.address ?? '';
  const engine = deployment.addressOf('model-1');
  const service = deployment.addressOf('app-1');
  const authorization = { authorization: `Bearer ${BENCH_KEY}` };
  return [
    ...(await measurePair('lookup', [
      () => get(`http://${service}/v1/stock/17`, {}),
      () => get(`http://${router}/services/stock/v1/stock/17`, authorization),
    ])),
    ...(await measurePair('first token', [
      () =>
        firstBytes(
          `http://${engine}/v1/generations`,
          {},
          {
            attempt: 1,
            generationId: randomUUID(),
            maxTokens: 1,
            model: BENCH_MODEL,
            prefix: [],
            priority: 1,
            prompt: 'hello',
            seed: 1,
          },
        ),
      () =>
        firstBytes(`http://${router}/v1/completions`, authorization, {
          max_tokens: 1,
          model: BENCH_MODEL,
          prompt: 'hello',
          stream: true,
        }),
    ])),
  ];
}

async function measurePair(
  name: string,
  [direct, routed]: readonly [Sample, Sample],
): Promise<readonly Latency[]> {
  const histograms = [newHistogram(), newHistogram()] as const;
  for (let n = 0; n < WARM_UP + SAMPLES; n += 1) {
    for (const [index, sample] of [direct, routed].entries()) {
      const startedMs = performance.now();
      await sample();
      if (n >= WARM_UP) {
        histograms[index === 0 ? 0 : 1].recordValue(
          Math.round((performance.now() - startedMs) * US_PER_MS),
        );
      }
    }
  }
  return [`${name}, direct`, `${name}, through the router`].map((label, index) => {
    const histogram = histograms[index === 0 ? 0 : 1];
    return {
      name: label,
      p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
    };
  });
}

function newHistogram(): ReturnType<typeof build> {
  return build({ numberOfSignificantValueDigits: 3 });
}

async function get(url: string, headers: Record<string, string>): Promise<void> {
  const response = await request(url, { dispatcher, headers });
  await response.body.dump();
  assertOk(url, response.statusCode);
}

async function firstBytes(
  url: string,
  headers: Record<string, string>,
  body: unknown,
): Promise<void> {
  const response = await request(url, {
    body: JSON.stringify(body),
    dispatcher,
    headers: { ...headers, 'content-type': 'application/json' },
    method: 'POST',
  });
  assertOk(url, response.statusCode);
  for await (const chunk of response.body) {
    if (String(chunk).includes('data:')) {
      break;
    }
  }
}

function assertOk(url: string, status: number): void {
  if (status !== 200) {
    throw new Error(`${url} returned status ${status}, expected 200`);
  }
}
