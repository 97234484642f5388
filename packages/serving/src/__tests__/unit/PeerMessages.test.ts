import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { DomainLoadMessage } from '../../index.js';
import { encodeMessage, parsePeerMessage } from '../../index.js';

const SHARE = {
  plannedTokens: 12_000,
  readingTokens: 3_000,
  runs: 4,
  serverId: toId<ServerId>('i-0123456789'),
  usedTokens: 9_000,
};
const MESSAGE: DomainLoadMessage = {
  failureDomain: toId<FailureDomainId>('a'),
  kind: 'domainLoad',
  shares: [SHARE],
};

test('encoding and parsing preserves shares', (t) => {
  t.deepEqual(parsePeerMessage(Buffer.from(encodeMessage(MESSAGE))), MESSAGE);
});

test('an encoded share takes at most 50 bytes', (t) => {
  const [one, two] = [1, 2].map(
    (count) =>
      encodeMessage({ ...MESSAGE, shares: Array.from({ length: count }, () => SHARE) }).length,
  );
  t.true((two ?? 0) - (one ?? 0) <= 50);
});

test('malformed shares are dropped', (t) => {
  const validShare = ['i-1', 1, 2, 3, 4];
  const shares = [
    validShare,
    ['i-1', 1, 2, 3],
    ['i-1', 1, 2, 3, 'x'],
    [7, 1, 2, 3, 4],
    {},
    null,
    'x',
  ];
  const message = parsePeerMessage(Buffer.from(JSON.stringify({ ...MESSAGE, shares })));
  t.is(message?.kind === 'domainLoad' ? message.shares.length : undefined, 1);
});
