import type { ContractCall } from '@laburnumgap/contracts';
import test from 'ava';
import fc from 'fast-check';
import { hashPlainCall, matchPlainCall, parsePlainCallTarget } from '../../index.js';

const CALLS: ContractCall[] = [
  { idempotent: true, method: 'POST', path: '/v1/*', timeoutMs: 1 },
  { idempotent: false, method: 'POST', path: '/v1/transfers', timeoutMs: 2 },
  { idempotent: true, method: 'GET', path: '/v1/stock/*', timeoutMs: 3 },
];
const CONTRACT = { services: [{ calls: CALLS, name: 'stock' }] };

function matchTimeoutMs(method: string, url: string): number | string {
  const target = parsePlainCallTarget(url);
  if (target === undefined) {
    return 'malformed';
  }
  return matchPlainCall(CONTRACT, method, target)?.timeoutMs ?? 'unknown';
}

test('a URL is matched as one call of the contract or refused', (t) => {
  const cases: Record<string, number | string> = {
    'GET /services/orders/v1/stock/7': 'unknown',
    'GET /services/stock': 'malformed',
    'GET /services//v1/stock/7': 'malformed',
    'GET /services/stock/v1/%2e%2e/7': 'malformed',
    'GET /services/stock/v1/../7': 'malformed',
    'GET /services/stock/v1/./7': 'malformed',
    'GET /services/stock/v1/stock/': 'malformed',
    'GET /services/stock/v1/stock/%': 'malformed',
    'GET /services/stock/v1/stock/%00': 'malformed',
    'GET /services/stock/v1/stock/7': 3,
    'GET /services/stock/v1/stock/7#x': 'malformed',
    'GET /services/stock/v1/stock/7/8': 'unknown',
    'GET /services/stock/v1/stock/7?shop=3': 3,
    'GET /services/stock/v1/stock/a%20b': 3,
    'GET /services/stock/v1/stock/a%2fb': 'malformed',
    'GET /services/stock/v1/stock/a\\b': 'malformed',
    'POST /services/stock/v1/orders': 1,
    // If two match, the non-idempotent one takes precedence, also when percent-encoded.
    'POST /services/stock/v1/transfers': 2,
    'POST /services/stock/v1/%74ransfers': 2,
    'PUT /services/stock/v1/transfers': 'unknown',
  };
  for (const [call, expected] of Object.entries(cases)) {
    const [method = '', url = ''] = call.split(/ (.*)/);
    t.is(matchTimeoutMs(method, url), expected, call);
  }
});

test('no URL makes the parser throw', (t) => {
  fc.assert(
    fc.property(fc.string({ unit: 'binary' }), (text) => {
      parsePlainCallTarget(`/services/stock/${text}`);
      parsePlainCallTarget(text);
    }),
    { numRuns: 2_000, seed: 20261203 },
  );
  t.pass();
});

test('two calls that differ have different hashes', (t) => {
  const part = fc.string({ maxLength: 2, unit: fc.constantFrom('a', '"', ',') });
  const call = fc.record({ body: part, method: part, path: part, service: part });
  const hashOf = (value: { body: string; method: string; path: string; service: string }) =>
    hashPlainCall({ ...value, body: Buffer.from(value.body) });
  const textOf = ({ body, method, path, service }: Record<string, string>) =>
    JSON.stringify([body, method, path, service]);
  fc.assert(
    fc.property(
      call,
      call,
      (one, other) => (textOf(one) === textOf(other)) === (hashOf(one) === hashOf(other)),
    ),
    { numRuns: 2_000, seed: 20261203 },
  );
  t.pass();
});
