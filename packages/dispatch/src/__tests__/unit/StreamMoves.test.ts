import type { RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { PrefixCacheIndex, copyDurationMs, mayStopForMove, selectMoves } from '../../index.js';
import { ENGINE } from '../support/DispatchFixtures.js';

test('a copy takes the time of its bytes over the link', (t) => {
  t.is(Math.round(copyDurationMs(3_500, ENGINE)), 191);
  t.is(copyDurationMs(0, ENGINE), 0);
});

test('streams that end soon are marked, and one about to end stays', (t) => {
  const streams = [
    { expectedRemainingTokens: 100, requestId: toId<RequestId>('short') },
    { expectedRemainingTokens: 900, requestId: toId<RequestId>('long') },
    { expectedRemainingTokens: 5, requestId: toId<RequestId>('ending') },
  ];
  t.deepEqual(selectMoves(streams, 10), [
    { endsSoon: true, requestId: toId<RequestId>('short') },
    { endsSoon: false, requestId: toId<RequestId>('long') },
  ]);
});

// Streams that would have ended in time were stopped when their engine took none back any more.
test('a run that could not return is stopped only if it would not end where it is', (t) => {
  const run = { canReturn: true, engineRemainingMs: 800, runRemainingMs: 700 };
  t.true(mayStopForMove(run));
  t.false(mayStopForMove({ ...run, canReturn: false }));
  t.false(mayStopForMove({ ...run, canReturn: false, runRemainingMs: 1_300 }));
  t.true(mayStopForMove({ ...run, canReturn: false, runRemainingMs: 1_301 }));
  t.true(mayStopForMove({ ...run, canReturn: false, engineRemainingMs: 199 }));
});

test('cached parts count from the start of the prompt and within the window', (t) => {
  const prefixes = new PrefixCacheIndex();
  const serverId = toId<ServerId>('a');
  const parts = [
    { id: '1', tokens: 100 },
    { id: '2', tokens: 50 },
    { id: '3', tokens: 25 },
  ];
  prefixes.recordPrompt(parts.slice(0, 2), serverId, 1_000);
  t.is(prefixes.cachedTokens(parts, serverId, 500), 150);
  t.is(prefixes.cachedTokens(parts.slice(2), serverId, 500), 0);
  t.is(prefixes.cachedTokens(parts, serverId, 1_001), 0);
  prefixes.removeServer(serverId);
  t.is(prefixes.cachedTokens(parts, serverId, 0), 0);
});
