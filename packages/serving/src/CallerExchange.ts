import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumgap/kernel';
import type { ResponseHead } from './ResponseParser.js';
import type { WireProtocol } from './ServingPorts.js';

/** Options of a caller's exchange. */
export interface CallerExchangeOptions {
  /** Whether the connection ends after this answer. */
  readonly closesConnection: () => boolean;
  readonly protocol: Pick<WireProtocol, 'forwardedResponseHeaders' | 'refusalResponse'>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How an exchange ended for the caller. */
export type ExchangeOutcome = 'answered' | 'brokenOff' | 'left' | 'refused';

/** Where an answer comes from, as far as it can be slowed down. */
export interface BackpressureSource {
  pause(): void;
  resume(): void;
}

/** One caller's request and the one answer that it gets. */
export class CallerExchange {
  private endOutcome: ExchangeOutcome | undefined;
  private readonly disconnectListeners: (() => void)[] = [];

  constructor(private readonly options: CallerExchangeOptions) {
    const { response } = options;
    response.sendDate = false;
    response.on('close', () => {
      if (!response.writableFinished && this.endOutcome !== 'brokenOff') {
        this.endOutcome = 'left';
      }
      if (this.endOutcome === 'left') {
        this.disconnectListeners.splice(0).forEach((listener) => {
          listener();
        });
      }
    });
  }

  /** How the exchange ended, or undefined while it is open. */
  outcome(): ExchangeOutcome | undefined {
    return this.endOutcome;
  }

  /** Whether a part of a server's answer was passed on. */
  hasStarted(): boolean {
    return this.options.response.headersSent;
  }

  /** Calls the listener once when the caller has gone before its answer was whole. */
  onDisconnected(listener: () => void): void {
    this.disconnectListeners.push(listener);
  }

  /** Passes on the head of a server's answer. */
  start(head: ResponseHead): void {
    if (this.endOutcome) {
      return;
    }
    const { protocol, response } = this.options;
    const headers = protocol.forwardedResponseHeaders(head.headers);
    this.disableKeepAliveIfClosing();
    response.writeHead(head.status, headers.flat());
  }

  /** Passes on a part of the body. Its source pauses while the caller reads slower than it comes. */
  forward(chunk: Buffer, source: BackpressureSource | undefined): void {
    const { response } = this.options;
    if (this.endOutcome || response.write(chunk)) {
      return;
    }
    source?.pause();
    response.once('drain', () => {
      source?.resume();
    });
  }

  /** Ends a whole answer. */
  finish(chunk?: Buffer): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'answered';
    this.options.response.end(chunk);
  }

  /** Ends the connection, so that what was passed on does not look whole. */
  abort(): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'brokenOff';
    this.options.request.socket.destroy();
  }

  /** Answers on the system's own account. */
  refuse(refused: Refusal): void {
    if (this.endOutcome) {
      return;
    }
    if (this.hasStarted()) {
      this.abort();
      return;
    }
    this.endOutcome = 'refused';
    const { protocol, request, response } = this.options;
    const answer = protocol.refusalResponse(refused);
    this.disableKeepAliveIfClosing();
    if (!request.complete) {
      response.shouldKeepAlive = false;
    }
    const body = Buffer.from(answer.body);
    const headers = [...answer.headers.flat(), 'Content-Length', String(body.length)];
    response.writeHead(answer.status, headers);
    response.end(body);
  }

  private disableKeepAliveIfClosing(): void {
    if (this.options.closesConnection()) {
      this.options.response.shouldKeepAlive = false;
    }
  }
}
