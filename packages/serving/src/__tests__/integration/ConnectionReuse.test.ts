import { once } from 'node:events';
import { Agent, createServer as createHttpServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { BackendServer } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { fetchHttp } from '../../HttpFetch.js';
import type { BackendConnection, ConnectionListener } from '../../index.js';
import { BackendConnectionPool } from '../../index.js';
import type { PausableSource } from '../../buffers/HeldOutput.js';
import { MAX_IDLE_MS } from '../../ServingConstants.js';

const EXCHANGES = 30;
const LARGE_BODY = Buffer.alloc(8_388_608);
const SETTLE_MS = 50;

interface Exchange {
  readonly isEnded: Promise<string>;
  readonly source: PausableSource;
}

/** A pool whose server answers each request with bytes that the test chooses. */
class ReuseTest {
  readonly opened: Socket[] = [];
  nowMs = 0;
  /** Bytes that the server sends for a request with this path; undefined to stay silent. */
  respond: (path: string) => string | undefined = (path) => response(path);
  /** Whether the server reads what is sent to it. */
  reads = true;
  readonly pool = new BackendConnectionPool(
    { nowMs: () => this.nowMs },
    {
      dial: (_server, listener) => {
        const socket = connect(this.port, '127.0.0.1');
        this.opened.push(socket);
        socket.once('connect', () => {
          listener.onOpened({ socket, via: undefined });
        });
      },
      isRunning: () => Promise.resolve(true),
    },
  );
  readonly accepted: Socket[] = [];

  private constructor(
    private readonly port: number,
    readonly server: BackendServer,
  ) {}

  static async start(t: ExecutionContext): Promise<ReuseTest> {
    const tcpServer = createServer((socket) => {
      reuse.accepted.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        const path = /^[A-Z]+ (\S+) HTTP/.exec(chunk.toString('latin1'))?.[1];
        const bytes = path === undefined ? undefined : reuse.respond(path);
        if (bytes !== undefined) {
          socket.write(bytes);
        }
        if (!reuse.reads) {
          socket.pause();
        }
      });
    }).listen(0, '127.0.0.1');
    await once(tcpServer, 'listening');
    const { port } = tcpServer.address() as AddressInfo;
    const reuse = new ReuseTest(port, {
      failureDomain: toId<FailureDomainId>('a'),
      host: '127.0.0.1',
      leaving: false,
      port,
      serverId: toId<ServerId>('s1'),
      service: toId<ServiceId>('desk'),
      slots: 1,
      startedEpochMs: 0,
    });
    t.teardown(() => {
      reuse.pool.close();
      reuse.accepted.forEach((socket) => socket.destroy());
      tcpServer.close();
    });
    return reuse;
  }

  connect(): Promise<BackendConnection> {
    return new Promise((resolve, reject) => {
      const listener: ConnectionListener = {
        onConnectFailed: reject,
        onConnected: resolve,
      };
      this.pool.acquire(this.server, listener);
    });
  }

  /** Sends a request whose connection goes back to the pool when its response has ended. */
  async exchange(
    path: string,
    options: { body?: Buffer; onEnd?: () => void } = {},
  ): Promise<Exchange> {
    const { body, onEnd } = options;
    const connection = await this.connect();
    let source: PausableSource | undefined;
    const isEnded = new Promise<string>((resolve) => {
      let received = '';
      source = connection.send(
        { body, headers: [], method: 'POST', path, responseKey: path },
        {
          accepts: () => true,
          onBody: (chunk) => {
            received += chunk.toString();
          },
          onBroken: (reason) => {
            resolve(`broken: ${reason}`);
          },
          onEnd: () => {
            this.pool.release(this.server, connection);
            onEnd?.();
            resolve(received);
          },
          onHead: () => undefined,
        },
      );
    });
    return { isEnded, source: source as unknown as PausableSource };
  }
}

function response(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
}

test('a connection that is paused when its response ends is read again', async (t) => {
  const reuse = await ReuseTest.start(t);
  for (const path of ['/1', '/2', '/3']) {
    const exchange = await reuse.exchange(path, {
      onEnd: () => {
        exchange.source.pause();
      },
    });
    t.is(await exchange.isEnded, path);
  }
  t.is(reuse.opened.length, 1);
});

test('a response that is paused until its last part leaves no pause behind', async (t) => {
  const reuse = await ReuseTest.start(t);
  for (const path of ['/1', '/2', '/3']) {
    const connection = await reuse.connect();
    const body = await new Promise((resolve) => {
      let received = '';
      const source = connection.send(
        { body: undefined, headers: [], method: 'GET', path, responseKey: path },
        {
          accepts: () => true,
          onBody: (chunk) => {
            received += chunk.toString();
            source.pause();
          },
          onBroken: resolve,
          onEnd: () => {
            reuse.pool.release(reuse.server, connection);
            resolve(received);
          },
          onHead: () => undefined,
        },
      );
    });
    t.is(body, path);
  }
  t.is(reuse.opened.length, 1);
});

