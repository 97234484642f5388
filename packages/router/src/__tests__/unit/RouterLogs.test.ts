import test from 'ava';
import { request } from 'undici';
import { KEY, REVOKED_KEY, startFakeDaemon } from '../utils/FakeDaemon.js';

/** The log's writer is shared within a process, so this test has a file of its own. */
test('a line for each decision and refusal, and keys in none of them', async (t) => {
  const daemon = await startFakeDaemon(t);
  const wrongKeys = [REVOKED_KEY, 'wrong-secret-key', `${KEY} `];
  const bodies = ['{"max_tokens":12,"model":"drafts","prompt":"hello"}', '{"cut":', '{}'];
  for (const key of [KEY, ...wrongKeys]) {
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
  const text = daemon.lines.join('\n');
  t.true(text.includes('decision=route'));
  t.true(text.includes('decision=refuse'));
  t.true(daemon.lines.length >= 11);
  for (const key of [KEY, ...wrongKeys]) {
    t.false(text.includes(key.trim()), 'a key was logged');
  }
});
