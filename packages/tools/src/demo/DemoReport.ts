/** One line of the demo's summary. */
export interface DemoCheck {
  readonly held: boolean;
  readonly name: string;
  /** What was seen. */
  readonly seen: string;
}

/** Prints what the demo sees and remembers whether all of it was as it should be. */
export class DemoReport {
  readonly #checks: DemoCheck[] = [];

  constructor(private readonly write: (text: string) => void) {}

  /** Whether every check held. */
  get held(): boolean {
    return this.#checks.every((check) => check.held);
  }

  /** Notes a check. */
  check(name: string, held: boolean, seen: string): void {
    this.#checks.push({ held, name, seen });
    this.write(`  ${held ? 'ok  ' : 'FAIL'} ${name}: ${seen}\n`);
  }

  /** Begins a step. */
  step(title: string): void {
    this.write(`\n${title}\n`);
  }

  /** Prints the summary. */
  summary(): void {
    const failed = this.#checks.filter((check) => !check.held);
    this.write(`\n${this.#checks.length - failed.length} checks held, ${failed.length} failed\n`);
  }
}
