/** Counts bytes of memory. */
export interface ByteCounter {
  release(bytes: number): void;
  reserve(bytes: number): unknown;
}

const INITIAL_BYTES = 1_024;

/**
 * Collects bytes that arrive in pieces. Keeps them in one buffer, since a server can send a body in
 * pieces of one byte, of which each would take a hundred bytes of memory.
 */
export class GrowableBuffer {
  private buffer = Buffer.alloc(0);
  private usedBytes = 0;

  /**
   * @param counter - counts the memory that the buffer takes; nothing counts it by default
   */
  constructor(private readonly counter?: ByteCounter) {}

  get length(): number {
    return this.usedBytes;
  }

  append(chunk: Buffer): void {
    const neededBytes = this.usedBytes + chunk.length;
    if (neededBytes > this.buffer.length) {
      const grown = Buffer.allocUnsafe(
        Math.max(INITIAL_BYTES, neededBytes, 2 * this.buffer.length),
      );
      this.buffer.copy(grown, 0, 0, this.usedBytes);
      this.counter?.reserve(grown.length - this.buffer.length);
      this.buffer = grown;
    }
    chunk.copy(this.buffer, this.usedBytes);
    this.usedBytes = neededBytes;
  }

  /** The last bytes, at most `count`; valid until the next call. */
  tail(count: number): Buffer {
    return this.buffer.subarray(Math.max(0, this.usedBytes - count), this.usedBytes);
  }

  /** Returns all bytes and begins anew. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.usedBytes);
    this.counter?.release(this.buffer.length);
    this.buffer = Buffer.alloc(0);
    this.usedBytes = 0;
    return bytes;
  }
}
