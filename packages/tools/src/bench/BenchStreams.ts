import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { Deployment } from '../deployment/Deployment.js';
import { readProcessStat } from '../deployment/DeploymentProcessStat.js';
import { BENCH_KEY, BENCH_MODEL } from './BenchDeployment.js';

/** Throughput and resource use of one router. */
export interface StreamsResult {
  readonly openStreams: number;
  readonly routerCpuShare: number;
  readonly routerResidentBytes: number;
  readonly tokensPerSecond: number;
}

/** Options of {@link measureStreams}. */
export interface StreamsOptions {
  readonly maxTokens: number;
  readonly measureMs: number;
  readonly settleMs: number;
  readonly streams: number;
}

const MS_PER_SECOND = 1_000;
const EVENT_START = 'id:';
const OPEN_BATCH_SIZE = 50;

/**
 * Opens streams through one router and measures its throughput and resource use.
 *
 * @param deployment - the running deployment
 * @param options - number and length of the streams, settling and measuring time
 * @returns tokens per second, memory and CPU use of the router
 */
export async function measureStreams(
  deployment: Deployment,
  options: StreamsOptions,
): Promise<StreamsResult> {
  const counter = { open: 0, tokens: 0 };
  const ending = new AbortController();
  setMaxListeners(options.streams, ending.signal);
  const dispatcher = new Agent({ bodyTimeout: 0, connections: null, headersTimeout: 0 });
  const router = deployment.routers()[0]?.address ?? '';
  const streams: Promise<void>[] = [];
  for (let opened = 0; opened < options.streams; opened += 1) {
    streams.push(readStream(router, options.maxTokens, dispatcher, ending.signal, counter));
    if (opened % OPEN_BATCH_SIZE === 0) {
      await sleep(OPEN_BATCH_SIZE);
    }
  }
  await sleep(options.settleMs);
  const pid = deployment.daemons.get('router-entry-1')?.pid ?? 0;
  const before = { ...(await readProcessStat(pid)), tokens: counter.tokens };
  const startedMs = performance.now();
  await sleep(options.measureMs);
  const after = { ...(await readProcessStat(pid)), tokens: counter.tokens };
  const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
  const openStreams = counter.open;
  ending.abort();
  await Promise.all(streams);
  return {
    openStreams,
    routerCpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    routerResidentBytes: after.residentBytes,
    tokensPerSecond: (after.tokens - before.tokens) / seconds,
  };
}

async function readStream(
  router: string,
  maxTokens: number,
  dispatcher: Agent,
  signal: AbortSignal,
  counter: { open: number; tokens: number },
): Promise<void> {
  try {
    const response = await request(`http://${router}/v1/completions`, {
      body: JSON.stringify({
        max_tokens: maxTokens,
        model: BENCH_MODEL,
        prompt: randomUUID(),
        stream: true,
      }),
      dispatcher,
      headers: { authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json' },
      method: 'POST',
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return;
    }
    counter.open += 1;
    for await (const chunk of response.body) {
      counter.tokens += countEvents(String(chunk));
    }
    counter.open -= 1;
  } catch {
    // The measurement aborts its streams when it ends.
  }
}

function countEvents(text: string): number {
  let count = 0;
  let from = text.indexOf(EVENT_START);
  while (from >= 0) {
    count += 1;
    from = text.indexOf(EVENT_START, from + EVENT_START.length);
  }
  return count;
}
