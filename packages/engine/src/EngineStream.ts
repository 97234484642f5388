import type { EngineStreamLossReason, EngineStreamEvent, FinishReason } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { EventSourceMessage } from 'eventsource-parser';
import { createParser } from 'eventsource-parser';
import type { Client, Dispatcher } from 'undici';
import type { EngineStreamOptions } from './EngineStreamClient.js';

/**
 * Event stream of one generation attempt. The reader pulls events, so a slow reader applies
 * backpressure to the engine.
 */
export interface EngineStream {
  /** Closes the connection; a pending `next` then resolves with `lost`. */
  close(): void;
  /**
   * Resolves with the next event. `finished`, `preempted` and `lost` end the stream; every later
   * call resolves with `lost`.
   */
  next(): Promise<EngineStreamEvent>;
}

type StreamRequest = Pick<Dispatcher.RequestOptions, 'body' | 'headers' | 'method' | 'path'>;
type StreamLostEvent = Extract<EngineStreamEvent, { kind: 'lost' }>;

const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
/** Longest prefix of an error response without JSON that is used as the detail. */
const MAX_ERROR_CHARACTERS = 500;
/** Longest accepted event, in characters; a longer one is a protocol violation. */
const MAX_EVENT_CHARACTERS = 256 * 1024;
/** The connection is paused when more than this many characters wait for the reader. */
const MAX_BUFFERED_CHARACTERS = 16 * 1024;
/** Longest prefix of an error response body that is read. */
const MAX_REJECTION_CHARACTERS = 64 * 1024;
const FINISH_REASONS: readonly string[] = ['cancelled', 'length', 'stop'];

/**
 * Reads server-sent events over a dedicated HTTP connection. It parses the response body as it
 * arrives and pauses the connection while the reader is behind.
 */
export class HttpEngineStream implements EngineStream {
  private bufferedCharacters = 0;
  private charactersSinceEvent = 0;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly decoder = new TextDecoder();
  /** Event that is delivered after the queued ones and ends the stream. */
  private endEvent: StreamLostEvent | undefined;
  private ended = false;
  private readonly parser = createParser({
    onComment: () => {
      this.charactersSinceEvent = 0;
    },
    onEvent: (message) => {
      this.charactersSinceEvent = 0;
      this.queue.push(parseEvent(message));
    },
  });
  private readonly queue: EngineStreamEvent[] = [];
  private rejectionText = '';
  private resolvePendingRead: ((event: EngineStreamEvent) => void) | undefined;
  private statusCode: number | undefined;

  constructor(
    private readonly client: Client,
    request: StreamRequest,
    private readonly options: EngineStreamOptions,
  ) {
    client.dispatch(request, {
      onRequestStart: (controller) => {
        this.controller = controller;
      },
      onResponseData: (_controller, chunk) => {
        this.onData(chunk);
      },
      onResponseEnd: () => {
        this.onEnd();
      },
      onResponseError: (_controller, error) => {
        this.endWith(
          lostEvent(this.statusCode === HTTP_OK ? 'reset' : 'connectFailed', String(error)),
        );
      },
      onResponseStart: (_controller, statusCode) => {
        this.onStatus(statusCode);
      },
    });
  }

  close(): void {
    this.ended = true;
    this.client.destroy().catch(() => undefined);
  }

  next(): Promise<EngineStreamEvent> {
    if (this.ended) {
      return Promise.resolve(lostEvent('reset', 'the stream has ended'));
    }
    const event = this.takeNextEvent();
    if (event) {
      this.resumeIfEmpty();
      return Promise.resolve(event);
    }
    return new Promise((resolve) => {
      this.resolvePendingRead = resolve;
    });
  }

  /** Resolves a pending `next` with the next event, if there is one. */
  private deliverToPendingRead(): void {
    const { resolvePendingRead } = this;
    if (!resolvePendingRead) {
      return;
    }
    const event = this.takeNextEvent();
    if (event) {
      this.resolvePendingRead = undefined;
      resolvePendingRead(event);
    }
  }

  private endWith(event: StreamLostEvent): void {
    this.endEvent ??= event;
    this.deliverToPendingRead();
  }

