import { connect } from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import { request } from 'undici';
import { readCompletionRequest } from '../../RouterCompletionRequest.js';
import { FakeTimers } from '../utils/FakeTimers.js';
import { CONTRACT } from '../utils/FakeWorld.js';
import type { FakeDaemon } from '../utils/FakeDaemon.js';
import { KEY, REVOKED_KEY, startFakeDaemon } from '../utils/FakeDaemon.js';

const SEED = 20_261_208;
const GOOD_BODY = { max_tokens: 12, model: 'drafts', prompt: 'hello' };

interface Answer {
  readonly body: {
    readonly error?: { readonly code: number; readonly name: string; readonly run: string };
    readonly requestId?: string;
  };
  readonly retryAfter: string | undefined;
  readonly status: number;
}

interface BadRequest {
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
}

async function send(daemon: FakeDaemon, bad: BadRequest): Promise<Answer> {
  const method = bad.method ?? 'POST';
  const response = await request(`${daemon.url}${bad.path ?? '/v1/completions'}`, {
    body: method === 'GET' ? undefined : (bad.body ?? JSON.stringify(GOOD_BODY)),
    headers: { authorization: `Bearer ${KEY}`, ...bad.headers },
    method,
  });
  const body = (await response.body.json()) as Answer['body'];
  const retryAfter = response.headers['retry-after'];
  return { body, retryAfter: retryAfter?.toString(), status: response.statusCode };
}

function bodyWith(fields: Record<string, unknown>): string {
  return JSON.stringify({ ...GOOD_BODY, ...fields });
}

const TABLE: readonly (BadRequest & { readonly name: string; readonly title: string })[] = [
  { headers: { authorization: '' }, name: 'KEY_REJECTED', title: 'an empty key' },
  { headers: { authorization: 'Basic abc' }, name: 'KEY_REJECTED', title: 'no bearer key' },
  { headers: { authorization: 'Bearer wrong' }, name: 'KEY_REJECTED', title: 'a wrong key' },
  {
    headers: { authorization: `Bearer ${REVOKED_KEY}` },
    name: 'KEY_REJECTED',
    title: 'a revoked key',
  },
  { name: 'UNKNOWN_PATH', path: '/v1/nothing', title: 'an unknown path' },
  { method: 'GET', name: 'UNKNOWN_PATH', title: 'an unsupported method' },
  { body: '{"model":', name: 'MALFORMED_REQUEST', title: 'cut JSON' },
  { body: '[]', name: 'MALFORMED_REQUEST', title: 'no object' },
  { body: '', name: 'MALFORMED_REQUEST', title: 'no body' },
  { body: bodyWith({ prompt: 7 }), name: 'MALFORMED_REQUEST', title: 'a prompt of another type' },
  { body: bodyWith({ colour: 'red' }), name: 'MALFORMED_REQUEST', title: 'an unknown field' },
  { body: bodyWith({ max_tokens: 0 }), name: 'MALFORMED_REQUEST', title: 'no tokens' },
  { body: bodyWith({ max_tokens: 101 }), name: 'MALFORMED_REQUEST', title: 'too many tokens' },
  { body: bodyWith({ seed: -1 }), name: 'MALFORMED_REQUEST', title: 'a seed below 0' },
  { body: bodyWith({ model: 'poems' }), name: 'UNKNOWN_MODEL', title: 'an unknown model' },
  {
    body: bodyWith({ prompt: 'x'.repeat(1024 * 1024) }),
    name: 'REQUEST_TOO_LARGE',
    title: 'a body beyond the limit',
  },
  {
    headers: { 'x-request-id': 'a b' },
    name: 'MALFORMED_REQUEST',
    title: 'a malformed request id',
  },
  {
    headers: { 'last-event-id': 'seven', 'x-request-id': 'r-1' },
    name: 'MALFORMED_REQUEST',
    title: 'a malformed Last-Event-ID',
  },
  {
    headers: { 'last-event-id': '7' },
    name: 'GENERATION_UNKNOWN',
    title: 'Last-Event-ID without a request id',
  },
  {
    headers: { 'last-event-id': '7', 'x-request-id': 'r-1' },
    name: 'GENERATION_UNKNOWN',
    title: 'Last-Event-ID of an unknown request',
  },
];

