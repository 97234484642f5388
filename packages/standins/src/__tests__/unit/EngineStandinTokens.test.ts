import test from 'ava';
import {
  countPromptTokens,
  outputLength,
  prefixBlockHashes,
  tokenText,
} from '../../EngineStandinTokens.js';

const SOURCE = { model: 'reports', prompt: 'count aisle four', seed: 7 };

test('a token depends on model, prompt, seed and index alone', (t) => {
  t.is(tokenText(SOURCE, 3), tokenText({ ...SOURCE }, 3));
  const otherTexts = [
    tokenText(SOURCE, 4),
    tokenText({ ...SOURCE, model: 'flags' }, 3),
    tokenText({ ...SOURCE, prompt: 'count aisle five' }, 3),
    tokenText({ ...SOURCE, seed: 8 }, 3),
  ];
  t.false(otherTexts.includes(tokenText(SOURCE, 3)));
});

test('the output length lies in the range and varies with the seed', (t) => {
  const range = { maxTokens: 40, minTokens: 10 };
  const lengths = Array.from({ length: 50 }, (_, seed) => outputLength({ ...SOURCE, seed }, range));
  t.true(lengths.every((length) => length >= 10 && length <= 40));
  t.true(new Set(lengths).size > 5);
});

test('a prompt is hashed in whole blocks', (t) => {
  const prompt = 'x'.repeat(130);
  t.is(prefixBlockHashes(prompt).length, 2);
  t.is(prefixBlockHashes(prompt)[0], prefixBlockHashes('x'.repeat(64))[0]);
  t.is(countPromptTokens('abcde'), 2);
});
