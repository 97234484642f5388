import type { PlatformStore } from '@laburnumgap/kernel';
import { failure } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import { v4, v7 } from 'uuid';
import type { PlainCallsDeployment } from '../utils/PlainCallsDeployment.js';
import { startPlainCallsDeployment } from '../utils/PlainCallsDeployment.js';

const TRANSFERS = '/services/stock/v1/transfers';

function transfer(deployment: PlainCallsDeployment, key?: string, body = 'four crates') {
  const headers: Record<string, string> = key === undefined ? {} : { 'idempotency-key': key };
  return deployment.call(TRANSFERS, { body, headers, method: 'POST' });
}

async function codeOf(response: Response): Promise<string> {
  const { error } = (await response.json()) as { error: { name: string; run: string } };
  return `${response.status} ${error.name} ${error.run}`;
}

test('a call runs once and its answer is replayed', async (t) => {
  const deployment = await startPlainCallsDeployment(t);
  const [service] = deployment.services;
  const key = v7();
  const first = await transfer(deployment, key);
  t.is(first.status, 201);
  t.is(await first.text(), 'done: four crates');
  const again = await transfer(deployment, key);
  t.is(again.status, 201);
  t.is(again.headers.get('idempotency-replayed'), 'true');
  t.is(again.headers.get('content-type'), 'text/plain');
  t.is(await again.text(), 'done: four crates');
  const other = await transfer(deployment, key, 'five crates');
  t.is(await codeOf(other), '422 IDEMPOTENCY_KEY_REUSED not_run');
  t.deepEqual([...(service?.effects ?? [])], [[key, 1]]);
  t.is(
    service?.requests[0]?.headers.authorization,
    undefined,
    'the key of the caller is not forwarded',
  );
});

test('keys that are missing, malformed, expired or in the future are refused as not run', async (t) => {
  const minuteMs = 60_000;
  const cases: { key?: string; code: string }[] = [
    { code: '400 IDEMPOTENCY_KEY_MISSING not_run' },
    { code: '400 IDEMPOTENCY_KEY_INVALID not_run', key: 'again' },
    { code: '400 IDEMPOTENCY_KEY_INVALID not_run', key: v4() },
    { code: '400 IDEMPOTENCY_KEY_INVALID not_run', key: `${v7()}, ${v7()}` },
    {
      code: '409 IDEMPOTENCY_KEY_EXPIRED not_run',
      key: v7({ msecs: Date.now() - 16 * minuteMs }),
    },
    {
      code: '400 IDEMPOTENCY_KEY_IN_FUTURE not_run',
      key: v7({ msecs: Date.now() + 5 * minuteMs }),
    },
  ];
  const deployment = await startPlainCallsDeployment(t);
  for (const { code, key } of cases) {
    t.is(await codeOf(await transfer(deployment, key)), code);
  }
  t.is(deployment.services[0]?.effects.size, 0);
});

test('paths that the contract does not name are refused', async (t) => {
  const cases: Record<string, string> = {
    '/services/stock/v1/stock/a%2fb': '400 MALFORMED_REQUEST not_run',
    '/services/stock/v1//stock': '400 MALFORMED_REQUEST not_run',
    '/services/stock/v1/transfers': '404 UNKNOWN_SERVICE not_run',
    '/services/orders/v1/stock/7': '404 UNKNOWN_SERVICE not_run',
    '/services/stock': '400 MALFORMED_REQUEST not_run',
  };
  const deployment = await startPlainCallsDeployment(t);
  for (const [path, code] of Object.entries(cases)) {
    t.is(await codeOf(await deployment.call(path)), code, path);
  }
  t.is(deployment.services[0]?.effects.size, 0);
});

test('a call whose connection is reset has an unknown outcome, and is not sent again', async (t) => {
  const deployment = await startPlainCallsDeployment(t, { servers: 2 });
  for (const service of deployment.services) {
    service.respond = (request) => request.socket.resetAndDestroy();
  }
  const key = v7();
  t.is(await codeOf(await transfer(deployment, key)), '502 OUTCOME_UNKNOWN may_have_run');
  t.is(await codeOf(await transfer(deployment, key)), '502 OUTCOME_UNKNOWN may_have_run');
  const effects = deployment.services.map((service) => service.effects.get(key) ?? 0);
  t.is(
    effects.reduce((sum, count) => sum + count),
    1,
  );
});

test('a server that refuses connections is skipped, as nothing was sent to it', async (t) => {
  const deployment = await startPlainCallsDeployment(t, { servers: 3 });
  const [one, two, three] = deployment.services;
  await Promise.all([one?.stop(), two?.stop()]);
  for (let count = 0; count < 4; count += 1) {
    const key = v7();
    t.is((await transfer(deployment, key)).status, 201);
    t.is(three?.effects.get(key), 1);
  }
});

test('an answer too large to be recorded is returned once, then refused as ANSWER_NOT_KEPT', async (t) => {
  const deployment = await startPlainCallsDeployment(t);
  const [service] = deployment.services;
  if (service) {
    service.respond = (_request, response) => response.end('x'.repeat(100_000));
  }
  const key = v7();
  t.is((await (await transfer(deployment, key)).text()).length, 100_000);
  t.is(await codeOf(await transfer(deployment, key)), '410 ANSWER_NOT_KEPT complete');
  t.is(service?.effects.get(key), 1);
});

test('without a ledger, or without the platform, a call is refused as not run', async (t) => {
  const withoutLedger = await startPlainCallsDeployment(t);
  withoutLedger.killLedger();
  const refused = await transfer(withoutLedger, v7());
  t.truthy(refused.headers.get('retry-after'));
  t.is(await codeOf(refused), '503 CLAIM_UNAVAILABLE not_run');
  t.is(withoutLedger.services[0]?.effects.size, 0);

  const store: PlatformStore = {
    ...createMemoryStore(),
    commit: () => Promise.resolve(failure({ detail: 'down', kind: 'unavailable' })),
  };
  const withoutPlatform = await startPlainCallsDeployment(t, { store });
  const second = await transfer(withoutPlatform, v7());
  t.truthy(second.headers.get('retry-after'));
  t.is(await codeOf(second), '503 PLATFORM_UNAVAILABLE not_run');
  t.is(withoutPlatform.services[0]?.effects.size, 0);
});

test('a failed lookup is retried at another server and needs no key', async (t) => {
  const deployment = await startPlainCallsDeployment(t, { servers: 3 });
  const [one, two] = deployment.services;
  for (const service of [one, two]) {
    if (service) {
      service.respond = (request) => request.socket.resetAndDestroy();
    }
  }
  for (let count = 0; count < 5; count += 1) {
    const response = await deployment.call('/services/stock/v1/stock/7?shop=3');
    t.is(response.status, 201);
    t.is(await response.text(), 'done: ');
  }
});

test('a lookup on a silent connection is repeated on a new one', async (t) => {
  const deployment = await startPlainCallsDeployment(t);
  const [service] = deployment.services;
  const lookup = () => deployment.call('/services/stock/v1/stock/7');
  t.is((await lookup()).status, 201);
  const [first] = service?.requests ?? [];
  const answer = service?.respond;
  if (service && answer) {
    service.respond = (request, response, body) => {
      if (request.socket !== first?.socket) {
        answer(request, response, body);
      }
    };
  }
  t.is((await lookup()).status, 201);
  t.is(service?.requests.length, 3);
  t.is(service?.requests[1]?.socket, first?.socket, 'the silent connection was tried');
});
