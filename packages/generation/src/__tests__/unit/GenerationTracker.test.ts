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

/** A tracker whose first attempt runs and has given some tokens. */
function running(
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
  { event: { detail: 'x', kind: 'lost', reason: 'rejected' }, title: 'engine refuses' },
  {
    event: { detail: 'x', kind: 'lost', reason: 'unknownGeneration' },
    title: 'engine forgot the generation',
  },
  { event: { kind: 'silent' }, title: 'silence' },
  {
    event: { kind: 'status', status: status(), streamOpen: true },
    title: 'silent, and the engine has made no more',
  },
  {
    event: { kind: 'status', status: status({ producedTokens: 5 }), streamOpen: true },
    title: 'silent, and the engine has made more',
  },
  {
    event: { kind: 'status', status: status(), streamOpen: false },
    title: 'stream lost, engine alive',
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
    title: 'preempted within the engine',
  },
  { event: { detail: 'x', kind: 'statusFailed', refused: true }, title: 'nobody listens' },
  { event: { detail: 'x', kind: 'statusFailed', refused: false }, title: 'no answer yet' },
  { event: { kind: 'preempted' }, title: 'engine gives it up' },
  { event: { kind: 'moveOrdered' }, title: 'scheduler wants it moved' },
  { event: { finishReason: 'stop', kind: 'finished', totalTokens: 3 }, title: 'whole' },
  { event: { finishReason: 'stop', kind: 'finished', totalTokens: 4 }, title: 'one token short' },
  { event: { finishReason: 'cancelled', kind: 'finished', totalTokens: 3 }, title: 'cancelled' },
  {
    event: { kind: 'placementFailed', nowMs: 0, refusal: refusal('NO_ENGINE', 'none', 400) },
    title: 'no engine free',
  },
];

for (const [name, policy] of [
  ['prefix', undefined],
  ['strict', new StrictContinuationPolicy()],
] as const) {
  test(`decisions after three delivered tokens, policy ${name}`, (t) => {
    const rows = DECISIONS.map(({ event, title }) => ({
      action: running(3, { policy }).handleEvent(event),
      title,
    }));
    t.snapshot(rows);
  });
}

const UNSTARTED = refusal('QUEUE_WAIT_TOO_LONG', 'full', 900);

test('a refusal before anything was started is passed on as it is', (t) => {
  const tracker = new GenerationTracker({ generationId: GENERATION });
  tracker.placeFirst();
  const action = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: UNSTARTED });
  t.deepEqual(action, { kind: 'end', refusal: UNSTARTED });
});

test('once it may have run, a refusal never says that it was not run', (t) => {
  const tracker = running(0, { placementTimeoutMs: 1_000 });
  const first = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: UNSTARTED });
  t.like(first, { delayMs: 900, kind: 'place' });
  const last = tracker.handleEvent({ kind: 'placementFailed', nowMs: 1_000, refusal: UNSTARTED });
  t.like(last, { kind: 'end', refusal: { code: 'UPSTREAM_FAILED', retryAfterMs: 900 } });
});

test('strict policy: a refused readmission is tried again at the same engine only', (t) => {
  const tracker = running(3, { policy: new StrictContinuationPolicy() });
  t.like(tracker.handleEvent({ kind: 'preempted' }), { onlyEngine: ENGINE });
  const again = tracker.handleEvent({ kind: 'placementFailed', nowMs: 0, refusal: UNSTARTED });
  t.like(again, { kind: 'place', onlyEngine: ENGINE });
});

test('failures without progress end; a token between them starts the count anew', (t) => {
  const tracker = running(1, { maxFailuresWithoutProgress: 2 });
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

test('a buffered answer is run anew under the strict policy, and ends without a part', (t) => {
  const policy = new StrictContinuationPolicy();
  const tracker = running(3, { buffered: true, maxFailuresWithoutProgress: 1, policy });
  const lost: GenerationEvent = { detail: 'x', kind: 'lost', reason: 'rejected' };
  t.like(tracker.handleEvent(lost), { attempt: 2, kind: 'place', prefix: [] });
  t.like(tracker.handleEvent(lost), { kind: 'end', refusal: { code: 'UPSTREAM_FAILED' } });
});

test('takes each index once, in order, of its own attempt only, whatever comes', (t) => {
  const tokens = fc.array(
    fc.record({
      attempt: fc.integer({ max: 3, min: 1 }),
      foreign: fc.boolean(),
      index: fc.integer({ max: 6, min: 0 }),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(tokens, fc.integer({ max: 4, min: 0 }), (drawn, firstWantedIndex) => {
      const tracker = running(0, { resumeFromIndex: firstWantedIndex });
      const delivered: number[] = [];
      for (const { attempt, foreign, index } of drawn) {
        const generationId = foreign ? toId<GenerationId>('other') : GENERATION;
        const offered = token(index, { attempt: toNumberId<AttemptNumber>(attempt), generationId });
        if (tracker.acceptToken(offered) === 'deliver') {
          t.true(attempt === 1 && !foreign);
          delivered.push(index);
        }
      }
      t.deepEqual(
        delivered,
        delivered.map((_, position) => firstWantedIndex + position),
      );
    }),
    { seed: SEED },
  );
});
