import type { ClientReadableStream, ServiceError, StatusObject } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';
import type { StartedDaemon } from '@laburnumgap/daemon';
import { toId } from '@laburnumgap/kernel';
import type {
  AdmitEvent__Output,
  AdmitRequest,
  EstimateReply__Output,
  EstimateRequest,
  RpcClient,
  RpcClients,
  ShareReply__Output,
  ShareRequest,
  StatusReply__Output,
  StatusRequest,
} from '@laburnumgap/rpc';
import { createRpcClients } from '@laburnumgap/rpc';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { startScheduler } from '../../index.js';
import type { SchedulerFakes } from '../SchedulerFakes.js';
import { FAKE_SECRET, IDLE_LOAD, createSchedulerFakes, fakeServer } from '../SchedulerFakes.js';

type AdmitStream = ClientReadableStream<AdmitEvent__Output>;

const DEADLINE_MS = 60_000;
const LOAD_INTERVAL_MS = 10;

interface StartedScheduler {
  readonly admit: (request: AdmitRequest) => AdmitStream;
  readonly admission: RpcClient<'Admission'>;
  readonly clients: RpcClients;
  readonly fakes: SchedulerFakes;
  readonly scheduler: StartedDaemon;
}

async function start(t: ExecutionContext): Promise<StartedScheduler> {
  const fakes = createSchedulerFakes();
  const { context, createReportClient, node } = fakes;
  const scheduler = await startScheduler({
    context,
    createReportClient,
    loadIntervalMs: LOAD_INTERVAL_MS,
    node,
  });
  const clients = createRpcClients(FAKE_SECRET);
  const admission = clients.get('Admission', scheduler.addresses.rpc ?? '');
  t.teardown(async () => {
    clients.close();
    await scheduler.drain();
    context.actors.stop();
  });
  const admit = (request: AdmitRequest): AdmitStream => {
    const stream = admission.admit({ ...ADMIT_REQUEST, ...request }, clients.metadata());
    stream.on('error', () => undefined);
    return stream;
  };
  return { admission, admit, clients, fakes, scheduler };
}

const ADMIT_REQUEST: AdmitRequest = {
  attempt: 1,
  engineId: 'engine-1',
  generationId: 'generation-1',
  maxTokens: 100,
  modelId: 'model-1',
  priorityClass: 1,
  promptTokens: 600,
  requestId: 'request-1',
  teamId: 'team-1',
  waitBoundMs: 60_000,
  weight: 1,
};

function nextEvent(stream: AdmitStream): Promise<AdmitEvent__Output> {
  return new Promise((resolve) => {
    stream.once('data', resolve);
  });
}

async function untilGranted(stream: AdmitStream): Promise<AdmitEvent__Output> {
  let event = await nextEvent(stream);
  while (event.event === 'queued') {
    event = await nextEvent(stream);
  }
  return event;
}

test('a reservation lives as long as its stream', async (t) => {
  const { admit } = await start(t);
  const first = admit({});
  t.is((await untilGranted(first)).granted?.engineUrl, 'http://127.0.0.1:1/engine-1');

  const second = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(second)).event, 'queued');
  first.cancel();
  t.is((await nextEvent(second)).event, 'granted');
});

test('an unknown engine is refused as NO_ENGINE', async (t) => {
  const { admit } = await start(t);
  const event = await nextEvent(admit({ engineId: 'engine-9' }));
  t.is(event.refused?.code, 'NO_ENGINE');
});

test('a leaving engine refuses waiting and new requests', async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  fakes.setServers([fakeServer('engine-1', true)]);
  t.is((await nextEvent(waiting)).refused?.code, 'NO_ENGINE');
  t.is((await nextEvent(admit({ requestId: 'request-3' }))).refused?.code, 'NO_ENGINE');
});

test('draining redirects waiting requests to the next scheduler and ends the streams of running ones', async (t) => {
  const { admit, scheduler } = await start(t);
  const running = admit({});
  await untilGranted(running);
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  const lost = new Promise<ServiceError>((resolve) => waiting.once('error', resolve));
  const ended = new Promise<StatusObject>((resolve) => running.once('status', resolve));
  await scheduler.drain();
  t.is((await lost).code, status.UNAVAILABLE);
  t.is((await ended).code, status.OK);
});

test('decisions on a request can be read by operators', async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const kept = fakes.context.decisions.explain(toId('request-1'));
  t.is(kept.at(-1)?.decision, 'admit');
});