test('who reads an earlier response neither pauses nor resumes a later one', async (t) => {
  const reuse = await ReuseTest.start(t);
  const first = await reuse.exchange('/1');
  t.is(await first.isEnded, '/1');
  reuse.respond = () => undefined;
  const second = await reuse.exchange('/2');
  const socket = reuse.opened[0];
  first.source.pause();
  t.false(socket?.isPaused());
  second.source.pause();
  first.source.resume();
  t.true(socket?.isPaused());
  second.source.resume();
  t.false(socket?.isPaused());
  t.is(reuse.opened.length, 1);
});

test('a connection that is paused outside of a response is not used again', async (t) => {
  const reuse = await ReuseTest.start(t);
  t.is(await (await reuse.exchange('/1')).isEnded, '/1');
  reuse.opened[0]?.pause();
  t.is(await (await reuse.exchange('/2')).isEnded, '/2');
  t.is(reuse.opened.length, 2);
});

test('a connection that is corked is not used again', async (t) => {
  const reuse = await ReuseTest.start(t);
  t.is(await (await reuse.exchange('/1')).isEnded, '/1');
  reuse.opened[0]?.cork();
  t.is(await (await reuse.exchange('/2')).isEnded, '/2');
  t.is(reuse.opened.length, 2);
});

test('a connection whose server answered before it took the request body is not used again', async (t) => {
  const reuse = await ReuseTest.start(t);
  reuse.reads = false;
  t.is(await (await reuse.exchange('/1', { body: LARGE_BODY })).isEnded, '/1');
  reuse.reads = true;
  t.is(await (await reuse.exchange('/2')).isEnded, '/2');
  t.is(reuse.opened.length, 2);
});

test('a request sent while an earlier response is parsed does not get what follows that', async (t) => {
  const reuse = await ReuseTest.start(t);
  reuse.respond = (path) => (path === '/1' ? response('/1') + response('surplus') : response(path));
  const bodies: Promise<string>[] = [];
  const first = await reuse.exchange('/1', {
    onEnd: () => {
      bodies.push(reuse.exchange('/2').then(({ isEnded }) => isEnded));
    },
  });
  t.is(await first.isEnded, '/1');
  t.deepEqual(await Promise.all(bodies), ['/2']);
  t.is(reuse.opened.length, 2);
});

test('a connection on which half of another response came is not used again', async (t) => {
  const reuse = await ReuseTest.start(t);
  t.is(await (await reuse.exchange('/1')).isEnded, '/1');
  reuse.accepted[0]?.write('HTTP/1.1 200 OK\r\nContent-');
  await settle();
  t.is(await (await reuse.exchange('/2')).isEnded, '/2');
  t.is(reuse.opened.length, 2);
});

test('responses leave no listeners on their connection', async (t) => {
  const reuse = await ReuseTest.start(t);
  const counts = (): readonly number[] =>
    (reuse.opened[0]?.eventNames() ?? []).map((name) => reuse.opened[0]?.listenerCount(name) ?? 0);
  t.is(await (await reuse.exchange('/0')).isEnded, '/0');
  await settle();
  const before = counts();
  for (let count = 1; count < EXCHANGES; count += 1) {
    t.is(await (await reuse.exchange(`/${count}`)).isEnded, `/${count}`);
  }
  await settle();
  t.deepEqual(counts(), before);
  t.is(reuse.opened.length, 1);
});

test('the idle time of a connection does not end a later request on it', async (t) => {
  const reuse = await ReuseTest.start(t);
  t.is(await (await reuse.exchange('/1')).isEnded, '/1');
  const silent: string[] = [];
  reuse.respond = (path) => {
    silent.push(path);
    return undefined;
  };
  const second = await reuse.exchange('/2');
  await settle();
  reuse.nowMs += 2 * MAX_IDLE_MS;
  reuse.pool.closeExpired();
  reuse.accepted[0]?.write(response('late'));
  t.is(await second.isEnded, 'late');
  t.deepEqual(silent, ['/2']);
});

test('fetches leave no listeners on their connection', async (t) => {
  const sockets = new Set<Socket>();
  const server = createHttpServer((_request, reply) => {
    reply.end('fine');
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true });
  agent.on('free', (socket: Socket) => sockets.add(socket));
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  const counts: number[] = [];
  for (let count = 0; count < EXCHANGES; count += 1) {
    const fetched = await fetchHttp({
      agent,
      host: '127.0.0.1',
      maxBodyBytes: 100,
      method: 'GET',
      path: '/',
      port,
      timeoutMs: 5_000,
    });
    t.true(fetched.ok);
    await settle();
    const [socket] = sockets;
    counts.push(socket?.listenerCount('data') ?? -1, socket?.listenerCount('timeout') ?? -1);
  }
  t.is(sockets.size, 1);
  t.deepEqual(new Set(counts.filter((_, index) => index % 2 === 0)).size, 1);
  t.deepEqual(new Set(counts.filter((_, index) => index % 2 === 1)).size, 1);
});
