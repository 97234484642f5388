import { createHash } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Inputs that determine every token of a generation. */
export interface TokenSource {
  readonly model: string;
  readonly prompt: string;
  readonly seed: number;
}

/** Range of the output lengths of a stand-in engine, in tokens. */
export interface OutputLengthRange {
  readonly maxTokens: number;
  readonly minTokens: number;
}

const BLOCK_CHARACTERS = 64;
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_HASH_DIGITS = 16;
const TOKEN_HASH_DIGITS = 8;

/**
 * Computes the text of one token. It is the same on every engine and ends in the token's index.
 *
 * @param source - model, prompt and seed
 * @param index - position within the generation
 * @returns the text
 */
export function tokenText(source: TokenSource, index: number): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([source.model, source.prompt, source.seed, index]))
    .digest('hex')
    .slice(0, TOKEN_HASH_DIGITS);
  return ` w${hash}-${index}`;
}

/**
 * Draws the output length of a generation, before `maxTokens` limits it.
 *
 * @param source - model, prompt and seed
 * @param range - smallest and largest length
 * @returns the length in tokens, the same for the same source
 */
export function outputLength(source: TokenSource, range: OutputLengthRange): number {
  const digest = createHash('sha256')
    .update(JSON.stringify([source.model, source.prompt, source.seed]))
    .digest();
  return uniformInt(xoroshiro128plus(digest.readInt32BE(0)), range.minTokens, range.maxTokens);
}

/**
 * Counts the tokens of a prompt.
 *
 * @param prompt - the text
 * @returns tokens
 */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/**
 * Hashes every prefix of a prompt that ends at a block boundary, shortest first.
 *
 * @param prompt - the text
 * @returns one hash for each whole block, over the prompt up to the end of that block
 */
export function prefixBlockHashes(prompt: string): readonly string[] {
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    hash.update(prompt.slice(end - BLOCK_CHARACTERS, end));
    hashes.push(hash.copy().digest('hex').slice(0, PREFIX_HASH_DIGITS));
  }
  return hashes;
}

/** Size in tokens of a prefix cache block. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
