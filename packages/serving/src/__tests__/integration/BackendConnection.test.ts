import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import test from 'ava';
import type { BackendRequest, ResponseListener } from '../../index.js';
import { BackendConnection } from '../../index.js';

interface CallOutcome {
  readonly body: string;
  readonly end: string;
}

/**
 * Sends one request to a TCP server that responds with raw bytes, and returns how the response
 * ended.
 */
async function sendToRawServer(
  respond: (socket: Socket) => void,
  accepts: ResponseListener['accepts'] = () => true,
  request: Partial<BackendRequest> = {},
): Promise<CallOutcome> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      respond(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const outcome = await new Promise<CallOutcome>((resolve) => {
    let body = '';
    const socket = connect({ allowHalfOpen: true, host: '127.0.0.1', port });
    socket.once('connect', () => {
      const connection = new BackendConnection({
        clock: { nowMs: () => 0 },
        onClosed: () => undefined,
        socket,
      });
      connection.send(
        {
          body: undefined,
          headers: [['Host', 'a']],
          method: 'GET',
          path: '/',
          responseKey: '1',
          ...request,
        },
        {
          accepts,
          onBody: (chunk) => {
            body += chunk.toString();
          },
          onBroken: () => {
            resolve({ body, end: 'broken' });
          },
          onEnd: () => {
            resolve({ body, end: connection.isReusable() ? 'complete, reusable' : 'complete' });
            connection.abort();
          },
          onHead: () => undefined,
        },
      );
    });
  });
  server.close();
  return outcome;
}

const HEAD_WITHOUT_LENGTH = 'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n';

test('an answer without length that is reset together with its data is broken', async (t) => {
  const outcome = await sendToRawServer((socket) => {
    socket.write(`${HEAD_WITHOUT_LENGTH}half`);
    socket.resetAndDestroy();
  });
  t.is(outcome.end, 'broken');
});

test('a response without length is complete when its connection closes', async (t) => {
  const outcome = await sendToRawServer((socket) => {
    socket.end(`${HEAD_WITHOUT_LENGTH}all`);
  });
  t.deepEqual(outcome, { body: 'all', end: 'complete' });
});

const INVALID_RESPONSES: Readonly<Record<string, string>> = {
  'a body shorter than its length': 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
  'a chunk size that is not a number':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n',
  'a folded header line': 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: a\r\n b\r\n\r\nabc',
  'a header line without a colon': 'HTTP/1.1 200 OK\r\nContent-Length 3\r\n\r\nabc',
  'a header name before a blank': 'HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc',
  'a header without a name': 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n: x\r\n\r\nabc',
  'a length and chunks':
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
  'a length that is not a number': 'HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\nabc',
  'a status beyond the last class': 'HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok',
  'a status of four digits': 'HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok',
  'a status of two digits': 'HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok',
  'another version of the protocol': 'HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok',
  'chunks without the last one':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
  'invalid syntax': 'garbage\r\n\r\n',
  'an invalid trailer': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX\r\n\r\n',
  nothing: '',
  'status 000': 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok',
  'status 099': 'HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok',
  'two lengths': 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
};

for (const [name, bytes] of Object.entries(INVALID_RESPONSES)) {
  test(`a response with ${name} is broken`, async (t) => {
    const outcome = await sendToRawServer((socket) => {
      socket.end(bytes);
    });
    t.is(outcome.end, 'broken');
  });
}

// A server that had answered with status 000 was waited for until the deadline of the call.
for (const line of ['HTTP/1.1 000 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 999 OK']) {
  test(`a response that begins with ${line} breaks its connection at once`, async (t) => {
    const outcome = await sendToRawServer((socket) => {
      socket.write(`${line}\r\nRequest-Id: 1\r\n`);
    });
    t.deepEqual(outcome, { body: '', end: 'broken' });
  });
}

test('a response without a reason phrase is valid', async (t) => {
  const outcome = await sendToRawServer((socket) => {
    socket.write('HTTP/1.0 599\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok');
  });
  t.is(outcome.body, 'ok');
});

