import test from 'ava';
import type { ResultCodeName } from '../../index.js';
import { RESULT_CODES, findResultCodeName } from '../../index.js';

test('every number identifies one result code', (t) => {
  const names = Object.keys(RESULT_CODES) as ResultCodeName[];
  for (const name of names) {
    t.is(findResultCodeName(RESULT_CODES[name].code), name);
  }
});

test('the published result codes do not change', (t) => {
  t.snapshot(RESULT_CODES);
});
