import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumgap/kernel';
import type { AnswerHead } from './AnswerParser.js';
import type { WireProtocol } from './ServingPorts.js';

/** Options of a caller's exchange. */
export interface CallerExchangeOptions {
  /** Whether the connection ends after this answer. */
  readonly closesAfter: () => boolean;
  readonly protocol: Pick<WireProtocol, 'forwardedResponseHeaders' | 'refusalResponse'>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How an exchange ended for the caller. */
export type ExchangeEnd = 'answered' | 'brokenOff' | 'left' | 'refused';

/** Where an answer comes from, as far as it can be slowed down. */
export interface AnswerSource {
  pause(): void;
  resume(): void;
}

/** One caller's request and the one answer that it gets. */
export class CallerExchange {
  private end: ExchangeEnd | undefined;
  private readonly leftListeners: (() => void)[] = [];

  constructor(private readonly options: CallerExchangeOptions) {
    const { response } = options;
    response.sendDate = false;
    response.on('close', () => {
      if (!response.writableFinished && this.end !== 'brokenOff') {
        this.end = 'left';
      }
      if (this.end === 'left') {
        this.leftListeners.splice(0).forEach((listener) => {
          listener();
        });
      }
    });
  }

  /** How the exchange ended, or undefined while it is open. */
  ended(): ExchangeEnd | undefined {
    return this.end;
  }

  /** Whether a part of a server's answer was passed on. */
  hasBegun(): boolean {
    return this.options.response.headersSent;
  }

  /** Calls the listener once when the caller has gone before its answer was whole. */
  onLeft(listener: () => void): void {
    this.leftListeners.push(listener);
  }

  /** Passes on the head of a server's answer. */
  begin(head: AnswerHead): void {
    if (this.end) {
      return;
    }
    const { protocol, response } = this.options;
    const headers = protocol.forwardedResponseHeaders(head.headers);
    this.closeIfWanted();
    response.writeHead(head.status, headers.flat());
  }

  /** Passes on a part of the body. Its source pauses while the caller reads slower than it comes. */
  passOn(chunk: Buffer, source: AnswerSource | undefined): void {
    const { response } = this.options;
    if (this.end || response.write(chunk)) {
      return;
    }
    source?.pause();
    response.once('drain', () => {
      source?.resume();
    });
  }

  /** Ends a whole answer. */
  finish(chunk?: Buffer): void {
    if (this.end) {
      return;
    }
    this.end = 'answered';
    this.options.response.end(chunk);
  }

  /** Ends the connection, so that what was passed on does not look whole. */
  breakOff(): void {
    if (this.end) {
      return;
    }
    this.end = 'brokenOff';
    this.options.request.socket.destroy();
  }

  /** Answers on the system's own account. */
  refuse(refused: Refusal): void {
    if (this.end) {
      return;
    }
    if (this.hasBegun()) {
      this.breakOff();
      return;
    }
    this.end = 'refused';
    const { protocol, request, response } = this.options;
    const answer = protocol.refusalResponse(refused);
    this.closeIfWanted();
    if (!request.complete) {
      response.shouldKeepAlive = false;
    }
    const body = Buffer.from(answer.body);
    const headers = [...answer.headers.flat(), 'Content-Length', String(body.length)];
    response.writeHead(answer.status, headers);
    response.end(body);
  }

  private closeIfWanted(): void {
    if (this.options.closesAfter()) {
      this.options.response.shouldKeepAlive = false;
    }
  }
}
