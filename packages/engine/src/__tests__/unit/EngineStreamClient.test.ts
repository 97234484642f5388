import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type {
  EngineStartRequest,
  EngineStreamEvent,
  GenerationId,
  ModelId,
} from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { EngineStream } from '../../EngineStream.js';
import { createEngineStreamClient } from '../../EngineStreamClient.js';

const GENERATION_ID = toId<GenerationId>('g-1');
const START_REQUEST: EngineStartRequest = {
  attempt: toNumberId(1),
  generationId: GENERATION_ID,
  maxTokens: 8,
  model: toId<ModelId>('drafts'),
  prefix: [],
  priority: 1,
  prompt: 'hello',
  seed: 3,
};

interface TestEngine {
  readonly connections: Socket[];
  readonly requests: IncomingMessage[];
  readonly url: string;
}

async function startTestEngine(
  t: ExecutionContext,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<TestEngine> {
  const connections: Socket[] = [];
  const requests: IncomingMessage[] = [];
  const server: Server = createServer((request, response) => {
    requests.push(request);
    request.resume();
    handle(request, response);
  });
  server.on('connection', (socket) => connections.push(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { connections, requests, url: `http://127.0.0.1:${port}` };
}

function encodeTokenEvent(index: number, text = `t${index}`): string {
  const data = { attempt: 1, generationId: GENERATION_ID, index, text };
  return `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`;
}

async function readToEnd(stream: EngineStream): Promise<EngineStreamEvent[]> {
  const events: EngineStreamEvent[] = [];
  for (;;) {
    const event = await stream.next();
    events.push(event);
    if (event.kind !== 'token') {
      return events;
    }
  }
}

test('parses tokens and the finished event from small chunks with comments in between', async (t) => {
  const text = `: keepalive\n\n${encodeTokenEvent(0, 'é€')}: keepalive\n\n${encodeTokenEvent(1)}event: finished\ndata: {"finishReason":"stop","totalTokens":2}\n\n`;
  const bytes = Buffer.from(text);
  const engine = await startTestEngine(t, (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const send = (offset: number): void => {
      if (offset >= bytes.length) {
        response.end();
        return;
      }
      response.write(bytes.subarray(offset, offset + 5), () => {
        setImmediate(send, offset + 5);
      });
    };
    send(0);
  });
  const events = await readToEnd(createEngineStreamClient().start(engine.url, START_REQUEST));
  t.snapshot(events);
});

const STREAM_ENDINGS: readonly {
  readonly body: string;
  readonly expected: Partial<EngineStreamEvent>;
  readonly status: number;
  readonly title: string;
}[] = [
  {
    body: 'event: preempted\ndata: {}\n\n',
    expected: { kind: 'preempted' },
    status: 200,
    title: 'preempted',
  },
  {
    body: 'event: superseded\ndata: {}\n\n',
    expected: { kind: 'lost', reason: 'superseded' },
    status: 200,
    title: 'superseded',
  },
  {
    body: encodeTokenEvent(0),
    expected: { kind: 'lost', reason: 'reset' },
    status: 200,
    title: 'a response without a final event',
  },
  {
    body: 'id: 0\ndata: {"index":0}\n\n',
    expected: { kind: 'lost', reason: 'protocolViolation' },
    status: 200,
    title: 'a malformed token',
  },
  {
    body: 'id: 5\ndata: {"attempt":1,"generationId":"g-1","index":0,"text":"t"}\n\n',
    expected: { kind: 'lost', reason: 'protocolViolation' },
    status: 200,
    title: 'an id that contradicts the index',
  },
  {
    body: 'event: finished\ndata: {"finishReason":"tired","totalTokens":2}\n\n',
    expected: { kind: 'lost', reason: 'protocolViolation' },
    status: 200,
    title: 'a malformed finished event',
  },
  {
    body: `data: ${'x'.repeat(600_000)}`,
    expected: { kind: 'lost', reason: 'protocolViolation' },
    status: 200,
    title: 'an event above the size limit',
  },
  {
    body: '{"error":"superseded"}',
    expected: { kind: 'lost', reason: 'superseded' },
    status: 409,
    title: 'status 409',
  },
  {
    body: '{"error":"unknownGeneration"}',
    expected: { kind: 'lost', reason: 'unknownGeneration' },
    status: 404,
    title: 'status 404',
  },
  {
    body: '{"error":"cannotContinue"}',
    expected: { detail: 'cannotContinue', kind: 'lost', reason: 'rejected' },
    status: 422,
    title: 'status 422',
  },
  {
    body: '{"error":"leaving"}',
    expected: { detail: 'leaving', kind: 'lost', reason: 'rejected' },
    status: 503,
    title: 'status 503',
  },
];

for (const { body, expected, status, title } of STREAM_ENDINGS) {
  test(`the last event reports ${title}`, async (t) => {
    const engine = await startTestEngine(t, (_request, response) => {
      response.writeHead(status).end(body);
    });
    const events = await readToEnd(createEngineStreamClient().start(engine.url, START_REQUEST));
    t.like(events.at(-1), expected);
  });
}

test('without a listening process the stream is lost and the status call reports a refused connection', async (t) => {
  const engine = await startTestEngine(t, () => undefined);
  const closedServer = createServer();
  await new Promise<void>((resolve) => {
    closedServer.listen(0, '127.0.0.1', resolve);
  });
  const { port } = closedServer.address() as AddressInfo;
  await new Promise((resolve) => closedServer.close(resolve));
  const client = createEngineStreamClient();
  const url = `http://127.0.0.1:${port}`;
  t.like(await client.start(url, START_REQUEST).next(), { kind: 'lost', reason: 'connectFailed' });
  t.like(await client.status(url, GENERATION_ID), { error: { refused: true }, ok: false });
  t.is(engine.requests.length, 0);
});

test('each call opens a new connection', async (t) => {
  const engine = await startTestEngine(t, (request, response) => {
    if (request.method === 'DELETE') {
      response.writeHead(409).end('{}');
      return;
    }
    if (request.url === '/v1/generations/g-1') {
      response.end('{"attempt":2,"producedTokens":4,"state":"running"}');
      return;
    }
    response.writeHead(200).write(encodeTokenEvent(0));
  });
  const client = createEngineStreamClient();
  const started = client.start(engine.url, START_REQUEST);
  await started.next();
  const attempt = toNumberId<EngineStartRequest['attempt']>(2);
  const resumed = client.resume(engine.url, { attempt, fromIndex: 4, generationId: GENERATION_ID });
  await resumed.next();
  t.deepEqual(await client.status(engine.url, GENERATION_ID), {
    ok: true,
    value: { attempt: toNumberId(2), producedTokens: 4, state: 'running' },
  });
  t.deepEqual(await client.cancel(engine.url, GENERATION_ID, attempt), {
    ok: true,
    value: 'superseded',
  });
  t.deepEqual(
    engine.requests.map((request) => `${request.method ?? ''} ${request.url ?? ''}`),
    [
      'POST /v1/generations',
      'GET /v1/generations/g-1/stream?attempt=2&from=4',
      'GET /v1/generations/g-1',
      'DELETE /v1/generations/g-1?attempt=2',
    ],
  );
  t.is(engine.connections.length, 4);
  started.close();
  resumed.close();
});

test('a reader that does not read blocks the engine by backpressure', async (t) => {
  const text = 'x'.repeat(16_384);
  let written = 0;
  const stalled = new Promise<void>((resolve) => {
    void startTestEngine(t, (_request, response) => {
      response.writeHead(200);
      const send = (): void => {
        while (written < 10_000) {
          const acceptsMore = response.write(encodeTokenEvent(written, text));
          written += 1;
          if (!acceptsMore) {
            response.once('drain', send);
            waitForStall(resolve);
            return;
          }
        }
        resolve();
      };
      send();
    }).then((engine) => {
      const stream = createEngineStreamClient().start(engine.url, START_REQUEST);
      void stream.next();
      t.teardown(() => {
        stream.close();
      });
    });
  });
  /** Resolves once 2,000 turns of the event loop have passed without a write by the engine. */
  function waitForStall(resolve: () => void): void {
    const writtenBefore = written;
    let idleTurns = 0;
    const checkTurn = (): void => {
      idleTurns += 1;
      if (written !== writtenBefore) {
        return;
      }
      if (idleTurns === 2_000) {
        resolve();
        return;
      }
      setImmediate(checkTurn);
    };
    setImmediate(checkTurn);
  }
  await stalled;
  t.true(written < 2_000, `${written} tokens of 16 KiB were accepted without a reader`);
});

test('a reader that falls behind at times gets every token once and in order', async (t) => {
  const tokenCount = 3_000;
  const engine = await startTestEngine(t, (_request, response) => {
    response.writeHead(200);
    for (let index = 0; index < tokenCount; index += 1) {
      response.write(encodeTokenEvent(index, 'x'.repeat((index * 37) % 500)));
    }
    response.end(`event: finished\ndata: {"finishReason":"stop","totalTokens":${tokenCount}}\n\n`);
  });
  const stream = createEngineStreamClient().start(engine.url, START_REQUEST);
  const indexes: number[] = [];
  for (;;) {
    if (indexes.length % 7 === 0) {
      await new Promise(setImmediate);
    }
    const event = await stream.next();
    if (event.kind !== 'token') {
      t.like(event, { kind: 'finished', totalTokens: tokenCount });
      break;
    }
    indexes.push(event.token.index);
  }
  t.deepEqual(
    indexes,
    Array.from({ length: tokenCount }, (_, index) => index),
  );
});

test('closing the stream ends a pending read', async (t) => {
  const engine = await startTestEngine(t, (_request, response) => {
    response.writeHead(200).write(encodeTokenEvent(0));
  });
  const stream = createEngineStreamClient().start(engine.url, START_REQUEST);
  await stream.next();
  const pendingRead = stream.next();
  stream.close();
  t.like(await pendingRead, { kind: 'lost', reason: 'reset' });
  t.like(await stream.next(), { kind: 'lost', reason: 'reset' });
});

/** Sends pieces until the connection closes. */
function pour(response: ServerResponse): void {
  const piece = 'x'.repeat(16_384);
  const writePieces = (): void => {
    if (!response.destroyed) {
      response.write(piece, () => setImmediate(writePieces));
    }
  };
  writePieces();
}

test('a rejection with a body without end ends the stream and closes the connection', async (t) => {
  const engine = await startTestEngine(t, (_request, response) => {
    response.writeHead(503);
    pour(response);
  });
  const stream = createEngineStreamClient().start(engine.url, START_REQUEST);
  const event = await stream.next();
  t.is(event.kind === 'lost' && event.reason, 'rejected');
  await new Promise<void>((resolve) => {
    const [connection] = engine.connections;
    if (connection?.destroyed === false) {
      connection.once('close', resolve);
    } else {
      resolve();
    }
  });
  t.true(engine.connections[0]?.destroyed);
});

test('a status without end is an error before the time limit', async (t) => {
  const engine = await startTestEngine(t, (_request, response) => {
    response.writeHead(200);
    pour(response);
  });
  const client = createEngineStreamClient({ callTimeoutMs: 60_000 });
  const status = await client.status(engine.url, GENERATION_ID);
  t.is(!status.ok && status.error.kind, 'engineUnreachable');
});
