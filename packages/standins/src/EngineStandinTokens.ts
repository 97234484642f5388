import { createHash } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** What fixes every token of a generation. */
export interface TokenSource {
  readonly model: string;
  readonly prompt: string;
  readonly seed: number;
}

/** Lengths of the answers that a stand-in engine gives. */
export interface OutputLengthRange {
  readonly maxTokens: number;
  readonly minTokens: number;
}

const BLOCK_CHARACTERS = 64;
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_HASH_DIGITS = 16;
const TOKEN_HASH_DIGITS = 8;

/**
 * Text of one token; the same on every engine.
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
 * Number of tokens that a generation has when nothing bounds it.
 *
 * @param source - model, prompt and seed
 * @param range - least and most tokens
 * @returns the length, drawn from the source
 */
export function outputLength(source: TokenSource, range: OutputLengthRange): number {
  const digest = createHash('sha256')
    .update(JSON.stringify([source.model, source.prompt, source.seed]))
    .digest();
  return uniformInt(xoroshiro128plus(digest.readInt32BE(0)), range.minTokens, range.maxTokens);
}

/**
 * Number of tokens of a prompt.
 *
 * @param prompt - the text
 * @returns tokens
 */
export function promptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/**
 * Hashes of the prompt's leading blocks, shortest first.
 *
 * @param prompt - the text
 * @returns one hash for each whole block
 */
export function prefixHashes(prompt: string): readonly string[] {
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    hash.update(prompt.slice(end - BLOCK_CHARACTERS, end));
    hashes.push(hash.copy().digest('hex').slice(0, PREFIX_HASH_DIGITS));
  }
  return hashes;
}

/** Tokens of one block of a prompt. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
