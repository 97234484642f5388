import { HTTPParser } from 'http-parser-js';
import { headerValues, parseHeaderLine, toHeaderPairs } from '../HeaderLists.js';
import type { HeaderList } from '../ServingPorts.js';

/** Status and headers of a server's response. */
export interface ResponseHead {
  readonly canReuseConnection: boolean;
  readonly headers: HeaderList;
  readonly status: number;
}

/** Receives the parts of a response from {@link ResponseParser}. */
export interface ResponseParserListener {
  onBody(chunk: Buffer): void;
  onEnd(): void;
  /** Returns whether the response ends with its head, whatever length that states. */
  onHead(head: ResponseHead): boolean;
}

/** Internal members of the library's parser that its types do not declare. */
interface ParserInternals {
  BODY_CHUNKHEAD: () => void;
  body_bytes: number;
  consumeLine(): string | undefined;
  line: string;
  parseHeader(line: string, headers: string[]): void;
  state: string;
}

const MAX_INFORMATIONAL_STATUS = 199;
const STATUS_LINE_STATE = 'RESPONSE_LINE';
const SWITCHING_PROTOCOLS_STATUS = 101;
const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;
/** Return value of the library's head callback for a message without a body. */
const NO_BODY = 1;
const CHUNK_HEAD_PATTERN = /^[0-9a-f]{1,8}[ \t]*(?:;.*)?$/i;
const STATUS_LINE_PATTERN = /^HTTP\/1\.\d [1-5]\d\d(?: |$)/;
const CONTENT_LENGTH_PATTERN = /^\d{1,15}$/;

// The default drops the highest bit of each byte, so that a byte beyond ASCII becomes another character.
HTTPParser.encoding = 'latin1';

/**
 * Parses the HTTP responses on one connection. Stricter than the library: an invalid chunk size, an
 * invalid Content-Length and a repeated Content-Length are errors, where the library would end the body,
 * and so are an invalid header line, where it would pass it on or skip it, and a status line with another
 * version or a status that HTTP does not have.
 */
export class ResponseParser {
  private failureReason: string | undefined;
  private isInformational = false;
  private readonly parser = new HTTPParser(HTTPParser.RESPONSE);

  constructor(private readonly listener: ResponseParserListener) {
    const { parser } = this;
    const internals = parser as unknown as ParserInternals;
    internals.BODY_CHUNKHEAD = () => {
      parseChunkHead(internals);
    };
    const consumeLine = internals.consumeLine.bind(parser);
    internals.consumeLine = () => {
      const line = consumeLine();
      if (line && internals.state === STATUS_LINE_STATE && !STATUS_LINE_PATTERN.test(line)) {
        throw new Error('the status line is invalid');
      }
      return line;
    };
    internals.parseHeader = (line, headers) => {
      headers.push(...parseHeaderLine(line));
    };
    parser[HTTPParser.kOnHeadersComplete] = (info) =>
      this.onHeadersComplete(info.statusCode, info.headers, info.shouldKeepAlive);
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.listener.onBody(chunk.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (!this.isInformational) {
        this.listener.onEnd();
      }
    };
  }

  /**
   * Parses received bytes.
   *
   * @param chunk - bytes from the connection
   * @returns why the bytes are not a valid response, or undefined
   */
  parse(chunk: Buffer): string | undefined {
    const outcome = this.parser.execute(chunk);
    if (outcome instanceof Error) {
      this.failureReason ??= outcome.message;
    }
    return this.failureReason;
  }

  /** Whether the end of the connection completes the response, because it has no length. */
  canEndWithConnection(): boolean {
    const { state } = this.parser as unknown as ParserInternals;
    return this.failureReason === undefined && state === 'BODY_RAW';
  }

  /** Completes a response for which {@link canEndWithConnection} returns true. */
  finish(): void {
    this.parser.finish();
  }

  /** Whether no bytes of a further response were received. */
  isBetweenResponses(): boolean {
    const { line, state } = this.parser as unknown as ParserInternals;
    return state === STATUS_LINE_STATE && line === '';
  }

  private onHeadersComplete(
    status: number,
    rawHeaders: readonly string[],
    shouldKeepAlive: boolean,
  ): number {
    this.isInformational = status <= MAX_INFORMATIONAL_STATUS;
    if (status === SWITCHING_PROTOCOLS_STATUS) {
      this.failureReason = 'the server switched protocols';
    }
    if (this.isInformational) {
      return NO_BODY;
    }
    const headers = toHeaderPairs(rawHeaders);
    this.failureReason ??= findFramingError(headers);
    const hasNoBody =
      this.failureReason === undefined &&
      this.listener.onHead({ canReuseConnection: shouldKeepAlive, headers, status });
    return hasNoBody || status === NO_CONTENT_STATUS || status === NOT_MODIFIED_STATUS
      ? NO_BODY
      : 0;
  }
}

function parseChunkHead(parser: ParserInternals): void {
  const line = parser.consumeLine();
  if (line === undefined) {
    return;
  }
  if (!CHUNK_HEAD_PATTERN.test(line)) {
    throw new Error('a chunk size is not a hexadecimal number');
  }
  parser.body_bytes = Number.parseInt(line, 16);
  parser.state = parser.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
}

function findFramingError(headers: HeaderList): string | undefined {
  const lengths = headerValues(headers, 'content-length');
  if (lengths.length > 1 || lengths.some((length) => !CONTENT_LENGTH_PATTERN.test(length))) {
    return 'Content-Length is repeated or not a number';
  }
  const encodings = headerValues(headers, 'transfer-encoding');
  if (encodings.some((encoding) => encoding.trim().toLowerCase() !== 'chunked')) {
    return 'Transfer-Encoding is not chunked';
  }
  if (encodings.length + lengths.length > 1) {
    return 'the body has more than one framing header';
  }
  return undefined;
}
