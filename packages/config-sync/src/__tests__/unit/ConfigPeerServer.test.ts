import type { Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ConfigEntryInForce } from '../../index.js';
import { MAX_BATCH_BYTES, splitIntoBatches } from '../../index.js';

test('batches are bounded in bytes, not in characters', (t) => {
  // Two bytes a character: two such values exceed a batch, though their characters do not.
  const value = 'é'.repeat(MAX_BATCH_BYTES / 2 - 10);
  const entries = ['a', 'b'].map((key): ConfigEntryInForce => ({
    document: { kind: 'tombstone' },
    key,
    modRevision: toNumberId<Revision>(1),
    sequence: 1,
    value,
  }));
  t.deepEqual(
    splitIntoBatches(entries).map((batch) => batch.length),
    [1, 1],
  );
});
