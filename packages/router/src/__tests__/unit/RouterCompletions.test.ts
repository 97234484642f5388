import test from 'ava';
import { Agent, request } from 'undici';
import { KEY, startFakeDaemon } from '../utils/FakeDaemon.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';
import { FakeWorld } from '../utils/FakeWorld.js';

const HEADERS = { authorization: `Bearer ${KEY}`, 'x-request-id': 'r-1' };

function bodyOf(stream: boolean): string {
  return JSON.stringify({ max_tokens: 3, model: 'drafts', prompt: 'hello', seed: 5, stream });
}

/** Replaces the ids that are drawn anew for each generation. */
function withoutIds(text: string): string {
  return text.replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'GENERATION');
}

test('a streamed answer: events with the token index as id, then [DONE]', async (t) => {
  const daemon = await startFakeDaemon(t);
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
  const daemon = await startFakeDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, {
    body: bodyOf(false),
    headers: HEADERS,
    method: 'POST',
  });
  t.is(response.statusCode, 200);
  t.snapshot(JSON.parse(withoutIds(await response.body.text())));
});

test('coming back with Last-Event-ID: the rest only, of the same generation', async (t) => {
  const daemon = await startFakeDaemon(t);
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
  test(`every engine lost, streamed ${stream}: a numbered error, no part as whole`, async (t) => {
    const timers = new FakeTimers();
    const world = new FakeWorld({ faults: [[{ atIndex: 2, fault: 'kill' }]] });
    for (const engine of world.engines) {
      engine.canContinue = false;
    }
    const daemon = await startFakeDaemon(t, { timers, world });
    const asked = request(`${daemon.url}/v1/completions`, {
      body: bodyOf(stream),
      headers: HEADERS,
      method: 'POST',
    }).then(async (response) => ({
      status: response.statusCode,
      text: await response.body.text(),
    }));
    const { status, text } = await timers.runUntil(asked, 1_000_000);
    t.is(status, stream ? 200 : 502);
    t.is(text.includes('[DONE]'), false);
    t.is(text.includes('GENERATION_ENDED_EARLY'), stream);
    t.is(text.includes('UPSTREAM_FAILED'), !stream);
    t.is(text.includes('2 tokens (0 to 1) are valid'), stream);
  });
}

test('refused before anything ran: a status of its own, not run, and when to come back', async (t) => {
  const world = new FakeWorld();
  world.admission.refuseAll = true;
  const daemon = await startFakeDaemon(t, { world });
  const response = await request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
  });
  t.is(response.statusCode, 503);
  t.is(response.headers['retry-after'], '1');
  const error = { name: 'QUEUE_WAIT_TOO_LONG', retryAfterMs: 700, run: 'not_run' };
  t.like(await response.body.json(), { error, requestId: 'r-1' });
  t.is(world.engines.flatMap((engine) => engine.starts).length, 0);
});

test('a long wait: keepalive comments, then a refusal within the stream', async (t) => {
  const timers = new FakeTimers();
  const world = new FakeWorld();
  world.admission.planned.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startFakeDaemon(t, { clock: timers, timers, world });
  const asked = request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
  }).then(async (response) => response.body.text());
  world.admission.refuseAll = true;
  const text = await timers.runUntil(asked, 1_000_000);
  t.regex(text, /^: keepalive\n\n/);
  t.regex(text, /event: error\ndata: \{"error":\{"code":4005/);
  t.is(world.admission.admitted.length, 1, 'the bound of the contract holds over all engines');
});

test('a caller that goes away in the queue: its place is given back at once', async (t) => {
  const world = new FakeWorld();
  world.admission.planned.push({ expectedWaitMs: 1, kind: 'queued' });
  const daemon = await startFakeDaemon(t, { world });
  const abort = new AbortController();
  const asked = request(`${daemon.url}/v1/completions`, {
    body: bodyOf(true),
    headers: HEADERS,
    method: 'POST',
    signal: abort.signal,
  });
  asked.catch(() => undefined);
  while (world.admission.held.size === 0) {
    await settleMicrotasks();
  }
  abort.abort();
  while (world.admission.held.size > 0) {
    await settleMicrotasks();
  }
  t.pass();
});

test('a caller that does not read: the engine is read no further than the buffers', async (t) => {
  const world = new FakeWorld();
  const daemon = await startFakeDaemon(t, { contract: {}, world });
  const [engine] = world.engines;
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
