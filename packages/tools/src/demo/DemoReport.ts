/** A check of the demo. */
export interface DemoCheck {
  readonly name: string;
  /** The observed result. */
  readonly observed: string;
  readonly passed: boolean;
}

/** Prints the steps and checks of the demo and collects the results of the checks. */
export class DemoReport {
  readonly #checks: DemoCheck[] = [];

  constructor(private readonly write: (text: string) => void) {}

  /** Whether every check passed. */
  get allPassed(): boolean {
    return this.#checks.every((check) => check.passed);
  }

  /** Records a check and prints its result. */
  check(name: string, held: boolean, seen: string): void {
    this.#checks.push({ passed: held, name, observed: seen });
    this.write(`  ${held ? 'ok  ' : 'FAIL'} ${name}: ${seen}\n`);
  }

  /** Prints the title of the next step. */
  step(title: string): void {
    this.write(`\n${title}\n`);
  }

  /** Prints the number of passed and failed checks. */
  summary(): void {
    const failed = this.#checks.filter((check) => !check.passed);
    this.write(`\n${this.#checks.length - failed.length} checks held, ${failed.length} failed\n`);
  }
}
