import type { HeaderList } from './ServingPorts.js';

/**
 * Pairs names and values that stand one after the other.
 *
 * @param rawHeaders - name, value, name, value
 * @returns the pairs
 */
export function toHeaderPairs(rawHeaders: readonly string[]): HeaderList {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}

/**
 * Values of a header.
 *
 * @param headers - all headers
 * @param lowerName - name in lower case
 * @returns the values in their order
 */
export function headerValues(headers: HeaderList, lowerName: string): readonly string[] {
  return headers.filter(([name]) => name.toLowerCase() === lowerName).map(([, value]) => value);
}
