import { Socket } from 'node:net';
import type { ResponseHead } from './ResponseParser.js';
import { ResponseParser } from './ResponseParser.js';
import type { HeaderList } from './ServingPorts.js';

/** A request on its way to a server. */
export interface BackendRequest {
  readonly body: Buffer | undefined;
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
}

/** What happens to a request at a server. Nothing follows `onEnd` or `onBroken`. */
export interface ResponseListener {
  /** Whether an answer with this head belongs to the request; others are skipped. */
  accepts(head: ResponseHead): boolean;
  onBody(chunk: Buffer): void;
  /** The connection ended or its bytes are no answer. The request may have run. */
  onBroken(reason: string): void;
  /** The answer is whole. */
  onEnd(): void;
  onHead(head: ResponseHead): void;
}

/** Options of a connection. */
export interface BackendConnectionOptions {
  readonly connectTimeoutMs: number;
  readonly host: string;
  /** The connection was not opened; nothing was sent. */
  readonly onConnectFailed: (reason: string) => void;
  readonly onConnected: (connection: BackendConnection) => void;
  /** It can serve nobody any more. */
  readonly onClosed: (connection: BackendConnection) => void;
  readonly port: number;
}

/** An empty line, which receivers skip between messages. */
const RESET_PROBE = '\r\n';

/**
 * One connection to a backend server, with one request at a time. Bytes that no request waits for
 * end it, so that a late extra answer never reaches another caller.
 */
export class BackendConnection {
  /** Set by the pool while nobody uses the connection. */
  idleSinceMs = 0;
  /** Time that the server keeps it idle, as it last said. */
  keepAliveMs: number | undefined;
  private canReuse = true;
  private listener: ResponseListener | undefined;
  private hasResponseHead = false;
  private isConnected = false;
  private isClosed = false;
  private readonly parser: ResponseParser;
  private readonly socket = new Socket({ allowHalfOpen: true });

  constructor(private readonly options: BackendConnectionOptions) {
    this.parser = new ResponseParser({
      onBody: (chunk) => {
        if (this.hasResponseHead) {
          this.listener?.onBody(chunk);
        }
      },
      onEnd: () => {
        this.onResponseEnd();
      },
      onHead: (head) => {
        this.onResponseHead(head);
      },
    });
    this.connect();
  }

  /** Whether another request may follow. */
  isReusable(): boolean {
    return this.canReuse && !this.isClosed && !this.listener;
  }

  /** Sends a request. One at a time. */
  send(request: BackendRequest, listener: ResponseListener): void {
    this.listener = listener;
    this.hasResponseHead = false;
    const head = encodeRequestHead(request);
    this.socket.write(
      request.body ? Buffer.concat([Buffer.from(head, 'latin1'), request.body]) : head,
      'latin1',
    );
  }

  /** Ends the connection and tells nobody: the server drops the request. */
  abort(): void {
    this.listener = undefined;
    this.close();
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  private connect(): void {
    const { connectTimeoutMs, host, onConnectFailed, onConnected, port } = this.options;
    const { socket } = this;
    const timer = setTimeout(() => {
      failConnect('timeout');
    }, connectTimeoutMs);
    const failConnect = (reason: string): void => {
      clearTimeout(timer);
      if (!this.isConnected && !this.isClosed) {
        this.close();
        onConnectFailed(reason);
      }
    };
    socket.setNoDelay(true);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      failConnect(error.code ?? error.message);
      this.fail(error.code ?? error.message);
    });
    socket.on('close', () => {
      failConnect('closed');
      this.fail('closed');
    });
    socket.on('end', () => {
      this.onEnd();
    });
    socket.on('data', (chunk) => {
      this.onData(chunk);
    });
    socket.connect(port, host, () => {
      clearTimeout(timer);
      this.isConnected = true;
      onConnected(this);
    });
  }

  private onResponseHead(head: ResponseHead): void {
    if (!this.listener) {
      this.canReuse = false;
      return;
    }
    this.hasResponseHead = this.listener.accepts(head);
    if (this.hasResponseHead) {
      this.canReuse &&= head.canReuseConnection;
      this.listener.onHead(head);
    }
  }

  private onResponseEnd(): void {
    const { listener } = this;
    if (!listener || !this.hasResponseHead) {
      return;
    }
    this.listener = undefined;
    this.hasResponseHead = false;
    this.canReuse &&= this.socket.writableLength === 0;
    listener.onEnd();
  }

  private onData(chunk: Buffer): void {
    const wasExpectingResponse = this.listener !== undefined;
    const parseError = this.parser.parse(chunk);
    if (parseError !== undefined || !wasExpectingResponse) {
      this.fail(parseError ?? 'bytes without a request');
      return;
    }
    if (!this.listener && !this.parser.isBetweenResponses()) {
      this.close();
    }
  }

  private onEnd(): void {
    this.canReuse = false;
    if (!this.listener || !this.parser.canEndWithConnection()) {
      this.fail('the connection ended inside the answer');
      return;
    }
    // The event loop reports a reset that comes together with data as a clean end. Writing tells
    // them apart: it fails on a connection that was reset.
    this.socket.write(RESET_PROBE, (error) => {
      if (error) {
        this.fail('the connection was reset inside the answer');
        return;
      }
      this.parser.finish();
      this.fail('the connection ended');
    });
  }

  private fail(reason: string): void {
    const { listener } = this;
    this.listener = undefined;
    this.close();
    listener?.onBroken(reason);
  }

  private close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.canReuse = false;
    this.socket.destroy();
    this.options.onClosed(this);
  }
}

function encodeRequestHead(request: BackendRequest): string {
  const { body, headers, method, path } = request;
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (const [name, value] of headers) {
    head += `${name}: ${value}\r\n`;
  }
  if (body) {
    head += `Content-Length: ${body.length}\r\n`;
  }
  return `${head}\r\n`;
}
