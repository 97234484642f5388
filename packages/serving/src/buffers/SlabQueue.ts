import type { Slab, SlabPool } from './SlabPool.js';
import { SLAB_BYTES } from './SlabPool.js';

/** Bytes that wait: copied into a slab, or in a buffer that is kept in memory anyway. */
export interface HeldPart {
  readonly buffer: Buffer;
  readonly slab: Slab | undefined;
  usedBytes: number;
}

/** Bytes in the order in which they arrived, in slabs of a pool. */
export class SlabQueue {
  private parts: HeldPart[] = [];

  constructor(private readonly pool: SlabPool) {}

  isEmpty(): boolean {
    return this.parts.length === 0;
  }

  /**
   * Copies a chunk to the end.
   *
   * @param chunk - the bytes
   * @returns the bytes of the slabs that were taken for it
   */
  append(chunk: Buffer): number {
    let takenBytes = 0;
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      let last = this.parts.at(-1);
      if (!last?.slab || last.usedBytes === SLAB_BYTES) {
        const slab = this.pool.take();
        last = { buffer: slab.buffer, slab, usedBytes: 0 };
        this.parts.push(last);
        takenBytes += SLAB_BYTES;
      }
      const written = chunk.copy(last.buffer, last.usedBytes, copiedBytes);
      last.usedBytes += written;
      copiedBytes += written;
    }
    return takenBytes;
  }

  /** Adds parts to the end without copying them. */
  push(parts: readonly HeldPart[]): void {
    for (const part of parts) {
      this.parts.push(part);
    }
  }

  /** Takes the first part, whose slab has to be given back. */
  shift(): HeldPart | undefined {
    return this.parts.shift();
  }

  /** Takes all parts, whose slabs have to be given back. */
  takeAll(): readonly HeldPart[] {
    return this.parts.splice(0);
  }

  /** Drops all parts and gives their slabs back. */
  clear(): void {
    for (const { slab } of this.takeAll()) {
      if (slab) {
        this.pool.give(slab);
      }
    }
  }
}
