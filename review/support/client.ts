import { Socket } from 'node:net';
import { FRONT } from './deployment.js';

/** What a client received for one request. */
export interface Answer {
  readonly body: Buffer;
  readonly headers: ReadonlyMap<string, string>;
  /** Whether the whole body arrived, as the head or the chunks say. */
  readonly isComplete: boolean;
  /** 0 without an answer. */
  readonly status: number;
}

export interface ClientRequest {
  readonly body?: Buffer | string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly id: string;
  readonly method?: string;
  readonly path: string;
}

const HEAD_END = '\r\n\r\n';
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** A client with one connection, which it keeps. */
export class Client {
  private bytes = Buffer.alloc(0);
  private isClosed = false;
  private onChange: () => void = () => undefined;
  private readonly socket = new Socket();

  /**
   * @param host - address of a daemon
   * @param bytesPerS - what the way to the client carries; unlimited by default
   */
  constructor(
    host: string,
    private readonly bytesPerS = Infinity,
  ) {
    this.socket.setNoDelay(true);
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.onChange();
    });
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.onChange();
      this.keepPace(chunk.length);
    });
    this.socket.connect(FRONT, host);
  }

  /** Sends a request, and resolves with its answer or when the connection has ended. */
  send(request: ClientRequest): Promise<Answer> {
    this.socket.write(encodeRequest(request));
    return new Promise((resolve) => {
      this.onChange = () => {
        const parsed = parseAnswer(this.bytes, this.isClosed);
        if (parsed && (parsed.answer.isComplete || this.isClosed)) {
          this.bytes = this.bytes.subarray(parsed.end);
          this.onChange = () => undefined;
          resolve(parsed.answer);
        } else if (this.isClosed) {
          this.onChange = () => undefined;
          resolve({ body: Buffer.alloc(0), headers: new Map(), isComplete: false, status: 0 });
        }
      };
      this.onChange();
    });
  }

  /** Stops reading, so that the system has to hold what it sends. */
  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Number of bytes received that belong to the open request. */
  receivedBytes(): number {
    return this.bytes.length;
  }

  close(): void {
    this.socket.destroy();
  }

  private keepPace(bytes: number): void {
    if (this.bytesPerS !== Infinity) {
      this.socket.pause();
      setTimeout(
        () => {
          this.socket.resume();
        },
        (bytes / this.bytesPerS) * 1_000,
      );
    }
  }
}

export function encodeRequest(request: ClientRequest): Buffer {
  const { body, deadlineMs = 20_000, headers = {}, id, path } = request;
  const bytes = body === undefined ? undefined : Buffer.from(body);
  const lines = [
    `${request.method ?? (bytes ? 'POST' : 'GET')} ${path} HTTP/1.1`,
    'Host: shop.example',
    `Request-Id: ${id}`,
    `Deadline-Ms: ${deadlineMs}`,
    'Authorization: Token key-1',
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(bytes ? [`Content-Length: ${bytes.length}`] : []),
    '',
    '',
  ];
  return Buffer.concat([Buffer.from(lines.join('\r\n'), 'latin1'), bytes ?? Buffer.alloc(0)]);
}

function parseAnswer(
  bytes: Buffer,
  isClosed: boolean,
): { answer: Answer; end: number } | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const [statusLine = '', ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colonAt = line.indexOf(':');
    headers.set(line.slice(0, colonAt).trim().toLowerCase(), line.slice(colonAt + 1).trim());
  }
  const start = headEnd + HEAD_END.length;
  if (headers.get('transfer-encoding') === 'chunked') {
    const { body, end, isComplete } = parseChunks(bytes, start);
    return { answer: { body, headers, isComplete, status }, end };
  }
  const length = BODILESS_STATUSES.has(status) ? '0' : headers.get('content-length');
  if (length === undefined) {
    const body = bytes.subarray(start);
    return { answer: { body, headers, isComplete: isClosed, status }, end: bytes.length };
  }
  const end = start + Number(length);
  const body = bytes.subarray(start, end);
  return { answer: { body, headers, isComplete: bytes.length >= end, status }, end };
}

function parseChunks(
  bytes: Buffer,
  start: number,
): { body: Buffer; end: number; isComplete: boolean } {
  const parts: Buffer[] = [];
  let at = start;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return { body: Buffer.concat(parts), end: bytes.length, isComplete: false };
    }
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const dataStart = lineEnd + 2;
    parts.push(bytes.subarray(dataStart, dataStart + size));
    at = dataStart + size + 2;
    if (bytes.length < at) {
      return { body: Buffer.concat(parts), end: bytes.length, isComplete: false };
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), end: at, isComplete: true };
    }
  }
}
