import type { Socket } from 'node:net';
import type { MemberId, MonotonicClock, ServerId } from '@laburnumgap/kernel';
import { AnsweredKeys } from './AnsweredKeys.js';
import type { PausableSource } from '../buffers/HeldOutput.js';
import { HeldOutput } from '../buffers/HeldOutput.js';
import type { ReaderBuffers } from '../buffers/ReaderBuffers.js';
import { probeReset } from './ResetProbe.js';
import { isMisdirected } from './ResponseChecks.js';
import { ResponseOverhead } from './ResponseOverhead.js';
import type { ResponseHead } from './ResponseParser.js';
import { ResponseParser } from './ResponseParser.js';
import type { Permit } from './PermitLeases.js';
import { ResponseSource } from './ResponseSource.js';
import { isHeaderName, isHeaderValue } from '../HeaderLists.js';
import type { HeaderList } from '../ServingPorts.js';

/** HTTP request to a backend server. */
export interface BackendRequest {
  readonly body: Buffer | undefined;
  readonly headers: HeaderList;
  readonly method: string;
  readonly path: string;
  /** What its response is recognised by: the id of the request, or {@link CONTROL_RESPONSE_KEY}. */
  readonly responseKey: string;
}

/** Receives the response to a request. No call follows `onEnd` or `onBroken`. */
export interface ResponseListener {
  /** Whether a response with this head belongs to the request; other responses are skipped. */
  accepts(head: ResponseHead): boolean;
  onBody(chunk: Buffer): void;
  /**
   * Whether it is known, whatever became of the server, what an end of the connection means for the
   * response received so far; false by default.
   */
  isEndDecided?(): boolean;
  /** The connection closed or its data is not a valid response. The request may have run. */
  onBroken(reason: string): void;
  /** The response is complete. */
  onEnd(): void;
  onHead(head: ResponseHead): void;
  /**
   * The connection has ended, which completes the response only if the server still runs; `onEnd` or
   * `onBroken` follows when that is known.
   */
  onUnconfirmedEnd?(): void;
}

/** Options of {@link BackendConnection}. */
export interface BackendConnectionOptions {
  /** Counts request bodies that the server takes slowly; not counted without. */
  readonly buffers?: ReaderBuffers;
  readonly clock: MonotonicClock;
  /**
   * Finds out whether the server still runs, when it ends a connection on which a response has neither
   * a length nor chunks. Without it, every such end counts as the end of the response.
   */
  readonly isServerRunning?: () => Promise<boolean>;
  /** The connection is closed and cannot be used any more. */
  readonly onClosed: (connection: BackendConnection) => void;
  /** Server at the other end, for the log. */
  readonly serverId?: ServerId;
  /** Open connection to the server. */
  readonly socket: Socket;
  /** Daemon that passes the connection on; undefined for a direct connection. */
  readonly via?: MemberId;
}

/** Responses to control requests carry no id, so that each can be taken for another. */
export const CONTROL_RESPONSE_KEY = '';
/** Request target: no blanks and no control characters. */
const TARGET_PATTERN = /^[\x21-\x7e\x80-\xff]+$/;
/** Smaller bodies fit into the send buffer of a connection, so that they do not wait in the process. */
const MAX_UNCOUNTED_BYTES = 16_384;

/**
 * Connection to a backend server that carries one request at a time. Data that arrives without an
 * open request closes it, so that a late or surplus response never reaches another caller.
 */
