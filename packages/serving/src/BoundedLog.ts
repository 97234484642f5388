import { write } from 'node:fs';
import { stringify } from 'logfmt/lib/stringify.js';
import type { ServingLog, ServingLogValue } from './ServingLog.js';

type Fields = Readonly<Record<string, ServingLogValue>>;

/** Options of {@link BoundedLog}. */
export interface BoundedLogOptions {
  /** Defaults to standard output. */
  readonly fileDescriptor?: number;
  /** Lines that would exceed this many unwritten bytes are dropped and counted. */
  readonly maxPendingBytes?: number;
  readonly nowEpochMs?: () => number;
}

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_PENDING_BYTES = 262_144;
/** Delay before the next write when the reader of the descriptor accepts no data. */
const RETRY_MS = 100;
/** Time limit for writing the last lines: one retry. */
const CLOSE_TIMEOUT_MS = 2 * RETRY_MS;

/**
 * Writes log lines of key=value pairs without blocking. Lines are buffered in memory up to a limit;
 * further lines are dropped, and a log line reports how many.
 */
export class BoundedLog implements ServingLog {
  private droppedLines = 0;
  private readonly fileDescriptor: number;
  private isWriting = false;
  private readonly maxPendingBytes: number;
  private readonly nowEpochMs: () => number;
  private onAllWritten: (() => void) | undefined;
  private pendingBytes = 0;
  private pendingLines: string[] = [];

  constructor(options: BoundedLogOptions = {}) {
    this.fileDescriptor = options.fileDescriptor ?? STANDARD_OUTPUT;
    this.maxPendingBytes = options.maxPendingBytes ?? DEFAULT_MAX_PENDING_BYTES;
    this.nowEpochMs = options.nowEpochMs ?? Date.now;
  }

  info(event: string, fields: Fields = {}): void {
    this.enqueue('info', event, fields);
  }

  warn(event: string, fields: Fields = {}): void {
    this.enqueue('warn', event, fields);
  }

  /**
   * Waits until all buffered lines are written, at the end of the process.
   *
   * @param timeoutMs - time limit, since the reader of the descriptor may have stopped
   */
  async close(timeoutMs = CLOSE_TIMEOUT_MS): Promise<void> {
    if (!this.isWriting) {
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, timeoutMs);
    });
    const written = new Promise<void>((resolve) => {
      this.onAllWritten = resolve;
    });
    await Promise.race([timeout, written]);
    clearTimeout(timer);
  }

  /** Reports dropped lines. This line does not count against the limit. */
  private logDroppedLines(): void {
    const lines = this.droppedLines;
    if (lines > 0) {
      this.droppedLines = 0;
      this.pendingLines.push(this.format('warn', 'log-lines-dropped', { lines }));
    }
  }

  private format(level: string, event: string, fields: Fields): string {
    const time = new Date(this.nowEpochMs()).toISOString();
    return `${stringify({ time, level, event, ...definedFields(fields) })}\n`;
  }

  private enqueue(level: string, event: string, fields: Fields): void {
    const line = this.format(level, event, fields);
    const bytes = Buffer.byteLength(line);
    if (this.pendingBytes + bytes > this.maxPendingBytes) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += bytes;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting) {
      return;
    }
    if (this.pendingLines.length === 0) {
      this.onAllWritten?.();
      return;
    }
    this.isWriting = true;
    this.writeAll(Buffer.from(this.takePending()));
  }

  private takePending(): string {
    const text = this.pendingLines.join('');
    this.pendingLines = [];
    this.pendingBytes = 0;
    return text;
  }

  private writeAll(bytes: Buffer): void {
    write(this.fileDescriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          this.writeAll(bytes);
        }, RETRY_MS).unref();
        return;
      }
      if (!error && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      this.logDroppedLines();
      this.flush();
    });
  }
}

function definedFields(fields: Fields): Record<string, boolean | number | string> {
  const defined: Record<string, boolean | number | string> = {};
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) {
      defined[key] = value;
    }
  }
  return defined;
}
