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
  private exchange: ResponseListener | undefined;
  private hasAnswerHead = false;
  private isConnected = false;
  private isGone = false;
  private readonly parser: ResponseParser;
  private readonly socket = new Socket({ allowHalfOpen: true });

  constructor(private readonly options: BackendConnectionOptions) {
    this.parser = new ResponseParser({
      onBody: (chunk) => {
        if (this.hasAnswerHead) {
          this.exchange?.onBody(chunk);
        }
      },
      onEnd: () => {
        this.answerEnded();
      },
      onHead: (head) => {
        this.answerBegan(head);
      },
    });
    this.open();
  }

  /** Whether another request may follow. */
  isReusable(): boolean {
    return this.canReuse && !this.isGone && !this.exchange;
  }

  /** Sends a request. One at a time. */
  send(request: BackendRequest, exchange: ResponseListener): void {
    this.exchange = exchange;
    this.hasAnswerHead = false;
    const head = headOf(request);
    this.socket.write(
      request.body ? Buffer.concat([Buffer.from(head, 'latin1'), request.body]) : head,
      'latin1',
    );
  }

  /** Ends the connection and tells nobody: the server drops the request. */
  abort(): void {
    this.exchange = undefined;
    this.drop();
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  private open(): void {
    const { connectTimeoutMs, host, onConnectFailed, onConnected, port } = this.options;
    const { socket } = this;
    const timer = setTimeout(() => {
      fail('timeout');
    }, connectTimeoutMs);
    const fail = (reason: string): void => {
      clearTimeout(timer);
      if (!this.isConnected && !this.isGone) {
        this.drop();
        onConnectFailed(reason);
      }
    };
    socket.setNoDelay(true);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      fail(error.code ?? error.message);
      this.broken(error.code ?? error.message);
    });
    socket.on('close', () => {
      fail('closed');
      this.broken('closed');
    });
    socket.on('end', () => {
      this.ended();
    });
    socket.on('data', (chunk) => {
      this.received(chunk);
    });
    socket.connect(port, host, () => {
      clearTimeout(timer);
      this.isConnected = true;
      onConnected(this);
    });
  }

  private answerBegan(head: ResponseHead): void {
    if (!this.exchange) {
      this.canReuse = false;
      return;
    }
    this.hasAnswerHead = this.exchange.accepts(head);
    if (this.hasAnswerHead) {
      this.canReuse &&= head.canReuseConnection;
      this.exchange.onHead(head);
    }
  }

  private answerEnded(): void {
    const { exchange } = this;
    if (!exchange || !this.hasAnswerHead) {
      return;
    }
    this.exchange = undefined;
    this.hasAnswerHead = false;
    this.canReuse &&= this.socket.writableLength === 0;
    exchange.onEnd();
  }

  private received(chunk: Buffer): void {
    const wasWaiting = this.exchange !== undefined;
    const fault = this.parser.read(chunk);
    if (fault !== undefined || !wasWaiting) {
      this.broken(fault ?? 'bytes without a request');
      return;
    }
    if (!this.exchange && !this.parser.isBetweenAnswers()) {
      this.drop();
    }
  }

  private ended(): void {
    this.canReuse = false;
    if (!this.exchange || !this.parser.mayEnd()) {
      this.broken('the connection ended inside the answer');
      return;
    }
    // The event loop reports a reset that comes together with data as a clean end. Writing tells
    // them apart: it fails on a connection that was reset.
    this.socket.write(RESET_PROBE, (error) => {
      if (error) {
        this.broken('the connection was reset inside the answer');
        return;
      }
      this.parser.end();
      this.broken('the connection ended');
    });
  }

  private broken(reason: string): void {
    const { exchange } = this;
    this.exchange = undefined;
    this.drop();
    exchange?.onBroken(reason);
  }

  private drop(): void {
    if (this.isGone) {
      return;
    }
    this.isGone = true;
    this.canReuse = false;
    this.socket.destroy();
    this.options.onClosed(this);
  }
}

function headOf(request: BackendRequest): string {
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