export class BackendConnection {
  /** Time since which the connection is idle; set by the pool. */
  idleSinceMs = 0;
  /** Idle timeout that the server stated last. */
  keepAliveMs: number | undefined;
  /** A second copy of a response would be taken for that to a later request with its key. */
  private readonly answeredKeys = new AnsweredKeys();
  private canReuse = true;
  /** The server has ended the connection, and it is examined whether that completes the response. */
  private hasEnded = false;
  private hasResponseHead = false;
  private isClosed = false;
  private isParsing = false;
  /** The open request asks for the head of a response only. */
  private isHead = false;
  private listener: ResponseListener | undefined;
  /** Body of the open request that the server has not taken yet. */
  private body: HeldOutput | undefined;
  private permit: Permit | undefined;
  private overhead = new ResponseOverhead();
  private readonly parser: ResponseParser;
  private readonly socket: Socket;
  /** Daemon that passes the connection on; undefined for a direct connection. */
  readonly via: MemberId | undefined;
  /** When data arrived last, monotonic time. */
  lastReceivedMs = -Infinity;
  private responseKey = CONTROL_RESPONSE_KEY;
  /** When the open request was sent, monotonic time. */
  private sentMs = 0;
  private source: ResponseSource;

  constructor(private readonly options: BackendConnectionOptions) {
    this.parser = new ResponseParser({
      onBody: (chunk) => {
        if (this.hasResponseHead) {
          this.overhead.addBody(chunk.length);
          this.listener?.onBody(chunk);
        }
      },
      onEnd: () => {
        this.onResponseEnd();
      },
      onHead: (head) => {
        this.onResponseHead(head);
        return this.hasResponseHead && this.isHead;
      },
    });
    this.socket = options.socket;
    this.source = new ResponseSource(options.socket);
    this.via = options.via;
    this.listen();
  }

  /**
   * Whether the connection can carry another request now: nothing of the exchange before is left on it.
   * `canReuse` holds what earlier responses have decided for good.
   */
  isReusable(): boolean {
    const { socket } = this;
    return (
      this.canReuse &&
      !this.isClosed &&
      !this.listener &&
      !socket.isPaused() &&
      socket.writableCorked === 0 &&
      !this.hasUnsentBytes()
    );
  }

  /**
   * Whether bytes are just being parsed, of which some may follow the response that has ended. A request
   * sent meanwhile could take them for its response.
   */
  isReceiving(): boolean {
    return this.isParsing;
  }

  /**
   * Whether a copy of an earlier response, which a faulty server can write at any time, would be taken for
   * the response to a request with this key.
   */
  hasAnswered(responseKey: string): boolean {
    return this.answeredKeys.has(responseKey);
  }

  /**
   * Sends a request. The previous response must be complete.
   *
   * @param request - the request
   * @param listener - receives the response
   * @returns the response as a source that can be paused until it has ended
   */
  send(request: BackendRequest, listener: ResponseListener): PausableSource {
    this.permit?.setUsed(true);
    this.listener = listener;
    this.sentMs = this.options.clock.nowMs();
    this.responseKey = request.responseKey;
    this.isHead = request.method === 'HEAD';
    this.hasResponseHead = false;
    this.overhead = new ResponseOverhead();
    this.source = new ResponseSource(this.socket);
    this.write(request);
    return this.source;
  }

  private write(request: BackendRequest): void {
    const head = encodeRequestHead(request);
    if (head === undefined) {
      process.nextTick(() => {
        this.fail('the head of the request is invalid');
      });
      return;
    }
    const { buffers } = this.options;
    if (buffers && request.body && request.body.length > MAX_UNCOUNTED_BYTES) {
      this.sendCounted(head, request.body, buffers);
      return;
    }
    this.sendUncounted(head, request.body);
  }

  /** A large body is written as it is; a small one goes into one packet with the head. */
  private sendUncounted(head: string, body: Buffer | undefined): void {
    const { socket } = this;
    if (!body) {
      socket.write(head, 'latin1');
    } else if (body.length <= MAX_UNCOUNTED_BYTES) {
      socket.write(Buffer.concat([Buffer.from(head, 'latin1'), body]));
    } else {
      socket.cork();
      socket.write(head, 'latin1');
      socket.write(body);
      socket.uncork();
    }
  }

