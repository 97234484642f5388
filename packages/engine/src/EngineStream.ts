import type { EngineLossReason, EngineStreamEvent, FinishReason } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { EventSourceMessage } from 'eventsource-parser';
import { createParser } from 'eventsource-parser';
import type { Client, Dispatcher } from 'undici';
import type { EngineStreamOptions } from './EngineStreamClient.js';

/** A stream of one attempt. Reading is by pull, so that a slow reader slows the engine's sending. */
export interface EngineStream {
  /** Closes the connection; a pending `next` then gives `lost`. */
  close(): void;
  /**
   * The next event. After `finished`, `preempted` or `lost` the stream has ended and every further
   * call gives `lost`.
   */
  next(): Promise<EngineStreamEvent>;
}

type StreamRequest = Pick<Dispatcher.RequestOptions, 'body' | 'headers' | 'method' | 'path'>;
type Lost = Extract<EngineStreamEvent, { kind: 'lost' }>;

const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
const MAX_ERROR_CHARACTERS = 500;
/** An event longer than this many characters breaks the protocol. */
const MAX_EVENT_CHARACTERS = 256 * 1024;
/** A reader that is behind by more than these characters holds the connection up. */
const MAX_HELD_CHARACTERS = 16 * 1024;
/** What is kept of the body of a refused request. */
const MAX_REJECTION_CHARACTERS = 64 * 1024;
const FINISH_REASONS: readonly string[] = ['cancelled', 'length', 'stop'];

/**
 * A stream over one HTTP connection of its own. It takes the body as it arrives and pauses the
 * connection while the reader is behind.
 */
export class HttpEngineStream implements EngineStream {
  private charactersSinceEvent = 0;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly decoder = new TextDecoder();
  private ended = false;
  private heldCharacters = 0;
  /** What follows the queued events. */
  private last: Lost | undefined;
  private readonly parser = createParser({
    onComment: () => {
      this.charactersSinceEvent = 0;
    },
    onEvent: (message) => {
      this.charactersSinceEvent = 0;
      this.queue.push(readEvent(message));
    },
  });
  private readonly queue: EngineStreamEvent[] = [];
  private rejectionText = '';
  private statusCode: number | undefined;
  private wake: ((event: EngineStreamEvent) => void) | undefined;

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
        this.endWith(lost(this.statusCode === HTTP_OK ? 'reset' : 'connectFailed', String(error)));
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
      return Promise.resolve(lost('reset', 'the stream has ended'));
    }
    const event = this.shift();
    if (event) {
      this.resumeOnceEmpty();
      return Promise.resolve(event);
    }
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private endWith(event: Lost): void {
    this.last ??= event;
    this.hand();
  }

  /** Gives a waiting reader the next event. */
  private hand(): void {
    const { wake } = this;
    if (!wake) {
      return;
    }
    const event = this.shift();
    if (event) {
      this.wake = undefined;
      wake(event);
    }
  }

  private onData(chunk: Uint8Array): void {
    const text = this.decoder.decode(chunk, { stream: true });
    if (this.statusCode !== HTTP_OK) {
      this.rejectionText = (this.rejectionText + text).slice(0, MAX_REJECTION_CHARACTERS);
      return;
    }
    this.options.onActivity?.();
    this.charactersSinceEvent += text.length;
    this.heldCharacters += text.length;
    this.parser.feed(text);
    if (this.charactersSinceEvent > MAX_EVENT_CHARACTERS) {
      this.endWith(lost('protocolViolation', 'an event is too long'));
    }
    this.hand();
    const behind = this.queue.length > 0 || this.last !== undefined;
    if (behind && this.heldCharacters > MAX_HELD_CHARACTERS) {
      this.controller?.pause();
    }
  }

  private onEnd(): void {
    const { statusCode } = this;
    if (statusCode === undefined || statusCode === HTTP_OK) {
      this.endWith(lost('reset', 'the stream ended without a last event'));
      return;
    }
    this.endWith(rejection(statusCode, this.rejectionText));
  }

  private onStatus(statusCode: number): void {
    this.statusCode = statusCode;
    if (statusCode === HTTP_OK) {
      this.options.onActivity?.();
    }
  }

  private resumeOnceEmpty(): void {
    if (this.queue.length === 0 && this.controller?.paused && !this.ended) {
      this.controller.resume();
    }
  }

  private shift(): EngineStreamEvent | undefined {
    const event = this.queue.shift() ?? this.last;
    if (event && event.kind !== 'token') {
      this.close();
    }
    if (this.queue.length === 0) {
      this.heldCharacters = 0;
    }
    return event;
  }
}

function lost(reason: EngineLossReason, detail: string): Lost {
  return { detail, kind: 'lost', reason };
}

function rejection(statusCode: number, text: string): Lost {
  const detail = errorReason(text);
  if (statusCode === HTTP_CONFLICT) {
    return lost('superseded', detail);
  }
  if (statusCode === HTTP_NOT_FOUND && detail === 'unknownGeneration') {
    return lost('unknownGeneration', detail);
  }
  return lost('rejected', detail);
}

function errorReason(text: string): string {
  try {
    const parsed = JSON.parse(text) as { error?: unknown } | null;
    return typeof parsed?.error === 'string' ? parsed.error : 'no reason given';
  } catch {
    return text.slice(0, MAX_ERROR_CHARACTERS);
  }
}

function readEvent(message: EventSourceMessage): EngineStreamEvent {
  if (message.event === 'preempted') {
    return { kind: 'preempted' };
  }
  if (message.event === 'superseded') {
    return lost('superseded', 'a higher attempt runs');
  }
  const data = readJson(message.data);
  if (message.event === 'finished') {
    return readFinished(data);
  }
  return readToken(data, message.id);
}

function readJson(text: string): Readonly<Record<string, unknown>> {
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

function readFinished(data: Readonly<Record<string, unknown>>): EngineStreamEvent {
  const { finishReason, totalTokens } = data;
  if (typeof finishReason !== 'string' || !FINISH_REASONS.includes(finishReason)) {
    return lost('protocolViolation', 'malformed finished event');
  }
  if (typeof totalTokens !== 'number' || !Number.isSafeInteger(totalTokens)) {
    return lost('protocolViolation', 'malformed finished event');
  }
  return { finishReason: finishReason as FinishReason, kind: 'finished', totalTokens };
}

function readToken(
  data: Readonly<Record<string, unknown>>,
  id: string | undefined,
): EngineStreamEvent {
  const { attempt, generationId, index, text } = data;
  const wellFormed =
    typeof attempt === 'number' &&
    typeof generationId === 'string' &&
    typeof index === 'number' &&
    typeof text === 'string' &&
    id === String(index);
  if (!wellFormed) {
    return lost('protocolViolation', 'malformed token event');
  }
  return {
    kind: 'token',
    token: { attempt: toNumberId(attempt), generationId: toId(generationId), index, text },
  };
}
