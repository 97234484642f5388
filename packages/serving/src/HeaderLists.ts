import type { HeaderList } from './ServingPorts.js';

/**
 * Converts a flat list of header names and values, as in `rawHeaders` of Node's HTTP server, to
 * pairs.
 *
 * @param rawHeaders - alternating names and values
 * @returns the name-value pairs
 */
export function toHeaderPairs(rawHeaders: readonly string[]): HeaderList {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}

/**
 * Returns all values of a header.
 *
 * @param headers - all headers
 * @param lowerName - name in lower case
 * @returns the values in order of occurrence
 */
export function headerValues(headers: HeaderList, lowerName: string): readonly string[] {
  return headers.filter(([name]) => name.toLowerCase() === lowerName).map(([, value]) => value);
}