for (const { name, title, ...bad } of TABLE) {
  test(`${title}: ${name}, as JSON, and the next caller is served`, async (t) => {
    const daemon = await startFakeDaemon(t);
    const answer = await send(daemon, bad);
    t.is(answer.body.error?.name, name);
    t.truthy(answer.body.requestId);
    t.is(daemon.world.admission.admitted.length, 0, 'nothing was run');
    const next = await send(daemon, {});
    t.is(next.status, 200);
  });
}

test('no key at all: KEY_MISSING', async (t) => {
  const daemon = await startFakeDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, { body: '{}', method: 'POST' });
  t.is(response.statusCode, 401);
  t.like(await response.body.json(), { error: { name: 'KEY_MISSING', run: 'not_run' } });
});

test('a body that does not arrive: BODY_TIMEOUT, and the connection is closed', async (t) => {
  const timers = new FakeTimers();
  const daemon = await startFakeDaemon(t, { timers });
  const [host = '', port = ''] = daemon.url.replace('http://', '').split(':');
  const socket = connect(Number(port), host);
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\ncontent-length: 100\r\n\r\n{"mod`;
  socket.write(head);
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      resolve();
    });
  });
  await timers.runUntil(closed, 1_000_000);
  t.regex(text, /^HTTP\/1.1 408 /);
  t.regex(text, /"name":"BODY_TIMEOUT"/);
  t.true(timers.nowMs() >= 10_000);
});

test('a caller that vanishes within its body: nothing is run, others are served', async (t) => {
  const daemon = await startFakeDaemon(t);
  const [host = '', port = ''] = daemon.url.replace('http://', '').split(':');
  const socket = connect(Number(port), host);
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\ncontent-length: 100\r\n\r\n{"mod`;
  await new Promise<void>((resolve) => {
    socket.write(head, () => {
      resolve();
    });
  });
  socket.destroy();
  const next = await send(daemon, {});
  t.is(next.status, 200);
  t.is(daemon.world.admission.admitted.length, 1);
});

test('headers beyond the limit: a clean refusal of that connection only', async (t) => {
  const daemon = await startFakeDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, {
    body: '{}',
    headers: { 'x-bomb': 'x'.repeat(20_000) },
    method: 'POST',
  });
  t.is(response.statusCode, 431);
  const next = await send(daemon, {});
  t.is(next.status, 200);
});

test('while draining: DRAINING with when to come back', async (t) => {
  const daemon = await startFakeDaemon(t);
  daemon.setStage('draining');
  const ready = await request(`${daemon.url}/readyz`);
  t.is(ready.statusCode, 503);
  const answer = await send(daemon, {});
  t.like(answer.body.error, { name: 'DRAINING', run: 'not_run' });
  t.is(answer.retryAfter, '1');
});

test('any bytes as body: a request or a refusal, never a throw', (t) => {
  const json = fc.json().map((text) => Buffer.from(text));
  const bytes = fc.uint8Array().map((array) => Buffer.from(array));
  const fields = fc
    .record({ max_tokens: fc.anything(), model: fc.anything(), prompt: fc.anything() })
    .map((record) => Buffer.from(JSON.stringify(record)));
  fc.assert(
    fc.property(fc.oneof(json, bytes, fields), (body) => {
      const read = readCompletionRequest(body, CONTRACT);
      if (read.ok) {
        t.true(read.value.maxTokens <= 100 && read.value.model === 'drafts');
        return;
      }
      t.true(['MALFORMED_REQUEST', 'UNKNOWN_MODEL'].includes(read.error.code));
    }),
    { numRuns: 500, seed: SEED },
  );
});
