import test from 'ava';
import * as fc from 'fast-check';
import { stringify } from 'yaml';
import {
  MAX_DOCUMENT_BYTES,
  TOMBSTONE_TEXT,
  formatDocumentProblem,
  hashKey,
  parseConfigDocument,
  parseContract,
  parsePlannedStop,
} from '../../index.js';

const VALID = {
  customer: 'hoa-sen',
  keys: [{ id: 'first', sha256: hashKey('key-1') }],
  limits: { concurrentRequests: 4, requestsPerSecond: 2, tokensPerSecond: 100 },
  models: [{ maxTokens: 100, name: 'm' }],
  scheduling: { class: 'standard' },
  services: [{ calls: [{ idempotent: true, method: 'GET', path: '/v1/*' }], name: 's' }],
  team: 'reports',
  waitBoundMs: 1000,
};

const STOP = {
  deadlineEpochMs: 2000,
  id: 'stop-1',
  startEpochMs: 1000,
  target: { kind: 'server', serverId: 'model-1' },
};

const describeProblems = (text: string): string => {
  const parsed = parseContract({ file: 'c.yaml', text });
  return parsed.ok ? 'valid' : parsed.error.map(formatDocumentProblem).join('\n');
};

test('a valid contract gets its defaults', (t) => {
  const parsed = parseContract({ file: 'c.yaml', text: stringify(VALID) });
  t.snapshot(parsed);
});

test('each error is reported with file, line and what is expected', (t) => {
  const invalidContracts: Record<string, object> = {
    'missing limits': { ...VALID, limits: undefined },
    'repeated key': { ...VALID, keys: [...VALID.keys, ...VALID.keys] },
    'unknown key': { ...VALID, burst: 3 },
    'unknown nested key': { ...VALID, limits: { ...VALID.limits, perDay: 3 } },
    'wrong class': { ...VALID, scheduling: { class: 'urgent' } },
    'wrong hash': { ...VALID, keys: [{ id: 'first', sha256: 'key-1' }] },
    'wrong number': { ...VALID, waitBoundMs: '1s' },
  };
  for (const [name, contract] of Object.entries(invalidContracts)) {
    t.snapshot(describeProblems(stringify(contract)), name);
  }
  t.regex(describeProblems('team: [1'), /^c\.yaml:1: /);
  t.regex(describeProblems(`team: ${'x'.repeat(MAX_DOCUMENT_BYTES)}`), /at most 262144 bytes/);
});

test('the parser never throws, whatever the text', (t) => {
  const yaml = fc.oneof(
    fc.string(),
    fc.string({ unit: 'binary' }),
    fc.json(),
    fc.anything().map(text),
  );
  fc.assert(
    fc.property(
      yaml,
      fc.constantFrom('contracts/reports', 'stops/stop-1', 'other'),
      (value, key) => {
        const parsed = parseConfigDocument(`/laburnum/config/${key}`, value);
        return parsed.ok ? parsed.value.kind === 'tombstone' : parsed.error.length > 0;
      },
    ),
    { numRuns: 500 },
  );
  t.pass();
});

test('an unknown key is rejected at every level', (t) => {
  const paths = [
    '',
    'keys.0',
    'limits',
    'models.0',
    'scheduling',
    'services.0',
    'services.0.calls.0',
  ];
  fc.assert(
    fc.property(
      fc.constantFrom(...paths),
      fc.stringMatching(/^[a-z]{9,14}$/),
      fc.jsonValue(),
      (path, key, value) => {
        const contract = structuredClone(VALID);
        const target = path === '' ? contract : valueAt(contract, path.split('.'));
        (target as Record<string, unknown>)[`x${key}`] = value;
        return describeProblems(stringify(contract)).includes(`x${key}: unknown key`);
      },
    ),
  );
  t.is(describeProblems(stringify(VALID)), 'valid');
});

test('a document has to match its key', (t) => {
  const contract = stringify(VALID);
  const rows: [key: string, value: string, kind: string][] = [
    ['contracts/reports', contract, 'contract'],
    ['contracts/flags', contract, 'expected flags, as the key says'],
    ['contracts/reports', TOMBSTONE_TEXT, 'tombstone'],
    ['contracts/reports', '{"tombstone": false}', 'unknown key'],
    ['stops/stop-1', stringify(STOP), 'stop'],
    ['stops/stop-2', stringify(STOP), 'expected stop-2, as the key says'],
    ['stops/stop-1', contract, 'unknown key'],
    ['others/reports', contract, 'expected a contract or a planned stop'],
  ];
  for (const [key, value, expected] of rows) {
    const parsed = parseConfigDocument(`/laburnum/config/${key}`, value);
    const actual = parsed.ok
      ? parsed.value.kind
      : parsed.error.map(formatDocumentProblem).join('\n');
    t.true(actual.includes(expected), `${key}: ${actual}`);
  }
});

test('the deadline of a stop has to be after its start', (t) => {
  const text = stringify({ ...STOP, deadlineEpochMs: 1000 });
  t.false(parsePlannedStop({ file: 's.yaml', text }).ok);
  t.true(parsePlannedStop({ file: 's.yaml', text: stringify(STOP) }).ok);
});

function text(value: unknown): string {
  try {
    return value === undefined ? '' : stringify(value);
  } catch {
    return '';
  }
}

function valueAt(value: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((inner, key) => (inner as Record<string, unknown>)[key], value);
}
