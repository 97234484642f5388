import test from 'ava';
import { request } from 'undici';
import { API_KEY, REVOKED_API_KEY, startTestDaemon } from '../utils/TestDaemon.js';

/** The log writer is shared within a process, so this test needs a file (and process) of its own. */
test('every decision and refusal is logged, and no line contains a key', async (t) => {
  const daemon = await startTestDaemon(t);
  const wrongKeys = [REVOKED_API_KEY, 'wrong-secret-key', `${API_KEY} `];
  const bodies = ['{"max_tokens":12,"model":"drafts","prompt":"hello"}', '{"cut":', '{}'];
  for (const key of [API_KEY, ...wrongKeys]) {
    for (const body of bodies) {
      const response = await request(
        `${daemon.url}/v1/completions?key=${encodeURIComponent(key)}`,
        {
          body,
          headers: { authorization: `Bearer ${key}`, 'x-request-id': `r-${body.length}` },
          method: 'POST',
        },
      );
      const answer = await response.body.text();
      t.false(answer.includes(key.trim()));
    }
  }
  const text = daemon.logLines.join('\n');
  t.true(text.includes('decision=route'));
  t.true(text.includes('decision=refuse'));
  t.true(daemon.logLines.length >= 11);
  for (const key of [API_KEY, ...wrongKeys]) {
    t.false(text.includes(key.trim()), 'a key was logged');
  }
});
