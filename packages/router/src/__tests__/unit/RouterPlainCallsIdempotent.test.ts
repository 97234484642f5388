import type { KnownServer, Result, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure, success, toId } from '@laburnumgap/kernel';
import type { PlainAnswer, PlainCallFailure } from '@laburnumgap/plain-calls';
import { RetryBudget } from '@laburnumgap/dispatch';
import { CallLatencyEstimator, ServerOutlierDetector } from '@laburnumgap/plain-calls';
import test from 'ava';
import type { IdempotentRequest, PlainCallAttempt } from '../../RouterPlainCallsIdempotent.js';
import { PlainCallsIdempotent } from '../../RouterPlainCallsIdempotent.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';

type AttemptStep = 'lost' | 'noConnection' | 'ok' | 'unavailable' | { readonly afterMs: number };

interface Case {
  readonly isLookup?: boolean;
  readonly outcome: string;
  readonly savedRetries?: number;
  readonly servers?: number;
  /** Whether earlier calls were observed, with a latency of 20 ms. */
  readonly isSlowKnown?: boolean;
  readonly steps: readonly AttemptStep[];
  readonly attempts: readonly string[];
}

const CASES: Record<string, Case> = {
  'answered at once': { outcome: '200', steps: ['ok'], attempts: ['app-0'] },
  'lost, then answered by another server': {
    outcome: '200',
    steps: ['lost', 'ok'],
    attempts: ['app-0', 'app-1'],
  },
  'unavailable at one server': {
    outcome: '200',
    steps: ['unavailable', 'ok'],
    attempts: ['app-0', 'app-1'],
  },
  'unavailable everywhere: the last answer is returned': {
    outcome: '503',
    steps: ['unavailable', 'unavailable', 'unavailable'],
    attempts: ['app-0', 'app-1', 'app-2'],
  },
  'lost everywhere': {
    outcome: 'UPSTREAM_FAILED',
    steps: ['lost', 'lost', 'lost'],
    attempts: ['app-0', 'app-1', 'app-2'],
  },
  'no connection anywhere: it did not run': {
    outcome: 'NO_SERVER',
    steps: ['noConnection', 'noConnection', 'noConnection'],
    attempts: ['app-0', 'app-1', 'app-2'],
  },
  'lost once, then no connection: it may have run': {
    outcome: 'UPSTREAM_FAILED',
    steps: ['lost', 'noConnection', 'noConnection'],
    attempts: ['app-0', 'app-1', 'app-2'],
  },
  'no retry left in the budget': {
    outcome: 'UPSTREAM_FAILED',
    savedRetries: 0,
    steps: ['lost', 'ok'],
    attempts: ['app-0'],
  },
  'a slow lookup is hedged, the first answer wins': {
    isLookup: true,
    outcome: '200',
    isSlowKnown: true,
    steps: [{ afterMs: 1_000 }, { afterMs: 5 }],
    attempts: ['app-0', 'app-1 at 20', 'app-0 aborted'],
  },
  'a slow lookup within its hedge delay': {
    isLookup: true,
    outcome: '200',
    isSlowKnown: true,
    steps: [{ afterMs: 19 }],
    attempts: ['app-0'],
  },
  'a slow call that is no lookup is not hedged': {
    outcome: '200',
    isSlowKnown: true,
    steps: [{ afterMs: 1_000 }],
    attempts: ['app-0'],
  },
  'a lookup is not hedged early while no latency is known': {
    isLookup: true,
    outcome: '200',
    steps: [{ afterMs: 1_000 }],
    attempts: ['app-0'],
  },
  'a lookup is not hedged without budget': {
    isLookup: true,
    outcome: '200',
    savedRetries: 0,
    isSlowKnown: true,
    steps: [{ afterMs: 1_000 }],
    attempts: ['app-0'],
  },
  'a slow lookup is hedged at the only server, because its connection may be silent': {
    isLookup: true,
    outcome: '200',
    servers: 1,
    isSlowKnown: true,
    steps: [{ afterMs: 100_000 }, 'ok'],
    attempts: ['app-0', 'app-0 at 20', 'app-0 aborted'],
  },
  'a silent lookup is hedged at half its timeout while no latency is known': {
    isLookup: true,
    outcome: '200',
    steps: [{ afterMs: 100_000 }, 'ok'],
    attempts: ['app-0', 'app-1 at 2500', 'app-0 aborted'],
  },
  'no server': { outcome: 'NO_SERVER', servers: 0, steps: [], attempts: [] },
};

const TEAM = toId<TeamId>('harrow-designers');
const REQUEST: IdempotentRequest = {
  call: { body: Buffer.alloc(0), headers: {}, method: 'GET', path: '/v1/notes' },
  isLookup: false,
  name: 'notes',
  requestId: toId('r'),
  service: 'notes',
  teamId: TEAM,
  timeoutMs: 5_000,
};

async function runCase(testCase: Case): Promise<{ outcome: string; tries: readonly string[] }> {
  const timers = new FakeTimers();
  const tries: string[] = [];
  const steps = [...testCase.steps];
  const latency = new CallLatencyEstimator();
  for (let count = 0; testCase.isSlowKnown && count < 20; count += 1) {
    latency.recordDuration(REQUEST.name, 20);
  }
  const send = async (
    request: PlainCallAttempt,
  ): Promise<Result<PlainAnswer, PlainCallFailure>> => {
    const name = request.address.slice('http://'.length);
    tries.push(timers.nowMs() > 0 ? `${name} at ${timers.nowMs()}` : name);
    request.signal.addEventListener('abort', () => tries.push(`${name} aborted`));
    const step = steps.shift() ?? 'lost';
    if (typeof step === 'object') {
      await new Promise<void>((resolve) => timers.after(step.afterMs, resolve));
    }
    if (step === 'lost' || step === 'noConnection') {
      return failure({ detail: step, mayHaveRun: step === 'lost' });
    }
    return success({
      body: Buffer.alloc(0),
      headers: {},
      status: step === 'unavailable' ? 503 : 200,
    });
  };
  const servers = Array.from({ length: testCase.servers ?? 3 }, (_, index): KnownServer => {
    return {
      address: `http://app-${index}`,
      backend: { kind: 'service', service: toId('notes') },
      failureDomain: toId('a'),
      leaving: false,
      region: toId('north'),
      serverId: toId(`app-${index}`),
      state: 'live',
    };
  });
  const idempotent = new PlainCallsIdempotent({
    budget: new RetryBudget({ maxBalance: testCase.savedRetries ?? 10 }),
    callsInFlight: new Map(),
    clock: timers,
    decisions: NO_DECISION_SINK,
    latency,
    outliers: new ServerOutlierDetector(),
    send,
    servers: () => servers,
    timers,
  });
  const outcome = await timers.runUntil(
    idempotent.run({ ...REQUEST, isLookup: testCase.isLookup ?? false }),
  );
  await settleMicrotasks();
  const name = outcome.kind === 'answer' ? String(outcome.answer.status) : outcome.refusal.code;
  return { outcome: name, tries };
}

for (const [name, value] of Object.entries(CASES)) {
  test(`an idempotent call: ${name}`, async (t) => {
    t.deepEqual(await runCase(value), { outcome: value.outcome, tries: value.attempts });
  });
}
