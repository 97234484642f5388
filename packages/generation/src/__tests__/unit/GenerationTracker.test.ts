import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineId,
  GeneratedToken,
  GenerationId,
} from '@laburnumgap/kernel';
import { refusal, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import { StrictContinuationPolicy } from '../../ContinuationPolicy.js';
import type { GenerationAction, GenerationEvent } from '../../GenerationActions.js';
import { GenerationTracker } from '../../GenerationTracker.js';
import type { GenerationTrackerOptions } from '../../GenerationTrackerOptions.js';

const SEED = 20_261_205;
const GENERATION = toId<GenerationId>('g-1');
const ENGINE = toId<EngineId>('engine-1');

function token(index: number, overrides: Partial<GeneratedToken> = {}): GeneratedToken {
  return {
    attempt: toNumberId(1),
    generationId: GENERATION,
    index,
    text: `t${index}`,
    ...overrides,
  };
}

/** Creates a tracker whose first attempt runs and has produced some tokens. */
function runningTracker(
  tokens: number,
  options: Partial<GenerationTrackerOptions> = {},
): GenerationTracker {
  const tracker = new GenerationTracker({ generationId: GENERATION, ...options });
  tracker.placeFirst();
  tracker.recordStart(ENGINE);
  for (let index = 0; index < tokens; index += 1) {
    tracker.acceptToken(token(index));
  }
  return tracker;
}

function status(overrides: Partial<EngineGenerationStatus> = {}): EngineGenerationStatus {
  return { attempt: toNumberId(1), producedTokens: 3, state: 'running', ...overrides };
}

const DECISIONS: readonly { readonly event: GenerationEvent; readonly title: string }[] = [
  { event: { detail: 'x', kind: 'lost', reason: 'reset' }, title: 'stream reset' },
  { event: { detail: 'x', kind: 'lost', reason: 'superseded' }, title: 'stream superseded' },
  {
    event: { detail: 'x', kind: 'lost', reason: 'rejected' },
    title: 'attempt rejected by the engine',
  },
  {
    event: { detail: 'x', kind: 'lost', reason: 'unknownGeneration' },
    title: 'generation unknown to the engine',
  },
  { event: { kind: 'silent' }, title: 'stream silent' },
  {
    event: { kind: 'status', status: status(), streamOpen: true },
    title: 'stream silent, no further tokens produced',
  },
  {
    event: { kind: 'status', status: status({ producedTokens: 5 }), streamOpen: true },
    title: 'stream silent, further tokens produced',
  },
  {
    event: { kind: 'status', status: status(), streamOpen: false },
    title: 'stream lost, engine still runs the attempt',
  },
  {
    event: {
      kind: 'status',
      status: status({ attempt: toNumberId<AttemptNumber>(2) }),
      streamOpen: true,
    },
    title: 'a higher attempt runs',
  },
  {
    event: { kind: 'status', status: status({ state: 'unknown' }), streamOpen: false },
    title: 'engine restarted',
  },
  {
    event: { kind: 'status', status: status({ state: 'preempted' }), streamOpen: true },
    title: 'status says preempted',
  },
  { event: { detail: 'x', kind: 'statusFailed', refused: true }, title: 'connection refused' },
  {
    event: { detail: 'x', kind: 'statusFailed', refused: false },
    title: 'first status query unanswered',
  },
  { event: { kind: 'preempted' }, title: 'preempted by the engine' },
  { event: { kind: 'moveOrdered' }, title: 'move ordered by the scheduler' },
  {
    event: { finishReason: 'stop', kind: 'finished', totalTokens: 3 },
    title: 'finished with all tokens',
  },
  {
    event: { finishReason: 'stop', kind: 'finished', totalTokens: 4 },
    title: 'finished with one token missing',
  },
  {
    event: { finishReason: 'cancelled', kind: 'finished', totalTokens: 3 },
    title: 'finished as cancelled',
  },
  {
    event: { kind: 'placementFailed', nowMs: 0, refusal: refusal('NO_ENGINE', 'none', 400) },
    title: 'placement failed',
  },
];

for (const [name, policy] of [
  ['prefix', undefined],
  ['strict', new StrictContinuationPolicy()],
] as const) {
  test(`decisions after three delivered tokens, policy ${name}`, (t) => {
    const rows = DECISIONS.map(({ event, title }) => ({
      action: runningTracker(3, { policy }).handleEvent(event),
      title,
    }));
    t.snapshot(rows);
  });
}

const QUEUE_FULL = refusal('QUEUE_WAIT_TOO_LONG', 'full', 900);

test('a refusal before the first start is returned unchanged', (t) => {
  const tracker = new GenerationTracker({ generationId: GENERATION });
  tracker.placeFirst();
  const action = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: QUEUE_FULL });
  t.deepEqual(action, { kind: 'end', refusal: QUEUE_FULL });
});

