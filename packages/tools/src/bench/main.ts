import Table from 'cli-table3';
import { startBenchDeployment } from './BenchDeployment.js';
import { measureLatencies } from './BenchLatency.js';
import { measureStreams } from './BenchStreams.js';

const MAX_TOKENS = 20_000;
const ENGINES = 5;
const STREAMS = 1_000;
const SETTLE_MS = 4_000;
const MEASURE_MS = 10_000;
const FAST_DECODE_MS = 1;
/** Times between two tokens of a stream; the shortest exceeds the capacity of one router. */
const DECODE_MS = [100, 25, 10] as const;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

const latencies = new Table({ head: ['call', 'p50 ms', 'p99 ms'] });
const fast = await startBenchDeployment({ decodeMs: FAST_DECODE_MS, engines: 1, maxTokens: 1 });
for (const { name, p50Ms, p99Ms } of await measureLatencies(fast)) {
  latencies.push([name, p50Ms.toFixed(2), p99Ms.toFixed(2)]);
}
await fast.kill();
process.stdout.write(`${latencies.toString()}\n`);

const streams = new Table({
  head: ['token gap ms', 'open streams', 'tokens/s', 'router core %', 'router MiB'],
});
for (const decodeMs of DECODE_MS) {
  const deployment = await startBenchDeployment({
    decodeMs,
    engines: ENGINES,
    maxTokens: MAX_TOKENS,
  });
  const result = await measureStreams(deployment, {
    maxTokens: MAX_TOKENS,
    measureMs: MEASURE_MS,
    settleMs: SETTLE_MS,
    streams: STREAMS,
  });
  streams.push([
    decodeMs,
    result.openStreams,
    Math.round(result.tokensPerSecond),
    Math.round(result.routerCpuShare * 100),
    Math.round(result.routerResidentBytes / BYTES_PER_MEBIBYTE),
  ]);
  await deployment.kill();
}
process.stdout.write(`${streams.toString()}\n`);
process.exit(0);
