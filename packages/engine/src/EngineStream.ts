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
const FINISH_REASONS: readonly string[] = ['cancelled', 'length', 'stop'];

/** A stream over one HTTP connection of its own. */
export class HttpEngineStream implements EngineStream {
  private readonly body: Promise<AsyncIterator<Uint8Array> | Lost>;
  private charactersSinceEvent = 0;
  private readonly decoder = new TextDecoder();
  private ended = false;
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

  constructor(
    private readonly client: Client,
    request: StreamRequest,
    private readonly options: EngineStreamOptions,
  ) {
    this.body = this.open(request);
  }

  close(): void {
    this.ended = true;
    this.client.destroy().catch(() => undefined);
  }

  async next(): Promise<EngineStreamEvent> {
    if (this.ended) {
      return lost('reset', 'the stream has ended');
    }
    const event = await this.read();
    if (event.kind !== 'token') {
      this.close();
    }
    return event;
  }

  private async open(request: StreamRequest): Promise<AsyncIterator<Uint8Array> | Lost> {
    try {
      const response = await this.client.request(request);
      if (response.statusCode === HTTP_OK) {
        this.options.onActivity?.();
        return response.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
      }
      const text = await response.body.text();
      return rejection(response.statusCode, text);
    } catch (error) {
      return lost('connectFailed', String(error));
    }
  }

  private async read(): Promise<EngineStreamEvent> {
    const body = await this.body;
    if ('kind' in body) {
      return body;
    }
    for (;;) {
      const queued = this.queue.shift();
      if (queued) {
        return queued;
      }
      const problem = await this.readChunk(body);
      if (problem) {
        return problem;
      }
    }
  }

  private async readChunk(body: AsyncIterator<Uint8Array>): Promise<Lost | undefined> {
    try {
      const chunk = await body.next();
      if (chunk.done) {
        return lost('reset', 'the stream ended without a last event');
      }
      this.options.onActivity?.();
      const text = this.decoder.decode(chunk.value, { stream: true });
      this.charactersSinceEvent += text.length;
      this.parser.feed(text);
    } catch (error) {
      return lost('reset', String(error));
    }
    if (this.queue.length === 0 && this.charactersSinceEvent > MAX_EVENT_CHARACTERS) {
      return lost('protocolViolation', 'an event is too long');
    }
    return undefined;
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
