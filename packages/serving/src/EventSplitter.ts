const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('id:');

/** Complete events at the start of the received bytes. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: string | undefined;
}

/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are forwarded, so
 * that a stream that breaks within an event can continue at another engine with that event.
 */
export class EventSplitter {
  private partialEvent: Buffer | undefined;

  /** Number of bytes received of an incomplete event. */
  pendingBytes(): number {
    return this.partialEvent?.length ?? 0;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes of the stream
   * @returns the events completed by them, or undefined when there are none
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.partialEvent ? Buffer.concat([this.partialEvent, chunk]) : chunk;
    let count = 0;
    let start = 0;
    let lastEventId: string | undefined;
    let end = findEventEnd(bytes, start);
    while (end > 0) {
      count += 1;
      lastEventId = parseEventId(bytes.subarray(start, end)) ?? lastEventId;
      start = end;
      end = findEventEnd(bytes, start);
    }
    this.partialEvent = start < bytes.length ? bytes.subarray(start) : undefined;
    return count > 0 ? { bytes: bytes.subarray(0, start), count, lastEventId } : undefined;
  }

  /** Discards an incomplete event that will not be completed. */
  discardPartialEvent(): void {
    this.partialEvent = undefined;
  }
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
