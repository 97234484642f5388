import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumgap/kernel';
import type { ResponseHead } from '../servers/ResponseParser.js';
import type { WireProtocol } from '../ServingPorts.js';

/** Options of {@link CallerExchange}. */
export interface CallerExchangeOptions {
  /** Whether the connection closes after this response. */
  readonly closesConnection: () => boolean;
  readonly protocol: Pick<WireProtocol, 'forwardedResponseHeaders' | 'refusalResponse'>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How an exchange ended. */
export type ExchangeOutcome = 'aborted' | 'answered' | 'disconnected' | 'refused';

/** Source of a response body that can be paused. */
export interface BackpressureSource {
  pause(): void;
  resume(): void;
}

/** A caller's request and its single response. Calls after the end have no effect. */
export class CallerExchange {
  private readonly disconnectListeners: (() => void)[] = [];
  private endOutcome: ExchangeOutcome | undefined;

  constructor(private readonly options: CallerExchangeOptions) {
    const { response } = options;
    response.sendDate = false;
    response.on('close', () => {
      if (!response.writableFinished && this.endOutcome !== 'aborted') {
        this.endOutcome = 'disconnected';
      }
      if (this.endOutcome === 'disconnected') {
        this.disconnectListeners.splice(0).forEach((listener) => {
          listener();
        });
      }
    });
  }

  /** How the exchange ended; undefined while it is open. */
  outcome(): ExchangeOutcome | undefined {
    return this.endOutcome;
  }

  /** Whether the response head was sent. */
  hasStarted(): boolean {
    return this.options.response.headersSent;
  }

  /** Calls the listener once if the caller disconnects before its response is complete. */
  onDisconnected(listener: () => void): void {
    this.disconnectListeners.push(listener);
  }

  /** Forwards the head of a server's response. */
  start(head: ResponseHead): void {
    if (this.endOutcome) {
      return;
    }
    const { protocol, response } = this.options;
    const headers = protocol.forwardedResponseHeaders(head.headers);
    this.disableKeepAliveIfClosing();
    response.writeHead(head.status, headers.flat());
  }

  /**
   * Forwards a part of the body.
   *
   * @param chunk - bytes of the body
   * @param source - paused while the caller reads more slowly than the source delivers
   */
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

  /** Completes the response. */
  finish(chunk?: Buffer): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'answered';
    this.options.response.end(chunk);
  }

  /** Closes the connection, so that the caller does not take a partial response for complete. */
  abort(): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'aborted';
    this.options.request.socket.destroy();
  }

  /** Responds with a refusal, or aborts if a response has already started. */
  refuse(refusal: Refusal): void {
    if (this.endOutcome) {
      return;
    }
    if (this.hasStarted()) {
      this.abort();
      return;
    }
    this.endOutcome = 'refused';
    const { protocol, request, response } = this.options;
    const localResponse = protocol.refusalResponse(refusal);
    this.disableKeepAliveIfClosing();
    if (!request.complete) {
      response.shouldKeepAlive = false;
    }
    const body = Buffer.from(localResponse.body);
    const headers = [...localResponse.headers.flat(), 'Content-Length', String(body.length)];
    response.writeHead(localResponse.status, headers);
    response.end(body);
  }

  private disableKeepAliveIfClosing(): void {
    if (this.options.closesConnection()) {
      this.options.response.shouldKeepAlive = false;
    }
  }
}