test('an informational response before the final one is skipped', async (t) => {
  const outcome = await sendToRawServer((socket) => {
    socket.write('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n');
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  t.deepEqual(outcome, { body: 'ok', end: 'complete, reusable' });
});

test('a response to another request is skipped', async (t) => {
  const outcome = await sendToRawServer(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nother');
      socket.write('HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nmine');
    },
    (head) => head.headers.some(([name, value]) => name === 'Request-Id' && value === '1'),
  );
  t.deepEqual(outcome, { body: 'mine', end: 'complete, reusable' });
});

for (const framing of ['Content-Length: 4', 'Transfer-Encoding: chunked', 'no framing']) {
  // The head of a response without a body states the framing that its body would have, also in a copy.
  test(`the response to a HEAD request with ${framing} is complete after its head`, async (t) => {
    const outcome = await sendToRawServer(
      (socket) => {
        const header = framing === 'no framing' ? '' : `${framing}\r\n`;
        socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n`);
      },
      undefined,
      { method: 'HEAD' },
    );
    t.deepEqual(outcome, { body: '', end: 'complete' });
  });
}

test('bytes after a complete response close the connection', async (t) => {
  const outcome = await sendToRawServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n');
  });
  t.is(outcome.body, 'ok');
});

const ENDLESS_RESPONSES: Readonly<Record<string, { first: string; repeated: string }>> = {
  'a chunk extension': {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;',
    repeated: 'x'.repeat(1_024),
  },
  'a chunk size': {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    repeated: '0'.repeat(1_024),
  },
  'a header line': { first: 'HTTP/1.1 200 OK\r\nX: ', repeated: 'x'.repeat(1_024) },
  headers: { first: 'HTTP/1.1 200 OK\r\n', repeated: `X: ${'x'.repeat(1_024)}\r\n` },
  'informational responses': { first: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' },
  trailers: {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    repeated: `X: ${'x'.repeat(1_024)}\r\n`,
  },
};

for (const [name, { first, repeated }] of Object.entries(ENDLESS_RESPONSES)) {
  test(`a response with ${name} without end is broken after some bytes`, async (t) => {
    let sentBytes = 0;
    const outcome = await sendToRawServer((socket) => {
      const writePieces = (): void => {
        if (!socket.destroyed) {
          sentBytes += repeated.length;
          socket.write(repeated, () => setImmediate(writePieces));
        }
      };
      socket.write(first, writePieces);
    });
    t.is(outcome.end, 'broken');
    t.true(sentBytes < 1_048_576, `${sentBytes} bytes`);
  });
}

test('a body in chunks of one byte is complete', async (t) => {
  const body = 'x'.repeat(100_000);
  const outcome = await sendToRawServer((socket) => {
    const chunks = '1\r\nx\r\n'.repeat(body.length);
    socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
  });
  t.deepEqual(outcome, { body, end: 'complete, reusable' });
});

const INVALID_REQUESTS: Readonly<Record<string, Partial<BackendRequest>>> = {
  'a header beyond one byte a character': { headers: [['Tenant', 'te\u0142am']] },
  'a header name with a blank': { headers: [['Last Event', '1']] },
  'a header with a carriage return': { headers: [['Last-Event-Id', '1\r2']] },
  'a header with a line of its own': { headers: [['Kv-From', 'h\r\nHold: 1']] },
  'a path with a blank': { path: '/ HTTP/1.1\r\nHold: 1\r\n' },
};

for (const [name, request] of Object.entries(INVALID_REQUESTS)) {
  test(`a request with ${name} is not sent`, async (t) => {
    let receivedCount = 0;
    const outcome = await sendToRawServer(
      (socket) => {
        receivedCount += 1;
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      },
      undefined,
      request,
    );
    t.is(outcome.end, 'broken');
    t.is(receivedCount, 0);
  });
}

const HEAD_START = 'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Stamp: s\r\n';
/** Responses with the number of bytes from which they are complete when their connection ends. */
const STOPPED_RESPONSES: Readonly<
  Record<string, { readonly bytes: string; readonly completeFrom: number }>
> = {
  'a length': {
    bytes: `${HEAD_START}Content-Length: 4\r\n\r\nfine`,
    completeFrom: HEAD_START.length + 25,
  },
  chunks: {
    bytes: `${HEAD_START}Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n`,
    completeFrom: HEAD_START.length + 44,
  },
  'neither length nor chunks': {
    bytes: `${HEAD_START}Content-Type: text/event-stream\r\n\r\n`,
    completeFrom: HEAD_START.length + 35,
  },
};

// A server that stops in the middle of its head must not look like one with an empty response.
for (const [name, { bytes, completeFrom }] of Object.entries(STOPPED_RESPONSES)) {
  test(`a response with ${name} that stops anywhere before its end is broken`, async (t) => {
    const lengths = Array.from({ length: bytes.length + 1 }, (_, length) => length);
    const ends = await Promise.all(
      lengths.map((length) =>
        sendToRawServer((socket) => {
          socket.end(bytes.slice(0, length));
        }),
      ),
    );
    t.deepEqual(
      ends.map(({ end }) => end === 'broken'),
      lengths.map((length) => length < completeFrom),
    );
  });
}
