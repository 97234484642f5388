import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

/** A request as a server received it. */
export interface ReceivedRequest {
  readonly body: Buffer;
  readonly headers: ReadonlyMap<string, string>;
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
  readonly socket: Socket;
  /** Sends a complete answer with a length, and keeps the connection. */
  readonly reply: (
    status: number,
    body: Buffer | string,
    headers?: Readonly<Record<string, string>>,
  ) => void;
}

const HEAD_END = '\r\n\r\n';

/** Stand-in for a server; what it does with a request is up to the handler. */
export class BackendServer {
  /** Unix millisecond of its start. */
  readonly bornMs = Date.now();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  private constructor(
    readonly id: string,
    readonly host: string,
    private readonly handler: (request: ReceivedRequest) => void,
  ) {
    this.server = createServer({ allowHalfOpen: false }, (socket) => {
      this.serve(socket);
    });
  }

  static async start(
    id: string,
    host: string,
    handler: (request: ReceivedRequest) => void,
    port = 0,
  ): Promise<BackendServer> {
    const backend = new BackendServer(id, host, handler);
    await new Promise<void>((resolve) => backend.server.listen(port, host, resolve));
    return backend;
  }

  address(): string {
    return `${this.host}:${this.port()}`;
  }

  port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private serve(socket: Socket): void {
    let received = Buffer.alloc(0);
    socket.setNoDelay(true);
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk]);
      let parsed = parseRequest(received);
      while (parsed) {
        received = received.subarray(parsed.end);
        this.onRequest(socket, parsed);
        parsed = parseRequest(received);
      }
    });
  }

  private onRequest(socket: Socket, parsed: ParsedRequest): void {
    const { body, headers, method, path } = parsed;
    const requestId = headers.get('request-id') ?? '';
    const reply: ReceivedRequest['reply'] = (status, answer, extra = {}) => {
      const bytes = Buffer.from(answer);
      const lines = [`HTTP/1.1 ${status} Answer`];
      if (requestId !== '') {
        lines.push(`Request-Id: ${requestId}`);
        lines.push(...(status < 300 ? [`Response-Stamp: stamp-${requestId}`] : []));
      }
      lines.push(...Object.entries(extra).map(([name, value]) => `${name}: ${value}`));
      lines.push(`Content-Length: ${bytes.length}`, '', '');
      socket.write(Buffer.concat([Buffer.from(lines.join('\r\n'), 'latin1'), bytes]));
    };
    const expected = headers.get('expect-instance');
    if (expected !== undefined && expected !== this.id) {
      reply(421, '');
      return;
    }
    this.handler({ body, headers, method, path, reply, requestId, socket });
  }
}

interface ParsedRequest {
  readonly body: Buffer;
  /** Number of bytes that the request has. */
  readonly end: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly method: string;
  readonly path: string;
}

function parseRequest(bytes: Buffer): ParsedRequest | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const [requestLine = '', ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const [method = '', path = ''] = requestLine.split(' ');
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colonAt = line.indexOf(':');
    headers.set(line.slice(0, colonAt).trim().toLowerCase(), line.slice(colonAt + 1).trim());
  }
  const start = headEnd + HEAD_END.length;
  const end = start + Number(headers.get('content-length') ?? 0);
  if (bytes.length < end) {
    return undefined;
  }
  return { body: bytes.subarray(start, end), end, headers, method, path };
}