test('once an attempt may have run, a refusal never says that it was not run', (t) => {
  const tracker = runningTracker(0, { placementTimeoutMs: 1_000 });
  const first = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: QUEUE_FULL });
  t.like(first, { delayMs: 900, kind: 'place' });
  const last = tracker.handleEvent({ kind: 'placementFailed', nowMs: 1_000, refusal: QUEUE_FULL });
  t.like(last, { kind: 'end', refusal: { code: 'UPSTREAM_FAILED', retryAfterMs: 900 } });
});

test('strict policy: a refused placement is retried at the same engine only', (t) => {
  const tracker = runningTracker(3, { policy: new StrictContinuationPolicy() });
  t.like(tracker.handleEvent({ kind: 'preempted' }), { onlyEngine: ENGINE });
  const again = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: QUEUE_FULL });
  t.like(again, { kind: 'place', onlyEngine: ENGINE });
});

test('repeated failures end the generation; a new token resets their count', (t) => {
  const tracker = runningTracker(1, { maxFailuresWithoutProgress: 2 });
  const reset: GenerationEvent = { detail: 'x', kind: 'lost', reason: 'reset' };
  tracker.handleEvent(reset);
  tracker.handleEvent(reset);
  tracker.acceptToken(token(1));
  const kinds = [
    tracker.handleEvent(reset),
    tracker.handleEvent(reset),
    tracker.handleEvent(reset),
  ];
  t.deepEqual(
    kinds.map((action: GenerationAction) => action.kind),
    ['ask', 'ask', 'end'],
  );
});

test('strict policy: a buffered answer is run again, and fails without a partial answer', (t) => {
  const policy = new StrictContinuationPolicy();
  const tracker = runningTracker(3, { buffered: true, maxFailuresWithoutProgress: 1, policy });
  const lost: GenerationEvent = { detail: 'x', kind: 'lost', reason: 'rejected' };
  t.like(tracker.handleEvent(lost), { attempt: 2, kind: 'place', prefix: [] });
  t.like(tracker.handleEvent(lost), { kind: 'end', refusal: { code: 'UPSTREAM_FAILED' } });
});

test('accepts each index once, in order, and only from its own attempt, for any input', (t) => {
  const tokens = fc.array(
    fc.record({
      attempt: fc.integer({ max: 3, min: 1 }),
      fromOtherGeneration: fc.boolean(),
      index: fc.integer({ max: 6, min: 0 }),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(tokens, fc.integer({ max: 4, min: 0 }), (generatedTokens, resumeFromIndex) => {
      const tracker = runningTracker(0, { resumeFromIndex });
      const delivered: number[] = [];
      for (const { attempt, fromOtherGeneration, index } of generatedTokens) {
        const generationId = fromOtherGeneration ? toId<GenerationId>('other') : GENERATION;
        const receivedToken = token(index, {
          attempt: toNumberId<AttemptNumber>(attempt),
          generationId,
        });
        if (tracker.acceptToken(receivedToken) === 'deliver') {
          t.true(attempt === 1 && !fromOtherGeneration);
          delivered.push(index);
        }
      }
      t.deepEqual(
        delivered,
        delivered.map((_, position) => resumeFromIndex + position),
      );
    }),
    { seed: SEED },
  );
});
