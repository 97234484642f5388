import test from 'ava';
import fc from 'fast-check';
import type { EngineStandinCoreOptions } from '../../EngineStandinCore.js';
import { EngineStandinCore } from '../../EngineStandinCore.js';
import type { GenerationRequest, StandinGeneration } from '../../EngineStandinGeneration.js';
import { tokenText } from '../../EngineStandinTokens.js';

const STEP_MS = 10;
const FIXED_LENGTH = { maxTokens: 30, minTokens: 30 };

function startOf(
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

function coreOf(options: EngineStandinCoreOptions = {}): EngineStandinCore {
  return new EngineStandinCore({ outputRange: FIXED_LENGTH, prefillMsPerToken: 0, ...options });
}

function started(core: EngineStandinCore, start: GenerationRequest, nowMs = 0): StandinGeneration {
  const generation = core.start(start, nowMs);
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

test('memory that fills while decoding preempts the lowest priority that came last', (t) => {
  // Three prompts of 3 tokens and 3 x 11 tokens of answers fit, then memory is full.
  const core = coreOf({ kvTokensCapacity: 42 });
  const urgent = started(core, startOf('a', { priority: 0 }));
  const early = started(core, startOf('b', { priority: 5 }));
  const late = started(core, startOf('c', { priority: 5 }));
  while (core.preemptions === 0) {
    core.step(0);
  }
  t.deepEqual(
    [urgent, early, late].map((generation) => generation.state),
    ['running', 'running', 'preempted'],
  );
  t.is(late.tokenTexts.length, 11);
  runUntilIdle(core);
  for (const generation of [urgent, early, late]) {
    t.is(generation.state, 'finished');
    t.deepEqual(
      generation.tokenTexts,
      Array.from({ length: 30 }, (_, index) => tokenText(generation.source, index)),
    );
  }
});

test('memory is never exceeded and every generation ends', (t) => {
  const starts = fc.array(
    fc.record({
      length: fc.integer({ max: 200, min: 1 }),
      priority: fc.nat({ max: 3 }),
      prompt: fc.string({ maxLength: 60, size: 'max' }),
    }),
    { maxLength: 12, minLength: 1 },
  );
  const property = fc.property(starts, fc.integer({ max: 120, min: 20 }), (rows, capacity) => {
    const core = coreOf({ kvTokensCapacity: capacity, maxRunning: 4 });
    const generations = rows.map((row, index) =>
      started(core, startOf(`g${index}`, { ...row, maxTokens: row.length })),
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
  });
  t.notThrows(() => {
    fc.assert(property, { numRuns: 200, seed: 31 });
  });
});

test('a generation that fills the whole memory by itself ends early', (t) => {
  const core = coreOf({ kvTokensCapacity: 20 });
  const generation = started(core, startOf('a'));
  runUntilIdle(core);
  t.is(generation.state, 'finished');
  t.is(generation.finishReason, 'length');
  t.is(generation.kvTokens, 20);
});

test('a continuation from a prefix gives the rest of the same answer', (t) => {
  const whole = started(coreOf(), startOf('a'));
  const core = coreOf();
  const first = coreOf();
  const original = started(first, startOf('a'));
  runUntilIdle(first);
  const continued = started(
    core,
    startOf('a', { attempt: 2, prefix: original.tokenTexts.slice(0, 12) }),
  );
  runUntilIdle(core);
  t.deepEqual(continued.tokenTexts, original.tokenTexts);
  t.is(continued.totalTokens, whole.totalTokens);
});

test('a preempted generation is computed again before it goes on', (t) => {
  const core = coreOf({ prefillMsPerToken: 1 });
  const generation = started(core, startOf('a', { prefix: ['x', 'y'], prompt: 'abcd'.repeat(10) }));
  t.is(generation.prefillEndsAtMs, 12);
  t.deepEqual(core.step(11), []);
  t.is(core.step(12).length, 1);
});

test('a prompt whose blocks are cached starts sooner', (t) => {
  const core = coreOf({ prefillMsPerToken: 1 });
  const prompt = 'y'.repeat(640);
  t.is(started(core, startOf('a', { prompt })).prefillEndsAtMs, 160);
  t.is(started(core, startOf('b', { prompt })).prefillEndsAtMs, 0);
});

test('attempts, refusals and what stays readable', (t) => {
  const core = coreOf({ maxQueued: 1, maxRunning: 1 });
  const ends: string[] = [];
  const generation = started(core, startOf('a', { attempt: 2 }));
  const reader = {
    attempt: 2,
    onEnd: (end: string) => ends.push(end),
    onProgress: () => undefined,
  };
  generation.readers.add(reader);
  t.is(core.start(startOf('a', { attempt: 2 }), 0), 'superseded');
  t.is(core.resume('a', 1), 'superseded');
  t.is(core.resume('b', 1), 'unknownGeneration');
  t.is(core.resume('a', 3), generation);
  t.deepEqual(ends, ['superseded']);
  t.false(core.cancel('a', 2, 0));
  started(core, startOf('q'));
  t.is(core.start(startOf('r'), 0), 'queueFull');
  t.true(core.cancel('a', 3, 1000));
  t.is(generation.state, 'finished');
  core.leaving = true;
  t.is(core.start(startOf('s'), 0), 'leaving');
  core.step(60_999);
  t.is(core.resume('a', 3), generation);
  core.step(61_000);
  t.is(core.resume('a', 3), 'unknownGeneration');
});

test('cache events can be late and have gaps', (t) => {
  const core = coreOf({ prefixCacheTokens: 32 });
  started(core, startOf('a', { prompt: 'z'.repeat(192) }), 100);
  const kinds = (before: number, gap: number) => {
    const page = core.prefixCache.eventsAfter(0, before, gap) as {
      readonly events: readonly { readonly kind: string; readonly sequence: number }[];
    };
    return page.events.map((event) => `${event.sequence} ${event.kind}`);
  };
  t.deepEqual(kinds(99, 0), []);
  t.deepEqual(kinds(100, 0), ['1 stored', '2 stored', '3 stored', '4 evicted']);
  t.deepEqual(kinds(100, 2), ['1 stored', '3 stored']);
});
