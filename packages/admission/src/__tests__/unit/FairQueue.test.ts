import test from 'ava';
import fc from 'fast-check';
import { FairQueue } from '../../index.js';
import type { RequestFields } from '../AdmissionFixtures.js';
import { requestOf } from '../AdmissionFixtures.js';

const WORK = 1_000;

function push(queue: FairQueue, arrivedMs: number, fields: RequestFields): void {
  queue.push({ arrivedMs, request: requestOf(fields), work: WORK });
}

/** Serves the next request and charges its tokens. Returns its team. */
function serve(queue: FairQueue, nowMs: number, tokens = 100): string {
  const first = queue.first(nowMs);
  if (!first) {
    return '';
  }
  queue.remove(first.request.reservationId);
  queue.charge(first.request.teamId, first.request.weight, tokens);
  return first.request.teamId;
}

test('property: a small team waits for at most one request of each other team', (t) => {
  const sizes = fc.array(fc.integer({ max: 60, min: 1 }), { maxLength: 6, minLength: 1 });
  const property = fc.property(sizes, fc.integer({ max: 40, min: 0 }), (queueSizes, served) => {
    const queue = new FairQueue();
    queueSizes.forEach((size, team) => {
      for (let count = 0; count < size; count += 1) {
        push(queue, 0, { id: `${team}-${count}`, team: `big-${team}`, waitBoundMs: 1e9 });
      }
    });
    for (let count = 0; count < served; count += 1) {
      serve(queue, 0);
    }
    push(queue, 1, { id: 'small', team: 'small', waitBoundMs: 1e9 });
    const ahead: string[] = [];
    let team = serve(queue, 1);
    while (team !== 'small') {
      ahead.push(team);
      team = serve(queue, 1);
    }
    const maxPerTeam = Math.max(0, ...queueSizes.map((_, index) => countOf(ahead, `big-${index}`)));
    const fifoAhead = Math.max(0, queueSizes.reduce((sum, size) => sum + size, 0) - served);
    return maxPerTeam <= 1 && ahead.length <= fifoAhead;
  });
  t.notThrows(() => {
    fc.assert(property);
  });
});

test('property: teams with backlogs are served tokens in proportion to their weights', (t) => {
  const weights = fc.array(fc.integer({ max: 8, min: 1 }), { maxLength: 4, minLength: 2 });
  const tokens = fc.array(fc.integer({ max: 300, min: 1 }), { maxLength: 400, minLength: 400 });
  const property = fc.property(weights, tokens, (teamWeights, lengths) => {
    const queue = new FairQueue();
    const servedTokens = teamWeights.map(() => 0);
    teamWeights.forEach((weight, team) => {
      for (let count = 0; count < 400; count += 1) {
        push(queue, 0, { id: `${team}-${count}`, team: `${team}`, waitBoundMs: 1e9, weight });
      }
    });
    for (const length of lengths) {
      const team = Number(serve(queue, 0, length));
      servedTokens[team] = (servedTokens[team] ?? 0) + length;
    }
    const perWeight = servedTokens.map((served, team) => served / (teamWeights[team] ?? 1));
    return Math.max(...perWeight) - Math.min(...perWeight) <= 300;
  });
  t.notThrows(() => {
    fc.assert(property, { numRuns: 30 });
  });
});

test('a team does not accumulate credit while it is idle', (t) => {
  const queue = new FairQueue();
  for (let count = 0; count < 20; count += 1) {
    push(queue, 0, { id: `busy-${count}`, team: 'busy' });
  }
  for (let count = 0; count < 10; count += 1) {
    serve(queue, 0);
  }
  for (let count = 0; count < 10; count += 1) {
    push(queue, 0, { id: `idle-${count}`, team: 'idle' });
  }
  const next = Array.from({ length: 6 }, () => serve(queue, 0));
  t.is(countOf(next, 'idle'), 3);
});

interface OrderCase {
  readonly expected: readonly string[];
  readonly name: string;
  readonly nowMs: number;
  readonly requests: readonly (RequestFields & { readonly arrivedMs?: number })[];
}

const ORDER_CASES: readonly OrderCase[] = [
  {
    expected: ['interactive', 'standard', 'batch'],
    name: 'classes are served in order',
    nowMs: 0,
    requests: [
      { priorityClass: 2, team: 'batch' },
      { priorityClass: 1, team: 'standard' },
      { priorityClass: 0, team: 'interactive' },
    ],
  },
  {
    expected: ['batch', 'interactive'],
    name: 'a request that waited for its whole bound is promoted and goes first',
    nowMs: 10_000,
    requests: [
      { arrivedMs: 0, priorityClass: 2, team: 'batch', waitBoundMs: 10_000 },
      { arrivedMs: 9_999, priorityClass: 0, team: 'interactive', waitBoundMs: 10_000 },
    ],
  },
  {
    expected: ['preempted', 'fresh'],
    name: 'a preempted request is promoted by one class',
    nowMs: 0,
    requests: [
      { priorityClass: 1, team: 'fresh' },
      { preemptions: 1, priorityClass: 1, team: 'preempted' },
    ],
  },
];

for (const { expected, name, nowMs, requests } of ORDER_CASES) {
  test(name, (t) => {
    const queue = new FairQueue();
    requests.forEach((fields, index) => {
      push(queue, fields.arrivedMs ?? 0, { ...fields, id: `r${index}` });
    });
    t.deepEqual(
      requests.map(() => serve(queue, nowMs)),
      expected,
    );
  });
}

test('a preempted request goes before fresh ones of its team', (t) => {
  const queue = new FairQueue();
  push(queue, 0, { id: 'fresh' });
  push(queue, 1, { id: 'preempted', preemptions: 1 });
  t.is(queue.first(1)?.request.requestId, requestOf({ id: 'preempted' }).requestId);
});

test('work ahead includes the queue of the team and a fair share of the others', (t) => {
  const queue = new FairQueue();
  for (let count = 0; count < 50; count += 1) {
    push(queue, 0, { id: `big-${count}`, team: 'big' });
  }
  push(queue, 0, { id: 'small-0', team: 'small' });
  push(queue, 0, { id: 'batch-0', priorityClass: 2, team: 'batch' });
  const { teamId } = requestOf({ team: 'small' });
  t.is(queue.workAhead(teamId, 1, 1, WORK), 3 * WORK);
  t.is(queue.removeExpired(60_000).length, 52);
  t.is(queue.size(), 0);
});

function countOf(items: readonly string[], item: string): number {
  return items.filter((other) => other === item).length;
}
