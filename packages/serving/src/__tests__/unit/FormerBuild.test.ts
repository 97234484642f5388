import test from 'ava';
import { parseConfiguration, parseDatagram, parseSnapshot } from '../../index.js';
import { FORMER_BUILD } from '../FormerBuildMessages.js';

// Daemons of two builds run side by side while a fleet is upgraded.
for (const { read, sent } of FORMER_BUILD.messages) {
  test(`a message of the former build is read as before: ${sent.slice(0, 60)}`, (t) => {
    t.deepEqual(asJson(parseDatagram(Buffer.from(sent))), read);
  });
}

test('a snapshot of the former build is read as before', (t) => {
  t.deepEqual(asJson(parseSnapshot(FORMER_BUILD.snapshot.sent)), FORMER_BUILD.snapshot.read);
});

test('a configuration of the former build is read as before', (t) => {
  const bytes = Buffer.from(FORMER_BUILD.configuration.base64, 'base64');
  t.deepEqual(asJson(parseConfiguration(bytes)), FORMER_BUILD.configuration.read);
});

function asJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
