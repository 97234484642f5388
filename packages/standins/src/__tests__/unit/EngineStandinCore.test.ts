import test from 'ava';
import fc from 'fast-check';
import type { EngineStandinCoreOptions } from '../../EngineStandinCore.js';
import { EngineStandinCore } from '../../EngineStandinCore.js';
import type { GenerationRequest, StandinGeneration } from '../../EngineStandinGeneration.js';
import { tokenText } from '../../EngineStandinTokens.js';

const STEP_MS = 10;
const FIXED_LENGTH = { maxTokens: 30, minTokens: 30 };

function requestFor(
  generationId: string,
  overrides: Partial<GenerationRequest> = {},
): GenerationRequest {
  return {
    attempt: 1,
    generationId,
    maxTokens: 1000,
    model: 'm',
    prefix: [],
    priority: 0,
    prompt: `prompt of ${generationId}`,
    seed: 1,
    ...overrides,
  };
}

function createCore(options: EngineStandinCoreOptions = {}): EngineStandinCore {
  return new EngineStandinCore({ outputRange: FIXED_LENGTH, prefillMsPerToken: 0, ...options });
}

function startGeneration(
  core: EngineStandinCore,
  request: GenerationRequest,
  nowMs = 0,
): StandinGeneration {
  const generation = core.start(request, nowMs);
  if (typeof generation === 'string') {
    throw new Error(generation);
  }
  return generation;
}

function runUntilIdle(core: EngineStandinCore, maxSteps = 5000): number {
  let steps = 0;
  while (!core.isIdle && steps < maxSteps) {
    core.step(steps * STEP_MS);
    steps += 1;
  }
  return steps;
}

test('a full KV cache preempts the latest admitted generation of the lowest priority', (t) => {
  // The KV cache is full with three prompts of 3 tokens and 3 x 11 output tokens.
  const core = createCore({ kvTokensCapacity: 42 });
  const highPriority = startGeneration(core, requestFor('a', { priority: 0 }));
  const admittedFirst = startGeneration(core, requestFor('b', { priority: 5 }));
  const admittedLast = startGeneration(core, requestFor('c', { priority: 5 }));
  while (core.preemptions === 0) {
    core.step(0);
  }
  t.deepEqual(
    [highPriority, admittedFirst, admittedLast].map((generation) => generation.state),
    ['running', 'running', 'preempted'],
  );
  t.is(admittedLast.tokenTexts.length, 11);
  runUntilIdle(core);
  for (const generation of [highPriority, admittedFirst, admittedLast]) {
    t.is(generation.state, 'finished');
    t.deepEqual(
      generation.tokenTexts,
      Array.from({ length: 30 }, (_, index) => tokenText(generation.source, index)),
    );
  }
});

test('the KV cache capacity is never exceeded and every generation finishes', (t) => {
  const generationRequests = fc.array(
    fc.record({
      length: fc.integer({ max: 200, min: 1 }),
      priority: fc.nat({ max: 3 }),
      prompt: fc.string({ maxLength: 60, size: 'max' }),
    }),
    { maxLength: 12, minLength: 1 },
  );
  const property = fc.property(
    generationRequests,
    fc.integer({ max: 120, min: 20 }),
    (requests, capacity) => {
      const core = createCore({ kvTokensCapacity: capacity, maxRunning: 4 });
      const generations = requests.map((request, index) =>
        startGeneration(core, requestFor(`g${index}`, { ...request, maxTokens: request.length })),
      );
      for (let steps = 0; !core.isIdle && steps < 5000; steps += 1) {
        if (steps > 0) {
          core.step(0);
        }
        if (core.load.kvTokensUsed > capacity || core.load.runningGenerations > 4) {
          return false;
        }
      }
      const allFinished = generations.every((generation) => generation.state === 'finished');
      return allFinished && core.load.kvTokensUsed === 0;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { numRuns: 200, seed: 31 });
  });
});

