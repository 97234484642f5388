import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { VmList } from '@laburnumgap/kernel';
import { createHttpVmList } from '../../index.js';

interface StubResponse {
  readonly body?: string;
  readonly etag?: string;
  readonly status: number;
}

interface TestPlatform {
  /** `If-None-Match` header of each request. */
  readonly receivedEtags: (string | undefined)[];
  /** Responses to the next requests, in order; status 500 once none is left. */
  readonly responses: StubResponse[];
  readonly vmList: VmList;
}

const createListBody = (...ids: string[]): string =>
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

const startTestPlatform = async (t: ExecutionContext): Promise<TestPlatform> => {
  const receivedEtags: (string | undefined)[] = [];
  const responses: StubResponse[] = [];
  const server = createServer((request, response) => {
    receivedEtags.push(request.headers['if-none-match']);
    const { body, etag, status } = responses.shift() ?? { status: 500 };
    response.writeHead(status, etag === undefined ? {} : { etag }).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    receivedEtags,
    responses,
    vmList: createHttpVmList({ url: `http://127.0.0.1:${port}` }),
  };
};

const readServerIds = async (vmList: VmList): Promise<string> => {
  const result = await vmList.list();
  return result.ok ? result.value.map(({ serverId }) => serverId).join(' ') : result.error.detail;
};

test('an unchanged list is requested by its ETag and not transferred again', async (t) => {
  const { receivedEtags, responses, vmList } = await startTestPlatform(t);
  responses.push(
    { body: createListBody('a'), etag: '"1"', status: 200 },
    { etag: '"1"', status: 304 },
    { body: createListBody('a', 'b'), etag: '"2"', status: 200 },
    { status: 304 },
    { body: createListBody('c'), status: 200 },
    { body: createListBody('d'), status: 200 },
  );
  const results: string[] = [];
  for (let call = 0; call < 6; call += 1) {
    results.push(await readServerIds(vmList));
  }
  t.deepEqual(results, ['a', 'a', 'a b', 'a b', 'c', 'd']);
  t.deepEqual(receivedEtags, [undefined, '"1"', '"1"', '"2"', '"2"', undefined]);
});

test('the request after an unreadable list carries no ETag', async (t) => {
  const { receivedEtags, responses, vmList } = await startTestPlatform(t);
  responses.push(
    { etag: '"0"', status: 304 },
    { body: createListBody('a'), etag: '"1"', status: 200 },
    { body: '{', etag: '"2"', status: 200 },
    { body: createListBody('b'), etag: '"2"', status: 200 },
    { status: 500 },
    { etag: '"2"', status: 304 },
  );
  const results: string[] = [];
  for (let call = 0; call < 6; call += 1) {
    results.push(await readServerIds(vmList));
  }
  t.deepEqual(results, [
    'HTTP status 304',
    'a',
    'the response is not JSON',
    'b',
    'HTTP status 500',
    'b',
  ]);
  t.deepEqual(receivedEtags, [undefined, undefined, '"1"', undefined, '"2"', '"2"']);
});

test('a malformed list is rejected with the path of the invalid field', async (t) => {
  const { responses, vmList } = await startTestPlatform(t);
  const body = createListBody('a', 'b').replace('"http://10.0.0.1:1"', '"10.0.0.1:1"');
  responses.push({ body, status: 200 }, { body: '{}', status: 200 });
  t.regex(await readServerIds(vmList), /^the list is malformed: vms\.0\.address: /);
  t.regex(await readServerIds(vmList), /^the list is malformed: vms: /);
});
