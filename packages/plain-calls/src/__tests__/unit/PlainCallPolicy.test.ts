import type { KnownServer, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import fc from 'fast-check';
import { RetryBudget } from '@laburnumgap/dispatch';
import { CallLatencyEstimator, ServerOutlierDetector, rankPlainServers } from '../../index.js';

const SEED = 20261203;
const SERVICE = toId<ServiceId>('stock');

function server(name: string, changes: Partial<KnownServer> = {}): KnownServer {
  return {
    address: `http://${name}`,
    backend: { kind: 'service', service: SERVICE },
    failureDomain: toId('a'),
    leaving: false,
    region: toId('north'),
    serverId: toId(name),
    state: 'live',
    ...changes,
  };
}

test('retries stay within the balance plus a fraction of first attempts, in any order', (t) => {
  const events = fc.array(fc.tuple(fc.constantFrom('first', 'retry'), fc.nat(1)), {
    maxLength: 400,
  });
  fc.assert(
    fc.property(events, (drawn) => {
      const budget = new RetryBudget({ maxBalance: 5, retriesPerFirstAttempt: 0.1 });
      const counts = [0, 1].map(() => ({ first: 0, retries: 0 }));
      for (const [kind, team] of drawn) {
        const count = counts[team];
        if (count === undefined) {
          continue;
        }
        if (kind === 'first') {
          budget.recordFirstAttempt(`team-${team}`);
          count.first += 1;
        } else if (budget.takeRetry(`team-${team}`)) {
          count.retries += 1;
        }
      }
      return counts.every(({ first, retries }) => retries <= 5 + 0.1 * first + 1e-9);
    }),
    { numRuns: 500, seed: SEED },
  );
  t.pass();
});

test('the retry budget limits load in an outage, compared with retries without a budget', (t) => {
  const budget = new RetryBudget();
  let sent = 0;
  let sentWithoutBudget = 0;
  for (let call = 0; call < 1_000; call += 1) {
    budget.recordFirstAttempt('team');
    sent += 1;
    sentWithoutBudget += 1;
    // Every attempt fails; without a budget, both retries are used each time.
    for (let retry = 0; retry < 2; retry += 1) {
      sentWithoutBudget += 1;
      sent += budget.takeRetry('team') ? 1 : 0;
    }
  }
  t.is(sentWithoutBudget, 3_000);
  t.true(sent <= 1_110, `${sent}`);
});

test('a server that fails repeatedly is ejected, for longer each time', (t) => {
  const outliers = new ServerOutlierDetector({
    failureThreshold: 3,
    maxEjectionMs: 300,
    minEjectionMs: 100,
  });
  const id = toId<ServerId>('app-1');
  const recordFailures = (times: number, nowMs: number) =>
    Array.from({ length: times }, () => outliers.recordFailure(id, nowMs)).at(-1);
  t.false(recordFailures(2, 0));
  outliers.recordSuccess(id);
  t.false(recordFailures(2, 0));
  t.true(recordFailures(1, 0));
  t.true(outliers.isEjected(id, 99));
  t.false(outliers.isEjected(id, 100));
  t.true(recordFailures(1, 100));
  t.true(outliers.isEjected(id, 299));
  t.true(recordFailures(1, 300));
  t.true(outliers.isEjected(id, 599));
  t.false(outliers.isEjected(id, 600));
  outliers.retain(new Set());
  t.false(recordFailures(2, 600));
});

test('servers are ranked by load and failure domain, without leaving and ejected ones', (t) => {
  const otherDomain = { failureDomain: toId<KnownServer['failureDomain']>('b') };
  const cases: {
    calls?: Record<string, number>;
    ejected?: string[];
    expected: string[];
    servers: KnownServer[];
  }[] = [
    { expected: [], servers: [] },
    { expected: ['one'], servers: [server('one'), server('two', { leaving: true })] },
    { expected: ['two', 'one'], servers: [server('one', otherDomain), server('two')] },
    {
      calls: { two: 2 },
      expected: ['one', 'two'],
      servers: [server('one', otherDomain), server('two')],
    },
    { ejected: ['one'], expected: ['two'], servers: [server('one'), server('two')] },
    { ejected: ['one'], expected: ['one'], servers: [server('one')] },
    {
      expected: ['one'],
      servers: [
        server('one'),
        server('engine', { backend: { kind: 'model', pool: toId('pool') } }),
        server('other', { backend: { kind: 'service', service: toId('orders') } }),
      ],
    },
  ];
  for (const { calls = {}, ejected = [], expected, servers } of cases) {
    const chosen = rankPlainServers({
      callsInFlight: new Map(Object.entries(calls).map(([name, count]) => [toId(name), count])),
      failureDomain: toId('a'),
      nowMs: 0,
      outliers: { isEjected: (serverId) => ejected.includes(serverId) },
      random: { nextUnit: () => 0.5 },
      servers,
      service: SERVICE,
    });
    t.deepEqual(
      chosen.map(({ serverId }) => serverId as string),
      expected,
    );
  }
});

test('a call counts as slow from the 95th percentile of its latest durations', (t) => {
  const latency = new CallLatencyEstimator({ maxSamples: 100, maxCalls: 2, minSamples: 20 });
  for (let ms = 1; ms < 20; ms += 1) {
    latency.recordDuration('lookup', ms);
  }
  t.is(latency.slowThresholdMs('lookup'), undefined);
  for (let ms = 20; ms <= 200; ms += 1) {
    latency.recordDuration('lookup', ms);
  }
  t.is(latency.slowThresholdMs('lookup'), 195);
  latency.recordDuration('second', 1);
  latency.recordDuration('third', 1);
  t.is(latency.slowThresholdMs('lookup'), undefined, 'the least recently used call is dropped');
});
