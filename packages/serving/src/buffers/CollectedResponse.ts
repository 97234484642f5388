import { GrowableBuffer } from '../GrowableBuffer.js';
import type { HeldOutput, PausableSource } from './HeldOutput.js';
import type { BufferAccount, ReaderBuffers } from './ReaderBuffers.js';
import { SlabQueue } from './SlabQueue.js';

/** Collects the beginning of a response, which can be passed on or discarded later. */
export interface CollectedResponse {
  append(chunk: Buffer): void;
  discard(): void;
  /** Passes everything on to a caller; collects nothing more afterwards. */
  moveTo(output: HeldOutput, source?: PausableSource): void;
  /** Returns all bytes in one buffer; collects nothing more afterwards. */
  take(): Buffer;
}

/** Collects in memory that nothing counts. */
export class UncountedResponse implements CollectedResponse {
  private readonly buffer = new GrowableBuffer();

  append(chunk: Buffer): void {
    this.buffer.append(chunk);
  }

  discard(): void {
    this.buffer.take();
  }

  moveTo(output: HeldOutput, source?: PausableSource): void {
    output.write(this.buffer.take(), source);
  }

  take(): Buffer {
    return this.buffer.take();
  }
}

/** Collects in slabs that are counted, and that are passed on without copying. */
export class CountedResponse implements CollectedResponse {
  private readonly account: BufferAccount;
  private isClosed = false;
  private readonly queue: SlabQueue;
  private usedBytes = 0;

  /**
   * @param buffers - memory that is used
   * @param label - id of the request, for the log
   */
  constructor(
    private readonly buffers: ReaderBuffers,
    label: () => string | undefined,
  ) {
    this.account = buffers.open({ kind: 'collected', label });
    this.queue = new SlabQueue(buffers.pool);
  }

  append(chunk: Buffer): void {
    if (!this.isClosed) {
      this.usedBytes += chunk.length;
      this.account.reserve(this.queue.append(chunk));
    }
  }

  discard(): void {
    this.isClosed = true;
    this.queue.clear();
    this.account.close();
  }

  moveTo(output: HeldOutput, source?: PausableSource): void {
    this.isClosed = true;
    output.push(this.queue.takeAll(), source);
    this.account.close();
  }

  take(): Buffer {
    const bytes = Buffer.allocUnsafe(this.usedBytes);
    let start = 0;
    for (const { buffer, slab, usedBytes } of this.queue.takeAll()) {
      buffer.copy(bytes, start, 0, usedBytes);
      start += usedBytes;
      if (slab) {
        this.buffers.pool.give(slab);
      }
    }
    this.discard();
    return bytes;
  }
}
