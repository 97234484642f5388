import { connect } from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import { request } from 'undici';
import { readCompletionRequest } from '../../RouterCompletionRequest.js';
import { FakeTimers } from '../utils/FakeTimers.js';
import { CONTRACT } from '../utils/FakeCluster.js';
import type { TestDaemon } from '../utils/TestDaemon.js';
import { API_KEY, REVOKED_API_KEY, startTestDaemon } from '../utils/TestDaemon.js';

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

async function send(daemon: TestDaemon, badRequest: BadRequest): Promise<Answer> {
  const method = badRequest.method ?? 'POST';
  const response = await request(`${daemon.url}${badRequest.path ?? '/v1/completions'}`, {
    body: method === 'GET' ? undefined : (badRequest.body ?? JSON.stringify(GOOD_BODY)),
    headers: { authorization: `Bearer ${API_KEY}`, ...badRequest.headers },
    method,
  });
  const body = (await response.body.json()) as Answer['body'];
  const retryAfter = response.headers['retry-after'];
  return { body, retryAfter: retryAfter?.toString(), status: response.statusCode };
}

function bodyWith(fields: Record<string, unknown>): string {
  return JSON.stringify({ ...GOOD_BODY, ...fields });
}

const CASES: readonly (BadRequest & { readonly name: string; readonly title: string })[] = [
  { headers: { authorization: '' }, name: 'KEY_REJECTED', title: 'an empty key' },
  {
    headers: { authorization: 'Basic abc' },
    name: 'KEY_REJECTED',
    title: 'an Authorization header without a bearer key',
  },
  { headers: { authorization: 'Bearer wrong' }, name: 'KEY_REJECTED', title: 'a wrong key' },
  {
    headers: { authorization: `Bearer ${REVOKED_API_KEY}` },
    name: 'KEY_REJECTED',
    title: 'a revoked key',
  },
  { name: 'UNKNOWN_PATH', path: '/v1/nothing', title: 'an unknown path' },
  { method: 'GET', name: 'UNKNOWN_PATH', title: 'an unsupported method' },
  { body: '{"model":', name: 'MALFORMED_REQUEST', title: 'truncated JSON' },
  { body: '[]', name: 'MALFORMED_REQUEST', title: 'JSON that is no object' },
  { body: '', name: 'MALFORMED_REQUEST', title: 'an empty body' },
  { body: bodyWith({ prompt: 7 }), name: 'MALFORMED_REQUEST', title: 'a prompt of another type' },
  { body: bodyWith({ colour: 'red' }), name: 'MALFORMED_REQUEST', title: 'an unknown field' },
  { body: bodyWith({ max_tokens: 0 }), name: 'MALFORMED_REQUEST', title: 'max_tokens of 0' },
  {
    body: bodyWith({ max_tokens: 101 }),
    name: 'MALFORMED_REQUEST',
    title: 'max_tokens above the limit of the contract',
  },
  { body: bodyWith({ seed: -1 }), name: 'MALFORMED_REQUEST', title: 'a negative seed' },
  { body: bodyWith({ model: 'poems' }), name: 'UNKNOWN_MODEL', title: 'an unknown model' },
  {
    body: bodyWith({ prompt: 'x'.repeat(1024 * 1024) }),
    name: 'REQUEST_TOO_LARGE',
    title: 'a body above the size limit',
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

for (const { name, title, ...badRequest } of CASES) {
  test(`${title} is refused as ${name} in JSON, and the next caller is served`, async (t) => {
    const daemon = await startTestDaemon(t);
    const answer = await send(daemon, badRequest);
    t.is(answer.body.error?.name, name);
    t.truthy(answer.body.requestId);
    t.is(daemon.cluster.admission.admitted.length, 0, 'nothing was run');
    const next = await send(daemon, {});
    t.is(next.status, 200);
  });
}

test('a request without a key is refused as KEY_MISSING', async (t) => {
  const daemon = await startTestDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, { body: '{}', method: 'POST' });
  t.is(response.statusCode, 401);
  t.like(await response.body.json(), { error: { name: 'KEY_MISSING', run: 'not_run' } });
});

test('a body that does not arrive is refused as BODY_TIMEOUT and the connection is closed', async (t) => {
  const timers = new FakeTimers();
  const daemon = await startTestDaemon(t, { timers });
  const [host = '', port = ''] = daemon.url.replace('http://', '').split(':');
  const socket = connect(Number(port), host);
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${API_KEY}\r\ncontent-length: 100\r\n\r\n{"mod`;
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

test('a caller that disconnects within its body runs nothing, and others are served', async (t) => {
  const daemon = await startTestDaemon(t);
  const [host = '', port = ''] = daemon.url.replace('http://', '').split(':');
  const socket = connect(Number(port), host);
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${API_KEY}\r\ncontent-length: 100\r\n\r\n{"mod`;
  await new Promise<void>((resolve) => {
    socket.write(head, () => {
      resolve();
    });
  });
  socket.destroy();
  const next = await send(daemon, {});
  t.is(next.status, 200);
  t.is(daemon.cluster.admission.admitted.length, 1);
});

test('headers above the size limit are refused with 431, and other connections are served', async (t) => {
  const daemon = await startTestDaemon(t);
  const response = await request(`${daemon.url}/v1/completions`, {
    body: '{}',
    headers: { 'x-bomb': 'x'.repeat(20_000) },
    method: 'POST',
  });
  t.is(response.statusCode, 431);
  const next = await send(daemon, {});
  t.is(next.status, 200);
});

test('while draining, requests are refused as DRAINING with Retry-After', async (t) => {
  const daemon = await startTestDaemon(t);
  daemon.setStage('draining');
  const ready = await request(`${daemon.url}/readyz`);
  t.is(ready.statusCode, 503);
  const answer = await send(daemon, {});
  t.like(answer.body.error, { name: 'DRAINING', run: 'not_run' });
  t.is(answer.retryAfter, '1');
});

test('any bytes as body yield a request or a refusal, never an exception', (t) => {
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
