import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import type { HomeRecord, HomeTakeOverRequest } from '../../index.js';
import { RequestHome } from '../../index.js';

interface RecordFields {
  readonly attempt?: number;
  readonly body?: string;
  readonly delivered?: number;
  readonly generation?: string;
  readonly prompt?: string;
  readonly request?: string;
  readonly router?: string;
  readonly team?: string;
}

function recordOf(fields: RecordFields = {}): HomeRecord {
  return {
    attempt: toNumberId(fields.attempt ?? 1),
    bodyHash: fields.body ?? 'body',
    deliveredIndex: fields.delivered ?? -1,
    engineId: toId('engine-1'),
    engineUrl: 'http://127.0.0.1:1',
    generationId: toId(fields.generation ?? 'generation-1'),
    maxTokens: 100,
    model: toId('model-1'),
    prompt: fields.prompt ?? 'prompt',
    requestId: toId(fields.request ?? 'request-1'),
    routerId: toId(fields.router ?? 'router-1'),
    seed: 1,
    streamed: true,
    teamId: toId(fields.team ?? 'team-1'),
  };
}

function takeOverOf(fields: RecordFields = {}): HomeTakeOverRequest {
  const { bodyHash, requestId, routerId, teamId } = recordOf({ router: 'router-2', ...fields });
  return { bodyHash, requestId, routerId, teamId };
}

const RECORD_CASES: readonly (readonly [string, RecordFields, boolean, number])[] = [
  ['a lower attempt', { attempt: 2 }, false, 3],
  ['the same attempt of the same router', { attempt: 3, delivered: 9 }, true, 3],
  ['the same attempt of another router', { attempt: 3, router: 'router-9' }, false, 3],
  ['a higher attempt', { attempt: 4, router: 'router-9' }, true, 4],
  ['a higher attempt with another body', { attempt: 4, body: 'other' }, false, 3],
];

for (const [name, fields, accepted, attempt] of RECORD_CASES) {
  test(`record: ${name} is ${accepted ? 'accepted' : 'refused'}`, (t) => {
    const home = new RequestHome();
    home.record(recordOf({ attempt: 3 }), 0);
    t.deepEqual(home.record(recordOf(fields), 0), { accepted, attempt: toNumberId(attempt) });
  });
}

const REFUSED_TAKEOVERS: readonly (readonly [string, RecordFields])[] = [
  ['otherBody', { body: 'other' }],
  ['otherTeam', { team: 'team-2' }],
  ['unknown', { request: 'request-2' }],
];

for (const [outcome, fields] of REFUSED_TAKEOVERS) {
  test(`takeover: ${outcome}`, (t) => {
    const home = new RequestHome();
    home.record(recordOf(), 0);
    t.is(home.takeOver(takeOverOf(fields), 0).outcome, outcome as 'unknown');
    t.true(home.record(recordOf(), 0).accepted);
  });
}

test('a takeover fences the previous router', (t) => {
  const home = new RequestHome();
  home.record(recordOf({ delivered: 5 }), 0);
  const takeOverResult = home.takeOver(takeOverOf(), 0);
  t.like(takeOverResult, { outcome: 'found', record: { attempt: 2, deliveredIndex: 5 } });
  t.false(home.record(recordOf({ delivered: 8 }), 0).accepted);
  home.forget(toId('team-1'), toId('request-1'), toNumberId(1));
  t.is(home.size(), 1);
  home.forget(toId('team-1'), toId('request-1'), toNumberId(2));
  t.is(home.size(), 0);
});

test('the delivered index does not decrease within a generation', (t) => {
  const home = new RequestHome();
  home.record(recordOf({ delivered: 8 }), 0);
  home.record(recordOf({ delivered: 3 }), 0);
  t.like(home.takeOver(takeOverOf(), 0), { record: { deliveredIndex: 8 } });
  home.record(recordOf({ attempt: 3, delivered: -1, generation: 'generation-2' }), 0);
  t.like(home.takeOver(takeOverOf(), 0), { record: { deliveredIndex: -1 } });
});

test('records are bounded in number, size and age', (t) => {
  const home = new RequestHome({ maxAgeMs: 1_000, maxPromptCharacters: 100, maxRecords: 3 });
  for (let count = 0; count < 5; count += 1) {
    home.record(recordOf({ request: `r${count}` }), count);
  }
  t.is(home.size(), 3);
  t.is(home.takeOver(takeOverOf({ request: 'r1' }), 5).outcome, 'unknown');
  home.record(recordOf({ prompt: 'x'.repeat(90), request: 'long' }), 10);
  t.is(home.size(), 2);
  home.record(recordOf({ request: 'last' }), 1_500);
  t.is(home.size(), 1);
});

test('property: attempts of a request only increase, and each is held by one router', (t) => {
  const step = fc.record({
    attempt: fc.integer({ max: 6, min: 1 }),
    router: fc.constantFrom('router-1', 'router-2', 'router-3'),
    takesOver: fc.boolean(),
  });
  const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const home = new RequestHome();
    const holders = new Map<number, string>();
    let highest = 0;
    return steps.every(({ attempt, router, takesOver }) => {
      const takeOverResult = takesOver ? home.takeOver(takeOverOf({ router }), 0) : undefined;
      const recorded = takesOver ? undefined : home.record(recordOf({ attempt, router }), 0);
      const attemptOnRecord =
        takeOverResult?.outcome === 'found' ? takeOverResult.record.attempt : recorded?.attempt;
      const isHolder = takeOverResult?.outcome === 'found' || recorded?.accepted === true;
      if (attemptOnRecord === undefined || !isHolder) {
        return attemptOnRecord === undefined || attemptOnRecord >= highest;
      }
      const holder = holders.get(attemptOnRecord) ?? router;
      holders.set(attemptOnRecord, holder);
      const isForward = attemptOnRecord >= highest && holder === router;
      highest = attemptOnRecord;
      return isForward;
    });
  });
  t.notThrows(() => {
    fc.assert(property);
  });
});
