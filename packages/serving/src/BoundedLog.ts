import { write, writeSync } from 'node:fs';
import { stringify } from 'logfmt/lib/stringify.js';
import type { ServingLog, ServingLogValue } from './ServingLog.js';

type Fields = Readonly<Record<string, ServingLogValue>>;

/** Options of a log. */
export interface BoundedLogOptions {
  readonly fileDescriptor?: number;
  /** Lines beyond this many waiting bytes are dropped and counted. */
  readonly maxPendingBytes?: number;
  readonly nowEpochMs?: () => number;
}

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_PENDING_BYTES = 262_144;
/** A reader that takes nothing is tried again after this. */
const RETRY_MS = 100;

/**
 * Writes lines of key=value pairs. Writing never blocks: lines wait in memory up to a bound, what
 * is beyond it is dropped, and a line says how many were.
 */
export class BoundedLog implements ServingLog {
  private droppedLines = 0;
  private readonly fileDescriptor: number;
  private isWriting = false;
  private readonly maxPendingBytes: number;
  private readonly nowEpochMs: () => number;
  private pendingLines: string[] = [];
  private pendingBytes = 0;

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

  /** Writes what waits, at the end of the process. */
  close(): void {
    if (this.isWriting || this.pendingLines.length === 0) {
      return;
    }
    try {
      writeSync(this.fileDescriptor, this.takePending());
    } catch {
      // Nobody reads any more, and there is no other place to say so.
    }
  }

  /** The line about dropped ones has room beside the bound. */
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
    if (this.pendingBytes + line.length > this.maxPendingBytes) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.pendingLines.length === 0) {
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
