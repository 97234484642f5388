import type {
  EngineId,
  GenerationHomeRecord,
  GenerationId,
  MemberId,
  ModelId,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { createRpcClients } from '@laburnumgap/rpc';
import type { GenerationRecord } from '@laburnumgap/rpc';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { waitForAdmission } from '../../RouterAdmissionWait.js';
import type { AdmissionRequest, HomeTakeOverRequest } from '../../RouterPorts.js';
import { RpcAdmission } from '../../RouterRpcAdmission.js';
import { RpcRequestHomes } from '../../RouterRpcRequestHomes.js';
import type { Timers } from '../../RouterTimers.js';
import { FakeDirectory, FakeSchedulerServer, SECRET } from '../utils/FakeSchedulerServer.js';

const ENGINE = toId<EngineId>('engine-1');
const ROUTER = toId<MemberId>('router-1');
const TEAM = toId<TeamId>('stock');
const REQUEST = toId<RequestId>('r-1');

/** Much longer than any of these calls takes, so that no deadline influences a result. */
const DEADLINE_MS = 60_000;
const NO_TIMERS: Timers = { after: () => () => undefined };

const ADMISSION: AdmissionRequest = {
  attempt: toNumberId(2),
  engineId: ENGINE,
  generationId: toId<GenerationId>('g-1'),
  maxTokens: 50,
  model: toId<ModelId>('drafts'),
  preemptions: 1,
  prefixHashes: ['ab', 'cd'],
  priorityClass: 1,
  producedTokens: 7,
  promptTokens: 9,
  requestId: REQUEST,
  teamId: TEAM,
  waitBoundMs: 60_000,
  weight: 2,
};

const RECORD: GenerationHomeRecord = {
  attempt: toNumberId(1),
  bodyHash: 'hash',
  deliveredIndex: 6,
  engineId: ENGINE,
  engineUrl: 'http://engine-1',
  generationId: toId<GenerationId>('g-1'),
  maxTokens: 50,
  model: toId<ModelId>('drafts'),
  prompt: 'hello',
  requestId: REQUEST,
  seed: 4_000_000_000,
  streamed: true,
  teamId: TEAM,
};

const TAKE_OVER: HomeTakeOverRequest = {
  bodyHash: 'hash',
  isResume: false,
  requestId: REQUEST,
  teamId: TEAM,
};

interface ConnectedPeers {
  readonly admission: RpcAdmission;
  readonly directory: FakeDirectory;
  readonly requestHomes: RpcRequestHomes;
}

async function connect(
  t: ExecutionContext,
  schedulers: readonly FakeSchedulerServer[],
): Promise<ConnectedPeers> {
  await Promise.all(schedulers.map((scheduler) => scheduler.start()));
  const clients = createRpcClients(SECRET);
  t.teardown(() => {
    clients.close();
    for (const scheduler of schedulers) {
      scheduler.close();
    }
  });
  const directory = new FakeDirectory(schedulers.map((scheduler) => scheduler.member));
  const options = { clients, directory, routerId: ROUTER };
  return {
    admission: new RpcAdmission({ ...options, estimateDeadlineMs: DEADLINE_MS }),
    directory,
    requestHomes: new RpcRequestHomes({ ...options, deadlineMs: DEADLINE_MS }),
  };
}

function admit(admission: RpcAdmission): ReturnType<typeof waitForAdmission> {
  const { signal } = new AbortController();
  return waitForAdmission({ admission, request: ADMISSION, signal, timers: NO_TIMERS });
}

test('the scheduler receives the whole admission request and, after a preemption, its cancellation', async (t) => {
  const scheduler = new FakeSchedulerServer('s-1', 'a', (call) => {
    call.write({ queued: { expectedWaitMs: 3 } });
    call.write({ granted: { enginePriority: 2, engineUrl: 'http://engine-1', waitedMs: 3 } });
  });
  const { admission } = await connect(t, [scheduler]);
  const outcome = await admit(admission);
  if (outcome.kind !== 'granted') {
    t.fail(outcome.kind);
    return;
  }
  const [call] = scheduler.admits;
  t.snapshot(call?.request);
  const moved = new Promise<void>((resolve) => {
    outcome.reservation.onPreemptionRequested(resolve);
  });
  call?.write({ preempt: { reason: 'memory' } });
  await moved;
  const cancelled = new Promise((resolve) => call?.once('cancelled', resolve));
  outcome.reservation.release();
  await cancelled;
  t.pass();
});

test('a refusal carries the code and retryAfterMs of the scheduler', async (t) => {
  const refused = { code: 'QUEUE_WAIT_TOO_LONG', detail: 'full', retryAfterMs: 800 };
  const scheduler = new FakeSchedulerServer('s-1', 'a', (call) => {
    call.write({ refused });
    call.end();
  });
  const { admission, directory } = await connect(t, [scheduler]);
  const outcome = await admit(admission);
  t.like(outcome, { kind: 'refused', refusal: refused });
  t.deepEqual(directory.suspected, []);
});

test('after the scheduler dies before the grant, the next in rank grants the admission', async (t) => {
  const dying = new FakeSchedulerServer('s-1', 'a', () => {
    dying.close();
  });
  const next = new FakeSchedulerServer('s-2', 'b', (call) => {
    call.write({ granted: { enginePriority: 1, engineUrl: 'http://engine-1', waitedMs: 0 } });
  });
  const { admission } = await connect(t, [dying, next]);
  t.is((await admit(admission)).kind, 'lost');
  t.is((await admit(admission)).kind, 'granted');
  t.is(next.admits.length, 1);
});

test('after the scheduler dies after the grant, progress is reported to the next in rank', async (t) => {
  const dying = new FakeSchedulerServer('s-1', 'a', (call) => {
    call.write({ granted: { enginePriority: 1, engineUrl: 'http://engine-1', waitedMs: 0 } });
  });
  const next = new FakeSchedulerServer('s-2', 'b');
  const { admission, directory } = await connect(t, [dying, next]);
  t.is((await admit(admission)).kind, 'granted');
  dying.close();
  while (directory.suspected.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  admission.reportProgress([
    {
      attempt: toNumberId(2),
      engineId: ENGINE,
      enginePreempted: false,
      finished: false,
      generationId: toId<GenerationId>('g-1'),
      producedTokens: 31,
    },
  ]);
  while (next.progress.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.like(next.progress[0], { progress: [{ producedTokens: 31 }], routerId: ROUTER });
});

test('estimates come from the schedulers that answer', async (t) => {
  const scheduler = new FakeSchedulerServer('s-1', 'a');
  const { admission } = await connect(t, [scheduler]);
  const query = {
    engineIds: [ENGINE],
    maxTokens: 5,
    model: toId<ModelId>('drafts'),
    prefixHashes: [],
    promptTokens: 3,
    teamId: TEAM,
  };
  t.deepEqual(await admission.estimate(query), [
    { acceptsWork: true, cachedPrefixTokens: 4, engineId: ENGINE, waitMs: 12 },
  ]);
});

function createHomes(): readonly [FakeSchedulerServer, FakeSchedulerServer, FakeSchedulerServer] {
  return [
    new FakeSchedulerServer('s-1', 'a'),
    new FakeSchedulerServer('s-2', 'a'),
    new FakeSchedulerServer('s-3', 'b'),
  ];
}

test('recorded at the first home and the next one in another failure domain', async (t) => {
  const schedulers = createHomes();
  const peers = await connect(t, schedulers);
  t.is(await peers.requestHomes.record(RECORD), 'recorded');
  t.deepEqual(
    schedulers.map((scheduler) => scheduler.records.length),
    [1, 0, 1],
  );
  t.snapshot(schedulers[2].records[0]);
});

test('recorded in three failure domains where there are as many', async (t) => {
  const schedulers = ['a', 'b', 'a', 'c', 'b'].map(
    (domain, number) => new FakeSchedulerServer(`s-${number}`, domain),
  );
  const peers = await connect(t, schedulers);
  t.is(await peers.requestHomes.record(RECORD), 'recorded');
  t.deepEqual(
    schedulers.map((scheduler) => scheduler.records.length),
    [1, 1, 0, 1, 0],
  );
});

const RECORD_OUTCOMES = [
  { expected: 'superseded', replies: [true, false], title: 'one home knows a newer attempt' },
  { expected: 'recorded', replies: [true, undefined], title: 'one home is down' },
  { expected: 'unreachable', replies: [undefined, undefined], title: 'both homes are down' },
] as const;

for (const { expected, replies, title } of RECORD_OUTCOMES) {
  test(`record, ${title}: ${expected}`, async (t) => {
    const schedulers = createHomes();
    const peers = await connect(t, schedulers);
    [schedulers[0], schedulers[2]].forEach((scheduler, home) => {
      scheduler.recordReply = { accepted: replies[home] ?? false, attempt: 9 };
      if (replies[home] === undefined) {
        scheduler.close();
      }
    });
    t.is(await peers.requestHomes.record(RECORD), expected);
  });
}

function recordWithAttempt(attempt: number): GenerationRecord {
  const { model, ...fields } = RECORD;
  return { ...fields, attempt, modelId: model, routerId: ROUTER };
}

test('a takeover uses the record with the highest attempt', async (t) => {
  const schedulers = createHomes();
  const peers = await connect(t, schedulers);
  schedulers[0].takeOverReply = { outcome: 'found', record: recordWithAttempt(2) };
  schedulers[2].takeOverReply = { outcome: 'found', record: recordWithAttempt(5) };
  const taken = await peers.requestHomes.takeOver(TAKE_OVER);
  t.deepEqual(taken, {
    ok: true,
    value: { outcome: 'found', record: { ...RECORD, attempt: toNumberId(5) } },
  });
});

test('a restarted home without records does not hide the record of another home', async (t) => {
  const schedulers = createHomes();
  const peers = await connect(t, schedulers);
  schedulers[2].takeOverReply = { outcome: 'found', record: recordWithAttempt(2) };
  const taken = await peers.requestHomes.takeOver(TAKE_OVER);
  t.like(taken, { ok: true, value: { outcome: 'found' } });
});

test('a takeover without any reachable home fails as homesUnreachable', async (t) => {
  const schedulers = createHomes();
  const peers = await connect(t, schedulers);
  for (const scheduler of schedulers) {
    scheduler.close();
  }
  const taken = await peers.requestHomes.takeOver(TAKE_OVER);
  t.deepEqual(taken, { error: { kind: 'homesUnreachable' }, ok: false });
});

const RESUME_CASES: readonly {
  readonly down: readonly number[];
  readonly expected: string;
  readonly knows?: number;
  readonly title: string;
}[] = [
  { down: [], expected: 'found', knows: 1, title: 'a scheduler that is no home knows it' },
  { down: [0, 2], expected: 'found', knows: 1, title: 'both homes are down, another knows it' },
  { down: [2], expected: 'homesUnreachable', title: 'nobody knows it and a home is down' },
  { down: [1], expected: 'homesUnreachable', title: 'nobody knows it and another is down' },
  { down: [], expected: 'unknown', title: 'all were asked and nobody knows it' },
];

for (const { down, expected, knows, title } of RESUME_CASES) {
  test(`resuming a generation: ${title}`, async (t) => {
    const schedulers = createHomes();
    const peers = await connect(t, schedulers);
    for (const index of down) {
      schedulers[index]?.close();
    }
    const knowing = knows === undefined ? undefined : schedulers[knows];
    if (knowing) {
      knowing.takeOverReply = { outcome: 'found', record: recordWithAttempt(2) };
    }
    const taken = await peers.requestHomes.takeOver({ ...TAKE_OVER, isResume: true });
    const outcome: string = taken.ok ? taken.value.outcome : taken.error.kind;
    t.is(outcome, expected);
  });
}
