import type { HeaderList } from './ServingPorts.js';

/** RFC 9110, 5.6.2. */
const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
/** Characters of a header value, RFC 9110, 5.5. */
const VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
/** As long as the longest key of the platform's store. */
const WORD_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Whether a text can be the name of a header. */
export function isHeaderName(text: string): boolean {
  return TOKEN_PATTERN.test(text);
}

/** Whether a text can be the value of a header. */
export function isHeaderValue(text: string): boolean {
  return VALUE_PATTERN.test(text);
}

/**
 * Whether a text is a single word of visible ASCII, so that it can be an id in a header, in the target of
 * a request and in a log line.
 */
export function isHeaderWord(text: string): boolean {
  return WORD_PATTERN.test(text);
}

/**
 * Parses one line of a message head. Line folding is invalid, as RFC 9112, 5.2, permits for responses.
 *
 * @param line - the line without its end, decoded as latin1
 * @returns name and value
 * @throws Error if the line is no header
 */
export function parseHeaderLine(line: string): readonly [string, string] {
  const nameEnd = line.indexOf(':');
  const name = line.slice(0, Math.max(0, nameEnd));
  const value = withoutOuterBlanks(line.slice(nameEnd + 1));
  if (!isHeaderName(name) || !isHeaderValue(value)) {
    throw new Error('a header line is invalid');
  }
  return [name, value];
}

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

/** Unlike `trim`, keeps a no-break space, which is part of the value. */
function withoutOuterBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(text[start])) {
    start += 1;
  }
  while (end > start && isBlank(text[end - 1])) {
    end -= 1;
  }
  return text.slice(start, end);
}

function isBlank(character: string | undefined): boolean {
  return character === ' ' || character === '\t';
}
