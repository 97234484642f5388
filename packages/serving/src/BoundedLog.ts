import { write, writeSync } from 'node:fs';
import { stringify } from 'logfmt/lib/stringify.js';
import type { ServingLog, ServingLogValue } from './ServingLog.js';

type Fields = Readonly<Record<string, ServingLogValue>>;

/** Options of a log. */
export interface BoundedLogOptions {
  readonly fileDescriptor?: number;
  /** Lines beyond this many waiting bytes are dropped and counted. */
  readonly maxWaitingBytes?: number;
  readonly nowEpochMs?: () => number;
}

const STANDARD_OUTPUT = 1;
const DEFAULT_MAX_WAITING_BYTES = 262_144;
/** A reader that takes nothing is tried again after this. */
const RETRY_MS = 100;

/**
 * Writes lines of key=value pairs. Writing never blocks: lines wait in memory up to a bound, what
 * is beyond it is dropped, and a line says how many were.
 */
export class BoundedLog implements ServingLog {
  private dropped = 0;
  private readonly fileDescriptor: number;
  private isWriting = false;
  private readonly maxWaitingBytes: number;
  private readonly nowEpochMs: () => number;
  private waiting: string[] = [];
  private waitingBytes = 0;

  constructor(options: BoundedLogOptions = {}) {
    this.fileDescriptor = options.fileDescriptor ?? STANDARD_OUTPUT;
    this.maxWaitingBytes = options.maxWaitingBytes ?? DEFAULT_MAX_WAITING_BYTES;
    this.nowEpochMs = options.nowEpochMs ?? Date.now;
  }

  info(event: string, fields: Fields = {}): void {
    this.add('info', event, fields);
  }

  warn(event: string, fields: Fields = {}): void {
    this.add('warn', event, fields);
  }

  /** Writes what waits, at the end of the process. */
  close(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    try {
      writeSync(this.fileDescriptor, this.takeWaiting());
    } catch {
      // Nobody reads any more, and there is no other place to say so.
    }
  }

  /** The line about dropped ones has room beside the bound. */
  private noteDropped(): void {
    const lines = this.dropped;
    if (lines > 0) {
      this.dropped = 0;
      this.waiting.push(this.format('warn', 'log-lines-dropped', { lines }));
    }
  }

  private format(level: string, event: string, fields: Fields): string {
    const time = new Date(this.nowEpochMs()).toISOString();
    return `${stringify({ time, level, event, ...definedFields(fields) })}\n`;
  }

  private add(level: string, event: string, fields: Fields): void {
    const line = this.format(level, event, fields);
    if (this.waitingBytes + line.length > this.maxWaitingBytes) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    this.isWriting = true;
    this.writeOut(Buffer.from(this.takeWaiting()));
  }

  private takeWaiting(): string {
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    return text;
  }

  private writeOut(bytes: Buffer): void {
    write(this.fileDescriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          this.writeOut(bytes);
        }, RETRY_MS).unref();
        return;
      }
      if (!error && written < bytes.length) {
        this.writeOut(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      this.noteDropped();
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