  private onData(chunk: Uint8Array): void {
    const text = this.decoder.decode(chunk, { stream: true });
    if (this.statusCode !== HTTP_OK) {
      this.rejectionText += text;
      if (this.rejectionText.length > MAX_REJECTION_CHARACTERS) {
        this.onEnd();
      }
      return;
    }
    this.options.onActivity?.();
    this.charactersSinceEvent += text.length;
    this.bufferedCharacters += text.length;
    this.parser.feed(text);
    if (this.charactersSinceEvent > MAX_EVENT_CHARACTERS) {
      this.endWith(lostEvent('protocolViolation', 'an event exceeds the size limit'));
    }
    this.deliverToPendingRead();
    const readerIsBehind = this.queue.length > 0 || this.endEvent !== undefined;
    if (readerIsBehind && this.bufferedCharacters > MAX_BUFFERED_CHARACTERS) {
      this.controller?.pause();
    }
  }

  private onEnd(): void {
    const { statusCode } = this;
    if (statusCode === undefined || statusCode === HTTP_OK) {
      this.endWith(lostEvent('reset', 'the stream ended without a final event'));
      return;
    }
    this.endWith(rejectionEvent(statusCode, this.rejectionText));
  }

  private onStatus(statusCode: number): void {
    this.statusCode = statusCode;
    if (statusCode === HTTP_OK) {
      this.options.onActivity?.();
    }
  }

  private resumeIfEmpty(): void {
    if (this.queue.length === 0 && this.controller?.paused && !this.ended) {
      this.controller.resume();
    }
  }

  private takeNextEvent(): EngineStreamEvent | undefined {
    const event = this.queue.shift() ?? this.endEvent;
    if (event && event.kind !== 'token') {
      this.close();
    }
    if (this.queue.length === 0) {
      this.bufferedCharacters = 0;
    }
    return event;
  }
}

function lostEvent(reason: EngineStreamLossReason, detail: string): StreamLostEvent {
  return { detail, kind: 'lost', reason };
}

function rejectionEvent(statusCode: number, text: string): StreamLostEvent {
  const detail = parseErrorReason(text);
  if (statusCode === HTTP_CONFLICT) {
    return lostEvent('superseded', detail);
  }
  if (statusCode === HTTP_NOT_FOUND && detail === 'unknownGeneration') {
    return lostEvent('unknownGeneration', detail);
  }
  return lostEvent('rejected', detail);
}

function parseErrorReason(text: string): string {
  try {
    const parsed = JSON.parse(text) as { error?: unknown } | null;
    return typeof parsed?.error === 'string' ? parsed.error : 'no reason given';
  } catch {
    return text.slice(0, MAX_ERROR_CHARACTERS);
  }
}

function parseEvent(message: EventSourceMessage): EngineStreamEvent {
  if (message.event === 'preempted') {
    return { kind: 'preempted' };
  }
  if (message.event === 'superseded') {
    return lostEvent('superseded', 'a higher attempt runs');
  }
  const data = parseJsonObject(message.data);
  if (message.event === 'finished') {
    return parseFinishedEvent(data);
  }
  return parseTokenEvent(data, message.id);
}

function parseJsonObject(text: string): Readonly<Record<string, unknown>> {
  try {
    const parsed: unknown = JSON.parse(text);
    return isRecord(parsed) ? parsed : {};
  } catch {
    return {};
  }
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}

function parseFinishedEvent(data: Readonly<Record<string, unknown>>): EngineStreamEvent {
  const { finishReason, totalTokens } = data;
  if (typeof finishReason !== 'string' || !FINISH_REASONS.includes(finishReason)) {
    return lostEvent('protocolViolation', 'malformed finished event');
  }
  if (typeof totalTokens !== 'number' || !Number.isSafeInteger(totalTokens)) {
    return lostEvent('protocolViolation', 'malformed finished event');
  }
  return { finishReason: finishReason as FinishReason, kind: 'finished', totalTokens };
}

function parseTokenEvent(
  data: Readonly<Record<string, unknown>>,
  id: string | undefined,
): EngineStreamEvent {
  const { attempt, generationId, index, text } = data;
  const isWellFormed =
    typeof attempt === 'number' &&
    typeof generationId === 'string' &&
    typeof index === 'number' &&
    typeof text === 'string' &&
    id === String(index);
  if (!isWellFormed) {
    return lostEvent('protocolViolation', 'malformed token event');
  }
  return {
    kind: 'token',
    token: { attempt: toNumberId(attempt), generationId: toId(generationId), index, text },
  };
}
