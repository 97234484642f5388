import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes `record.txt` of a case: what was sent, answered and run, with the time since the start. */
export class CaseRecord {
  private readonly startedMs = performance.now();

  constructor(private readonly path: string) {
    writeFileSync(path, '');
  }

  line(text: string): void {
    const atMs = Math.round(performance.now() - this.startedMs);
    appendFileSync(this.path, `${String(atMs).padStart(6)} ${text}\n`);
  }
}
