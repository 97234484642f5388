import type { ServerResponse } from 'node:http';
import type { FinishReason, Refusal, RequestId, Teardown } from '@laburnumgap/kernel';
import { refusalBody, writeRefusal } from './RouterRefusals.js';
import type { Timers } from './RouterTimers.js';

/** Writes the answer of one request to its caller. */
export interface CallerSink {
  /** Closes the connection before the answer has ended, so that the caller resumes elsewhere. */
  disconnect(): void;
  /** Writes a token; resolves once the connection accepts more or the caller has disconnected. */
  deliver(index: number, text: string): Promise<void> | undefined;
  fail(refusal: Refusal): void;
  finish(finishReason: FinishReason, totalTokens: number): void;
  /** Resolves a delivery that waits for the caller to read. */
  interruptDelivery(): void;
  /** Whether the caller's connection is closed. */
  isDisconnected(): boolean;
  /** Calls the listener when the caller disconnects before the answer has ended. */
  onDisconnect(listener: () => void): void;
}

/** Options of a {@link CallerSink}. */
export interface CallerSinkOptions {
  readonly keepaliveMs: number;
  readonly requestId: RequestId;
  readonly response: ServerResponse;
  readonly timers: Timers;
}

/** Base of the sinks: detects and causes the end of the connection. */
abstract class ResponseSink implements CallerSink {
  protected endDrainWait: (() => void) | undefined;
  protected readonly requestId: RequestId;
  protected readonly response: ServerResponse;

  constructor(options: CallerSinkOptions) {
    this.requestId = options.requestId;
    this.response = options.response;
  }

  disconnect(): void {
    this.response.destroy();
  }

  interruptDelivery(): void {
    this.endDrainWait?.();
  }

  isDisconnected(): boolean {
    return this.response.destroyed || this.response.closed;
  }

  onDisconnect(listener: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) {
        listener();
      }
    });
  }

  abstract deliver(index: number, text: string): Promise<void> | undefined;
  abstract fail(refusal: Refusal): void;
  abstract finish(finishReason: FinishReason, totalTokens: number): void;
}

/** Streams tokens as server-sent events whose ids are token indexes, with keepalive comments. */
export class EventStreamSink extends ResponseSink {
  private readonly keepaliveMs: number;
  private readonly requestIdJson: string;
  private stopKeepalive: Teardown;
  private readonly timers: Timers;
  private wroteSinceKeepalive = false;

  constructor(options: CallerSinkOptions) {
    super(options);
    this.requestIdJson = JSON.stringify(this.requestId);
    this.keepaliveMs = options.keepaliveMs;
    this.timers = options.timers;
    this.stopKeepalive = this.scheduleKeepalive();
    this.response.once('close', () => {
      this.stopKeepalive();
    });
  }

  deliver(index: number, text: string): Promise<void> | undefined {
    const textJson = JSON.stringify(text);
    const isWritable = this.write(
      `id: ${index}\ndata: {"choices":[{"index":0,"text":${textJson}}],"id":${this.requestIdJson}}\n\n`,
    );
    return isWritable ? undefined : this.waitForDrain();
  }

  fail(refusal: Refusal): void {
    this.stopKeepalive();
    if (!this.response.headersSent) {
      writeRefusal(this.response, refusal, this.requestId);
      return;
    }
    this.write(`event: error\ndata: ${refusalBody(refusal, this.requestId)}\n\n`);
    this.response.end();
  }

  finish(): void {
    this.stopKeepalive();
    this.write('data: [DONE]\n\n');
    this.response.end();
  }

  private waitForDrain(): Promise<void> | undefined {
    if (this.isDisconnected()) {
      return undefined;
    }
    return new Promise((resolve) => {
      const settle = (): void => {
        this.response.off('drain', settle);
        this.response.off('close', settle);
        resolve();
      };
      this.endDrainWait = settle;
      this.response.on('drain', settle);
      this.response.on('close', settle);
    });
  }

  private scheduleKeepalive(): Teardown {
    return this.timers.after(this.keepaliveMs, () => {
      if (!this.wroteSinceKeepalive && !this.response.writableNeedDrain) {
        this.write(': keepalive\n\n');
      }
      this.wroteSinceKeepalive = false;
      this.stopKeepalive = this.scheduleKeepalive();
    });
  }

  private write(text: string): boolean {
    if (this.isDisconnected()) {
      return true;
    }
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        'cache-control': 'no-store',
        'content-type': 'text/event-stream',
        'x-accel-buffering': 'no',
        'x-request-id': this.requestId,
      });
    }
    this.wroteSinceKeepalive = true;
    return this.response.write(text);
  }
}

/** Buffers the answer and sends it whole as JSON, or an error with a result code in its place. */
export class BufferedSink extends ResponseSink {
  private readonly texts: string[] = [];

  deliver(index: number, text: string): undefined {
    this.texts[index] = text;
    return undefined;
  }

  fail(refusal: Refusal): void {
    writeRefusal(this.response, refusal, this.requestId);
  }

  finish(finishReason: FinishReason, totalTokens: number): void {
    if (this.isDisconnected()) {
      return;
    }
    const text = this.texts.slice(0, totalTokens).join('');
    const body = JSON.stringify({
      choices: [{ finish_reason: finishReason, index: 0, text }],
      id: this.requestId,
      object: 'text_completion',
      usage: { completion_tokens: totalTokens },
    });
    this.response.writeHead(200, {
      'content-type': 'application/json',
      'x-request-id': this.requestId,
    });
    this.response.end(body);
  }
}
