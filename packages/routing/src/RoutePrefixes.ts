import { createHash } from 'node:crypto';
import {
  CHARACTERS_PER_TOKEN,
  MAX_PREFIX_BLOCKS,
  PREFIX_BLOCK_CHARACTERS,
  PREFIX_HASH_DIGITS,
} from './RouteConstants.js';

/**
 * Hashes the leading blocks of a prompt in the way that the engines do.
 *
 * @param prompt - text of the prompt
 * @returns one hash for the prefix up to each whole block, shortest prefix first
 */
export function prefixHashesOf(prompt: string): readonly string[] {
  const wholeBlocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS);
  const blocks = Math.min(wholeBlocks, MAX_PREFIX_BLOCKS);
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    hash.update(prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS));
    hashes.push(hash.copy().digest('hex').slice(0, PREFIX_HASH_DIGITS));
  }
  return hashes;
}

/**
 * Counts the tokens of a prompt in the way that the engines do.
 *
 * @param prompt - text of the prompt
 * @returns number of tokens
 */
export function promptTokensOf(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
