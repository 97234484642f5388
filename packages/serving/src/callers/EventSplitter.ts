import type { ByteCounter } from '../GrowableBuffer.js';
import { GrowableBuffer } from '../GrowableBuffer.js';

const LINE_FEED = 0x0a;
/** A line feed and a carriage return. */
const MAX_OVERLAP_BYTES = 2;
const ID_FIELD = Buffer.from('id:');

/** A complete event, and the value of its field `id` if it has one. */
export interface SplitEvent {
  readonly bytes: Buffer;
  readonly eventId: string | undefined;
}

/** Complete events at the start of the received bytes. */
export interface CompleteEvents {
  /** Bytes of all events. */
  readonly bytes: Buffer;
  /** The events in order; at least one. */
  readonly events: readonly SplitEvent[];
}

/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are forwarded, so
 * that a stream that breaks within an event can continue at another engine with that event.
 */
export class EventSplitter {
  private readonly partialEvent: GrowableBuffer;

  /**
   * @param counter - counts the memory of an incomplete event; nothing counts it by default
   */
  constructor(counter?: ByteCounter) {
    this.partialEvent = new GrowableBuffer(counter);
  }

  /** Number of bytes received of an incomplete event. */
  pendingBytes(): number {
    return this.partialEvent.length;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes of the stream
   * @returns the events completed by them, or undefined when there are none
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = this.findLastEventEnd(chunk);
    this.partialEvent.append(chunk.subarray(0, end > 0 ? end : chunk.length));
    if (end === 0) {
      return undefined;
    }
    const bytes = this.partialEvent.take();
    this.partialEvent.append(chunk.subarray(end));
    return parseEvents(bytes);
  }

  /** Discards an incomplete event that will not be completed. */
  discardPartialEvent(): void {
    this.partialEvent.take();
  }

  /** Index in the chunk after the last blank line that ends an event, or 0. */
  private findLastEventEnd(chunk: Buffer): number {
    // The blank line can begin in the bytes before.
    const overlap = this.partialEvent.tail(MAX_OVERLAP_BYTES);
    const bytes = overlap.length > 0 ? Buffer.concat([overlap, chunk]) : chunk;
    let lastEnd = 0;
    for (let end = findEventEnd(bytes, 0); end > 0; end = findEventEnd(bytes, end)) {
      lastEnd = end;
    }
    return Math.max(0, lastEnd - overlap.length);
  }
}

function parseEvents(bytes: Buffer): CompleteEvents {
  const events: SplitEvent[] = [];
  let start = 0;
  for (let end = findEventEnd(bytes, 0); end > 0; end = findEventEnd(bytes, start)) {
    const event = bytes.subarray(start, end);
    events.push({ bytes: event, eventId: parseEventId(event) });
    start = end;
  }
  return { bytes, events };
}

/** Id of the last event that has one. */
export function lastEventIdOf({ events }: CompleteEvents): string | undefined {
  return events.findLast(({ eventId }) => eventId !== undefined)?.eventId;
}

/** Index after the blank line that ends an event, or 0. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineFeedIndex = bytes.indexOf(LINE_FEED, from);
  while (lineFeedIndex >= 0) {
    const next = bytes[lineFeedIndex + 1] === 0x0d ? lineFeedIndex + 2 : lineFeedIndex + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    lineFeedIndex = bytes.indexOf(LINE_FEED, lineFeedIndex + 1);
  }
  return 0;
}

function parseEventId(event: Buffer): string | undefined {
  let start = 0;
  while (start < event.length) {
    const end = event.indexOf(LINE_FEED, start);
    const lineEnd = end < 0 ? event.length : end;
    if (event.subarray(start, start + ID_FIELD.length).equals(ID_FIELD)) {
      return event.toString('latin1', start + ID_FIELD.length, lineEnd).trim();
    }
    start = lineEnd + 1;
  }
  return undefined;
}
