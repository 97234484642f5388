import test from 'ava';
import type { ResultCodeName } from '../../index.js';
import { RESULT_CODES, findResultCodeName } from '../../index.js';

test('each number stands for one code', (t) => {
  const names = Object.keys(RESULT_CODES) as ResultCodeName[];
  for (const name of names) {
    t.is(findResultCodeName(RESULT_CODES[name].code), name);
  }
});

test('the table stays as it was published', (t) => {
  t.snapshot(RESULT_CODES);
});
