import type { ClientReadableStream } from '@grpc/grpc-js';
import type { StartedDaemon } from '@laburnumgap/daemon';
import { toId } from '@laburnumgap/kernel';
import type { AdmitEvent__Output, AdmitRequest, RpcClient } from '@laburnumgap/rpc';
import { createRpcClients } from '@laburnumgap/rpc';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { startScheduler } from '../../index.js';
import type { SchedulerFakes } from '../SchedulerFakes.js';
import { FAKE_SECRET, createSchedulerFakes, fakeServer } from '../SchedulerFakes.js';

type AdmitStream = ClientReadableStream<AdmitEvent__Output>;

interface Started {
  readonly admit: (request: AdmitRequest) => AdmitStream;
  readonly admission: RpcClient<'Admission'>;
  readonly fakes: SchedulerFakes;
  readonly scheduler: StartedDaemon;
}

async function start(t: ExecutionContext): Promise<Started> {
  const fakes = createSchedulerFakes();
  const { context, createReports, node } = fakes;
  const scheduler = await startScheduler({ context, createReports, node });
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
  return { admission, admit, fakes, scheduler };
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

test('a leaving engine refuses what waits and what comes', async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  fakes.setServers([fakeServer('engine-1', true)]);
  t.is((await nextEvent(waiting)).refused?.code, 'NO_ENGINE');
  t.is((await nextEvent(admit({ requestId: 'request-3' }))).refused?.code, 'NO_ENGINE');
});

test('draining refuses what waits and ends the streams of what runs', async (t) => {
  const { admit, scheduler } = await start(t);
  const running = admit({});
  await untilGranted(running);
  const waiting = admit({ generationId: 'generation-2', requestId: 'request-2' });
  t.is((await nextEvent(waiting)).event, 'queued');
  const refused = nextEvent(waiting);
  const ended = new Promise((resolve) => running.once('end', resolve));
  await scheduler.drain();
  t.is((await refused).refused?.code, 'DRAINING');
  await ended;
});

test('decisions on a request are kept for operators', async (t) => {
  const { admit, fakes } = await start(t);
  await untilGranted(admit({}));
  const kept = fakes.context.decisions.explain(toId('request-1'));
  t.is(kept.at(-1)?.decision, 'admit');
});