test('an engine that stops answering refuses requests until it answers again', async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  fakes.setLoad(undefined);
  t.is((await nextEvent(waiting)).refused?.code, 'NO_ENGINE');
  fakes.setLoad(IDLE_LOAD);
  let event = await untilGranted(admit({ promptTokens: 10, requestId: 'request-3' }));
  while (event.event === 'refused') {
    event = await untilGranted(admit({ promptTokens: 10, requestId: 'request-3' }));
  }
  t.is(event.event, 'granted');
});

test("an engine's own notice of leaving marks its server as leaving", async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  fakes.setLoad({ ...IDLE_LOAD, leaving: true });
  t.is((await nextEvent(waiting)).refused?.code, 'NO_ENGINE');
  t.deepEqual([...fakes.notedLeaving], ['engine-1']);
});

test('an estimate reports the cached prefix and omits unknown engines', async (t) => {
  const { admission, clients } = await start(t);
  const query = { engineIds: ['engine-1', 'engine-9'], prefixHashes: ['other', 'cached'] };
  const estimate = admission.estimate.bind(admission);
  let reply = await clients.unary<EstimateRequest, EstimateReply__Output>(
    estimate,
    query,
    DEADLINE_MS,
  );
  while (reply.ok && reply.value.estimates[0]?.cachedPrefixTokens === 0) {
    reply = await clients.unary<EstimateRequest, EstimateReply__Output>(
      estimate,
      query,
      DEADLINE_MS,
    );
  }
  const estimates = reply.ok ? reply.value.estimates : [];
  t.is(estimates.length, 1);
  t.like(estimates[0], { acceptsWork: true, cachedPrefixTokens: 64, engineId: 'engine-1' });
});

test('a new owner of an engine counts the generations that routers report', async (t) => {
  const { admission, clients, scheduler } = await start(t);
  const progress = { attempt: 1, engineId: 'engine-1', generationId: 'elsewhere' };
  const report = { progress: [{ ...progress, producedTokens: 90 }], routerId: 'router-1' };
  await clients.unary(admission.reportProgress.bind(admission), report, DEADLINE_MS);
  const inspect = clients.get('Inspect', scheduler.addresses.rpc ?? '');
  const status = await clients.unary<StatusRequest, StatusReply__Output>(
    inspect.getStatus.bind(inspect),
    {},
    DEADLINE_MS,
  );
  const facts = status.ok ? status.value.facts : [];
  const adopted = facts.find(({ name }) => name === 'engine.engine-1.adoptedGenerations');
  t.is(adopted?.value, '1');
});

test('a request home rejects records of the earlier router and takeovers by other teams', async (t) => {
  const { clients, scheduler } = await start(t);
  const homes = clients.get('RequestHome', scheduler.addresses.rpc ?? '');
  const record = { attempt: 1, bodyHash: 'body', requestId: 'request-1', teamId: 'team-1' };
  const recordGeneration = homes.recordGeneration.bind(homes);
  const takeOver = homes.takeOver.bind(homes);
  await clients.unary(recordGeneration, { ...record, routerId: 'router-1' }, DEADLINE_MS);
  const taken = await clients.unary(takeOver, { ...record, routerId: 'router-2' }, DEADLINE_MS);
  t.like(taken, { value: { outcome: 'found', record: { attempt: 2, routerId: 'router-2' } } });
  const late = { ...record, deliveredIndex: 9, routerId: 'router-1' };
  t.like(await clients.unary(recordGeneration, late, DEADLINE_MS), {
    value: { accepted: false, attempt: 2 },
  });
  const other = { ...record, teamId: 'team-2' };
  t.like(await clients.unary(takeOver, other, DEADLINE_MS), { value: { outcome: 'otherTeam' } });
});

test('shares of limits are handed out only to teams with a contract', async (t) => {
  const { clients, scheduler } = await start(t);
  const quota = clients.get('Quota', scheduler.addresses.rpc ?? '');
  const demand = { requestsPerSecond: 1, runningRequests: 1, tokensPerSecond: 10 };
  const demands = ['team-1', 'team-9'].map((teamId) => ({ ...demand, teamId }));
  const request = { demands, routerId: 'router-1' };
  const reply = await clients.unary<ShareRequest, ShareReply__Output>(
    quota.acquireShare.bind(quota),
    request,
    DEADLINE_MS,
  );
  const shares = reply.ok ? reply.value.shares : [];
  t.deepEqual(
    shares.map(({ contractRevision, teamId }) => ({ contractRevision, teamId })),
    [{ contractRevision: 1, teamId: 'team-1' }],
  );
});
