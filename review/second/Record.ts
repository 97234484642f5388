import { writeFileSync } from 'node:fs';

/** What a case sent, what was answered and what ran, line by line. */
export class Record {
  private readonly lines: string[] = [];
  private readonly startedMs = performance.now();

  /** Milliseconds since the case began. */
  nowMs(): number {
    return Math.round(performance.now() - this.startedMs);
  }

  add(text: string): void {
    this.lines.push(`${String(this.nowMs()).padStart(7)} ms  ${text}`);
  }

  write(path: string): void {
    writeFileSync(path, `${this.lines.join('\n')}\n`);
  }
}
