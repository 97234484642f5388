import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { VmList } from '@laburnumgap/kernel';
import { createHttpVmList } from '../../index.js';

interface Answer {
  readonly body?: string;
  readonly etag?: string;
  readonly status: number;
}

interface Bench {
  readonly asked: (string | undefined)[];
  readonly list: VmList;
  /** Answers the next calls. */
  readonly next: Answer[];
}

const bodyOf = (...ids: string[]): string =>
  JSON.stringify({
    vms: ids.map((serverId) => ({
      address: 'http://10.0.0.1:1',
      backend: { kind: 'model', pool: 'pool' },
      failureDomain: 'zone-1',
      region: 'south-1',
      serverId,
      state: 'live',
    })),
  });

const createBench = async (t: ExecutionContext): Promise<Bench> => {
  const asked: (string | undefined)[] = [];
  const next: Answer[] = [];
  const server = createServer((request, response) => {
    asked.push(request.headers['if-none-match']);
    const { body, etag, status } = next.shift() ?? { status: 500 };
    response.writeHead(status, etag === undefined ? {} : { etag }).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { asked, list: createHttpVmList({ url: `http://127.0.0.1:${port}` }), next };
};

const idsOf = async (list: VmList): Promise<string> => {
  const read = await list.list();
  return read.ok ? read.value.map(({ serverId }) => serverId).join(' ') : read.error.detail;
};

test('an unchanged list is asked for by its ETag and not read again', async (t) => {
  const { asked, list, next } = await createBench(t);
  next.push(
    { body: bodyOf('a'), etag: '"1"', status: 200 },
    { etag: '"1"', status: 304 },
    { body: bodyOf('a', 'b'), etag: '"2"', status: 200 },
    { status: 304 },
    { body: bodyOf('c'), status: 200 },
    { body: bodyOf('d'), status: 200 },
  );
  const seen: string[] = [];
  for (let call = 0; call < 6; call += 1) {
    seen.push(await idsOf(list));
  }
  t.deepEqual(seen, ['a', 'a', 'a b', 'a b', 'c', 'd']);
  t.deepEqual(asked, [undefined, '"1"', '"1"', '"2"', '"2"', undefined]);
});

test('after a list that could not be read the whole list is asked for', async (t) => {
  const { asked, list, next } = await createBench(t);
  next.push(
    { etag: '"0"', status: 304 },
    { body: bodyOf('a'), etag: '"1"', status: 200 },
    { body: '{', etag: '"2"', status: 200 },
    { body: bodyOf('b'), etag: '"2"', status: 200 },
    { status: 500 },
    { etag: '"2"', status: 304 },
  );
  const seen: string[] = [];
  for (let call = 0; call < 6; call += 1) {
    seen.push(await idsOf(list));
  }
  t.deepEqual(seen, [
    'HTTP status 304',
    'a',
    'the response is not JSON',
    'b',
    'HTTP status 500',
    'b',
  ]);
  t.deepEqual(asked, [undefined, undefined, '"1"', undefined, '"2"', '"2"']);
});

test('a malformed list is refused with the place of the fault', async (t) => {
  const { list, next } = await createBench(t);
  const body = bodyOf('a', 'b').replace('"http://10.0.0.1:1"', '"10.0.0.1:1"');
  next.push({ body, status: 200 }, { body: '{}', status: 200 });
  t.regex(await idsOf(list), /^the list is malformed: vms\.0\.address: /);
  t.regex(await idsOf(list), /^the list is malformed: vms: /);
});
