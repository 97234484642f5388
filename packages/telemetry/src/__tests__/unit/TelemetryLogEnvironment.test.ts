import test from 'ava';
import { createLog } from '../../TelemetryLog.js';

test('a log writes without environment variables being set', (t) => {
  const lines: string[] = [];
  createLog({ write: (line) => lines.push(line) }).info('listening', { http: '127.0.0.1:1' });
  t.is(lines.length, 1);
  t.regex(lines[0] ?? '', /level=info event=listening http=127\.0\.0\.1:1$/);
});
