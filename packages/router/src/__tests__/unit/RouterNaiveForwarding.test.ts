import type { GenerationId, ModelId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { StreamFault } from '../utils/FakeEngines.js';
import { FakeCluster, FakeSink, MAX_TOKENS } from '../utils/FakeCluster.js';
import { findViolations } from '../utils/TokenOracle.js';

const GENERATION = { generationId: 'generation-of-request-1', seed: 5 };

/**
 * Forwards every token without checking its generation, attempt or index. The tests use it to show
 * that the checks of TokenOracle detect each fault.
 */
async function forwardNaively(cluster: FakeCluster, sink: FakeSink): Promise<void> {
  let index = 0;
  for (const [number, engine] of cluster.engines.entries()) {
    const stream = cluster.client.start(engine.url, {
      attempt: toNumberId(number + 1),
      generationId: toId<GenerationId>(GENERATION.generationId),
      maxTokens: MAX_TOKENS,
      model: toId<ModelId>('drafts'),
      prefix: [],
      priority: 1,
      prompt: 'count the shelves of shop 7',
      seed: GENERATION.seed,
    });
    let event = await stream.next();
    while (event.kind === 'token') {
      await sink.deliver(index, event.token.text);
      index += 1;
      event = await stream.next();
    }
    if (event.kind === 'finished') {
      sink.finish(event.finishReason, event.totalTokens);
      return;
    }
  }
}

const DETECTED_FAULTS: readonly StreamFault[] = [
  'crossed',
  'duplicate',
  'gap',
  'kill',
  'preempt',
  'reset',
  'stale',
];

for (const fault of DETECTED_FAULTS) {
  test(`${fault}: naive forwarding violates the token order, a generation run does not`, async (t) => {
    const faults = [[{ atIndex: 6, fault }]];
    const naive = new FakeSink();
    await forwardNaively(new FakeCluster({ faults }), naive);
    t.not(findViolations({ ...GENERATION, sinks: [naive] }).length, 0);

    const cluster = new FakeCluster({ faults });
    const sink = new FakeSink();
    await cluster.timers.runUntil(cluster.router('a').serve({ sink }));
    t.deepEqual(findViolations({ ...GENERATION, sinks: [sink] }), []);
  });
}
