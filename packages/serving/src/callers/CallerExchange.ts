import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumgap/kernel';
import type { CollectedResponse } from '../buffers/CollectedResponse.js';
import { CountedResponse, UncountedResponse } from '../buffers/CollectedResponse.js';
import type { PausableSource } from '../buffers/HeldOutput.js';
import { HeldOutput } from '../buffers/HeldOutput.js';
import type { BufferAccount, ReaderBuffers } from '../buffers/ReaderBuffers.js';
import type { ResponseHead } from '../servers/ResponseParser.js';
import type { WireProtocol } from '../ServingPorts.js';

/** Options of {@link CallerExchange}. */
export interface CallerExchangeOptions {
  /** Buffers for callers that read slowly; without them, the source is paused instead. */
  readonly buffers?: ReaderBuffers;
  /** Whether the connection closes after this response. */
  readonly closesConnection: () => boolean;
  readonly protocol: Pick<WireProtocol, 'forwardedResponseHeaders' | 'refusalResponse'>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How an exchange ended. */
export type ExchangeOutcome = 'aborted' | 'answered' | 'disconnected' | 'refused';

/** Why a caller does not get the rest of its response. */
export type CallerDeparture = 'caller-left' | 'reader-aborted';

/** A complete response up to this size is handed to the system at once, which buffers as much. */
const MAX_UNCOUNTED_BYTES = 16_384;

/** A caller's request and its single response. Calls after the end have no effect. */
export class CallerExchange {
  private readonly disconnectListeners: (() => void)[] = [];
  private collected: CollectedResponse | undefined;
  private counter: BufferAccount | undefined;
  private departedAs: CallerDeparture = 'caller-left';
  private endOutcome: ExchangeOutcome | undefined;
  private readonly output: HeldOutput | undefined;
  /** Source that waits until the caller has read what was forwarded. */
  private pausedSource: PausableSource | undefined;
  private requestId: string | undefined;

  constructor(private readonly options: CallerExchangeOptions) {
    const { buffers, response } = options;
    this.output = buffers && this.createOutput(buffers);
    response.sendDate = false;
    response.on('drain', () => {
      this.resumeSource();
    });
    response.on('close', () => {
      this.output?.close();
      this.collected?.discard();
      this.counter?.close();
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

  /** Sets the id of the request, for the log. */
  identify(requestId: string): void {
    this.requestId = requestId;
  }

  /** Why the caller does not get the rest of its response, after it disconnected or was aborted. */
  departure(): CallerDeparture {
    return this.departedAs;
  }

  /** Whether the source of the response is paused, since the caller is slow and no buffer has room. */
  isSourcePaused(): boolean {
    return this.output?.isSourcePaused() ?? false;
  }

  /** Whether a response should be passed on rather than collected, since room for it is scarce. */
  isRoomScarce(): boolean {
    return this.options.buffers?.isScarce() ?? false;
  }

  /** Collects a response before it is passed on. What was collected of an earlier one is dropped. */
  collect(): CollectedResponse {
    const buffers = this.openBuffers();
    this.collected?.discard();
    this.collected = buffers
      ? new CountedResponse(buffers, () => this.requestId)
      : new UncountedResponse();
    return this.collected;
  }

  /** Counts bytes that are collected outside of the buffers. A counter before it ends. */
  countCollected(): BufferAccount | undefined {
    this.counter?.close();
    this.counter = this.openBuffers()?.open({
      kind: 'collected',
      label: () => this.requestId,
    });
    return this.counter;
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
   * @param source - paused while the caller reads more slowly than the source delivers, and no buffer
   *   has room
   */
  forward(chunk: Buffer, source: PausableSource | undefined): void {
    const { response } = this.options;
    if (this.endOutcome) {
      return;
    }
    if (this.output) {
      this.output.write(chunk, source);
      return;
    }
    if (!response.write(chunk) && source) {
      this.pausedSource = source;
      source.pause();
    }
  }

  /** Forwards what was collected of a body; see {@link forward}. */
  forwardCollected(collected: CollectedResponse, source: PausableSource | undefined): void {
    if (this.output && !this.endOutcome) {
      collected.moveTo(this.output, source);
    } else {
      this.forward(collected.take(), source);
    }
  }

  /** Completes the response. */
  finish(chunk?: Buffer): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'answered';
    // A response that has ended emits no `drain`.
    this.resumeSource();
    const { output } = this;
    const isSmall = (chunk?.length ?? 0) <= MAX_UNCOUNTED_BYTES;
    if (!output || (isSmall && !output.hasPending())) {
      this.options.response.end(chunk);
      return;
    }
    if (chunk) {
      output.write(chunk);
    }
    output.end();
  }

  /** Closes the connection, so that the caller does not take a partial response for complete. */
  abort(): void {
    if (this.endOutcome) {
      return;
    }
    this.endOutcome = 'aborted';
    this.options.request.socket.destroy();
  }

  /**
   * Responds with a refusal, or aborts if a response has already started.
   *
   * @param refusal - the refusal
   * @param readsOn - the rest of the request is read, so that its connection can be used again
   */
  refuse(refusal: Refusal, readsOn = false): void {
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
    if (!request.complete && !readsOn) {
      response.shouldKeepAlive = false;
    }
    const body = Buffer.from(localResponse.body);
    const headers = [...localResponse.headers.flat(), 'Content-Length', String(body.length)];
    response.writeHead(localResponse.status, headers);
    response.end(body);
  }

  /** Nothing frees what is counted after the connection closed. */
  private openBuffers(): ReaderBuffers | undefined {
    const { buffers, response } = this.options;
    return response.closed ? undefined : buffers;
  }

  private createOutput(buffers: ReaderBuffers): HeldOutput {
    const { request, response } = this.options;
    return new HeldOutput({
      buffers,
      kind: 'caller',
      label: () => this.requestId,
      onOverdue: () => {
        this.departedAs = 'reader-aborted';
        // A reset also drops what the system still holds, and cannot look like the end of a response.
        request.socket.resetAndDestroy();
      },
      sink: response,
    });
  }

  private resumeSource(): void {
    this.pausedSource?.resume();
    this.pausedSource = undefined;
  }

  private disableKeepAliveIfClosing(): void {
    if (this.options.closesConnection()) {
      this.options.response.shouldKeepAlive = false;
    }
  }
}