test('a generation that fills the KV cache by itself finishes early', (t) => {
  const core = createCore({ kvTokensCapacity: 20 });
  const generation = startGeneration(core, requestFor('a'));
  runUntilIdle(core);
  t.is(generation.state, 'finished');
  t.is(generation.finishReason, 'length');
  t.is(generation.kvTokens, 20);
});

test('a continuation from a prefix generates the remaining tokens of the same output', (t) => {
  const reference = startGeneration(createCore(), requestFor('a'));
  const core = createCore();
  const originalCore = createCore();
  const original = startGeneration(originalCore, requestFor('a'));
  runUntilIdle(originalCore);
  const continued = startGeneration(
    core,
    requestFor('a', { attempt: 2, prefix: original.tokenTexts.slice(0, 12) }),
  );
  runUntilIdle(core);
  t.deepEqual(continued.tokenTexts, original.tokenTexts);
  t.is(continued.totalTokens, reference.totalTokens);
});

test('prefill covers the prompt and the prefix before decoding starts', (t) => {
  const core = createCore({ prefillMsPerToken: 1 });
  const generation = startGeneration(
    core,
    requestFor('a', { prefix: ['x', 'y'], prompt: 'abcd'.repeat(10) }),
  );
  t.is(generation.prefillEndsAtMs, 12);
  t.deepEqual(core.step(11), []);
  t.is(core.step(12).length, 1);
});

test('a prompt whose blocks are cached needs no prefill', (t) => {
  const core = createCore({ prefillMsPerToken: 1 });
  const prompt = 'y'.repeat(640);
  t.is(startGeneration(core, requestFor('a', { prompt })).prefillEndsAtMs, 160);
  t.is(startGeneration(core, requestFor('b', { prompt })).prefillEndsAtMs, 0);
});

test('attempts supersede each other, starts are refused and ended generations expire', (t) => {
  const core = createCore({ maxQueued: 1, maxRunning: 1 });
  const ends: string[] = [];
  const generation = startGeneration(core, requestFor('a', { attempt: 2 }));
  const reader = {
    attempt: 2,
    onEnd: (end: string) => ends.push(end),
    onProgress: () => undefined,
  };
  generation.readers.add(reader);
  t.is(core.start(requestFor('a', { attempt: 2 }), 0), 'superseded');
  t.is(core.resume('a', 1), 'superseded');
  t.is(core.resume('b', 1), 'unknownGeneration');
  t.is(core.resume('a', 3), generation);
  t.deepEqual(ends, ['superseded']);
  t.false(core.cancel('a', 2, 0));
  startGeneration(core, requestFor('q'));
  t.is(core.start(requestFor('r'), 0), 'queueFull');
  t.true(core.cancel('a', 3, 1000));
  t.is(generation.state, 'finished');
  core.leaving = true;
  t.is(core.start(requestFor('s'), 0), 'leaving');
  core.step(60_999);
  t.is(core.resume('a', 3), generation);
  core.step(61_000);
  t.is(core.resume('a', 3), 'unknownGeneration');
});

test('cache events can lag and have gaps', (t) => {
  const core = createCore({ prefixCacheTokens: 32 });
  startGeneration(core, requestFor('a', { prompt: 'z'.repeat(192) }), 100);
  const listEvents = (publishedBeforeMs: number, gapEveryNth: number) => {
    const page = core.prefixCache.eventsAfter(0, publishedBeforeMs, gapEveryNth) as {
      readonly events: readonly { readonly kind: string; readonly sequence: number }[];
    };
    return page.events.map((event) => `${event.sequence} ${event.kind}`);
  };
  t.deepEqual(listEvents(99, 0), []);
  t.deepEqual(listEvents(100, 0), ['1 stored', '2 stored', '3 stored', '4 evicted']);
  t.deepEqual(listEvents(100, 2), ['1 stored', '3 stored']);
});
