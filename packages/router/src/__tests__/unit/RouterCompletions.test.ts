import test from 'ava';
import { Agent, request } from 'undici';
import { API_KEY, startTestDaemon } from '../utils/TestDaemon.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeCluster } from '../utils/FakeCluster.js';

const HEADERS = { authorization: `Bearer ${API_KEY}`, 'x-request-id': 'r-1' };

function bodyOf(stream: boolean): string {
  return JSON.stringify({ max_tokens: 3, model: 'drafts', prompt: 'hello', seed: 5, stream });
}

/** Replaces the generation ids, which are random. */
function withoutIds(text: string): string {
  return text.replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'GENERATION');
}

test('a streamed answer: events with the token index as id, then [DONE]', async (t) => {
  const daemon = await startTestDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
  });
  t.is(response.headers['content-type'], 'text/event-stream');
  t.is(response.headers['x-request-id'], 'r-1');
  t.snapshot(withoutIds(await response.body.text()));
});

test('an answer that is not streamed: whole, as JSON', async (t) => {
  const daemon = await startTestDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, {
    body: bodyOf(false),
    headers: HEADERS,
    method: 'POST',
  });
  t.is(response.statusCode, 200);
  t.snapshot(JSON.parse(withoutIds(await response.body.text())));
});

test('a reconnect with Last-Event-ID receives only the missing tokens of the same generation', async (t) => {
  const daemon = await startTestDaemon(t);
  const ask = async (headers: Record<string, string>): Promise<string> => {
    const response = await request(`${daemon.url}/v1/completions`, {
      body: bodyOf(true),
      headers: { ...HEADERS, ...headers },
      method: 'POST',
    });
    return response.body.text();
  };
  const whole = await ask({});
  const rest = await ask({ 'last-event-id': '1' });
  t.is(rest, whole.slice(whole.indexOf('id: 2')));
});

for (const stream of [true, false]) {
  test(`every engine lost, streamed ${stream}: the answer ends with an error, not as complete`, async (t) => {
    const timers = new FakeTimers();
    const cluster = new FakeCluster({ faults: [[{ atIndex: 2, fault: 'kill' }]] });
    for (const engine of cluster.engines) {
      engine.canContinue = false;
    }
    const daemon = await startTestDaemon(t, { timers, cluster });
    const answered = request(`${daemon.url}/v1/completions`, {
      body: bodyOf(stream),
      headers: HEADERS,
      method: 'POST',
    }).then(async (response) => ({
      status: response.statusCode,
      text: await response.body.text(),
    }));
    const { status, text } = await timers.runUntil(answered, 1_000_000);
    t.is(status, stream ? 200 : 502);
    t.is(text.includes('[DONE]'), false);
    t.is(text.includes('GENERATION_ENDED_EARLY'), stream);
    t.is(text.includes('UPSTREAM_FAILED'), !stream);
    t.is(text.includes('2 tokens (0 to 1) are valid'), stream);
  });
}

test('a refusal before anything ran has an HTTP status, says not_run and sets Retry-After', async (t) => {
  const cluster = new FakeCluster();
  cluster.admission.refuseAll = true;
  const daemon = await startTestDaemon(t, { cluster });
  const response = await request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
  });
  t.is(response.statusCode, 503);
  t.is(response.headers['retry-after'], '1');
  const error = { name: 'QUEUE_WAIT_TOO_LONG', retryAfterMs: 700, run: 'not_run' };
  t.like(await response.body.json(), { error, requestId: 'r-1' });
  t.is(cluster.engines.flatMap((engine) => engine.starts).length, 0);
});

test('a long wait sends keepalive comments, then a refusal within the stream', async (t) => {
  const timers = new FakeTimers();
  const cluster = new FakeCluster();
  cluster.admission.plannedEvents.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startTestDaemon(t, { clock: timers, timers, cluster });
  const answered = request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
  }).then(async (response) => response.body.text());
  cluster.admission.refuseAll = true;
  const text = await timers.runUntil(answered, 1_000_000);
  t.regex(text, /^: keepalive\n\n/);
  t.regex(text, /event: error\ndata: \{"error":\{"code":4005/);
  t.is(cluster.admission.admitted.length, 1, 'the waiting bound holds over all engines');
});

test('the reservation of a caller that disconnects while queued is released', async (t) => {
  const cluster = new FakeCluster();
  cluster.admission.plannedEvents.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startTestDaemon(t, { cluster });
  const abort = new AbortController();
  const answered = request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
    signal: abort.signal,
  });
  answered.catch(() => undefined);
  while (cluster.admission.openReservations.size === 0) {
    await settleMicrotasks();
  }
  abort.abort();
  while (cluster.admission.openReservations.size > 0) {
    await settleMicrotasks();
  }
  t.pass();
});

test('backpressure: an engine is read no further than the buffers of a caller that does not read', async (t) => {
  const cluster = new FakeCluster();
  const daemon = await startTestDaemon(t, { contract: {}, cluster });
  const [engine] = cluster.engines;
  if (!engine) {
    t.fail();
    return;
  }
  engine.textPadding = 'x'.repeat(1024 * 1024);
  const agent = new Agent();
  const response = await request(`${daemon.url}/v1/completions`, {
    body: JSON.stringify({ max_tokens: 100, model: 'drafts', prompt: 'hello', stream: true }),
    dispatcher: agent,
    headers: HEADERS,
    method: 'POST',
  });
  let produced = -1;
  for (let quietTurns = 0; quietTurns < 500; quietTurns += 1) {
    await settleMicrotasks();
    const [generation] = engine.generations.values();
    if (generation && generation.produced !== produced) {
      produced = generation.produced;
      quietTurns = 0;
    }
  }
  t.true(produced < 50, `${produced} of 100 tokens of 1 MiB were read from the engine`);
  response.body.destroy();
  await agent.destroy();
});
