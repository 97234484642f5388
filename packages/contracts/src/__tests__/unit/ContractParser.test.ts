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

const problemsOf = (text: string): string => {
  const parsed = parseContract({ file: 'c.yaml', text });
  return parsed.ok ? 'valid' : parsed.error.map(formatDocumentProblem).join('\n');
};

test('a valid contract gets its defaults', (t) => {
  const parsed = parseContract({ file: 'c.yaml', text: stringify(VALID) });
  t.snapshot(parsed);
});

test('each fault is named with file, line and what is expected', (t) => {
  const faults: Record<string, object> = {
    'missing limits': { ...VALID, limits: undefined },
    'repeated key': { ...VALID, keys: [...VALID.keys, ...VALID.keys] },
    'unknown key': { ...VALID, burst: 3 },
    'unknown nested key': { ...VALID, limits: { ...VALID.limits, perDay: 3 } },
    'wrong class': { ...VALID, scheduling: { class: 'urgent' } },
    'wrong hash': { ...VALID, keys: [{ id: 'first', sha256: 'key-1' }] },
    'wrong number': { ...VALID, waitBoundMs: '1s' },
  };
  for (const [name, contract] of Object.entries(faults)) {
    t.snapshot(problemsOf(stringify(contract)), name);
  }
  t.regex(problemsOf('team: [1'), /^c\.yaml:1: /);
  t.regex(problemsOf(`team: ${'x'.repeat(MAX_DOCUMENT_BYTES)}`), /at most 262144 bytes/);
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

test('no unknown key is accepted, wherever it stands', (t) => {
  const places = [
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
      fc.constantFrom(...places),
      fc.stringMatching(/^[a-z]{9,14}$/),
      fc.jsonValue(),
      (place, key, value) => {
        const contract = structuredClone(VALID);
        const target = place === '' ? contract : at(contract, place.split('.'));
        (target as Record<string, unknown>)[`x${key}`] = value;
        return problemsOf(stringify(contract)).includes(`x${key}: unknown key`);
      },
    ),
  );
  t.is(problemsOf(stringify(VALID)), 'valid');
});

test('a document is checked against its key', (t) => {
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
    const shown = parsed.ok
      ? parsed.value.kind
      : parsed.error.map(formatDocumentProblem).join('\n');
    t.true(shown.includes(expected), `${key}: ${shown}`);
  }
});

test('a stop ends after it starts', (t) => {
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

function at(value: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((inner, key) => (inner as Record<string, unknown>)[key], value);
}
