/** Bytes that are read beside the body: heads, framing and responses to other requests. */
const MAX_OVERHEAD_BYTES = 262_144;
/** A chunk of one byte has at least five bytes of framing. */
const MAX_OVERHEAD_PER_BODY_BYTE = 16;

/** Bounds what is read beside the body of one response, which parsers do not bound everywhere. */
export class ResponseOverhead {
  private bodyBytes = 0;
  private receivedBytes = 0;

  addBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Adds bytes from the connection, including those of the body. */
  addReceived(bytes: number): void {
    this.receivedBytes += bytes;
  }

  /** Why the connection must be closed, or undefined. */
  findExcess(): string | undefined {
    const maxBytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * this.bodyBytes;
    return this.receivedBytes - this.bodyBytes > maxBytes
      ? `more than ${maxBytes} bytes beside the body`
      : undefined;
  }
}
