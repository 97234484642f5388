import test from 'ava';
import type { Log } from '../../index.js';
import { createDecisionLog } from '../../index.js';

test('of a request with many decisions the latest are stored', (t) => {
  const logged: unknown[] = [];
  const sink: Log = {
    child: () => sink,
    debug: () => undefined,
    error: () => undefined,
    info: (_event, fields) => logged.push(fields),
    warn: () => undefined,
  };
  const log = createDecisionLog({ log: sink, nowEpochMs: () => 0 });
  for (let number = 1; number <= 100; number += 1) {
    log.record({ decision: `decision-${number}`, fields: {}, requestId: 'r' });
  }
  const names = log.explain('r').map(({ decision }) => decision);
  t.is(names.length, 64);
  t.is(names.at(0), 'decision-37');
  t.is(names.at(-1), 'decision-100');
  t.is(logged.length, 100);
});
