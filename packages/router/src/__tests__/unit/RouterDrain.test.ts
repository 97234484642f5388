import test from 'ava';
import { request } from 'undici';
import { API_KEY, startTestDaemon } from '../utils/TestDaemon.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeCluster } from '../utils/FakeCluster.js';

const BODY = JSON.stringify({ max_tokens: 3, model: 'drafts', prompt: 'hello' });
const HEADERS = { authorization: `Bearer ${API_KEY}`, 'x-request-id': 'r-1' };

test('on shutdown running answers complete, new requests are refused, then connections are closed', async (t) => {
  const cluster = new FakeCluster();
  cluster.admission.plannedEvents.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startTestDaemon(t, { cluster });
  const send = (): ReturnType<typeof request> =>
    request(`${daemon.url}/v1/completions`, { body: BODY, headers: HEADERS, method: 'POST' });
  const running = send();
  while (cluster.admission.openReservations.size === 0) {
    await settleMicrotasks();
  }
  daemon.setStage('draining');
  const drained = daemon.router.drain();
  const refused = await send();
  t.is(refused.statusCode, 503);
  t.like(await refused.body.json(), { error: { name: 'DRAINING', run: 'not_run' } });
  for (const [admitted, onEvent] of cluster.admission.openReservations) {
    const engineUrl = admitted.engineId;
    onEvent({ enginePriority: 1, engineUrl, kind: 'granted', waitedMs: 5 });
  }
  const answer = await running;
  t.is(answer.statusCode, 200);
  t.like(await answer.body.json(), { usage: { completion_tokens: 3 } });
  await drained;
  await t.throwsAsync(send());
});

test('a request still queued near the shutdown bound is refused as DRAINING and not run', async (t) => {
  const timers = new FakeTimers();
  const cluster = new FakeCluster();
  cluster.admission.plannedEvents.push({ expectedWaitMs: 1, kind: 'queued' });
  const contract = { waitBoundMs: 3_600_000 };
  const daemon = await startTestDaemon(t, { clock: timers, contract, timers, cluster });
  const waiting = request(`${daemon.url}/v1/completions`, {
    body: BODY,
    headers: HEADERS,
    method: 'POST',
  }).then(async (response) => ({ body: await response.body.json(), status: response.statusCode }));
  while (cluster.admission.openReservations.size === 0) {
    await settleMicrotasks();
  }
  daemon.setStage('draining');
  await timers.runUntil(daemon.router.drain(), 1_000_000);
  t.like(await waiting, { body: { error: { name: 'DRAINING', run: 'not_run' } }, status: 503 });
  t.true(timers.nowMs() <= daemon.router.context.settings.shutdown.boundMs);
  t.is(cluster.admission.openReservations.size, 0);
});
