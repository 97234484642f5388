import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { Client } from 'undici';
import type { PlainCall } from '../../index.js';
import { createSingleUseConnector, openPlainConnection, sendPlainCallOnce } from '../../index.js';

const CALL: PlainCall = {
  body: Buffer.from('{"quantity":4}'),
  headers: { 'content-type': 'application/json' },
  method: 'POST',
  path: '/v1/transfers',
};
const OK = 'HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok';

/** Starts a TCP server that counts the complete calls it receives and passes each to `onCall`. */
async function startTcpServer(
  t: ExecutionContext,
  onCall: (socket: Socket, calls: number) => void,
): Promise<{ address: string; calls: () => number; connections: () => number }> {
  let calls = 0;
  let connections = 0;
  const server: Server = createServer((socket) => {
    connections += 1;
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received += data.toString('latin1');
      const started = received.split('POST /v1/transfers').length - 1;
      const complete = received.split('"quantity":4}').length - 1;
      if (complete > 0 && complete === started) {
        received = '';
        for (let count = 0; count < complete; count += 1) {
          calls += 1;
          onCall(socket, calls);
        }
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    calls: () => calls,
    connections: () => connections,
  };
}

async function connectAndSendOnce(t: ExecutionContext, address: string, timeoutMs = 5_000) {
  const socket = await openPlainConnection(address, 5_000);
  if (!socket.ok) {
    throw new Error(socket.error);
  }
  return sendPlainCallOnce({
    address,
    call: CALL,
    maxAnswerBytes: 1_024,
    socket: socket.value,
    timeoutMs,
  });
}

const SERVER_FAULTS: Record<string, (socket: Socket) => void> = {
  'answer cut in the body': (socket) =>
    socket.end('HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nok'),
  'answer cut in the headers': (socket) => socket.end('HTTP/1.1 201 Cre'),
  'answer larger than the bound': (socket) =>
    socket.end(`HTTP/1.1 201 Created\r\ncontent-length: 2000\r\n\r\n${'x'.repeat(2_000)}`),
  'answer without a length': (socket) => socket.end('HTTP/1.1 201 Created\r\n\r\nok'),
  'connection closed': (socket) => socket.end(),
  'connection reset': (socket) => socket.resetAndDestroy(),
  'not HTTP': (socket) => socket.end('hello\r\n\r\n'),
};

for (const [name, fault] of Object.entries(SERVER_FAULTS)) {
  test(`a call is never sent again: ${name}`, async (t) => {
    const server = await startTcpServer(t, fault);
    const result = await connectAndSendOnce(t, server.address);
    t.false(result.ok);
    t.is(server.calls(), 1);
    t.is(server.connections(), 1);
  });
}

test('a call without an answer times out and is not sent again', async (t) => {
  const server = await startTcpServer(t, () => undefined);
  t.false((await connectAndSendOnce(t, server.address, 50)).ok);
  t.is(server.calls(), 1);
  t.is(server.connections(), 1);
});

test('each call has a connection of its own, even after a reset of the previous one', async (t) => {
  const server = await startTcpServer(t, (socket, calls) => {
    if (calls === 1) {
      // Answers and resets: a pool would reuse the dead connection for the next call.
      socket.write(OK, () => socket.resetAndDestroy());
      return;
    }
    socket.write(OK);
  });
  t.like(await connectAndSendOnce(t, server.address), { ok: true });
  const second = await connectAndSendOnce(t, server.address);
  t.true(second.ok && second.value.status === 201 && second.value.body.toString() === 'ok');
  t.is(server.calls(), 2);
  t.is(server.connections(), 2);
});

test('a refused connection fails before anything is sent', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  t.false((await openPlainConnection(`http://127.0.0.1:${port}`, 5_000)).ok);
});

/** Makes one call and then two pipelined ones on a client; the server resets at its third call. */
async function runPipelineWithReset(
  t: ExecutionContext,
  connect: (address: string) => Promise<Client.Options['connect']>,
): Promise<{ failed: number; received: number }> {
  const server = await startTcpServer(t, (socket, calls) => {
    if (calls === 3) {
      socket.resetAndDestroy();
      return;
    }
    if (calls !== 2) {
      socket.write(OK);
    }
  });
  const client = new Client(server.address, {
    connect: await connect(server.address),
    pipelining: 4,
  });
  t.teardown(() => client.destroy());
  const send = async () => {
    const { body } = await client.request({
      ...CALL,
      blocking: false,
      idempotent: true,
      method: 'POST',
    });
    return body.text();
  };
  await send();
  const results = await Promise.allSettled([send(), send()]);
  const failed = results.filter((result) => result.status === 'rejected').length;
  return { failed, received: server.calls() };
}

// The reason for single-use connections: after a reset, undici by itself sends the calls behind the
// head of a pipeline again.
test('a shared undici client repeats pipelined calls after a reset', async (t) => {
  const result = await runPipelineWithReset(t, () => Promise.resolve(undefined));
  t.deepEqual(result, { failed: 1, received: 4 });
});

test('a client with a single-use connector does not repeat pipelined calls', async (t) => {
  const result = await runPipelineWithReset(t, async (address) => {
    const socket = await openPlainConnection(address, 5_000);
    return socket.ok ? createSingleUseConnector(socket.value) : undefined;
  });
  t.deepEqual(result, { failed: 2, received: 3 });
});
