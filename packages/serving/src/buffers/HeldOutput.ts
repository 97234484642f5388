import type { BufferHolderKind, BufferVerdict } from '@laburnumgap/dispatch';
import type { BufferAccount, ReaderBuffers } from './ReaderBuffers.js';
import type { Slab } from './SlabPool.js';
import { SLAB_BYTES } from './SlabPool.js';
import type { HeldPart } from './SlabQueue.js';
import { SlabQueue } from './SlabQueue.js';

/** Source of bytes that can be paused. */
export interface PausableSource {
  pause(): void;
  resume(): void;
}

/** Where bytes are written to: a socket, or the response to a caller. */
export interface OutputSink {
  end(): unknown;
  write(chunk: Buffer, onWritten: (error?: Error | null) => void): unknown;
}

/** Options of {@link HeldOutput}. */
export interface HeldOutputOptions {
  readonly buffers: ReaderBuffers;
  readonly kind: BufferHolderKind;
  /** Request or server that the bytes belong to, for the log. */
  readonly label: () => string | undefined;
  /** The reader is aborted: the sink has to be closed now. */
  readonly onOverdue: () => void;
  readonly sink: OutputSink;
}

/** Bytes handed to the sink before the queue is used: its own buffer is not bounded. */
const MAX_IN_FLIGHT_BYTES = 16_384;
/** A larger chunk is written in parts, so that progress is seen. */
const MAX_PART_BYTES = 65_536;

/**
 * Writes bytes to a reader that may be slow. What it does not take at once waits in memory of the
 * {@link ReaderBuffers}, whose decisions pause and resume the source.
 */
export class HeldOutput {
  private readonly account: BufferAccount;
  private hasEnded = false;
  private hasPausedSource = false;
  private inFlightBytes = 0;
  private readonly inFlightSlabs = new Set<Slab>();
  private isClosed = false;
  private readonly queue: SlabQueue;
  private source: PausableSource | undefined;

  constructor(private readonly options: HeldOutputOptions) {
    const { buffers, kind, label, onOverdue } = options;
    this.queue = new SlabQueue(buffers.pool);
    this.account = buffers.open({
      kind,
      label,
      onOverdue,
      onResume: () => {
        this.resumeSource();
      },
    });
  }

  /** Whether bytes wait that the reader has not taken. */
  hasPending(): boolean {
    return !this.isClosed && (this.inFlightBytes > 0 || !this.queue.isEmpty());
  }

  /** Whether the source is paused at this time. */
  isSourcePaused(): boolean {
    return this.hasPausedSource;
  }

  /**
   * Writes a chunk; copies it if it has to wait.
   *
   * @param chunk - the bytes
   * @param source - paused while the budget has no room
   */
  write(chunk: Buffer, source?: PausableSource): void {
    if (this.isClosed || this.hasEnded) {
      return;
    }
    this.source = source;
    const goesDirectly =
      this.queue.isEmpty() &&
      this.inFlightBytes < MAX_IN_FLIGHT_BYTES &&
      chunk.length <= MAX_PART_BYTES;
    const reservedBytes = goesDirectly ? chunk.length : this.queue.append(chunk);
    const verdict = this.account.reserve(reservedBytes);
    if (goesDirectly) {
      this.send({ buffer: chunk, slab: undefined, usedBytes: chunk.length });
    } else {
      this.sendParts();
    }
    this.applyVerdict(verdict, source);
  }

  /** Writes a buffer that stays unchanged, without copying it. */
  writeShared(buffer: Buffer): void {
    const parts: HeldPart[] = [];
    for (let start = 0; start < buffer.length; start += MAX_PART_BYTES) {
      const part = buffer.subarray(start, start + MAX_PART_BYTES);
      parts.push({ buffer: part, slab: undefined, usedBytes: part.length });
    }
    this.push(parts);
  }

  /** Writes parts, of which slabs belong to this output from now on; see {@link write}. */
  push(parts: readonly HeldPart[], source?: PausableSource): void {
    this.queue.push(parts);
    if (this.isClosed || this.hasEnded) {
      this.queue.clear();
      return;
    }
    this.source = source;
    const bytes = parts.reduce((sum, part) => sum + countedBytes(part), 0);
    const verdict = this.account.reserve(bytes);
    this.sendParts();
    this.applyVerdict(verdict, source);
  }

  /** Ends the sink when everything was written. The source can be used for something else. */
  end(): void {
    if (this.isClosed || this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.resumeSource();
    this.source = undefined;
    this.account.endSource();
    this.endSinkIfDone();
  }

  /** Drops everything and frees its memory. The sink must be closed. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.source = undefined;
    const { pool } = this.options.buffers;
    this.queue.clear();
    for (const slab of this.inFlightSlabs) {
      pool.give(slab);
    }
    this.inFlightSlabs.clear();
    this.account.close();
  }

  private sendParts(): void {
    while (this.inFlightBytes < MAX_IN_FLIGHT_BYTES) {
      const part = this.queue.shift();
      if (!part) {
        return;
      }
      this.send(part);
    }
  }

  private send(part: HeldPart): void {
    const { buffer, slab, usedBytes } = part;
    this.inFlightBytes += usedBytes;
    if (slab) {
      this.inFlightSlabs.add(slab);
    }
    this.options.sink.write(buffer.subarray(0, usedBytes), () => {
      this.onWritten(part);
    });
  }

  private onWritten(part: HeldPart): void {
    if (this.isClosed) {
      return;
    }
    const { slab, usedBytes } = part;
    this.inFlightBytes -= usedBytes;
    if (slab) {
      this.inFlightSlabs.delete(slab);
      this.options.buffers.pool.give(slab);
    }
    this.account.progress(usedBytes);
    this.account.release(countedBytes(part));
    this.sendParts();
    this.endSinkIfDone();
  }

  private endSinkIfDone(): void {
    if (this.hasEnded && !this.hasPending()) {
      this.close();
      this.options.sink.end();
    }
  }

  private applyVerdict(verdict: BufferVerdict, source: PausableSource | undefined): void {
    if (verdict === 'paused' && source) {
      this.hasPausedSource = true;
      source.pause();
    }
  }

  private resumeSource(): void {
    if (this.hasPausedSource) {
      this.hasPausedSource = false;
      this.source?.resume();
    }
  }
}

function countedBytes({ slab, usedBytes }: HeldPart): number {
  return slab ? SLAB_BYTES : usedBytes;
}
