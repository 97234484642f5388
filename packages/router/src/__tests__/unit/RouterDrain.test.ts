import test from 'ava';
import { request } from 'undici';
import { KEY, startFakeDaemon } from '../utils/FakeDaemon.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeWorld } from '../utils/FakeWorld.js';

const BODY = JSON.stringify({ max_tokens: 3, model: 'drafts', prompt: 'hello' });
const HEADERS = { authorization: `Bearer ${KEY}`, 'x-request-id': 'r-1' };

test('running answers end whole, new work is refused, then everything is closed', async (t) => {
  const world = new FakeWorld();
  world.admission.planned.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startFakeDaemon(t, { world });
  const send = (): ReturnType<typeof request> =>
    request(`${daemon.url}/v1/completions`, { body: BODY, headers: HEADERS, method: 'POST' });
  const running = send();
  while (world.admission.held.size === 0) {
    await settleMicrotasks();
  }
  daemon.setStage('draining');
  const drained = daemon.router.drain();
  const refused = await send();
  t.is(refused.statusCode, 503);
  t.like(await refused.body.json(), { error: { name: 'DRAINING', run: 'not_run' } });
  for (const [admitted, onEvent] of world.admission.held) {
    const engineUrl = admitted.engineId;
    onEvent({ enginePriority: 1, engineUrl, kind: 'granted', waitedMs: 5 });
  }
  const answer = await running;
  t.is(answer.statusCode, 200);
  t.like(await answer.body.json(), { usage: { completion_tokens: 3 } });
  await drained;
  await t.throwsAsync(send());
});

test('what still waits near the bound is told to come back elsewhere, as not run', async (t) => {
  const timers = new FakeTimers();
  const world = new FakeWorld();
  world.admission.planned.push({ expectedWaitMs: 1, kind: 'queued' });
  const contract = { waitBoundMs: 3_600_000 };
  const daemon = await startFakeDaemon(t, { clock: timers, contract, timers, world });
  const waiting = request(`${daemon.url}/v1/completions`, {
    body: BODY,
    headers: HEADERS,
    method: 'POST',
  }).then(async (response) => ({ body: await response.body.json(), status: response.statusCode }));
  while (world.admission.held.size === 0) {
    await settleMicrotasks();
  }
  daemon.setStage('draining');
  await timers.runUntil(daemon.router.drain(), 1_000_000);
  t.like(await waiting, { body: { error: { name: 'DRAINING', run: 'not_run' } }, status: 503 });
  t.true(timers.nowMs() <= daemon.router.context.settings.shutdown.boundMs);
  t.is(world.admission.held.size, 0);
});
