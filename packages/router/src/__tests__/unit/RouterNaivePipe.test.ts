import type { GenerationId, ModelId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { StreamFault } from '../utils/FakeEngines.js';
import { FakeSink, FakeWorld, MAX_TOKENS } from '../utils/FakeWorld.js';
import { violationsOf } from '../utils/TokenOracle.js';

const GENERATION = { generationId: 'generation-of-request-1', seed: 5 };

/** Passes on whatever comes, without a look at generation, attempt or index. */
async function pipeNaively(world: FakeWorld, sink: FakeSink): Promise<void> {
  let index = 0;
  for (const [number, engine] of world.engines.entries()) {
    const stream = world.client.start(engine.url, {
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

const SHOWN_WRONG: readonly StreamFault[] = [
  'crossed',
  'duplicate',
  'gap',
  'kill',
  'preempt',
  'reset',
  'stale',
];

for (const fault of SHOWN_WRONG) {
  test(`${fault}: the naive pipe breaks the promise, the run keeps it`, async (t) => {
    const faults = [[{ atIndex: 6, fault }]];
    const naive = new FakeSink();
    await pipeNaively(new FakeWorld({ faults }), naive);
    t.not(violationsOf({ ...GENERATION, sinks: [naive] }).length, 0);

    const world = new FakeWorld({ faults });
    const sink = new FakeSink();
    await world.timers.runUntil(world.router('a').serve({ sink }));
    t.deepEqual(violationsOf({ ...GENERATION, sinks: [sink] }), []);
  });
}
