const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('id:');

/** Whole events at the start of what was read. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: string | undefined;
}

/**
 * Cuts a byte stream of server-sent events behind whole events, so that a stream that breaks inside
 * an event goes on elsewhere with that event from its start.
 */
export class EventSplitter {
  private rest: Buffer | undefined;

  /** Bytes of an event that has not ended. */
  pendingBytes(): number {
    return this.rest?.length ?? 0;
  }

  /** Reads bytes. Returns the whole events, or undefined when none ended. */
  push(chunk: Buffer): WholeEvents | undefined {
    const bytes = this.rest ? Buffer.concat([this.rest, chunk]) : chunk;
    let count = 0;
    let start = 0;
    let lastEventId: string | undefined;
    let end = eventEnd(bytes, start);
    while (end > 0) {
      count += 1;
      lastEventId = eventIdOf(bytes.subarray(start, end)) ?? lastEventId;
      start = end;
      end = eventEnd(bytes, start);
    }
    this.rest = start < bytes.length ? bytes.subarray(start) : undefined;
    return count > 0 ? { bytes: bytes.subarray(0, start), count, lastEventId } : undefined;
  }

  /** Forgets an event that will not end. */
  reset(): void {
    this.rest = undefined;
  }
}

/** Index behind the blank line that ends an event, or 0. */
function eventEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    const next = bytes[at + 1] === 0x0d ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return 0;
}

function eventIdOf(event: Buffer): string | undefined {
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