  /** Sends a body in parts, so that it is seen how far the server has taken it. */
  private sendCounted(head: string, body: Buffer, buffers: ReaderBuffers): void {
    this.body?.close();
    this.body = new HeldOutput({
      buffers,
      kind: 'request',
      label: () => this.options.serverId,
      onOverdue: () => {
        this.fail('the server does not take the request body');
      },
      sink: this.socket,
    });
    this.socket.cork();
    this.socket.write(head, 'latin1');
    this.body.writeShared(body);
    this.socket.uncork();
  }

  /** When the request was sent whose response is not complete yet; undefined without one. */
  waitingSinceMs(): number | undefined {
    return this.listener ? this.sentMs : undefined;
  }

  /** Keeps the permit of the next request until that has ended, or the connection is not used. */
  holdPermit(permit: Permit | undefined): void {
    this.permit = permit;
  }

  /** Ends the permit of the request. */
  releasePermit(): void {
    this.permit?.release();
    this.permit = undefined;
  }

  /** Closes the connection without a call to the listener; the server drops the request. */
  abort(): void {
    this.listener = undefined;
    this.close();
  }

  private listen(): void {
    const { socket } = this;
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.onClosed(error.code ?? error.message);
    });
    socket.on('close', () => {
      this.onClosed('closed');
    });
    socket.on('end', () => {
      this.onEnd();
    });
    socket.on('data', (chunk) => {
      this.onData(chunk);
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
      if (isMisdirected(head)) {
        // The request reached another server than the permit is for.
        this.permit?.setUsed(false);
      }
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
    this.answeredKeys.add(this.responseKey);
    // A copy of such a head would announce a body to the next request.
    this.canReuse &&= !this.isHead && !this.answeredKeys.isFull() && !this.hasUnsentBytes();
    this.source.end();
    this.releasePermit();
    listener.onEnd();
  }

  private hasUnsentBytes(): boolean {
    return this.socket.writableLength > 0 || this.body?.hasPending() === true;
  }

  private onData(chunk: Buffer): void {
    const wasExpectingResponse = this.listener !== undefined;
    this.lastReceivedMs = this.options.clock.nowMs();
    this.overhead.addReceived(chunk.length);
    this.isParsing = true;
    const parseError = this.parser.parse(chunk) ?? this.overhead.findExcess();
    this.isParsing = false;
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
      this.fail('the connection closed before the response was complete');
      return;
    }
    this.lastReceivedMs = this.options.clock.nowMs();
    probeReset(this.socket, (wasReset) => {
      if (wasReset) {
        this.fail('the connection was reset before the response was complete');
        return;
      }
      this.hasEnded = true;
      void this.confirmEnd();
    });
  }

  /**
   * The system ends the connections of a process that is killed in the same way as a server that has sent
   * everything, so that only one that still runs can have meant the end.
   */
  private async confirmEnd(): Promise<void> {
    const { isServerRunning } = this.options;
    const isDecided = !isServerRunning || this.listener?.isEndDecided?.() === true;
    if (!isDecided) {
      this.listener?.onUnconfirmedEnd?.();
      if (!(await isServerRunning())) {
        this.fail('the connection ended, and nothing says that the server still runs');
        return;
      }
    }
    if (!this.isClosed) {
      this.parser.finish();
      this.fail('the connection closed');
    }
  }

  /** A server that has closed its side answers the probe for a reset with one, after the end. */
  private onClosed(reason: string): void {
    if (!this.hasEnded) {
      this.fail(reason);
    }
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
    this.releasePermit();
    this.socket.destroy();
    this.body?.close();
    this.options.onClosed(this);
  }
}

/** Encodes the head of a request; undefined when a line break or the like in it would change its meaning. */
function encodeRequestHead(request: BackendRequest): string | undefined {
  const { body, headers, method, path } = request;
  if (!isHeaderName(method) || !TARGET_PATTERN.test(path)) {
    return undefined;
  }
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (const [name, value] of headers) {
    if (!isHeaderName(name) || !isHeaderValue(value)) {
      return undefined;
    }
    head += `${name}: ${value}\r\n`;
  }
  if (body) {
    head += `Content-Length: ${body.length}\r\n`;
  }
  return `${head}\r\n`;
}
