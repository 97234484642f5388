import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { BoundedLog } from '../../index.js';

function createLogPath(teardown: (undo: () => void) => void): string {
  const folder = mkdtempSync(join(tmpdir(), 'bounded-log-'));
  teardown(() => {
    rmSync(folder, { recursive: true });
  });
  return join(folder, 'log');
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

test('a log line contains the event and its defined fields', async (t) => {
  const path = createLogPath(t.teardown);
  const fileDescriptor = openSync(path, 'w');
  const log = new BoundedLog({ fileDescriptor, nowEpochMs: () => 0 });
  log.info('call-ended', { detail: 'a b', missing: undefined, tookMs: 12 });
  await waitUntil(() => readFileSync(path, 'utf8').endsWith('\n'));
  t.is(
    readFileSync(path, 'utf8'),
    'time=1970-01-01T00:00:00.000Z level=info event=call-ended detail="a b" tookMs=12\n',
  );
  closeSync(fileDescriptor);
});

test('lines beyond the buffer limit are dropped and counted', async (t) => {
  const path = createLogPath(t.teardown);
  const fileDescriptor = openSync(path, 'w');
  const log = new BoundedLog({ fileDescriptor, maxPendingBytes: 200, nowEpochMs: () => 0 });
  for (let line = 0; line < 50; line += 1) {
    log.info('line', { line });
  }
  await waitUntil(() => readFileSync(path, 'utf8').includes('event=log-lines-dropped'));
  const lines = readFileSync(path, 'utf8').trim().split('\n');
  const writtenCount = lines.filter((line) => line.includes('event=line ')).length;
  t.true(lines.some((line) => line.includes(`lines=${50 - writtenCount}`)));
  closeSync(fileDescriptor);
});

test('closing waits for the lines that are buffered behind a pending write', async (t) => {
  const path = createLogPath(t.teardown);
  const fileDescriptor = openSync(path, 'w');
  const log = new BoundedLog({ fileDescriptor, nowEpochMs: () => 0 });
  log.info('first');
  log.info('second');
  await log.close();
  const events = readFileSync(path, 'utf8').match(/event=\w+/g);
  t.deepEqual(events, ['event=first', 'event=second']);
  closeSync(fileDescriptor);
});

test('the buffer limit counts bytes, not characters', async (t) => {
  const path = createLogPath(t.teardown);
  const fileDescriptor = openSync(path, 'w');
  const log = new BoundedLog({ fileDescriptor, maxPendingBytes: 200, nowEpochMs: () => 0 });
  // 120 characters of two bytes each.
  log.info('line', { detail: 'é'.repeat(120) });
  log.info('last');
  await log.close();
  t.is(/event=line/.exec(readFileSync(path, 'utf8')), null);
  closeSync(fileDescriptor);
});
