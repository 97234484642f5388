import type { KnownServer, Result, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure, success, toId } from '@laburnumgap/kernel';
import type { PlainAnswer, PlainCallFailure } from '@laburnumgap/plain-calls';
import { RetryBudget } from '@laburnumgap/dispatch';
import { CallLatencyEstimator, ServerOutlierDetector } from '@laburnumgap/plain-calls';
import test from 'ava';
import type { PlainCallTry, RepeatRequest } from '../../RouterPlainCallsRepeat.js';
import { PlainCallsRepeat } from '../../RouterPlainCallsRepeat.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';

type Step = 'lost' | 'noConnection' | 'ok' | 'unavailable' | { readonly afterMs: number };

interface Case {
  readonly isLookup?: boolean;
  readonly outcome: string;
  readonly savedRetries?: number;
  readonly servers?: number;
  /** Whether earlier calls have shown what is slow: 20 ms. */
  readonly slowKnown?: boolean;
  readonly steps: readonly Step[];
  readonly tries: readonly string[];
}

const CASES: Record<string, Case> = {
  'answered at once': { outcome: '200', steps: ['ok'], tries: ['app-0'] },
  'lost, then answered by another server': {
    outcome: '200',
    steps: ['lost', 'ok'],
    tries: ['app-0', 'app-1'],
  },
  'unavailable at one server': {
    outcome: '200',
    steps: ['unavailable', 'ok'],
    tries: ['app-0', 'app-1'],
  },
  'unavailable everywhere: the last answer is passed on': {
    outcome: '503',
    steps: ['unavailable', 'unavailable', 'unavailable'],
    tries: ['app-0', 'app-1', 'app-2'],
  },
  'lost everywhere': {
    outcome: 'UPSTREAM_FAILED',
    steps: ['lost', 'lost', 'lost'],
    tries: ['app-0', 'app-1', 'app-2'],
  },
  'no connection anywhere: it did not run': {
    outcome: 'NO_SERVER',
    steps: ['noConnection', 'noConnection', 'noConnection'],
    tries: ['app-0', 'app-1', 'app-2'],
  },
  'lost once, then no connection: it may have run': {
    outcome: 'UPSTREAM_FAILED',
    steps: ['lost', 'noConnection', 'noConnection'],
    tries: ['app-0', 'app-1', 'app-2'],
  },
  'no retry left in the budget': {
    outcome: 'UPSTREAM_FAILED',
    savedRetries: 0,
    steps: ['lost', 'ok'],
    tries: ['app-0'],
  },
  'a slow lookup is hedged, the first answer wins': {
    isLookup: true,
    outcome: '200',
    slowKnown: true,
    steps: [{ afterMs: 1_000 }, { afterMs: 5 }],
    tries: ['app-0', 'app-1 at 20', 'app-0 aborted'],
  },
  'a slow lookup within its hedge delay': {
    isLookup: true,
    outcome: '200',
    slowKnown: true,
    steps: [{ afterMs: 19 }],
    tries: ['app-0'],
  },
  'a slow call that is no lookup is not hedged': {
    outcome: '200',
    slowKnown: true,
    steps: [{ afterMs: 1_000 }],
    tries: ['app-0'],
  },
  'a lookup is not hedged early before it is known what is slow': {
    isLookup: true,
    outcome: '200',
    steps: [{ afterMs: 1_000 }],
    tries: ['app-0'],
  },
  'a lookup is not hedged without budget': {
    isLookup: true,
    outcome: '200',
    savedRetries: 0,
    slowKnown: true,
    steps: [{ afterMs: 1_000 }],
    tries: ['app-0'],
  },
  'a slow lookup is hedged at the same server, for its connection may be silent': {
    isLookup: true,
    outcome: '200',
    servers: 1,
    slowKnown: true,
    steps: [{ afterMs: 100_000 }, 'ok'],
    tries: ['app-0', 'app-0 at 20', 'app-0 aborted'],
  },
  'a silent lookup is hedged at half its time before it is known what is slow': {
    isLookup: true,
    outcome: '200',
    steps: [{ afterMs: 100_000 }, 'ok'],
    tries: ['app-0', 'app-1 at 2500', 'app-0 aborted'],
  },
  'no server': { outcome: 'NO_SERVER', servers: 0, steps: [], tries: [] },
};

const TEAM = toId<TeamId>('harrow-designers');
const REQUEST: RepeatRequest = {
  call: { body: Buffer.alloc(0), headers: {}, method: 'GET', path: '/v1/notes' },
  isLookup: false,
  name: 'notes',
  requestId: toId('r'),
  service: 'notes',
  teamId: TEAM,
  timeoutMs: 5_000,
};

async function runCase(value: Case): Promise<{ outcome: string; tries: readonly string[] }> {
  const timers = new FakeTimers();
  const tries: string[] = [];
  const steps = [...value.steps];
  const latency = new CallLatencyEstimator();
  for (let count = 0; value.slowKnown && count < 20; count += 1) {
    latency.recordDuration(REQUEST.name, 20);
  }
  const send = async (request: PlainCallTry): Promise<Result<PlainAnswer, PlainCallFailure>> => {
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
  const servers = Array.from({ length: value.servers ?? 3 }, (_, index): KnownServer => {
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
  const repeat = new PlainCallsRepeat({
    budget: new RetryBudget({ maxBalance: value.savedRetries ?? 10 }),
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
    repeat.run({ ...REQUEST, isLookup: value.isLookup ?? false }),
  );
  await settleMicrotasks();
  const name = outcome.kind === 'answer' ? String(outcome.answer.status) : outcome.refusal.code;
  return { outcome: name, tries };
}

for (const [name, value] of Object.entries(CASES)) {
  test(`a call that may be repeated: ${name}`, async (t) => {
    t.deepEqual(await runCase(value), { outcome: value.outcome, tries: value.tries });
  });
}
